import { LoadBalancer } from "../../src/proxy/load-balancer.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import type { Worker } from "../../src/proxy/worker.js";
import { WORKER_PREFIX, type Update } from "../../src/membership/update-store.js";
import { chooseSenders, planSenders, type WarmUpLimit } from "../../src/membership/warm-up.js";
import type { NodeWarmUpLimit } from "../../src/proxy/warm-up.js";
import { SECOND_US } from "../../src/common/duration.js";
import type { Clock } from "../../src/common/clock.js";

/** Returns a deterministic pseudo-random generator (mulberry32) of numbers in [0, 1). */
export const seeded = (seed: number): (() => number) => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

/**
 * Clock of a discrete-event simulation. Runs events in order of time, and of insertion at equal
 * times, from a binary heap; time jumps from one event to the next.
 */
export class Timeline implements Clock {
  private currentUs = 1_000_000;
  private lastOrder = 0;
  private readonly heap: {
    readonly atUs: number;
    readonly order: number;
    readonly act: () => void;
  }[] = [];

  readonly nowUs = (): number => this.currentUs;

  readonly after = (delayUs: number, callback: () => void): { readonly stop: () => void } => {
    let stopped = false;
    this.lastOrder += 1;
    this.push({
      atUs: this.currentUs + Math.max(0, delayUs),
      order: this.lastOrder,
      act: () => (stopped ? undefined : callback()),
    });
    return { stop: () => void (stopped = true) };
  };

  readonly every = (intervalUs: number, callback: () => void): { readonly stop: () => void } => {
    let stopped = false;
    const fire = () => {
      if (stopped) return;
      this.after(intervalUs, fire);
      callback();
    };
    this.after(intervalUs, fire);
    return { stop: () => void (stopped = true) };
  };

  /** Runs all events up to and including the given time. */
  readonly runUntil = (untilUs: number): void => {
    for (let next = this.heap[0]; next !== undefined && next.atUs <= untilUs; next = this.heap[0]) {
      this.pop();
      this.currentUs = Math.max(this.currentUs, next.atUs);
      next.act();
    }
    this.currentUs = Math.max(this.currentUs, untilUs);
  };

  private readonly isEarlier = (one: number, other: number): boolean => {
    const [a, b] = [this.heap[one], this.heap[other]];
    return (
      a !== undefined &&
      b !== undefined &&
      (a.atUs < b.atUs || (a.atUs === b.atUs && a.order < b.order))
    );
  };

  private readonly swap = (one: number, other: number): void => {
    const [a, b] = [this.heap[one], this.heap[other]];
    if (a === undefined || b === undefined) return;
    this.heap[one] = b;
    this.heap[other] = a;
  };

  private readonly push = (event: {
    readonly atUs: number;
    readonly order: number;
    readonly act: () => void;
  }): void => {
    this.heap.push(event);
    for (
      let index = this.heap.length - 1;
      index > 0 && this.isEarlier(index, (index - 1) >> 1);
      index = (index - 1) >> 1
    )
      this.swap(index, (index - 1) >> 1);
  };

  private readonly pop = (): void => {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    for (let index = 0; ;) {
      const child = this.isEarlier(2 * index + 2, 2 * index + 1) ? 2 * index + 2 : 2 * index + 1;
      if (!this.isEarlier(child, index)) return;
      this.swap(child, index);
      index = child;
    }
  };
}

/** Size, capacity and load of a {@link SimFleet}. */
export interface FleetOptions {
  readonly seed: number;
  readonly zones: number;
  readonly nodesPerZone: number;
  readonly workersPerZone: number;
  /** Calls that a worker runs at the same time. */
  readonly slots: number;
  /** Calls that a worker queues when all its slots are in use. */
  readonly queueLimit: number;
  /** Mean duration of a call on a worker with factor 1. */
  readonly meanUs: number;
  /** Standard deviation of the logarithm of the call duration. */
  readonly logStdDev: number;
  /** Factors on the call duration, assigned to the workers in turn. */
  readonly durationFactors: readonly number[];
  /** Fraction of all slots in use if each call took the mean duration of its worker. */
  readonly utilization: number;
  /** Ratio of the traffic of the busiest node to that of the least busy one. Not read so far. */
  readonly unevenness: number;
  readonly latencyTargetUs: number;
}

/** A fleet of 7 zones with 28 nodes and 21 workers each, at 60% utilization. */
export const DEFAULT_FLEET_OPTIONS: FleetOptions = {
  seed: 1,
  zones: 7,
  nodesPerZone: 28,
  workersPerZone: 21,
  slots: 2,
  queueLimit: 8,
  meanUs: 180_000,
  logStdDev: 0.8,
  durationFactors: [0.6, 1, 1.4],
  utilization: 0.6,
  unevenness: 2,
  latencyTargetUs: 600_000,
};

/** Factor on the durations of a worker that warms up. */
const COLD_SLOWDOWN = 2;
/** What a worker can take while it warms up. */
export const WARM_UP_LIMIT: WarmUpLimit = { durationUs: 3 * SECOND_US, requestsPerS: 2.7 };
/** At most 2.7 x 1.5 + 8 = 12.05 requests within a second. */
const WARM_UP_SENDERS = planSenders(WARM_UP_LIMIT, { excess: 1.5, slack: 8 });
const WARM_UP: NodeWarmUpLimit = {
  durationUs: WARM_UP_LIMIT.durationUs,
  senders: WARM_UP_SENDERS,
};

/** A call that a node sent to a worker. */
interface SimCall {
  readonly node: SimNode;
  readonly worker: Worker;
  readonly sentUs: number;
  readonly done: (tookUs: number, kind: "answered" | "reset") => void;
}

/**
 * Simulated worker with a number of slots, a bounded queue and its own call duration. Resets calls
 * that arrive when slots and queue are full.
 */
export class SimWorker {
  running = 0;
  served = 0;
  slowdown = 1;
  readonly queued: SimCall[] = [];

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly fleet: SimFleet,
    readonly durationFactor: number,
  ) {}

  readonly offer = (call: SimCall): void => {
    const { options } = this.fleet;
    if (this.running < options.slots) this.start(call);
    else if (this.queued.length < options.queueLimit) this.queued.push(call);
    else call.done(0, "reset");
  };

  private readonly start = (call: SimCall): void => {
    const { timeline, options } = this.fleet;
    this.running += 1;
    timeline.after(this.fleet.sampleDurationUs() * this.durationFactor * this.slowdown, () => {
      this.running -= 1;
      this.served += 1;
      const next = this.queued.shift();
      if (next) this.start(next);
      call.worker.reportLoad(this.running, this.queued.length, options.slots);
      call.done(timeline.nowUs() - call.sentUs, "answered");
    });
  };
}

/** Simulated node with the real worker directory and load balancer. */
export class SimNode {
  readonly directory: WorkerDirectory;
  readonly loadBalancer: LoadBalancer;
  /** The ids of the chosen workers in order, so that two runs can be compared. */
  readonly chosenWorkers: string[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly weight: number,
    readonly fleet: SimFleet,
    random: () => number,
  ) {
    const { options } = fleet;
    this.directory = new WorkerDirectory(fleet.timeline, name, zone, {
      warmUpLimitOf: () => WARM_UP,
    });
    this.directory.setNodeCount({
      inZone: options.nodesPerZone,
      total: options.nodesPerZone * options.zones,
    });
    this.loadBalancer = new LoadBalancer({
      workers: this.directory,
      zone,
      random,
      connectionShare: () => 6,
    });
  }
}

/** Record of a call: when and by which node it was sent, to which worker, and its result. */
export interface CallRecord {
  readonly atUs: number;
  readonly node: string;
  readonly worker: string;
  readonly tookUs: number;
  readonly kind: "answered" | "reset" | "refused";
}

/**
 * Simulation, without sockets, of nodes that distribute calls to the workers of one service. Uses the
 * real worker directory and load balancer.
 */
export class SimFleet {
  readonly timeline = new Timeline();
  readonly workers = new Map<string, SimWorker>();
  readonly nodes: SimNode[] = [];
  readonly calls: CallRecord[] = [];
  /** Called for each call when it is sent. */
  onCall: (node: string, worker: string) => void = () => undefined;
  private readonly random: () => number;
  private version = 0;

  constructor(readonly options: FleetOptions) {
    this.random = seeded(options.seed);
    for (let zone = 0; zone < options.zones; zone += 1) {
      for (let node = 0; node < options.nodesPerZone; node += 1) {
        const weight =
          0.15 +
          Array.from({ length: 40 }, () => (this.random() < 0.15 ? 1 : 0)).reduce<number>(
            (a, b) => a + b,
            0,
          );
        this.nodes.push(
          new SimNode(
            `n-${zone}-${node}`,
            `c${zone}`,
            weight,
            this,
            seeded(options.seed * 1_000 + this.nodes.length),
          ),
        );
      }
    }
    for (let zone = 0; zone < options.zones; zone += 1)
      for (let worker = 0; worker < options.workersPerZone; worker += 1)
        this.add(`w-${zone}-${worker}`, `c${zone}`);
  }

  /** Samples a call duration from a log-normal distribution with mean `meanUs`. */
  readonly sampleDurationUs = (): number => {
    const { meanUs, logStdDev } = this.options;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return meanUs * Math.exp(logStdDev * normal - (logStdDev * logStdDev) / 2);
  };

  /** Adds a worker and announces it to all nodes as ready. */
  readonly add = (id: string, zone: string): void => {
    const { durationFactors } = this.options;
    this.workers.set(
      id,
      new SimWorker(
        id,
        zone,
        this,
        durationFactors[this.workers.size % durationFactors.length] ?? 1,
      ),
    );
    this.publishWorker(id, zone, "ready");
  };

  /** Announces to all nodes that the worker is gone. Calls that it holds still complete. */
  readonly retire = (id: string): void =>
    this.publishWorker(id, this.workers.get(id)?.zone ?? "", "gone");

  /** Lets all workers of a zone turn cold, which doubles their durations, and announces it. */
  readonly turnCold = (zone: string, warmUs: number): void =>
    [...this.workers.values()]
      .filter((worker) => worker.zone === zone)
      .forEach((worker) => {
        worker.slowdown = COLD_SLOWDOWN;
        this.timeline.after(warmUs, () => {
          worker.slowdown = 1;
        });
        this.publishWorker(worker.id, zone, "ready", warmUs);
      });

  /** Starts the arrivals at all nodes. */
  readonly start = (): void => this.nodes.forEach((node) => this.scheduleArrival(node));

  private readonly publishWorker = (id: string, zone: string, state: string, warmUs = 0): void => {
    this.version += 1;
    const update: Update = {
      key: WORKER_PREFIX + id,
      version: this.version,
      tie: "",
      sinceUs: this.timeline.nowUs(),
      body: {
        service: "s",
        address: "127.0.0.1:1",
        cell: zone,
        capacity: this.options.slots,
        state,
        warmUs,
        ...(warmUs > 0 ? { senders: this.sendersOf(id, zone) } : {}),
      },
    };
    this.nodes.forEach((node) => node.directory.applyUpdates([update]));
  };

  private readonly sendersOf = (id: string, zone: string): readonly string[] =>
    chooseSenders(
      { id, zone },
      this.nodes.map(({ name, zone: nodeZone }) => ({
        name,
        zone: nodeZone,
        relay: "",
        role: "gateway",
        linkMbps: 0,
      })),
      WARM_UP_SENDERS.count,
    );

  /** Schedules the node's arrivals as a Poisson process with a rate in proportion to its weight. */
  private readonly scheduleArrival = (node: SimNode): void => {
    const { utilization, slots, meanUs, durationFactors } = this.options;
    const totalWeight = this.nodes.reduce((sum, { weight }) => sum + weight, 0);
    const workers = this.options.zones * this.options.workersPerZone;
    const meanSpeed =
      durationFactors.reduce((sum, factor) => sum + 1 / factor, 0) / durationFactors.length;
    const arrivalsPerUs =
      (((utilization * workers * slots) / meanUs) * meanSpeed * node.weight) / totalWeight;
    this.timeline.after(-Math.log(1 - this.random()) / arrivalsPerUs, () => {
      this.send(node);
      this.scheduleArrival(node);
    });
  };

  private readonly send = (node: SimNode): void => {
    const sentUs = this.timeline.nowUs();
    const worker = node.loadBalancer.choose("s", new Set(), this.options.latencyTargetUs);
    if (!worker?.trySend())
      return void this.calls.push({
        atUs: sentUs,
        node: node.name,
        worker: "",
        tookUs: 0,
        kind: "refused",
      });
    node.chosenWorkers.push(worker.id);
    this.onCall(node.name, worker.id);
    const call = worker.begin();
    this.workers.get(worker.id)?.offer({
      node,
      worker,
      sentUs,
      done: (tookUs, kind) => {
        worker.finish(call, true);
        if (kind === "answered") worker.latency.record(tookUs);
        else worker.avoid();
        this.calls.push({ atUs: sentUs, node: node.name, worker: worker.id, tookUs, kind });
      },
    });
  };
}
