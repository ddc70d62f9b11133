/** A stage of the pipeline: a bounded queue in front of a bounded number of concurrent runs. */

/**
 * Runs work on items, at most `concurrency` at a time, and queues the rest. Invariants: `running`
 * never exceeds `concurrency`, the queue never exceeds `maxQueued`, and a lower priority number
 * goes first, in order of arrival among equals.
 */
export class PipelineStage<T> {
  private readonly queue: { readonly item: T; readonly priority: number }[] = [];
  private running = 0;

  /**
   * @param concurrency - how many items are worked on at once
   * @param maxQueued - how many more wait
   * @param work - handles one item; it owns its own failures
   * @param priorityOf - the lower the number, the earlier an item leaves the queue
   */
  constructor(
    private readonly concurrency: number,
    private readonly maxQueued: number,
    private readonly work: (item: T) => Promise<void>,
    private readonly priorityOf: (item: T) => number = () => 0,
  ) {}

  /** Starts or queues an item; false when the queue is full, and the item is then not taken. */
  readonly offer = (item: T): boolean => {
    if (this.running < this.concurrency) {
      void this.run(item);
      return true;
    }
    if (this.queue.length >= this.maxQueued) return false;
    const priority = this.priorityOf(item);
    const at = this.queue.findIndex((other) => other.priority > priority);
    this.queue.splice(at < 0 ? this.queue.length : at, 0, { item, priority });
    return true;
  };

  private readonly run = async (item: T): Promise<void> => {
    this.running += 1;
    try {
      await this.work(item);
    } finally {
      this.running -= 1;
      const next = this.queue.shift();
      if (next) void this.run(next.item);
    }
  };
}
