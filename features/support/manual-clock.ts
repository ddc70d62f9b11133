import type { Clock, Timer } from "../../src/common/clock.js";

interface ScheduledCall {
  readonly atUs: number;
  readonly order: number;
  readonly act: () => void;
}

/**
 * Waits for a number of event loop turns, so that pending promises and socket and file events are
 * processed.
 */
export const settle = async (turns = 12): Promise<void> => {
  for (let turn = 0; turn < turns; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** A clock that advances only when told to. */
export class ManualClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  private pending: ScheduledCall[] = [];

  readonly nowUs = (): number => this.time;

  readonly after = (waitUs: number, act: () => void): Timer => {
    this.order += 1;
    const due: ScheduledCall = { atUs: this.time + Math.max(0, waitUs), order: this.order, act };
    this.pending.push(due);
    return {
      stop: () => {
        this.pending = this.pending.filter((other) => other !== due);
      },
    };
  };

  readonly every = (gapUs: number, act: () => void): Timer => {
    let timer: Timer = { stop: () => undefined };
    let stopped = false;
    const tick = () => {
      if (stopped) return;
      timer = this.after(gapUs, tick);
      act();
    };
    timer = this.after(gapUs, tick);
    return {
      stop: () => {
        stopped = true;
        timer.stop();
      },
    };
  };

  /** Advances the time without running due timers, as after a stall of the process. */
  readonly jump = (spanUs: number): void => {
    this.time += spanUs;
  };

  /** Advances the time, running due timers in order and letting each one settle before the next. */
  readonly pass = async (spanUs: number): Promise<void> => {
    const endUs = this.time + spanUs;
    for (;;) {
      const next = this.pending
        .filter((due) => due.atUs <= endUs)
        .sort((a, b) => a.atUs - b.atUs || a.order - b.order)[0];
      if (!next) break;
      this.pending = this.pending.filter((due) => due !== next);
      this.time = Math.max(this.time, next.atUs);
      next.act();
      await settle(2);
    }
    this.time = endUs;
    await settle();
  };
}
