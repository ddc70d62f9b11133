import type { Worker, Yard } from "./yard.js";

export interface ChooserOptions {
  readonly yard: Yard;
  readonly cell: string;
  readonly random: () => number;
  /** How many connections this node may hold to one worker of the service. */
  readonly connectionShare: (service: string) => number;
  /** How many other nodes choose among the workers of this cell, and among all. */
  readonly otherNodes: () => { readonly here: number; readonly everywhere: number };
}

/** Beyond this many calls for each slot a worker is left alone, since a full one resets connections. */
const FULL_AT = 2;
/** A call to another cell must be quicker by this part of the aim: it costs time and bytes between cells. */
const FAR_PART = 5;

/** Own cell first, two choices by usage; another cell where that is plainly quicker or the own one has no room. */
export class Chooser {
  constructor(private readonly options: ChooserOptions) {}

  readonly choose = (service: string, tried: ReadonlySet<string>, aimUs: number): Worker | undefined => {
    const { yard, cell, connectionShare } = this.options;
    const share = connectionShare(service);
    const usable = yard
      .of(service)
      .filter((worker) => worker.state === "ready" && !tried.has(worker.id) && worker.hasRoom(share) && worker.usage(this.othersOf(worker)) < worker.capacity * FULL_AT);
    const wanted = usable.filter((worker) => !worker.isShunned() && !yard.isEjected(worker));
    const near = this.better(wanted.filter((worker) => worker.cell === cell && worker.cell !== yard.shiftedCell));
    const far = this.better(wanted.filter((worker) => worker.cell !== cell && worker.cell !== yard.shiftedCell));
    if (near && far) return this.costUs(near) <= this.costUs(far) + aimUs / FAR_PART ? near : far;
    return near ?? far ?? this.better(wanted) ?? this.better(usable.filter((worker) => !worker.isShunned()));
  };

  private readonly othersOf = (worker: Worker): number => {
    const { here, everywhere } = this.options.otherNodes();
    return worker.cell === this.options.cell ? here : everywhere;
  };

  private readonly costUs = (worker: Worker): number => worker.guessUs(this.othersOf(worker));

  /** The better of two drawn at random. */
  private readonly better = (workers: readonly Worker[]): Worker | undefined => {
    const first = workers[Math.floor(this.options.random() * workers.length)];
    if (!first || workers.length < 2) return first;
    const others = workers.filter((worker) => worker !== first);
    const second = others[Math.floor(this.options.random() * others.length)];
    return second && this.costUs(second) < this.costUs(first) ? second : first;
  };
}
