/** The gateway program: joins the cluster and serves requests until it is stopped. */
import { sleep, type Clock } from "../../common/clock.js";
import { MILLISECOND_US } from "../../common/duration.js";
import { loggerFor, type Logger } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { ProxyServer } from "../../proxy/proxy-server.js";
import { joinCluster } from "../data-plane-node.js";
import { serveApi } from "../http-api.js";
import type { RunningProgram } from "../running-program.js";
import { adminRoutes } from "./admin-api.js";
import { gatewayMetrics } from "./metrics.js";
import { openDataPlane, type DataPlane } from "./data-plane.js";
import { nodeQueryHandlers } from "./node-queries.js";
import type { GatewayObjectCache, GatewayObjectCacheOptions } from "./object-cache.js";
import { startReports } from "./reports.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** Buffered bodies use at most 1/n of the memory. */
const BUFFER_MEMORY_DIVISOR = 4;
/**
 * How long connections are still accepted after SIGTERM, so that everyone who checks readiness has
 * seen that this node is not ready.
 */
const DRAIN_NOTICE_US = 2_800 * MILLISECOND_US;
/** Part of the grace period that is reserved for closing the remaining connections. */
const SHUTDOWN_MARGIN_US = 400 * MILLISECOND_US;
const DRAIN_CHECK_US = 50 * MILLISECOND_US;

/**
 * The kind of deployment with an object cache and idempotency keys; other kinds do not load that
 * code.
 */
const CONTENT_DEPLOYMENT = "content";
const openObjectCache = async (options: GatewayObjectCacheOptions): Promise<GatewayObjectCache> =>
  (await import("./object-cache.js")).openGatewayObjectCache(options);

const openProxyServer = (
  settings: Settings,
  clock: Clock,
  dataPlane: DataPlane,
  objectCache: GatewayObjectCache | undefined,
  isBehind: () => boolean,
): ProxyServer => {
  const { canary, faults, load, outcomes, requestCounters } = dataPlane;
  const { zone } = settings;
  return new ProxyServer({
    clock,
    log: loggerFor("proxy"),
    zone,
    bufferMemoryBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / BUFFER_MEMORY_DIVISOR,
    routes: dataPlane.routes,
    customers: dataPlane.customers,
    shards: dataPlane.shards,
    workers: dataPlane.workers,
    retryBudgets: dataPlane.retryBudgets,
    isBehind,
    connectionShare: dataPlane.connectionShare,
    countFault: faults.count,
    countOutcome: outcomes.count,
    countCanaryOutcome: (route, service, stratum, outcome) =>
      canary.count(route.name, route.version, service, `${zone}|${stratum}`, outcome),
    countAttempt: requestCounters.record,
    random: Math.random,
    loadCounters: load,
    actsOnForecast: settings.forecastActs,
    ...(objectCache
      ? { objects: objectCache.objects, idempotency: objectCache.idempotencyClient }
      : {}),
  });
};

/**
 * Stops accepting connections once others have seen that this node is not ready, waits until the
 * clients' connections have ended, and cuts those that are left at the deadline.
 */
const drain = async (
  server: ProxyServer,
  clock: Clock,
  graceUs: number,
  log: Logger,
): Promise<void> => {
  const deadlineUs = clock.nowUs() + graceUs - SHUTDOWN_MARGIN_US;
  server.startDraining();
  await sleep(clock, Math.min(DRAIN_NOTICE_US, (graceUs - SHUTDOWN_MARGIN_US) / 2));
  server.stopListening();
  while (server.openConnections > 0 && clock.nowUs() < deadlineUs)
    await sleep(clock, DRAIN_CHECK_US);
  const { openRequests } = server;
  log.info("draining ended", { ...server.countConnections(), openRequests });
  server.cutConnections();
};

/** Starts a gateway. Resolves once it listens. */
export const runGateway = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("gateway");
  let objectCache: GatewayObjectCache | undefined;
  const node = joinCluster(
    settings,
    clock,
    "gateway",
    { goods: (...session) => objectCache?.serveObjects(...session) ?? Promise.resolve() },
    (query) => answerQuery(query),
  );
  const { updates, subscriber, relay } = node;
  const dataPlane = openDataPlane(settings, clock, node);
  const { workers, routes, outcomes } = dataPlane;
  const answerQuery = nodeQueryHandlers({ ...dataPlane, node: settings.name, zone: settings.zone });
  if (settings.deployment === CONTENT_DEPLOYMENT)
    objectCache = await openObjectCache({
      ...dataPlane,
      settings,
      clock,
      updates,
      subscriber,
      countFault: dataPlane.faults.count,
    });
  const isBehind = () => node.lag.isBehind() || !dataPlane.isComplete();
  const server = openProxyServer(settings, clock, dataPlane, objectCache, isBehind);
  dataPlane.subscribe(server);
  let isStopping = false;
  const isReady = (): boolean =>
    !isStopping &&
    !isBehind() &&
    !workers.isDrained(settings.zone) &&
    routes.isLoaded &&
    workers.size > 0;
  const objectCacheCounters = () => objectCache?.objects.snapshot() ?? {};
  const adminApi = await serveApi(
    settings.ready,
    adminRoutes({ isReady, outcomes, workers, objectCacheCounters }),
  );
  await server.listen(settings.front);
  await relay.listen(settings.ip, settings.relayPort);
  void subscriber.run();
  const reports = startReports({ ...dataPlane, clock, subscriber });
  log.info("gateway is listening", { address: settings.front });

  return {
    metrics: gatewayMetrics({ dataPlane, node, server }),
    applySettings: ({ seedNodes }) => subscriber.setSeeds(seedNodes),
    stop: async () => {
      log.info("gateway is shutting down");
      isStopping = true;
      await drain(server, clock, settings.graceUs, log);
      reports.stop();
      objectCache?.stop();
      subscriber.stop();
      relay.close();
      adminApi.close();
    },
  };
};
