/**
 * One stage of the way of a request: a bounded queue and a crew of a fixed size.
 * Invariants: `running` never exceeds the crew, `queue` never exceeds the room, and a lower rank number goes first.
 */
export class Stage<T> {
  private readonly queue: { readonly item: T; readonly rank: number }[] = [];
  private running = 0;

  constructor(
    private readonly clusterSize: number,
    private readonly room: number,
    private readonly work: (item: T) => Promise<void>,
    private readonly rankOf: (item: T) => number = () => 0,
  ) {}

  /** False when the queue is full; the item is then not taken. */
  readonly offer = (item: T): boolean => {
    if (this.running < this.clusterSize) {
      void this.run(item);
      return true;
    }
    if (this.queue.length >= this.room) return false;
    const rank = this.rankOf(item);
    const at = this.queue.findIndex((other) => other.rank > rank);
    this.queue.splice(at < 0 ? this.queue.length : at, 0, { item, rank });
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
