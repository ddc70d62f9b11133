/**
 * Chooses a worker for a request: the one with the least expected latency among a bounded number of
 * candidates of this node's subset (cf. "The Power of Two Choices in Randomized Load Balancing",
 * Mitzenmacher 2001).
 */
import type { Worker } from "./worker.js";
import type { WorkerDirectory } from "./worker-directory.js";

/** What the load balancer of a node is made with. */
export interface LoadBalancerOptions {
  readonly workers: WorkerDirectory;
  /** The zone of this node. */
  readonly zone: string;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** How many connections this node may hold to one worker of the service. */
  readonly connectionShare: (service: string) => number;
  /**
   * Whether safe requests leave room while the capacity forecast warns of an overload; default
   * false.
   */
  readonly actsOnForecast?: boolean;
}

/** A worker gets no more requests at this load per slot, since a full one resets connections. */
const MAX_LOAD_PER_SLOT = 2;
/**
 * The same for safe requests while the forecast warns; the rest is left to requests that can't be
 * repeated.
 */
const MAX_LOAD_PER_SLOT_WARNED = 1.5;
/**
 * A remote worker must be faster by this fraction (1/n) of the latency target, for the time and
 * bytes between zones.
 */
const REMOTE_PENALTY_DIVISOR = 5;
/** How many usable candidates are compared. */
const MAX_CANDIDATES = 9;
/** Weight of each local worker looked at in the average local load. */
const LOCAL_LOAD_WEIGHT = 0.05;

type WorkerFilter = (worker: Worker, load: number) => boolean;

/** Invariant: the work for a request is bounded by the subset, whatever the number of workers. */
export class LoadBalancer {
  /** The average load of this node's local workers lately, by service. */
  private readonly localLoad = new Map<string, number>();

  constructor(private readonly options: LoadBalancerOptions) {}

  /**
   * The worker to send to, or undefined if none can take a request now. Local workers come first,
   * unless a remote one is clearly faster; then backups; then workers in an avoided zone, and at
   * last ejected ones.
   *
   * @param tried - ids of workers that this request was sent to already
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
      !worker.isAvoided() &&
      load < worker.capacity * maxLoadPerSlot;
    const isHealthy: WorkerFilter = (worker, load) =>
      isUsable(worker, load) && !workers.isEjected(worker);
    const isPreferred: WorkerFilter = (worker, load) =>
      worker.zone !== avoidedZone && isHealthy(worker, load);
    const bestLocal = this.leastExpectedLatency(local, isPreferred);
    const bestRemote = this.leastExpectedLatency(remote, isPreferred);
    if (bestLocal && bestRemote) {
      const penaltyUs = latencyTargetUs / REMOTE_PENALTY_DIVISOR;
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
   * The load of a worker, with an assumption about other nodes. They are assumed to use a local
   * worker as much as this node does. A remote one, which the nodes of its own zone use most, is
   * assumed to be as busy as a local one but to have no requests waiting, since a zone that is full
   * must look elsewhere.
   */
  private readonly loadOf = (worker: Worker): number => {
    const { workers, zone } = this.options;
    const averageLoad = this.localLoad.get(worker.service) ?? 0;
    if (worker.zone !== zone) return worker.load(Math.min(averageLoad, worker.capacity));
    const otherNodes = workers.subsetFor(worker.service).nodesPerWorker - 1;
    const load = worker.load(worker.averageInFlight() * otherNodes);
    this.localLoad.set(worker.service, averageLoad + (load - averageLoad) * LOCAL_LOAD_WEIGHT);
    return load;
  };

  private readonly expectedLatencyUs = (worker: Worker): number =>
    worker.expectedLatencyUs(this.loadOf(worker));

  /**
   * The fastest of the first candidates that pass the filter, from a random position on, so that
   * equals take turns.
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
