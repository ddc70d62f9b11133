/** Batching: one run of some work serves all calls that came while the run before it went on. */

interface Call<T, R> {
  readonly item: T;
  readonly resolve: (result: R) => void;
}

/**
 * Runs the work of all calls that came meanwhile at once, one run after the other.
 *
 * Invariant: a call's result is that of a run that began after the call.
 */
export class Batcher<T, R> {
  private pending: Call<T, R>[] = [];
  private isRunning = false;

  /** @param work - gives one result for all items of a run; it must not reject */
  constructor(private readonly work: (items: readonly T[]) => Promise<R>) {}

  /** Whether nothing runs and nothing is pending. */
  get isIdle(): boolean {
    return !this.isRunning && this.pending.length === 0;
  }

  /** Adds an item; resolves to the result of the run that takes it. */
  readonly add = (item: T): Promise<R> =>
    new Promise((resolve) => {
      this.pending.push({ item, resolve });
      if (!this.isRunning) void this.run();
    });

  private readonly run = async (): Promise<void> => {
    this.isRunning = true;
    while (this.pending.length > 0) {
      const calls = this.pending;
      this.pending = [];
      const result = await this.work(calls.map(({ item }) => item));
      calls.forEach(({ resolve }) => resolve(result));
    }
    this.isRunning = false;
  };
}
