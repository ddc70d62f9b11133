import { FaultCounters } from "../../health/fault-counters.js";
import { LoadCounters } from "../../health/load-counters.js";
import { CanaryCounters } from "../../health/canary-counters.js";
import type { ClusterSize } from "../../membership/cluster.js";
import { RequestCounters } from "../../proxy/request-counters.js";
import { ProxyServer } from "../../proxy/proxy-server.js";
import { RouteTable } from "../../proxy/route-table.js";
import { WorkerDirectory } from "../../proxy/worker-directory.js";
import { sleep, type Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import { serveApi } from "../http-api.js";
import { joinCluster } from "../data-plane-node.js";
import { nodeQueryHandlers } from "./node-queries.js";
import type { GatewayObjectCache, GatewayObjectCacheOptions } from "./object-cache.js";
import { openRetryBudgets } from "./retry-budgets.js";
import type { RunningProgram } from "../running-program.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** Bodies held whole take at most this part of the memory. */
const ROOM_PART = 4;
const REPORT_US = 2 * SECOND_US;
const ROLLOUT_REPORT_US = 500 * MILLISECOND_US;
/** How long after SIGTERM new connections may still come, until everyone has seen that this node is not ready. */
const NOTICE_US = 2_800 * MILLISECOND_US;
const END_MARGIN_US = 400 * MILLISECOND_US;

/** Only a deployment of this kind loads and runs what objects and operation keys need. */
const CONTENT = "content";
const openGoods = async (options: GatewayObjectCacheOptions): Promise<GatewayObjectCache> =>
  (await import("./object-cache.js")).openGatewayObjectCache(options);

/** Puts the data plane together on one machine. */
export const runGateway = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("pointsman");
  const { updates, subscriber, relay } = joinCluster(
    settings,
    clock,
    "gateway",
    { goods: (...session) => goods?.serveObjects(...session) ?? Promise.resolve() },
    (question) => answers(question),
  );
  const table = new RouteTable();
  const pool = new WorkerDirectory(clock, settings.name, settings.zone);
  const life = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const counts = new FaultCounters(life);
  const rollouts = new CanaryCounters(life);
  const usage = new LoadCounters(life);
  const calls = new RequestCounters(clock);
  const retryBudgets = openRetryBudgets(settings, clock, updates, subscriber, life);
  const answers = nodeQueryHandlers({
    node: settings.name,
    zone: settings.zone,
    workers: pool,
    requestCounters: calls,
    retryBudgets,
  });
  const tallies = new Map<string, number>();
  let clusterSize: ClusterSize = { gateways: 1, zones: {} };
  let leaving = false;

  const connectionShare = (service: string): number =>
    Math.max(
      1,
      Math.floor(
        (table.service(service)?.maxConnections ?? 16) / Math.max(1, clusterSize.gateways),
      ),
    );

  const goods =
    settings.deployment === CONTENT
      ? await openGoods({
          settings,
          clock,
          updates,
          subscriber,
          routes: table,
          workers: pool,
          incarnation: life,
          retryBudgets,
          connectionShare,
          countFault: counts.count,
        })
      : undefined;
  const front = new ProxyServer({
    clock,
    log: loggerFor("front"),
    zone: settings.zone,
    bufferMemoryBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / ROOM_PART,
    routes: table,
    pool,
    retryBudgets,
    connectionShare,
    countFault: counts.count,
    countOutcome: (route, kind, outcome) => {
      const key = `${route}|${kind}|${settings.zone}|${outcome}`;
      tallies.set(key, (tallies.get(key) ?? 0) + 1);
    },
    countCanaryOutcome: (route, service, stratum, outcome) =>
      rollouts.count(route.name, route.version, service, `${settings.zone}|${stratum}`, outcome),
    countAttempt: calls.record,
    random: Math.random,
    loadCounters: usage,
    actsOnForecast: settings.forecastActs,
    ...(goods ? { objects: goods.objects, idempotency: goods.idempotencyClient } : {}),
  });

  updates.events.on("changed", (facts) => {
    table.applyUpdates(facts);
    pool.applyUpdates(facts);
    rollouts.retain(table.isCurrent);
    front.applyLimits();
    front.setZoneDrained(pool.isDrained(settings.zone));
    front.wake();
  });
  updates.events.on("forgotten", (keys) => {
    pool.forgetKeys(keys);
    keys.forEach((key) => counts.remove(key));
  });
  subscriber.events.on("crew", (told) => {
    clusterSize = told;
    pool.setNodeCount({
      inZone: Math.max(1, told.zones[settings.zone] ?? 1),
      total: Math.max(1, told.gateways),
    });
  });

  const isReady = (): boolean =>
    !leaving && !pool.isDrained(settings.zone) && table.isLoaded && pool.size > 0;
  const ready = await serveApi(settings.ready, [
    {
      method: "GET",
      path: "/ready",
      handle: async () => ({ outcome: isReady() ? "taken" : "noPlan" }),
    },
    {
      method: "GET",
      path: "/tell/counts",
      handle: async () => ({
        outcome: "taken",
        body: {
          counts: [...tallies].map(([key, count]) => {
            const [route, kind, zone, outcome] = key.split("|");
            return { route, kind, cell: zone, outcome, count };
          }),
        },
      }),
    },
    {
      method: "GET",
      path: "/tell/goods",
      handle: async () => ({ outcome: "taken", body: { goods: goods?.objects.snapshot() ?? {} } }),
    },
    {
      method: "GET",
      path: "/tell/workers",
      handle: async () => ({
        outcome: "taken",
        body: {
          workers: pool.all().map((worker) => ({
            id: worker.id,
            service: worker.service,
            cell: worker.zone,
            state: worker.state,
            usage: worker.load(0),
            ejected: pool.isEjected(worker),
          })),
        },
      }),
    },
  ]);
  await front.listen(settings.front);
  await relay.listen(settings.ip, settings.relayPort);
  void subscriber.run();
  const rolloutReport = clock.every(ROLLOUT_REPORT_US, () => {
    const message = rollouts.takeReport();
    if (message) subscriber.report(message);
  });
  const report = clock.every(REPORT_US, () => {
    const message = counts.takeReport();
    if (message) subscriber.report(message);
    const used = usage.takeReport();
    if (used) subscriber.report(used);
    pool.evictIdleConnections();
  });
  log.info(`Up at ${settings.front}.`);

  return {
    applySettings: ({ seedNodes }) => subscriber.renewSeeds(seedNodes),
    stop: async () => {
      const endUs = clock.nowUs() + settings.graceUs - END_MARGIN_US;
      log.info("Leaving.");
      leaving = true;
      front.startDraining();
      await sleep(clock, Math.min(NOTICE_US, (settings.graceUs - END_MARGIN_US) / 2));
      front.stopListening();
      while (front.openRequests > 0 && clock.nowUs() < endUs) {
        await sleep(clock, 50 * MILLISECOND_US);
        front.closeIdleConnections();
      }
      report.stop();
      rolloutReport.stop();
      goods?.stop();
      subscriber.stop();
      relay.close();
      ready.close();
    },
  };
};
