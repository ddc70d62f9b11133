import type { Clock, Timer } from "../../src/common/clock.js";

interface Due {
  readonly atUs: number;
  readonly order: number;
  readonly act: () => void;
}

/**
 * Lets everything that is ready to run, run: promises, and the event loop's turn for sockets and
 * files.
 */
export const settle = async (turns = 12): Promise<void> => {
  for (let turn = 0; turn < turns; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** A clock that stands still until it is moved on. */
export class ManualClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  private due: Due[] = [];

  readonly nowUs = (): number => this.time;

  readonly after = (waitUs: number, act: () => void): Timer => {
    this.order += 1;
    const due: Due = { atUs: this.time + Math.max(0, waitUs), order: this.order, act };
    this.due.push(due);
    return {
      stop: () => {
        this.due = this.due.filter((other) => other !== due);
      },
    };
  };

  readonly every = (gapUs: number, act: () => void): Timer => {
    let timer: Timer = { stop: () => undefined };
    let stopped = false;
    const again = () => {
      if (stopped) return;
      timer = this.after(gapUs, again);
      act();
    };
    timer = this.after(gapUs, again);
    return {
      stop: () => {
        stopped = true;
        timer.stop();
      },
    };
  };

  /**
   * As a process sees it that was frozen: time has passed, and nothing that fell due has run yet.
   */
  readonly jump = (spanUs: number): void => {
    this.time += spanUs;
  };

  /** Moves on, running what falls due in its order, and lets each settle before the next. */
  readonly pass = async (spanUs: number): Promise<void> => {
    const endUs = this.time + spanUs;
    for (;;) {
      const next = this.due
        .filter((due) => due.atUs <= endUs)
        .sort((a, b) => a.atUs - b.atUs || a.order - b.order)[0];
      if (!next) break;
      this.due = this.due.filter((due) => due !== next);
      this.time = Math.max(this.time, next.atUs);
      next.act();
      await settle(2);
    }
    this.time = endUs;
    await settle();
  };
}
