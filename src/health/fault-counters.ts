/** What one node counts of each worker's faults. */
import type { Message } from "../transport/connection.js";
import { packFaultReport } from "./reports-codec.js";

/**
 * Cheap and local; no request waits for it. Invariant: counts only rise within an incarnation, so a
 * report that comes twice or late adds nothing.
 */
export class FaultCounters {
  private readonly counts = new Map<string, number>();
  private readonly changed = new Set<string>();

  /** @param incarnation - of this process */
  constructor(private readonly incarnation: string) {}

  /** Counts one request to a worker; only faults are reported. */
  readonly count = (worker: string, isFault: boolean): void => {
    if (!isFault) return;
    this.counts.set(worker, (this.counts.get(worker) ?? 0) + 1);
    this.changed.add(worker);
  };

  /** Drops a worker that has left. */
  readonly remove = (worker: string): void => {
    this.counts.delete(worker);
    this.changed.delete(worker);
  };

  /** The counts that rose since the last report, or undefined where none did. */
  readonly takeReport = (): Message | undefined => {
    if (this.changed.size === 0) return undefined;
    const faults = [...this.changed].map(
      (worker) => [worker, this.counts.get(worker) ?? 0] as const,
    );
    this.changed.clear();
    return packFaultReport(this.incarnation, faults);
  };
}
