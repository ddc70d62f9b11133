/**
 * Counts of the requests that this node sent, by service, kind, route and worker, over a sliding
 * window.
 */
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";

/** The field names are those that controllers and stored forecasts read. */
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

/** The window; counts are kept for a sixth of it at a time. */
export const REQUEST_WINDOW_US = 60 * SECOND_US;
const SLOTS = 6;

/** Invariant: nothing older than the window is counted. */
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

  /** The requests to a service, and the time over which they were counted. */
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
