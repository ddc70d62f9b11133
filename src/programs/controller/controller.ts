/**
 * The controller program, a member of the control plane. `runController` only wires the subsystems,
 * which have modules of their own, and starts and stops them in order. Messages from peers and
 * requests from nodes are dispatched by kind to the handlers that the subsystems register; calls of
 * the admin API are dispatched by route.
 */
import { randomUUID } from "node:crypto";
import { NodeFileSystem } from "../../storage/file-system.js";
import { MessageKind, packHeartbeat, packNode } from "../../membership/messages.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import { UpdatePublisher } from "../../membership/update-publisher.js";
import { UpdateStore } from "../../membership/update-store.js";
import { WorkerRegistry } from "../../membership/worker-registry.js";
import { Listener } from "../../transport/listener.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { KEEP_ALIVE } from "../data-plane-node.js";
import { ApiCallCounts } from "../api-call-counts.js";
import { serveApi, type ApiRoute } from "../http-api.js";
import type { RunningProgram } from "../running-program.js";
import { describeCustomers } from "../../config/customer-keys.js";
import { backendForecastRoutes } from "./backend-forecast.js";
import { configRoutes, publishCommitted } from "./config.js";
import { Evacuations, type EvacuationsOptions } from "./evacuations.js";
import { openConsensus } from "./consensus.js";
import { startControlLoop } from "./control-loop.js";
import { controllerMetrics } from "./metrics.js";
import { queryRoutes, ReplicaStatus, type QueryHandlers } from "./fleet-queries.js";
import { openHealth } from "./health.js";
import { MessageDispatcher } from "./message-dispatcher.js";
import { openNodeSessions } from "./node-sessions.js";
import { openPeers } from "./peers.js";
import { PeerServer } from "./peer-server.js";
import { PublishedState } from "./published-state.js";
import { purgeRoutes } from "./purge-route.js";
import { QuorumReader } from "./quorum-reader.js";
import { RetryQuota } from "./retry-quota.js";
import { restoreWorkers } from "./worker-memory.js";
import { ServiceWarmUps } from "./service-warm-ups.js";
import { Sharding, type ShardingOptions } from "./sharding.js";
import { VisibilityCheck } from "./visibility-check.js";
import { WarmUpPlanner } from "./warm-up-planner.js";
import { openWorkers, type WorkersOptions } from "./workers.js";

/** Opens what is known and decided about workers: heartbeats, warm-ups, evacuations and shards. */
const openWorkerState = (
  shared: Omit<WorkersOptions, "sharding" | "warmUps"> &
    Omit<EvacuationsOptions, "longestWarmUpUs"> &
    Omit<ShardingOptions, "isEvacuated"> & { readonly sessions: NodeSessions },
) => {
  const { store, sessions } = shared;
  const services = new ServiceWarmUps(store);
  const evacuations = new Evacuations({ ...shared, longestWarmUpUs: services.longestUs });
  const warmUps = new WarmUpPlanner({
    ...shared,
    services,
    zoneReturnedUs: evacuations.returnedUs,
    nodes: sessions.nodes,
  });
  const sharding = new Sharding({ ...shared, isEvacuated: evacuations.isEvacuated });
  const workers = openWorkers({ ...shared, sharding, warmUps });
  return { evacuations, sharding, workers };
};

/**
 * Creates the subsystems in order of their dependencies. Nothing is sent or served before they are
 * started.
 */
const openSubsystems = async (settings: Settings, clock: Clock) => {
  const fileSystem = new NodeFileSystem();
  const updates = new UpdateStore(clock);
  const registry = new WorkerRegistry(clock, updates, settings.heartbeatUs);
  const publisher = new UpdatePublisher(clock, updates, registry.isComplete, {
    origin: randomUUID(),
    linkMbps: settings.linkMbps,
  });
  const peers = openPeers(settings, clock);
  const consensus = openConsensus({
    settings,
    clock,
    fileSystem,
    peers,
    // Voters are only added while the controller runs, so `content` has been initialized below by
    // then.
    copyOtherState: async () => (await content?.copyToNewMembers()) ?? true,
  });
  const shared = { settings, clock, fileSystem, updates, registry, publisher, peers, ...consensus };
  const { store, lease } = consensus;
  const published = new PublishedState(store, lease);
  const quorum = new QuorumReader({ ...shared, onRegained: registry.restartListening });
  const visibility = new VisibilityCheck({ peers, quorum });
  const nodes = openNodeSessions({
    ...shared,
    mayServeNodes: quorum.mayServeNodes,
    drainedZone: published.drainedZone,
  });
  const { sessions, queries } = nodes;
  const workerState = openWorkerState({ ...shared, sessions, visibility });
  const content =
    settings.deployment === "content"
      ? (await import("./content.js")).openContent({ ...shared, sessions })
      : undefined;
  publishCommitted(store, updates, sessions);
  const zones = () => [
    ...new Set([...registry.all(), ...sessions.nodes()].map(({ zone }) => zone)),
  ];
  const health = openHealth({ ...shared, sessions, published, zones });
  const retries = new RetryQuota({ ...shared, published, queries });
  const replicaStatus = new ReplicaStatus({
    ...shared,
    self: settings.control,
    freshness: quorum.freshness,
  });
  return {
    ...shared,
    consensus,
    quorum,
    ...workerState,
    nodes,
    content,
    zones,
    health,
    retries,
    replicaStatus,
    visibility,
  };
};

type Subsystems = Awaited<ReturnType<typeof openSubsystems>>;

/**
 * Registers the subsystems' handlers for requests from nodes, and creates the server that
 * dispatches requests from peers.
 */
const openPeerServer = (subsystems: Subsystems): PeerServer => {
  const { consensus, sharding, workers, nodes, content, health, retries } = subsystems;
  const { replicaStatus, visibility, peers } = subsystems;
  nodes.requests.register({ ...retries.nodeHandlers, ...content?.nodeHandlers });
  const requests = new MessageDispatcher(content?.peerFallback);
  [consensus, sharding, workers, nodes, health, retries, replicaStatus, visibility].forEach(
    ({ peerHandlers }) => requests.register(peerHandlers),
  );
  if (content) requests.register(content.peerHandlers);
  return new PeerServer({
    peers,
    sessions: nodes.sessions,
    requests,
    announceToPeers: nodes.announceToPeers,
    log: loggerFor("controller"),
  });
};

/** The routes of the admin API, which serves workers and operators. */
const adminRoutes = (subsystems: Subsystems): readonly ApiRoute[] => {
  const { store, registry, workers, nodes, content, health, retries, replicaStatus, visibility } =
    subsystems;
  const fleetQueries: QueryHandlers = {
    shards: subsystems.sharding.describe,
    evacuations: subsystems.evacuations.describe,
    nodes: () => nodes.sessions.nodes().map(packNode),
    workers: () => registry.all().map(packHeartbeat),
    customers: () => describeCustomers(store.committedRegisters()),
    duty: replicaStatus.describeLeaderLease,
    ...health.queries,
    retries: retries.describeUsage,
    ...content?.queries,
  };
  return [
    ...configRoutes(store, visibility),
    ...workers.routes,
    ...subsystems.evacuations.routes,
    ...purgeRoutes(content?.purge, workers.confirmQuorum),
    ...queryRoutes(store, fleetQueries, { copy: replicaStatus.describeReplica }),
    ...health.routes,
    ...retries.routes,
    ...backendForecastRoutes({ ...subsystems, queries: nodes.queries }),
  ];
};

/**
 * Starts a controller. Resolves once it serves peers, nodes, workers and operators.
 *
 * @returns the running program. Its `stop` first transfers the leader lease and leaves the voter
 *   set, if possible.
 */
export const runController = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("controller");
  const subsystems = await openSubsystems(settings, clock);
  const { store, lease, peers, consensus, nodes, content, health, retries } = subsystems;
  const listener = new Listener(
    clock,
    KEEP_ALIVE,
    {
      [MessageKind.peerHello]: openPeerServer(subsystems).serve,
      [MessageKind.nodeHello]: nodes.sessions.serve,
    },
    loggerFor("listener"),
  );
  await consensus.start();
  await content?.start();
  await restoreWorkers(subsystems);
  await listener.listen(settings.ip, settings.peerPort);
  peers.learn([...settings.seedNodes, ...store.members()]);
  const calls = new ApiCallCounts();
  const apiServer = await serveApi(settings.control, adminRoutes(subsystems), calls);
  const controlLoop = startControlLoop({
    ...subsystems,
    sessions: nodes.sessions,
    refreshRetryLeases: retries.refreshAllocator,
  });
  lease.start();
  health.start();
  subsystems.evacuations.start();
  subsystems.sharding.start();
  log.info("controller started", { address: settings.control });

  return {
    metrics: [
      ...controllerMetrics({
        ...subsystems,
        sessions: nodes.sessions,
        freshness: subsystems.quorum.freshness,
        calls,
      }),
      ...(content?.metrics ?? []),
    ],
    applySettings: ({ seedNodes }) => peers.learn(seedNodes),
    stop: async () => {
      log.info("controller stopping", { address: settings.control });
      health.close();
      subsystems.evacuations.close();
      subsystems.sharding.close();
      await consensus.close();
      controlLoop.close();
      content?.close();
      apiServer.close();
      apiServer.closeIdleConnections();
      listener.close();
      peers.stop();
    },
  };
};
