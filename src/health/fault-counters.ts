/** Fault counts by worker, as one node observes them. */
import type { Message } from "../transport/connection.js";
import { packFaultReport } from "./reports-codec.js";

/**
 * Counts faults in memory, without blocking requests. Invariant: counts never decrease within an
 * incarnation, so a duplicate or late report adds nothing.
 */
export class FaultCounters {
  private readonly counts = new Map<string, number>();
  private readonly changed = new Set<string>();

  /** @param incarnation - identifies this run of the process */
  constructor(private readonly incarnation: string) {}

  /** Records the outcome of one request to a worker; only faults are counted. */
  readonly count = (worker: string, isFault: boolean): void => {
    if (!isFault) return;
    this.counts.set(worker, (this.counts.get(worker) ?? 0) + 1);
    this.changed.add(worker);
  };

  /** Drops the counts of a worker that has left. */
  readonly remove = (worker: string): void => {
    this.counts.delete(worker);
    this.changed.delete(worker);
  };

  /** The counts that increased since the last report; undefined if none did. */
  readonly takeReport = (): Message | undefined => {
    if (this.changed.size === 0) return undefined;
    const faults = [...this.changed].map(
      (worker) => [worker, this.counts.get(worker) ?? 0] as const,
    );
    this.changed.clear();
    return packFaultReport(this.incarnation, faults);
  };
}
