/**
 * Load balancer: chooses the worker with the least expected latency among a bounded number of
 * candidates of this node's subset (cf. "The Power of Two Choices in Randomized Load Balancing",
 * Mitzenmacher 2001).
 */
import type { Worker } from "./worker.js";
import type { WorkerDirectory } from "./worker-directory.js";

/** Dependencies and options of {@link LoadBalancer}. */
export interface LoadBalancerOptions {
  readonly workers: WorkerDirectory;
  /** The zone of this node. */
  readonly zone: string;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Returns how many connections this node may hold to one worker of the service. */
  readonly connectionShare: (service: string) => number;
  /**
   * Whether safe requests leave capacity unused while the capacity forecast predicts an overload;
   * default false.
   */
  readonly actsOnForecast?: boolean;
}

/**
 * A worker receives no more requests at this load per unit of capacity, since a worker with a full
 * queue resets connections.
 */
const MAX_LOAD_PER_SLOT = 2;
/**
 * The limit for safe requests while the forecast predicts an overload. The remaining capacity is
 * reserved for requests that cannot be retried.
 */
const MAX_LOAD_PER_SLOT_WARNED = 1.5;
/**
 * A remote worker must be faster by this fraction (1/n) of the latency target, to account for
 * latency and traffic between zones.
 */
const REMOTE_PENALTY_DIVISOR = 5;
/** Maximum number of usable candidates that are compared. */
const MAX_CANDIDATES = 9;
/** Weight of each evaluated local worker in the moving average of the local load. */
const LOCAL_LOAD_WEIGHT = 0.05;

type WorkerFilter = (worker: Worker, load: number) => boolean;

/**
 * Chooses workers by expected latency. Invariant: the cost of a choice is bounded by the size of
 * the subset, regardless of the number of workers.
 */
export class LoadBalancer {
  /** The moving average of the load of local workers, by service. */
  private readonly localLoad = new Map<string, number>();

  constructor(private readonly options: LoadBalancerOptions) {}

  /**
   * Returns the worker to send the request to, or undefined if none can accept a request now. Local
   * workers are preferred unless a remote one is clearly faster. The fallbacks are backup workers,
   * then workers in an avoided zone, and finally ejected workers. No fallback goes to a worker in an
   * evacuated zone, or beyond this node's share of the requests to a worker that warms up.
   *
   * @param tried - ids of workers to which this request was already sent
   * @param isSafe - whether the request may run more than once
   */
  readonly choose = (
    service: string,
    tried: ReadonlySet<string>,
    latencyTargetUs: number,
    isSafe = true,
  ): Worker | undefined => {
    const { workers, connectionShare, random } = this.options;
    const maxConnections = connectionShare(service);
    const avoidedZone = workers.avoidedZone(isSafe, random);
    const maxLoadPerSlot =
      isSafe && this.options.actsOnForecast === true && workers.capacityForecast(service) !== ""
        ? MAX_LOAD_PER_SLOT_WARNED
        : MAX_LOAD_PER_SLOT;
    const { local, remote, backup } = workers.subsetFor(service);
    const isUsable: WorkerFilter = (worker, load) =>
      !tried.has(worker.id) &&
      worker.connections.hasCapacity(maxConnections) &&
      worker.maySend() &&
      !worker.isAvoided() &&
      load < worker.capacity * maxLoadPerSlot;
    const isHealthy: WorkerFilter = (worker, load) =>
      isUsable(worker, load) && !workers.isEjected(worker);
    const isPreferred: WorkerFilter = (worker, load) =>
      worker.zone !== avoidedZone && isHealthy(worker, load);
    const bestLocal = this.leastExpectedLatency(local, isPreferred);
    const bestRemote = this.leastExpectedLatency(remote, isPreferred);
    if (bestLocal && bestRemote) {
      const penaltyUs = this.remotePenaltyUs(bestLocal, latencyTargetUs);
      return this.expectedLatencyUs(bestLocal) <= this.expectedLatencyUs(bestRemote) + penaltyUs
        ? bestLocal
        : bestRemote;
    }
    const all = () => [...local, ...remote, ...backup];
    return (
      bestLocal ??
      bestRemote ??
      this.leastExpectedLatency(backup, isPreferred) ??
      this.leastExpectedLatency(all(), isHealthy) ??
      this.leastExpectedLatency(all(), isUsable)
    );
  };

  /**
   * How much faster a remote worker must be to be chosen. A local worker that warms up is used as
   * far as its limit allows, so that the other zones serve only what is beyond it.
   */
  private readonly remotePenaltyUs = (local: Worker, latencyTargetUs: number): number =>
    local.warmUp.isLimited() ? latencyTargetUs : latencyTargetUs / REMOTE_PENALTY_DIVISOR;

  /** Whether a request may be sent to this worker, the only one that may run it, now. */
  readonly canServe = (worker: Worker, tried: ReadonlySet<string>): boolean =>
    !tried.has(worker.id) &&
    worker.state === "ready" &&
    worker.maySend() &&
    worker.connections.hasCapacity(this.options.connectionShare(worker.service)) &&
    !worker.isAvoided() &&
    this.loadOf(worker) < worker.capacity * MAX_LOAD_PER_SLOT;

  /**
   * Returns the load of a worker, including an estimate for other nodes. Other nodes are assumed to
   * use a local worker as much as this node does. A remote worker, which is mainly used by nodes of
   * its own zone, is assumed to be as busy as a local one but to have no queued requests, because a
   * zone at full capacity sends its requests elsewhere.
   */
  private readonly loadOf = (worker: Worker): number => {
    const { workers, zone } = this.options;
    const averageLoad = this.localLoad.get(worker.service) ?? 0;
    if (worker.zone !== zone) return worker.load(Math.min(averageLoad, worker.capacity));
    const otherNodes = Math.max(0, workers.subsetFor(worker.service).nodesPerWorker - 1);
    const load = worker.load(worker.averageInFlight() * otherNodes);
    this.localLoad.set(worker.service, averageLoad + (load - averageLoad) * LOCAL_LOAD_WEIGHT);
    return load;
  };

  private readonly expectedLatencyUs = (worker: Worker): number =>
    worker.expectedLatencyUs(this.loadOf(worker));

  /**
   * Returns the worker with the least expected latency among the first candidates that pass the
   * filter. The search starts at a random position so that equal workers are chosen equally often.
   */
  private readonly leastExpectedLatency = (
    workers: readonly Worker[],
    passes: WorkerFilter,
  ): Worker | undefined => {
    let best: Worker | undefined;
    let bestUs = 0;
    const offset = Math.floor(this.options.random() * workers.length);
    for (let at = 0, compared = 0; at < workers.length && compared < MAX_CANDIDATES; at += 1) {
      const worker = workers[(offset + at) % workers.length];
      if (!worker) continue;
      const load = this.loadOf(worker);
      if (!passes(worker, load)) continue;
      compared += 1;
      const expectedUs = worker.expectedLatencyUs(load);
      if (best && expectedUs >= bestUs) continue;
      best = worker;
      bestUs = expectedUs;
    }
    return best;
  };
}
