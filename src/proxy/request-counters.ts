/**
 * Counters of the requests sent by this node, by service, kind, route and worker, over a sliding
 * window.
 */
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";

/**
 * The number of requests of one kind and route to one worker. Controllers and stored forecasts use
 * these field names.
 */
export interface RequestCount {
  readonly service: string;
  readonly kind: string;
  readonly route: string;
  readonly worker: string;
  readonly count: number;
}

interface Slot {
  readonly sinceUs: number;
  readonly counts: Map<string, number>;
}

/** Length of the sliding window, which is divided into SLOTS slots. */
export const REQUEST_WINDOW_US = 60 * SECOND_US;
const SLOTS = 6;

/** Counts requests over a sliding window. Invariant: nothing older than the window is counted. */
export class RequestCounters {
  private slots: Slot[] = [];
  private readonly sinceUs: number;

  constructor(private readonly clock: Clock) {
    this.sinceUs = clock.nowUs();
  }

  /** Counts one request. */
  readonly record = (service: string, kind: string, route: string, worker: string): void => {
    const { counts } = this.currentSlot();
    const key = `${service}\n${kind}\n${route}\n${worker}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  };

  /**
   * Returns the number of requests to a service, and the time span over which they were counted.
   */
  readonly countsFor = (
    service: string,
  ): { readonly spanUs: number; readonly counts: readonly RequestCount[] } => {
    this.currentSlot();
    const sums = new Map<string, number>();
    this.slots.forEach(({ counts }) =>
      counts.forEach((count, key) => {
        if (key.startsWith(`${service}\n`)) sums.set(key, (sums.get(key) ?? 0) + count);
      }),
    );
    const counts = [...sums].map(([key, count]) => {
      const [, kind = "", route = "", worker = ""] = key.split("\n");
      return { service, kind, route, worker, count };
    });
    return {
      spanUs: this.clock.nowUs() - Math.max(this.sinceUs, this.slots[0]?.sinceUs ?? 0),
      counts,
    };
  };

  private readonly currentSlot = (): Slot => {
    const nowUs = this.clock.nowUs();
    this.slots = this.slots.filter(({ sinceUs }) => nowUs - sinceUs < REQUEST_WINDOW_US);
    const last = this.slots[this.slots.length - 1];
    if (last && nowUs - last.sinceUs < REQUEST_WINDOW_US / SLOTS) return last;
    const slot = { sinceUs: nowUs, counts: new Map<string, number>() };
    this.slots.push(slot);
    return slot;
  };
}
