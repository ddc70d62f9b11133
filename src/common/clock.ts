/** A timer that can be stopped. */
export interface Timer {
  readonly stop: () => void;
}

/** The only source of time. It never tells the time of day: no decision uses wall time. */
export interface Clock {
  readonly nowUs: () => number;
  readonly after: (waitUs: number, act: () => void) => Timer;
  readonly every: (gapUs: number, act: () => void) => Timer;
}

/**
 * The monotonic clock of the process. Delays are rounded up to whole milliseconds, so a timer is
 * never early by rounding.
 */
export class SteadyClock implements Clock {
  readonly nowUs = (): number => Math.round(performance.now() * 1_000);

  readonly after = (waitUs: number, act: () => void): Timer => {
    const timer = setTimeout(act, Math.max(0, Math.ceil(waitUs / 1_000)));
    return { stop: () => clearTimeout(timer) };
  };

  readonly every = (gapUs: number, act: () => void): Timer => {
    const timer = setInterval(act, Math.max(1, Math.ceil(gapUs / 1_000)));
    return { stop: () => clearInterval(timer) };
  };
}

/** Resolves once `waitUs` microseconds have passed on the clock. */
export const sleep = (clock: Clock, waitUs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.after(waitUs, resolve);
  });

/** An act that is put off a little, and done once for all who asked for it meanwhile. */
export const debounce = (clock: Clock, gatherUs: number, act: () => void): (() => void) => {
  let isDue = false;
  return () => {
    if (isDue) return;
    isDue = true;
    clock.after(gatherUs, () => {
      isDue = false;
      act();
    });
  };
};

/**
 * Work done once for all who ask within `gatherUs` of the first. It begins after each of them has
 * asked.
 */
export const coalesce = <R>(
  clock: Clock,
  gatherUs: number,
  work: () => Promise<R>,
): (() => Promise<R>) => {
  let due: Promise<R> | undefined;
  return () => {
    due ??= sleep(clock, gatherUs).then(() => {
      due = undefined;
      return work();
    });
    return due;
  };
};

/**
 * Resolves to the work's value, or to `late` once the wait is over; a rejected work counts as late
 * too.
 */
export const withTimeout = <T, L>(
  clock: Clock,
  waitUs: number,
  work: Promise<T>,
  late: L,
): Promise<T | L> =>
  new Promise((resolve) => {
    const timer = clock.after(waitUs, () => resolve(late));
    const finish = (value: T | L) => {
      timer.stop();
      resolve(value);
    };
    work.then(finish, () => finish(late));
  });
