import { MS } from "../trackbed/span.js";
import type { Worker, Yard } from "./yard.js";

export interface ChooserOptions {
  readonly yard: Yard;
  readonly cell: string;
  readonly random: () => number;
  /** How many connections this node may hold to one worker of the service. */
  readonly connectionShare: (service: string) => number;
}

/** A call to another cell costs this much more, in time and in bytes between cells. */
const FAR_US = 8 * MS;
/** Beyond this many calls for each slot a worker is left alone, since a full one resets connections. */
const FULL_AT = 2;

/** Own cell first, two choices by usage; other cells once the own one would keep the call waiting. */
export class Chooser {
  constructor(private readonly options: ChooserOptions) {}

  readonly choose = (service: string, tried: ReadonlySet<string>): Worker | undefined => {
    const { yard, cell, connectionShare } = this.options;
    const share = connectionShare(service);
    const usable = yard
      .of(service)
      .filter((worker) => worker.state === "ready" && !tried.has(worker.id) && worker.hasRoom(share) && worker.usage() < worker.capacity * FULL_AT);
    const wanted = usable.filter((worker) => !worker.isShunned() && !yard.isEjected(worker));
    const near = wanted.filter((worker) => worker.cell === cell && worker.cell !== yard.shiftedCell);
    const far = wanted.filter((worker) => worker.cell !== cell && worker.cell !== yard.shiftedCell);
    const nearest = this.better(near);
    if (nearest && nearest.usage() < nearest.capacity) return nearest;
    const farther = this.better(far);
    if (nearest && farther) return this.costUs(nearest) <= this.costUs(farther) ? nearest : farther;
    return nearest ?? farther ?? this.better(wanted) ?? this.better(usable.filter((worker) => !worker.isShunned()));
  };

  private readonly costUs = (worker: Worker): number => worker.guessUs() + (worker.cell === this.options.cell ? 0 : FAR_US);

  /** The better of two drawn at random. */
  private readonly better = (workers: readonly Worker[]): Worker | undefined => {
    const first = workers[Math.floor(this.options.random() * workers.length)];
    if (!first || workers.length < 2) return first;
    const others = workers.filter((worker) => worker !== first);
    const second = others[Math.floor(this.options.random() * others.length)];
    return second && this.costUs(second) < this.costUs(first) ? second : first;
  };
}
