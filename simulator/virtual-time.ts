/** Virtual time: runs scheduled events in order of their time, without waiting. */
import type { Clock, Timer } from "../src/common/clock.js";

interface ScheduledEvent {
  readonly atUs: number;
  readonly sequence: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/**
 * How many events are queued per iteration of the event loop. The microtask queue is drained
 * between two `setImmediate` callbacks, so promises still settle between two events of a batch.
 */
const EVENTS_PER_BATCH = 64;

/**
 * A discrete-event scheduler. Invariants: events run in order of their time, and those with the
 * same time in the order in which they were scheduled; between two events every promise that can
 * settle has settled.
 */
export class VirtualTime {
  private currentUs = 0;
  private scheduledCount = 0;
  private readonly heap: ScheduledEvent[] = [];

  readonly nowUs = (): number => this.currentUs;

  /** The number of events scheduled so far, whether or not they have run. */
  readonly eventCount = (): number => this.scheduledCount;

  readonly at = (atUs: number, work: () => void): ScheduledEvent => {
    this.scheduledCount += 1;
    const event: ScheduledEvent = {
      atUs: Math.max(atUs, this.currentUs),
      sequence: this.scheduledCount,
      run: work,
      isCancelled: false,
    };
    const { heap } = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = heap[parent];
      if (!parentEvent || !isBefore(event, parentEvent)) break;
      heap[index] = parentEvent;
      index = parent;
    }
    heap[index] = event;
    return event;
  };

  readonly after = (waitUs: number, work: () => void): ScheduledEvent =>
    this.at(this.currentUs + Math.max(0, Math.round(waitUs)), work);

  /** Runs the events due up to and including `untilUs`; rejects with the error that one throws. */
  readonly run = (untilUs: number): Promise<void> =>
    new Promise((resolve, reject) => {
      let isOver = false;
      const step = () => {
        if (isOver) return;
        while (this.heap[0]?.isCancelled === true) this.pop();
        const next = this.heap[0];
        if (!next || next.atUs > untilUs) {
          isOver = true;
          this.currentUs = untilUs;
          resolve();
          return;
        }
        this.pop();
        this.currentUs = next.atUs;
        try {
          next.run();
        } catch (error) {
          isOver = true;
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      };
      const runBatch = () => {
        if (isOver) return;
        for (let count = 0; count < EVENTS_PER_BATCH; count += 1) setImmediate(step);
        setImmediate(runBatch);
      };
      runBatch();
    });

  /** Returns a clock whose timers run through `execute`, which may delay or drop them. */
  readonly clockThrough = (execute: (work: () => void) => void): Clock => {
    const after = (waitUs: number, work: () => void): Timer => {
      const event = this.after(waitUs, () =>
        execute(() => {
          if (!event.isCancelled) work();
        }),
      );
      return {
        stop: () => {
          event.isCancelled = true;
        },
      };
    };
    const every = (intervalUs: number, work: () => void): Timer => {
      let timer: Timer = { stop: () => undefined };
      let stopped = false;
      const again = () => {
        if (stopped) return;
        timer = after(intervalUs, again);
        work();
      };
      timer = after(intervalUs, again);
      return {
        stop: () => {
          stopped = true;
          timer.stop();
        },
      };
    };
    return { nowUs: this.nowUs, after, every };
  };

  private readonly pop = (): void => {
    const { heap } = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const left = heap[2 * index + 1];
      const right = heap[2 * index + 2];
      if (!left) break;
      const isRightSmaller = right !== undefined && isBefore(right, left);
      const child = isRightSmaller ? right : left;
      if (!isBefore(child, last)) break;
      heap[index] = child;
      index = 2 * index + (isRightSmaller ? 2 : 1);
    }
    heap[index] = last;
  };
}

const isBefore = (one: ScheduledEvent, other: ScheduledEvent): boolean =>
  one.atUs < other.atUs || (one.atUs === other.atUs && one.sequence < other.sequence);
