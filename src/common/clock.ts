/** A timer that can be stopped. */
export interface Timer {
  readonly stop: () => void;
}

/**
 * The only source of time. It provides no time of day, since no decision may depend on wall time.
 */
export interface Clock {
  readonly nowUs: () => number;
  readonly after: (delayUs: number, callback: () => void) => Timer;
  readonly every: (intervalUs: number, callback: () => void) => Timer;
}

/**
 * Monotonic clock of the process. Delays are rounded up to whole milliseconds, so rounding never
 * makes a timer fire early.
 */
export class MonotonicClock implements Clock {
  readonly nowUs = (): number => Math.round(performance.now() * 1_000);

  readonly after = (delayUs: number, callback: () => void): Timer => {
    const timer = setTimeout(callback, Math.max(0, Math.ceil(delayUs / 1_000)));
    return { stop: () => clearTimeout(timer) };
  };

  readonly every = (intervalUs: number, callback: () => void): Timer => {
    const timer = setInterval(callback, Math.max(1, Math.ceil(intervalUs / 1_000)));
    return { stop: () => clearInterval(timer) };
  };
}

/** Resolves after `delayUs` microseconds on the clock. */
export const sleep = (clock: Clock, delayUs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.after(delayUs, resolve);
  });

/**
 * Returns a function that schedules `callback` after `windowUs`. Further calls before it has run
 * are covered by the same run.
 */
export const debounce = (clock: Clock, windowUs: number, callback: () => void): (() => void) => {
  let isDue = false;
  return () => {
    if (isDue) return;
    isDue = true;
    clock.after(windowUs, () => {
      isDue = false;
      callback();
    });
  };
};

/**
 * Returns a function that runs `work` once for all calls within `windowUs` of the first. The work
 * starts after the last of these calls.
 */
export const coalesce = <R>(
  clock: Clock,
  windowUs: number,
  work: () => Promise<R>,
): (() => Promise<R>) => {
  let due: Promise<R> | undefined;
  return () => {
    due ??= sleep(clock, windowUs).then(() => {
      due = undefined;
      return work();
    });
    return due;
  };
};

/**
 * Resolves to the value of `work`, or to `fallback` once the timeout elapses. A rejection of `work`
 * also yields `fallback`.
 */
export const withTimeout = <T, L>(
  clock: Clock,
  timeoutUs: number,
  work: Promise<T>,
  fallback: L,
): Promise<T | L> =>
  new Promise((resolve) => {
    const timer = clock.after(timeoutUs, () => resolve(fallback));
    const finish = (value: T | L) => {
      timer.stop();
      resolve(value);
    };
    work.then(finish, () => finish(fallback));
  });
