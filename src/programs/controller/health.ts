/**
 * The health subsystem: outlier detection, canary analysis, capacity forecast and maintenance
 * windows, all of which decide on the leader only. A node sends its reports to the controller that
 * it has a session with; any other controller than the leader forwards them to the leader.
 */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { readString } from "../../common/decode.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import type { ApiRoute } from "../http-api.js";
import { openCanaries } from "./canaries.js";
import { createForecaster } from "./capacity-forecasts.js";
import type { Consensus } from "./consensus.js";
import { openMaintenanceWindows } from "./maintenance-windows.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { NODE_REPORT } from "./node-messages.js";
import { openOutlierDetection } from "./outlier-detection.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import type { PublishedState } from "./published-state.js";

/** Dependencies of {@link openHealth}. */
export interface HealthOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
  readonly peers: Peers;
  readonly registry: WorkerRegistry;
  readonly sessions: NodeSessions;
  readonly published: PublishedState;
  /** The zones of all workers and nodes. */
  readonly zones: () => readonly string[];
}

/** Functions that describe the leader's decisions, by query topic. */
type Explanations = Readonly<Record<string, () => unknown>>;

/** The health subsystem with its message handlers, routes and queries. */
export interface Health {
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
  /** Handlers of operators' queries, which are forwarded to the leader from other controllers. */
  readonly queries: Readonly<Record<string, () => Promise<unknown>>>;
  readonly start: () => void;
  readonly close: () => void;
}

interface ReportReceiver {
  readonly receive: (report: Message) => void;
}

/** Delivers the reports of nodes to their receivers on the leader. */
const routeReports = (
  { lease, askHolder, sessions }: HealthOptions,
  receivers: ReadonlyMap<string, ReportReceiver>,
): MessageHandlers => {
  sessions.events.on("report", (report) => {
    const receiver = receivers.get(report.kind);
    if (!receiver) return;
    if (lease.isHolder()) receiver.receive(report);
    else void askHolder(report, 0);
  });
  const receive = (report: Message): undefined => {
    receivers.get(report.kind)?.receive(report);
    return undefined;
  };
  return Object.fromEntries([...receivers.keys()].map((kind) => [kind, receive]));
};

/**
 * Creates queries for state that only the leader has. If the leader can't be reached, they return
 * this controller's own view.
 */
const leaderQueries = (
  { lease, askHolder }: HealthOptions,
  explanations: Explanations,
): Pick<Health, "peerHandlers" | "queries"> => {
  const explainAsLeader = async (topic: string): Promise<unknown> =>
    (await lease.confirm()) ? explanations[topic]?.() : undefined;
  const askLeaderToExplain = async (topic: string): Promise<unknown> => {
    const question: Message = { kind: PEER_REQUEST.explain, what: topic };
    return (await askHolder(question, WRITE_TIMEOUT_US))?.["told"];
  };
  const explain = async (topic: string): Promise<unknown> =>
    (await explainAsLeader(topic)) ?? (await askLeaderToExplain(topic)) ?? explanations[topic]?.();
  return {
    peerHandlers: {
      [PEER_REQUEST.explain]: async (message) => ({
        kind: PEER_REPLY.done,
        told: await explainAsLeader(readString(message, "what")),
      }),
    },
    queries: Object.fromEntries(
      Object.keys(explanations).map((topic) => [topic, () => explain(topic)]),
    ),
  };
};

/** Creates the health subsystem. It makes no decisions before `start`. */
export const openHealth = (options: HealthOptions): Health => {
  const { detector, ...outliers } = openOutlierDetection(options);
  const { analyzer, splitRoutes, ...canaries } = openCanaries(options);
  const forecaster = createForecaster(options);
  const { windows, ...maintenance } = openMaintenanceWindows({
    ...options,
    detector,
    longestDeadlineUs: splitRoutes.longestDeadlineUs,
    inFlight: forecaster.inFlight,
  });
  const reportHandlers = routeReports(
    options,
    new Map<string, ReportReceiver>([
      [NODE_REPORT.faults, detector],
      [NODE_REPORT.canary, analyzer],
      [NODE_REPORT.load, forecaster],
    ]),
  );
  const { peerHandlers: explainHandlers, queries } = leaderQueries(options, {
    inspection: detector.explain,
    rollouts: analyzer.explain,
    forecast: forecaster.explain,
    windows: windows.explain,
  });
  const loops = [detector, analyzer, forecaster, windows];
  return {
    peerHandlers: {
      ...outliers.peerHandlers,
      ...canaries.peerHandlers,
      ...maintenance.peerHandlers,
      ...reportHandlers,
      ...explainHandlers,
    },
    routes: [...outliers.routes, ...canaries.routes, ...maintenance.routes],
    queries,
    start: () => loops.forEach((loop) => loop.start()),
    close: () => loops.forEach((loop) => loop.stop()),
  };
};
