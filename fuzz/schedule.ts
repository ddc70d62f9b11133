/** The pending actions of a scenario, on a clock that can skip ahead. */
import type { SkippingClock } from "./proxy-harness.js";

const MS = 1_000;

/** Runs actions in order of their time, and only when `runDue` is called. */
export class Schedule {
  private readonly entries: { readonly atUs: number; readonly act: () => void }[] = [];

  constructor(private readonly clock: SkippingClock) {}

  /** Schedules an action `waitMs` milliseconds from now. */
  readonly after = (waitMs: number, act: () => void): void => {
    this.entries.push({ atUs: this.clock.nowUs() + waitMs * MS, act });
    this.entries.sort((one, other) => one.atUs - other.atUs);
  };

  /** Runs the actions due up to a time, and advances the clock to the time of each. */
  readonly runDue = (untilUs: number): void => {
    for (let next = this.entries[0]; next && next.atUs <= untilUs; next = this.entries[0]) {
      this.entries.shift();
      this.clock.skip(Math.max(0, next.atUs - this.clock.nowUs()));
      next.act();
    }
  };
}
