interface Waiting<T, R> {
  readonly item: T;
  readonly take: (result: R) => void;
}

/**
 * Does the work of all that came meanwhile at once, one round after the other.
 * Invariant: an item's result is that of a round that began after the item came.
 */
export class Batcher<T, R> {
  private waiting: Waiting<T, R>[] = [];
  private running = false;

  constructor(private readonly work: (items: readonly T[]) => Promise<R>) {}

  get isIdle(): boolean {
    return !this.running && this.waiting.length === 0;
  }

  readonly add = (item: T): Promise<R> =>
    new Promise((resolve) => {
      this.waiting.push({ item, take: resolve });
      if (!this.running) void this.run();
    });

  private readonly run = async (): Promise<void> => {
    this.running = true;
    while (this.waiting.length > 0) {
      const served = this.waiting;
      this.waiting = [];
      const result = await this.work(served.map(({ item }) => item));
      served.forEach(({ take }) => take(result));
    }
    this.running = false;
  };
}
