/** Sliding time window of faults by worker. */
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { readFaultReport, type FaultReport } from "./reports-codec.js";

const BUCKET_US = 10 * SECOND_US;

interface Bucket {
  readonly sinceUs: number;
  readonly byWorker: Map<string, number>;
}

/**
 * Sums the faults reported by all nodes over a sliding window, by worker. Invariant: for each (node,
 * incarnation, worker) only the increase over the last report is added.
 */
export class FaultWindow {
  private readonly reported = new Map<string, Map<string, number>>();
  private readonly incarnations = new Map<string, string>();
  private buckets: Bucket[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly windowUs: number,
  ) {}

  /** Adds a report; false if it is malformed, in which case none of it counts. */
  readonly receive = (message: Message): boolean => {
    let report: FaultReport;
    try {
      report = readFaultReport(message);
    } catch {
      // The caller counts malformed reports; nothing else can be done about them.
      return false;
    }
    const { node, incarnation, faults } = report;
    if (this.incarnations.get(node) !== incarnation) {
      this.incarnations.set(node, incarnation);
      this.reported.set(node, new Map());
    }
    const before = this.reported.get(node) ?? new Map<string, number>();
    const bucket = this.currentBucket();
    faults.forEach(([worker, count]) => {
      const increase = count - (before.get(worker) ?? 0);
      if (increase <= 0) return;
      before.set(worker, count);
      bucket.set(worker, (bucket.get(worker) ?? 0) + increase);
    });
    return true;
  };

  /** The faults within the window, by worker. */
  readonly byWorker = (): ReadonlyMap<string, number> => {
    this.dropExpired();
    const sums = new Map<string, number>();
    this.buckets.forEach((bucket) =>
      bucket.byWorker.forEach((faults, worker) =>
        sums.set(worker, (sums.get(worker) ?? 0) + faults),
      ),
    );
    return sums;
  };

  private readonly currentBucket = (): Map<string, number> => {
    this.dropExpired();
    const last = this.buckets[this.buckets.length - 1];
    if (last && this.clock.nowUs() - last.sinceUs < BUCKET_US) return last.byWorker;
    const byWorker = new Map<string, number>();
    this.buckets.push({ sinceUs: this.clock.nowUs(), byWorker });
    return byWorker;
  };

  private readonly dropExpired = (): void => {
    const oldestUs = this.clock.nowUs() - this.windowUs;
    this.buckets = this.buckets.filter((bucket) => bucket.sinceUs >= oldestUs);
  };
}
