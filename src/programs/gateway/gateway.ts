import { FaultCounts } from "../../health/fault-counters.js";
import { UsageCounts } from "../../health/load-counters.js";
import { RolloutCounts } from "../../health/canary-counters.js";
import type { Crew } from "../../membership/update-publisher.js";
import { CallCounts } from "../../proxy/request-counters.js";
import { Front } from "../../proxy/proxy-server.js";
import { RouteTable } from "../../proxy/route-table.js";
import { Yard } from "../../proxy/connection-pool.js";
import { rest, type Clock } from "../../common/clock.js";
import { logFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { MS, SECOND } from "../../common/duration.js";
import { serveCalls } from "../http-api.js";
import { joinNews } from "../data-plane-node.js";
import { answersOf } from "./node-queries.js";
import type { PointsmanGoods, PointsmanGoodsOptions } from "./object-cache.js";
import { openRetryBudgets } from "./retry-budgets.js";
import type { Running } from "../running-program.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** Bodies held whole take at most this part of the memory. */
const ROOM_PART = 4;
const REPORT_US = 2 * SECOND;
const ROLLOUT_REPORT_US = 500 * MS;
/** How long after SIGTERM new connections may still come, until everyone has seen that this node is not ready. */
const NOTICE_US = 2_800 * MS;
const END_MARGIN_US = 400 * MS;

/** Only a deployment of this kind loads and runs what objects and operation keys need. */
const CONTENT = "content";
const openGoods = async (options: PointsmanGoodsOptions): Promise<PointsmanGoods> =>
  (await import("./object-cache.js")).openPointsmanGoods(options);

/** Puts the data plane together on one machine. */
export const runPointsman = async (settings: Settings, clock: Clock): Promise<Running> => {
  const log = logFor("pointsman");
  const { board, taker, relay } = joinNews(
    settings,
    clock,
    "pointsman",
    { goods: (...session) => goods?.receiver(...session) ?? Promise.resolve() },
    (question) => answers(question),
  );
  const table = new RouteTable();
  const yard = new Yard(clock, settings.name, settings.cell);
  const life = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const counts = new FaultCounts(life);
  const rollouts = new RolloutCounts(life);
  const usage = new UsageCounts(life);
  const calls = new CallCounts(clock);
  const budgets = openRetryBudgets(settings, clock, board, taker, life);
  const answers = answersOf({ node: settings.name, cell: settings.cell, yard, calls, budgets });
  const tallies = new Map<string, number>();
  let crew: Crew = { pointsmen: 1, cells: {} };
  let leaving = false;

  const connectionShare = (service: string): number =>
    Math.max(
      1,
      Math.floor((table.service(service)?.maxConnections ?? 16) / Math.max(1, crew.pointsmen)),
    );

  const goods =
    settings.deployment === CONTENT
      ? await openGoods({
          settings,
          clock,
          board,
          taker,
          table,
          yard,
          life,
          budgets,
          connectionShare,
          countFault: counts.count,
        })
      : undefined;
  const front = new Front({
    clock,
    log: logFor("front"),
    cell: settings.cell,
    roomBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / ROOM_PART,
    table,
    yard,
    budgets,
    connectionShare,
    countFault: counts.count,
    tally: (route, kind, outcome) => {
      const key = `${route}|${kind}|${settings.cell}|${outcome}`;
      tallies.set(key, (tallies.get(key) ?? 0) + 1);
    },
    countRollout: (route, service, stratum, outcome) =>
      rollouts.count(route.name, route.version, service, `${settings.cell}|${stratum}`, outcome),
    countCall: calls.count,
    random: Math.random,
    usage,
    acts: settings.forecastActs,
    ...(goods ? { goods: goods.goods, desk: goods.desk } : {}),
  });

  board.events.on("changed", (facts) => {
    table.take(facts);
    yard.take(facts);
    rollouts.keepOnly(table.isInForce);
    front.takeLimits();
    front.setEmptied(yard.isEmptied(settings.cell));
    front.wake();
  });
  board.events.on("forgotten", (keys) => {
    yard.forget(keys);
    keys.forEach((key) => counts.forget(key));
  });
  taker.events.on("crew", (told) => {
    crew = told;
    yard.setNodes({
      here: Math.max(1, told.cells[settings.cell] ?? 1),
      everywhere: Math.max(1, told.pointsmen),
    });
  });

  const isReady = (): boolean =>
    !leaving && !yard.isEmptied(settings.cell) && table.isHeld && yard.size > 0;
  const ready = await serveCalls(settings.ready, [
    {
      method: "GET",
      path: "/ready",
      act: async () => ({ outcome: isReady() ? "taken" : "noPlan" }),
    },
    {
      method: "GET",
      path: "/tell/counts",
      act: async () => ({
        outcome: "taken",
        body: {
          counts: [...tallies].map(([key, count]) => {
            const [route, kind, cell, outcome] = key.split("|");
            return { route, kind, cell, outcome, count };
          }),
        },
      }),
    },
    {
      method: "GET",
      path: "/tell/goods",
      act: async () => ({ outcome: "taken", body: { goods: goods?.goods.tell() ?? {} } }),
    },
    {
      method: "GET",
      path: "/tell/workers",
      act: async () => ({
        outcome: "taken",
        body: {
          workers: yard.all().map((worker) => ({
            id: worker.id,
            service: worker.service,
            cell: worker.cell,
            state: worker.state,
            usage: worker.usage(0),
            ejected: yard.isEjected(worker),
          })),
        },
      }),
    },
  ]);
  await front.listen(settings.front);
  await relay.listen(settings.ip, settings.relayPort);
  void taker.run();
  const rolloutReport = clock.every(ROLLOUT_REPORT_US, () => {
    const message = rollouts.takeReport();
    if (message) taker.report(message);
  });
  const report = clock.every(REPORT_US, () => {
    const message = counts.takeReport();
    if (message) taker.report(message);
    const used = usage.takeReport();
    if (used) taker.report(used);
    yard.trim();
  });
  log.info(`Up at ${settings.front}.`);

  return {
    renew: ({ seedNodes }) => taker.renewSeeds(seedNodes),
    stop: async () => {
      const endUs = clock.nowUs() + settings.graceUs - END_MARGIN_US;
      log.info("Leaving.");
      leaving = true;
      front.beginLeaving();
      await rest(clock, Math.min(NOTICE_US, (settings.graceUs - END_MARGIN_US) / 2));
      front.stopListening();
      while (front.openRequests > 0 && clock.nowUs() < endUs) {
        await rest(clock, 50 * MS);
        front.closeIdle();
      }
      report.stop();
      rolloutReport.stop();
      goods?.stop();
      taker.stop();
      relay.close();
      ready.close();
    },
  };
};
