import { LoadBalancer } from "../../src/proxy/load-balancer.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import type { Worker } from "../../src/proxy/worker.js";
import { WORKER_PREFIX, type Update } from "../../src/membership/update-store.js";
import type { Clock } from "../../src/common/clock.js";

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
 * Events in the order of their time, in a binary heap, with a clock that jumps from one to the
 * next.
 */
export class Timeline implements Clock {
  private timeUs = 1_000_000;
  private order = 0;
  private readonly heap: {
    readonly atUs: number;
    readonly order: number;
    readonly act: () => void;
  }[] = [];

  readonly nowUs = (): number => this.timeUs;

  readonly after = (waitUs: number, act: () => void): { readonly stop: () => void } => {
    let stopped = false;
    this.order += 1;
    this.push({
      atUs: this.timeUs + Math.max(0, waitUs),
      order: this.order,
      act: () => (stopped ? undefined : act()),
    });
    return { stop: () => void (stopped = true) };
  };

  readonly every = (gapUs: number, act: () => void): { readonly stop: () => void } => {
    let stopped = false;
    const again = () => {
      if (stopped) return;
      this.after(gapUs, again);
      act();
    };
    this.after(gapUs, again);
    return { stop: () => void (stopped = true) };
  };

  readonly runUntil = (untilUs: number): void => {
    for (let next = this.heap[0]; next !== undefined && next.atUs <= untilUs; next = this.heap[0]) {
      this.pop();
      this.timeUs = Math.max(this.timeUs, next.atUs);
      next.act();
    }
    this.timeUs = Math.max(this.timeUs, untilUs);
  };

  private readonly isBefore = (one: number, other: number): boolean => {
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
      let at = this.heap.length - 1;
      at > 0 && this.isBefore(at, (at - 1) >> 1);
      at = (at - 1) >> 1
    )
      this.swap(at, (at - 1) >> 1);
  };

  private readonly pop = (): void => {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    for (let at = 0; ;) {
      const child = this.isBefore(2 * at + 2, 2 * at + 1) ? 2 * at + 2 : 2 * at + 1;
      if (!this.isBefore(child, at)) return;
      this.swap(child, at);
      at = child;
    }
  };
}

export interface FleetTerms {
  readonly seed: number;
  readonly cells: number;
  readonly nodesACell: number;
  readonly workersACell: number;
  readonly slots: number;
  readonly queue: number;
  readonly meanUs: number;
  readonly spread: number;
  readonly speeds: readonly number[];
  /** The part of all slots in use, were every call of the mean length. */
  readonly usedPart: number;
  /** How uneven the nodes' traffic is: the busiest has this many times the least busy one's. */
  readonly unevenness: number;
  readonly aimUs: number;
}

export const FLEET_TERMS: FleetTerms = {
  seed: 1,
  cells: 7,
  nodesACell: 28,
  workersACell: 21,
  slots: 2,
  queue: 8,
  meanUs: 180_000,
  spread: 0.8,
  speeds: [0.6, 1, 1.4],
  usedPart: 0.6,
  unevenness: 2,
  aimUs: 600_000,
};

interface Job {
  readonly node: SimNode;
  readonly worker: Worker;
  readonly sentUs: number;
  readonly done: (tookUs: number, kind: "answered" | "reset") => void;
}

/**
 * A worker of the simulation: slots, a queue, a speed, and a reset for what comes when both are
 * full.
 */
export class SimWorker {
  running = 0;
  served = 0;
  slowness = 1;
  readonly queued: Job[] = [];

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly fleet: SimFleet,
    readonly speed: number,
  ) {}

  readonly offer = (job: Job): void => {
    const { terms } = this.fleet;
    if (this.running < terms.slots) this.start(job);
    else if (this.queued.length < terms.queue) this.queued.push(job);
    else job.done(0, "reset");
  };

  private readonly start = (job: Job): void => {
    const { timeline, terms } = this.fleet;
    this.running += 1;
    timeline.after(this.fleet.drawUs() * this.speed * this.slowness, () => {
      this.running -= 1;
      this.served += 1;
      const next = this.queued.shift();
      if (next) this.start(next);
      job.worker.reportLoad(this.running, this.queued.length, terms.slots);
      job.done(timeline.nowUs() - job.sentUs, "answered");
    });
  };
}

export class SimNode {
  readonly pool: WorkerDirectory;
  readonly chooser: LoadBalancer;
  /** Every choice, in order, so that two runs can be compared. */
  readonly chosen: string[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly weight: number,
    readonly fleet: SimFleet,
    random: () => number,
  ) {
    const { terms } = fleet;
    this.pool = new WorkerDirectory(fleet.timeline, name, zone);
    this.pool.setNodeCount({ inZone: terms.nodesACell, total: terms.nodesACell * terms.cells });
    this.chooser = new LoadBalancer({
      workers: this.pool,
      zone,
      random,
      connectionShare: () => 6,
    });
  }
}

export interface Sent {
  readonly atUs: number;
  readonly node: string;
  readonly worker: string;
  readonly tookUs: number;
  readonly kind: "answered" | "reset" | "refused";
}

/**
 * Nodes that choose with the real yard and chooser among workers of one service, without sockets.
 */
export class SimFleet {
  readonly timeline = new Timeline();
  readonly workers = new Map<string, SimWorker>();
  readonly nodes: SimNode[] = [];
  readonly sent: Sent[] = [];
  /** Hears of each call as it is sent. */
  onSent: (node: string, worker: string) => void = () => undefined;
  private readonly random: () => number;
  private version = 0;

  constructor(readonly terms: FleetTerms) {
    this.random = seeded(terms.seed);
    for (let zone = 0; zone < terms.cells; zone += 1) {
      for (let node = 0; node < terms.nodesACell; node += 1) {
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
            seeded(terms.seed * 1_000 + this.nodes.length),
          ),
        );
      }
    }
    for (let cell = 0; cell < terms.cells; cell += 1)
      for (let worker = 0; worker < terms.workersACell; worker += 1)
        this.add(`w-${cell}-${worker}`, `c${cell}`);
  }

  /** A log-normal time with the wanted mean. */
  readonly drawUs = (): number => {
    const { meanUs, spread } = this.terms;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return meanUs * Math.exp(spread * normal - (spread * spread) / 2);
  };

  readonly add = (id: string, zone: string): void => {
    const { speeds } = this.terms;
    this.workers.set(
      id,
      new SimWorker(id, zone, this, speeds[this.workers.size % speeds.length] ?? 1),
    );
    this.tell(id, zone, "ready");
  };

  readonly retire = (id: string): void => this.tell(id, this.workers.get(id)?.zone ?? "", "gone");

  readonly start = (): void => this.nodes.forEach((node) => this.arrive(node));

  private readonly tell = (id: string, zone: string, state: string): void => {
    this.version += 1;
    const fact: Update = {
      key: WORKER_PREFIX + id,
      version: this.version,
      tie: "",
      sinceUs: this.timeline.nowUs(),
      body: {
        service: "s",
        address: "127.0.0.1:1",
        cell: zone,
        capacity: this.terms.slots,
        state,
        warmUs: 0,
      },
    };
    this.nodes.forEach((node) => node.pool.applyUpdates([fact]));
  };

  private readonly arrive = (node: SimNode): void => {
    const { usedPart, slots, meanUs, speeds } = this.terms;
    const total = this.nodes.reduce((sum, { weight }) => sum + weight, 0);
    const workers = this.terms.cells * this.terms.workersACell;
    const speed = speeds.reduce((sum, one) => sum + 1 / one, 0) / speeds.length;
    const perUs = (((usedPart * workers * slots) / meanUs) * speed * node.weight) / total;
    this.timeline.after(-Math.log(1 - this.random()) / perUs, () => {
      this.send(node);
      this.arrive(node);
    });
  };

  private readonly send = (node: SimNode): void => {
    const sentUs = this.timeline.nowUs();
    const worker = node.chooser.choose("s", new Set(), this.terms.aimUs);
    if (!worker)
      return void this.sent.push({
        atUs: sentUs,
        node: node.name,
        worker: "",
        tookUs: 0,
        kind: "refused",
      });
    node.chosen.push(worker.id);
    this.onSent(node.name, worker.id);
    const call = worker.begin();
    this.workers.get(worker.id)?.offer({
      node,
      worker,
      sentUs,
      done: (tookUs, kind) => {
        worker.finish(call, true);
        if (kind === "answered") worker.latency.record(tookUs);
        else worker.avoid();
        this.sent.push({ atUs: sentUs, node: node.name, worker: worker.id, tookUs, kind });
      },
    });
  };
}
