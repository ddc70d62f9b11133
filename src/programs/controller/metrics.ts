/** Metrics of the controller. */
import { countByKind, isConfigKey } from "../../config/config-keys.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import type { UpdateStore } from "../../membership/update-store.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { ApiCallCounts } from "../api-call-counts.js";
import type { LabelledValue, Metric } from "../metrics-server.js";
import type { QuorumFreshness } from "./quorum-freshness.js";

/** Dependencies of {@link controllerMetrics}. */
export interface ControllerMetricsOptions {
  readonly store: ReplicatedStore;
  readonly registry: WorkerRegistry;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly sessions: NodeSessions;
  readonly peers: Peers;
  readonly freshness: QuorumFreshness;
  readonly calls: ApiCallCounts;
}

const countItems = (store: ReplicatedStore): readonly LabelledValue[] => {
  const keys = store
    .committedRegisters()
    .filter(({ key, dropped }) => isConfigKey(key) && !dropped)
    .map(({ key }) => key);
  return Object.entries(countByKind(keys)).map(([kind, value]) => ({ labels: { kind }, value }));
};

const storeMetrics = ({ store, freshness }: ControllerMetricsOptions): readonly Metric[] => [
  {
    name: "yewreel_voting",
    help: "1 while this replica takes part in quorums.",
    read: () => Number(store.isVoting),
  },
  {
    name: "yewreel_quorum_contact_age_microseconds",
    help: "Time since a majority last answered.",
    read: freshness.contactAgeUs,
  },
  {
    name: "yewreel_config_version",
    help: "The highest version of any committed configuration item known here.",
    read: () =>
      store
        .committedRegisters()
        .filter(({ key }) => isConfigKey(key))
        .reduce((highest, { version }) => Math.max(highest, version), 0),
  },
  {
    name: "yewreel_config_items",
    help: "Committed configuration items known here, without removed ones, by kind.",
    labels: ["kind"],
    read: () => countItems(store),
  },
];

const fleetMetrics = ({
  registry,
  updates,
  publisher,
  sessions,
  peers,
  calls,
}: ControllerMetricsOptions): readonly Metric[] => [
  {
    name: "yewreel_updates",
    help: "Updates for nodes: configuration items, workers, decisions.",
    read: () => updates.size,
  },
  {
    name: "yewreel_direct_children",
    help: "Nodes that this controller sends updates to itself.",
    read: () => publisher.size,
  },
  {
    name: "yewreel_sessions",
    help: "Nodes with a session here.",
    read: () => sessions.size,
  },
  {
    name: "yewreel_connected_controllers",
    help: "Controllers with a link to this one, itself included.",
    read: () => peers.connectedControllers().length,
  },
  {
    name: "yewreel_workers_warming_up",
    help: "Workers whose last heartbeat announced a warm-up that has not ended.",
    read: () => registry.warmingUp,
  },
  {
    name: "yewreel_api_calls",
    help: "Calls of workers and operators since the start, by route and outcome.",
    labels: ["route", "outcome"],
    read: calls.values,
  },
];

/** Returns the metrics of a controller. */
export const controllerMetrics = (options: ControllerMetricsOptions): readonly Metric[] => [
  ...storeMetrics(options),
  ...fleetMetrics(options),
];
