import type { Clock, Timer } from "../src/common/clock.js";

interface Due {
  readonly atUs: number;
  readonly order: number;
  readonly act: () => void;
  isOff: boolean;
}

/** How many events run before the event loop's own round: only promises must settle between two, which they do. */
const STEPS_A_ROUND = 64;

/**
 * Virtual time. Invariants: events run in the order of their time, and of their making where that is the same; between
 * two events every promise that can settle has settled.
 */
export class World {
  private time = 0;
  private made = 0;
  private readonly heap: Due[] = [];

  readonly nowUs = (): number => this.time;

  /** How many events there were or will be. */
  readonly count = (): number => this.made;

  readonly at = (atUs: number, act: () => void): Due => {
    this.made += 1;
    const due: Due = { atUs: Math.max(atUs, this.time), order: this.made, act, isOff: false };
    const { heap } = this;
    let place = heap.length;
    heap.push(due);
    while (place > 0) {
      const up = (place - 1) >> 1;
      const above = heap[up];
      if (!above || !isBefore(due, above)) break;
      heap[place] = above;
      place = up;
    }
    heap[place] = due;
    return due;
  };

  readonly after = (waitUs: number, act: () => void): Due =>
    this.at(this.time + Math.max(0, Math.round(waitUs)), act);

  /** Runs all that is due up to a moment; rejects with what an event throws. */
  readonly run = (untilUs: number): Promise<void> =>
    new Promise((resolve, reject) => {
      let over = false;
      const step = () => {
        if (over) return;
        while (this.heap[0]?.isOff === true) this.pop();
        const next = this.heap[0];
        if (!next || next.atUs > untilUs) {
          over = true;
          this.time = untilUs;
          resolve();
          return;
        }
        this.pop();
        this.time = next.atUs;
        try {
          next.act();
        } catch (error) {
          over = true;
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      };
      const round = () => {
        if (over) return;
        for (let count = 0; count < STEPS_A_ROUND; count += 1) setImmediate(step);
        setImmediate(round);
      };
      round();
    });

  /** A clock whose timers run through a gate, which may hold them back or drop them. */
  readonly clockBehind = (gate: (act: () => void) => void): Clock => {
    const after = (waitUs: number, act: () => void): Timer => {
      const due = this.after(waitUs, () =>
        gate(() => {
          if (!due.isOff) act();
        }),
      );
      return {
        stop: () => {
          due.isOff = true;
        },
      };
    };
    const every = (gapUs: number, act: () => void): Timer => {
      let timer: Timer = { stop: () => undefined };
      let stopped = false;
      const again = () => {
        if (stopped) return;
        timer = after(gapUs, again);
        act();
      };
      timer = after(gapUs, again);
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
    let place = 0;
    for (;;) {
      const left = heap[2 * place + 1];
      const right = heap[2 * place + 2];
      if (!left) break;
      const takesRight = right !== undefined && isBefore(right, left);
      const below = takesRight ? right : left;
      if (!isBefore(below, last)) break;
      heap[place] = below;
      place = 2 * place + (takesRight ? 2 : 1);
    }
    heap[place] = last;
  };
}

const isBefore = (one: Due, other: Due): boolean =>
  one.atUs < other.atUs || (one.atUs === other.atUs && one.order < other.order);
