import type { Message } from "../transport/connection.js";

interface Count {
  faults: number;
  calls: number;
}

/**
 * What one pointsman saw of each worker: cheap, local, and never waited on.
 * Invariant: counts only rise within a life, so a report that comes twice or late adds nothing.
 */
export class FaultCounters {
  private readonly counts = new Map<string, Count>();
  private readonly changed = new Set<string>();

  constructor(private readonly incarnation: string) {}

  readonly count = (worker: string, fault: boolean): void => {
    const count = this.counts.get(worker) ?? { faults: 0, calls: 0 };
    count.calls += 1;
    if (fault) {
      count.faults += 1;
      this.changed.add(worker);
    }
    this.counts.set(worker, count);
  };

  readonly remove = (worker: string): void => {
    this.counts.delete(worker);
    this.changed.delete(worker);
  };

  /** The counts that rose since the last report, or undefined where none did. */
  readonly takeReport = (): Message | undefined => {
    if (this.changed.size === 0) return undefined;
    const workers = [...this.changed].map((id) => [id, this.counts.get(id)?.faults ?? 0]);
    this.changed.clear();
    return { kind: "faults", life: this.incarnation, workers };
  };
}
