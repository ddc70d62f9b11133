/** Pipeline stage: a bounded queue in front of a bounded number of concurrent tasks. */

/**
 * Processes items, at most `concurrency` at a time, and queues the rest. Invariants: `running`
 * never exceeds `concurrency`, the queue never exceeds `maxQueued`, and lower priority numbers go
 * first, in order of arrival among equals.
 */
export class PipelineStage<T> {
  private readonly queue: { readonly item: T; readonly priority: number }[] = [];
  private running = 0;

  /**
   * @param concurrency - the maximum number of items processed at once
   * @param maxQueued - the maximum number of items that wait
   * @param work - processes one item and handles its own errors
   * @param priorityOf - returns the priority of an item; lower numbers leave the queue first
   */
  constructor(
    private readonly concurrency: number,
    private readonly maxQueued: number,
    private readonly work: (item: T) => Promise<void>,
    private readonly priorityOf: (item: T) => number = () => 0,
  ) {}

  /** Starts or queues an item. Returns false, without accepting the item, if the queue is full. */
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
