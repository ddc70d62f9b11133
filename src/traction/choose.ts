import type { Worker, Yard } from "./yard.js";

export interface ChooserOptions {
  readonly yard: Yard;
  readonly cell: string;
  readonly random: () => number;
  /** How many connections this node may hold to one worker of the service. */
  readonly connectionShare: (service: string) => number;
  /** How many other nodes choose among the workers of this cell, and among all. */
  /** Whether what the forecast says is acted on. */
  readonly acts?: boolean;
  readonly otherNodes: () => { readonly here: number; readonly everywhere: number };
}

/** Beyond this many calls for each slot a worker is left alone, since a full one resets connections. */
const FULL_AT = 2;
/** The same for safe requests while the forecast warns: the rest is kept for those that can't be repeated. */
const PRESSED_AT = 1.5;
/** A call to another cell must be quicker by this part of the aim: it costs time and bytes between cells. */
const FAR_PART = 5;

/** Own cell first, two choices by usage; another cell where that is plainly quicker or the own one has no room. */
export class Chooser {
  constructor(private readonly options: ChooserOptions) {}

  readonly choose = (service: string, tried: ReadonlySet<string>, aimUs: number, isSafe = true): Worker | undefined => {
    const { yard, cell, connectionShare, random } = this.options;
    const share = connectionShare(service);
    const avoided = yard.avoidedCell(isSafe, random);
    const fullAt = isSafe && this.options.acts === true && yard.pressure(service) !== "" ? PRESSED_AT : FULL_AT;
    const usable = yard
      .of(service)
      .filter((worker) => worker.state === "ready" && !tried.has(worker.id) && worker.hasRoom(share) && worker.usage(this.othersOf(worker)) < worker.capacity * fullAt);
    const wanted = usable.filter((worker) => !worker.isShunned() && !yard.isEjected(worker));
    const near = this.better(wanted.filter((worker) => worker.cell === cell && worker.cell !== avoided));
    const far = this.better(wanted.filter((worker) => worker.cell !== cell && worker.cell !== avoided));
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
