/** Batching: calls made while a run is in progress share the next run. */

interface Call<T, R> {
  readonly item: T;
  readonly resolve: (result: R) => void;
}

/**
 * Processes items in batches, one batch at a time. Items added while a batch is being processed
 * form the next batch.
 *
 * Invariant: the result of a call comes from a run that began after the call.
 */
export class Batcher<T, R> {
  private pending: Call<T, R>[] = [];
  private isRunning = false;

  /**
   * @param work - processes all items of a batch and returns one result for them; must not reject
   */
  constructor(private readonly work: (items: readonly T[]) => Promise<R>) {}

  /** Whether no batch is running or pending. */
  get isIdle(): boolean {
    return !this.isRunning && this.pending.length === 0;
  }

  /** Adds an item; resolves to the result of the batch that includes it. */
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
