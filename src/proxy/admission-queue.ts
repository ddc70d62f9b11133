/** Queue of requests waiting for a worker with free capacity. */
import type { Clock, Timer } from "../common/clock.js";
import type { Worker } from "./worker.js";
import { priorityOf } from "./request-priority.js";
import type { RequestContext } from "./request-context.js";

interface QueuedRequest {
  readonly context: RequestContext;
  readonly priority: number;
  readonly settle: (worker: Worker | undefined) => void;
}

const MAX_QUEUED_REQUESTS = 128;

/**
 * Admits a request as soon as a worker has capacity for it. Lower priority numbers are admitted
 * first. Invariants: no request waits while a worker is available for it, no request waits longer
 * than the wait it was admitted with, and the queue is bounded. When the queue is full, the last
 * request of the lowest priority is released at once without a worker.
 */
export class AdmissionQueue {
  private queue: QueuedRequest[] = [];
  private isScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly choose: (context: RequestContext) => Worker | undefined,
  ) {}

  /**
   * Resolves to a worker for the request, or to undefined if none had capacity within the wait or
   * the request finished in the meantime.
   */
  readonly admit = (context: RequestContext, waitUs: number): Promise<Worker | undefined> => {
    const worker = this.choose(context);
    if (worker || waitUs <= 0) return Promise.resolve(worker);
    return new Promise((resolve) => {
      const priority = priorityOf(context);
      const entry: QueuedRequest = {
        context,
        priority,
        settle: (chosen) => {
          timer.stop();
          this.queue = this.queue.filter((other) => other !== entry);
          resolve(chosen);
        },
      };
      const timer: Timer = this.clock.after(waitUs, () => entry.settle(undefined));
      const at = this.queue.findIndex((other) => other.priority > priority);
      this.queue.splice(at < 0 ? this.queue.length : at, 0, entry);
      context.onFinished.push(() => entry.settle(undefined));
      if (this.queue.length > MAX_QUEUED_REQUESTS)
        this.queue[this.queue.length - 1]?.settle(undefined);
    });
  };

  /**
   * Retries the queued requests after capacity may have become available. Multiple calls within one
   * turn of the event loop are coalesced.
   */
  readonly wake = (): void => {
    if (this.isScheduled || this.queue.length === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.queue.forEach((entry) => {
        const worker = this.choose(entry.context);
        if (worker) entry.settle(worker);
      });
    });
  };
}
