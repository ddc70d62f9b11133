import type { Worker } from "./worker.js";
import type { WorkerDirectory } from "./worker-directory.js";

export interface LoadBalancerOptions {
  readonly workers: WorkerDirectory;
  readonly zone: string;
  readonly random: () => number;
  /** How many connections this node may hold to one worker of the service. */
  readonly connectionShare: (service: string) => number;
  /** Whether what the forecast says is acted on. */
  readonly actsOnForecast?: boolean;
}

/** Beyond this many calls for each slot a worker is left alone, since a full one resets connections. */
const FULL_AT = 2;
/** The same for safe requests while the forecast warns: the rest is kept for those that can't be repeated. */
const PRESSED_AT = 1.5;
/** A call to another cell must be quicker by this part of the aim: it costs time and bytes between cells. */
const FAR_PART = 5;
/** Of so many workers that fit the quickest is taken. */
const LOOKS = 9;
/** How much each look at a near worker weighs in what is assumed of far ones. */
const LOOK_WEIGHT = 0.05;

type Fits = (worker: Worker, usage: number) => boolean;

/**
 * Among the workers of this node's subset the one that would answer soonest, by guess; another cell's where that is
 * plainly quicker or the own one has no room. Invariant: the work for a request is bounded by the subset.
 */
export class LoadBalancer {
  /** The usage of this node's near workers of late, by service. */
  private readonly localLoad = new Map<string, number>();

  constructor(private readonly options: LoadBalancerOptions) {}

  readonly choose = (
    service: string,
    tried: ReadonlySet<string>,
    latencyTargetUs: number,
    isSafe = true,
  ): Worker | undefined => {
    const { workers: pool, connectionShare, random } = this.options;
    const share = connectionShare(service);
    const avoided = pool.avoidedZone(isSafe, random);
    const fullAt =
      isSafe && this.options.actsOnForecast === true && pool.capacityForecast(service) !== ""
        ? PRESSED_AT
        : FULL_AT;
    const { local: near, remote: far, backup: spare } = pool.subsetFor(service);
    const isUsable: Fits = (worker, usage) =>
      !tried.has(worker.id) &&
      worker.connections.hasCapacity(share) &&
      !worker.isAvoided() &&
      usage < worker.capacity * fullAt;
    const isWanted: Fits = (worker, usage) => isUsable(worker, usage) && !pool.isEjected(worker);
    const isWantedThere: Fits = (worker, usage) =>
      worker.zone !== avoided && isWanted(worker, usage);
    const here = this.leastExpectedLatency(near, isWantedThere);
    const there = this.leastExpectedLatency(far, isWantedThere);
    if (here && there)
      return this.expectedLatencyUs(here) <=
        this.expectedLatencyUs(there) + latencyTargetUs / FAR_PART
        ? here
        : there;
    const all = () => [...near, ...far, ...spare];
    return (
      here ??
      there ??
      this.leastExpectedLatency(spare, isWantedThere) ??
      this.leastExpectedLatency(all(), isWanted) ??
      this.leastExpectedLatency(all(), isUsable)
    );
  };

  /**
   * Others are assumed to use a near worker as much as this node does. Of a far one, which its own cell's nodes use most,
   * it is assumed that it is as busy as a near one, but not that it has calls waiting: a full cell must look elsewhere.
   */
  private readonly loadOf = (worker: Worker): number => {
    const { workers: pool, zone } = this.options;
    const usual = this.localLoad.get(worker.service) ?? 0;
    if (worker.zone !== zone) return worker.load(Math.min(usual, worker.capacity));
    const usage = worker.load(
      worker.averageInFlight() * (pool.subsetFor(worker.service).nodesPerWorker - 1),
    );
    this.localLoad.set(worker.service, usual + (usage - usual) * LOOK_WEIGHT);
    return usage;
  };

  private readonly expectedLatencyUs = (worker: Worker): number =>
    worker.expectedLatencyUs(this.loadOf(worker));

  /** The quickest of some that fit, looked for from a random place on, so that equals take turns. */
  private readonly leastExpectedLatency = (
    workers: readonly Worker[],
    fits: Fits,
  ): Worker | undefined => {
    let best: Worker | undefined;
    let bestUs = 0;
    const from = Math.floor(this.options.random() * workers.length);
    for (let at = 0, looks = 0; at < workers.length && looks < LOOKS; at += 1) {
      const worker = workers[(from + at) % workers.length];
      if (!worker) continue;
      const usage = this.loadOf(worker);
      if (!fits(worker, usage)) continue;
      looks += 1;
      const tookUs = worker.expectedLatencyUs(usage);
      if (best && tookUs >= bestUs) continue;
      best = worker;
      bestUs = tookUs;
    }
    return best;
  };
}
