import type { Clock, Timer } from "../common/clock.js";
import type { RequestContext } from "./request-context.js";
import type { Worker } from "./connection-pool.js";

interface Waiting {
  readonly trip: RequestContext;
  readonly rank: number;
  readonly take: (worker: Worker | undefined) => void;
}

const MOST_WAITING = 128;

/**
 * Lets a request through once some worker has room for it; a lower rank number goes first.
 * Invariants: nothing waits while a worker would be chosen for it, nothing waits longer than its own short wait, and
 * the line is bounded: when it is full, the last of the lowest rank is refused at once.
 */
export class AdmissionQueue {
  private waiting: Waiting[] = [];
  private scheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly choose: (context: RequestContext) => Worker | undefined,
  ) {}

  readonly pass = (context: RequestContext, waitUs: number): Promise<Worker | undefined> => {
    const worker = this.choose(context);
    if (worker || waitUs <= 0) return Promise.resolve(worker);
    return new Promise((resolve) => {
      const rank = context.route?.rank ?? 0;
      const entry: Waiting = {
        trip: context,
        rank,
        take: (chosen) => {
          timer.stop();
          this.waiting = this.waiting.filter((other) => other !== entry);
          resolve(chosen);
        },
      };
      const timer: Timer = this.clock.after(waitUs, () => entry.take(undefined));
      const at = this.waiting.findIndex((other) => other.rank > rank);
      this.waiting.splice(at < 0 ? this.waiting.length : at, 0, entry);
      context.onFinished.push(() => entry.take(undefined));
      if (this.waiting.length > MOST_WAITING)
        this.waiting[this.waiting.length - 1]?.take(undefined);
    });
  };

  /** Room may have come: looks again, once for all that happens in one turn. */
  readonly wake = (): void => {
    if (this.scheduled || this.waiting.length === 0) return;
    this.scheduled = true;
    setImmediate(() => {
      this.scheduled = false;
      this.waiting.forEach((entry) => {
        const worker = this.choose(entry.trip);
        if (worker) entry.take(worker);
      });
    });
  };
}
