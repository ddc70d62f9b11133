/** What is still to happen in a scenario, on a clock that can skip. */
import type { SkippingClock } from "./proxy-harness.js";

const MS = 1_000;

/** Acts at their times, in order; nothing happens until `runDue` is called. */
export class Schedule {
  private readonly entries: { readonly atUs: number; readonly act: () => void }[] = [];

  constructor(private readonly clock: SkippingClock) {}

  /** Schedules an act so many milliseconds from now. */
  readonly after = (waitMs: number, act: () => void): void => {
    this.entries.push({ atUs: this.clock.nowUs() + waitMs * MS, act });
    this.entries.sort((one, other) => one.atUs - other.atUs);
  };

  /** Runs all that is due up to a time, moving the clock on to each act's own time. */
  readonly runDue = (untilUs: number): void => {
    for (let next = this.entries[0]; next && next.atUs <= untilUs; next = this.entries[0]) {
      this.entries.shift();
      this.clock.skip(Math.max(0, next.atUs - this.clock.nowUs()));
      next.act();
    }
  };
}
