/**
 * State of the data plane on one gateway: routes, workers, counters and budgets, kept current by
 * updates.
 */
import type { Clock } from "../../common/clock.js";
import type { Settings } from "../../common/settings.js";
import { CanaryCounters } from "../../health/canary-counters.js";
import { FaultCounters } from "../../health/fault-counters.js";
import { LoadCounters } from "../../health/load-counters.js";
import type { ClusterSize } from "../../membership/cluster.js";
import type { ProxyServer } from "../../proxy/proxy-server.js";
import { RequestCounters } from "../../proxy/request-counters.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import { CustomerDirectory } from "../../proxy/customer-directory.js";
import { RouteTable } from "../../proxy/route-table.js";
import type { NodeCount } from "../../proxy/subset.js";
import { ShardDirectory } from "../../proxy/shard-directory.js";
import { WorkerDirectory } from "../../proxy/worker-directory.js";
import { loggerFor } from "../../common/logger.js";
import { CONFIG_PREFIX, CUSTOMER_PREFIX, type Update } from "../../membership/update-store.js";
import type { DataPlaneNode } from "../data-plane-node.js";
import { InitialLoad } from "./initial-load.js";
import { warmUpLimits } from "../warm-up-limits.js";
import { OutcomeCounts } from "./outcome-counts.js";
import { openRetryBudgets } from "./retry-budgets.js";

/** The state that requests are served with. */
export interface DataPlane {
  readonly routes: RouteTable;
  readonly customers: CustomerDirectory;
  readonly shards: ShardDirectory;
  /** Whether the first configuration has been received as a whole. */
  readonly isComplete: () => boolean;
  readonly workers: WorkerDirectory;
  readonly faults: FaultCounters;
  readonly canary: CanaryCounters;
  readonly load: LoadCounters;
  readonly requestCounters: RequestCounters;
  readonly outcomes: OutcomeCounts;
  readonly retryBudgets: RetryBudgets;
  /** Identifies this run of the process in its reports. */
  readonly incarnation: string;
  /**
   * Maximum number of connections from this node to one worker of a service: an equal share of the
   * service's limit.
   */
  readonly connectionShare: (service: string) => number;
  /**
   * Subscribes to updates and to the cluster's size, applies them, and notifies the server of
   * changes.
   */
  readonly subscribe: (server: ProxyServer) => void;
}

const DEFAULT_MAX_CONNECTIONS = 16;

const logApplied = (
  changed: readonly Update[],
  tookUs: number,
  { subscriber, publisher }: Pick<DataPlaneNode, "subscriber" | "publisher">,
): void => {
  const items = changed.filter(
    ({ key }) => key.startsWith(CONFIG_PREFIX) || key.startsWith(CUSTOMER_PREFIX),
  );
  if (items.length === 0) return;
  loggerFor("data-plane").info("configuration applied", {
    items: items.length,
    version: Math.max(...items.map(({ version }) => version)),
    tookUs,
    parent: subscriber.parentRelay,
    children: publisher.size,
  });
};

/** Lets the server act on changed limits, health decisions and workers. */
const notifyServer = (server: ProxyServer, isZoneDrained: boolean): void => {
  server.applyLimits();
  server.setZoneDrained(isZoneDrained);
  server.wake();
};

const nodeCountOf = ({ zones, gateways }: ClusterSize, zone: string): NodeCount => ({
  inZone: Math.max(1, zones[zone] ?? 1),
  total: Math.max(1, gateways),
});

/** Opens the data plane's state, which is empty until updates arrive. */
export const openDataPlane = (
  settings: Settings,
  clock: Clock,
  { updates, subscriber, publisher }: Pick<DataPlaneNode, "updates" | "subscriber" | "publisher">,
): DataPlane => {
  const routes = new RouteTable();
  const customers = new CustomerDirectory();
  const shards = new ShardDirectory();
  const initialLoad = new InitialLoad(subscriber, () => routes.isLoaded);
  const workers = new WorkerDirectory(clock, settings.name, settings.zone, {
    warmUpLimitOf: warmUpLimits(routes, settings.warmUpTolerance),
  });
  const incarnation = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const faults = new FaultCounters(incarnation);
  const canary = new CanaryCounters(incarnation);
  let clusterSize: ClusterSize = { gateways: 1, zones: {} };

  const subscribe = (server: ProxyServer): void => {
    updates.events.on("changed", (changed) => {
      const beganUs = clock.nowUs();
      customers.applyUpdates(changed);
      shards.applyUpdates(changed);
      routes.applyUpdates(changed);
      workers.applyUpdates(changed);
      canary.retain(routes.isCurrent);
      notifyServer(server, workers.isDrained(settings.zone));
      logApplied(changed, clock.nowUs() - beganUs, { subscriber, publisher });
    });
    updates.events.on("forgotten", (keys) => {
      workers.removeKeys(keys);
      keys.forEach((key) => faults.remove(key));
    });
    subscriber.events.on("clusterSize", (size) => {
      clusterSize = size;
      workers.setNodeCount(nodeCountOf(size, settings.zone));
    });
  };

  return {
    routes,
    customers,
    shards,
    isComplete: initialLoad.isComplete,
    workers,
    faults,
    canary,
    load: new LoadCounters(incarnation),
    requestCounters: new RequestCounters(clock),
    outcomes: new OutcomeCounts(settings.zone),
    retryBudgets: openRetryBudgets(settings, clock, updates, subscriber, incarnation),
    incarnation,
    connectionShare: (service) => {
      const limit = routes.service(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
      return Math.max(1, Math.floor(limit / Math.max(1, clusterSize.gateways)));
    },
    subscribe,
  };
};
