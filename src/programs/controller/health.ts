/**
 * The health of workers and zones, judged by the lease holder: outliers, canaries, capacity, and
 * maintenance windows. What nodes report goes to the holder: a report comes in with a node's
 * session, and is forwarded where this controller doesn't hold the lease.
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

/** What the health subsystem works on. */
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

/** What decides something as the lease holder, by the name that operators ask for it by. */
type Explanations = Readonly<Record<string, () => unknown>>;

/** The open health subsystem. */
export interface Health {
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
  /** Answers to operators' questions; asked of the lease holder where this controller isn't it. */
  readonly queries: Readonly<Record<string, () => Promise<unknown>>>;
  readonly start: () => void;
  readonly close: () => void;
}

interface ReportReceiver {
  readonly receive: (report: Message) => void;
}

/** Hands the reports of nodes to their receivers at the lease holder. */
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
 * What only the lease holder knows is asked of the holder; where it isn't reached, this
 * controller's own view is given.
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

/** Opens what judges the health of workers and zones. Nothing is judged before `start`. */
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
