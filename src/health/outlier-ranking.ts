import { SECOND_US } from "../common/duration.js";
import { asList, asNumber, readString, asString } from "../common/decode.js";
import type { Message } from "../transport/connection.js";
import type { Clock } from "../common/clock.js";

export interface OutlierSettings {
  readonly windowUs: number;
  /** One holder of this share of all faults raises the alarm. */
  readonly alarmShare: number;
  /** Below this many faults in the window there is no alarm. */
  readonly minFaults: number;
  readonly removalIntervalUs: number;
  readonly minZoneFaults: number;
  /** At most this share of a service's workers is ever ejected at once. */
  readonly maxEjectedShare: number;
  readonly ejectionUs: number;
}

export const OUTLIER_SETTINGS: OutlierSettings = {
  windowUs: 300 * SECOND_US,
  alarmShare: 0.66,
  minFaults: 20,
  removalIntervalUs: 600 * SECOND_US,
  minZoneFaults: 200,
  maxEjectedShare: 0.2,
  ejectionUs: 600 * SECOND_US,
};

const BUCKET_US = 10 * SECOND_US;

/**
 * The faults of the window, summed by worker over the reports of all pointsmen.
 * Invariant: of each (node, life, worker) only the rise over what it last told is added.
 */
export class FaultWindow {
  private readonly told = new Map<string, Map<string, number>>();
  private readonly lives = new Map<string, string>();
  private buckets: { readonly sinceUs: number; readonly byWorker: Map<string, number> }[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly windowUs: number,
  ) {}

  /** False if the report is malformed, and then nothing of it counts. */
  readonly receive = (report: Message): boolean => {
    let rows: readonly (readonly [string, number])[];
    let node: string;
    let incarnation: string;
    try {
      node = readString(report, "node");
      incarnation = readString(report, "life");
      rows = asList(report["workers"], "workers").map((value) => {
        const [id, faults] = asList(value, "row");
        return [asString(id), asNumber(faults)];
      });
    } catch {
      return false;
    }
    if (this.lives.get(node) !== incarnation) {
      this.lives.set(node, incarnation);
      this.told.set(node, new Map());
    }
    const before = this.told.get(node) ?? new Map<string, number>();
    const bucket = this.bucket();
    rows.forEach(([worker, faults]) => {
      const increase = faults - (before.get(worker) ?? 0);
      if (increase <= 0) return;
      before.set(worker, faults);
      bucket.set(worker, (bucket.get(worker) ?? 0) + increase);
    });
    return true;
  };

  readonly byWorker = (): ReadonlyMap<string, number> => {
    this.trim();
    const sums = new Map<string, number>();
    this.buckets.forEach((bucket) =>
      bucket.byWorker.forEach((faults, worker) =>
        sums.set(worker, (sums.get(worker) ?? 0) + faults),
      ),
    );
    return sums;
  };

  private readonly bucket = (): Map<string, number> => {
    this.trim();
    const last = this.buckets[this.buckets.length - 1];
    if (last && this.clock.nowUs() - last.sinceUs < BUCKET_US) return last.byWorker;
    const byWorker = new Map<string, number>();
    this.buckets.push({ sinceUs: this.clock.nowUs(), byWorker });
    return byWorker;
  };

  private readonly trim = (): void => {
    const oldestUs = this.clock.nowUs() - this.windowUs;
    this.buckets = this.buckets.filter((bucket) => bucket.sinceUs >= oldestUs);
  };
}

export interface Outlier {
  readonly id: string;
  readonly faults: number;
  readonly totalFaults: number;
  readonly share: number;
}

/** The one that stands out: it holds the alarm's share of all faults, and there are enough of them to tell. */
export const findOutlier = (
  sums: ReadonlyMap<string, number>,
  floorFaults: number,
  alarmShare: number,
): Outlier | undefined => {
  const ofFaults = [...sums.values()].reduce((sum, faults) => sum + faults, 0);
  const [who, faults] = [...sums].sort((a, b) => b[1] - a[1])[0] ?? ["", 0];
  const share = ofFaults === 0 ? 0 : faults / ofFaults;
  return ofFaults >= floorFaults && share >= alarmShare
    ? { id: who, faults, totalFaults: ofFaults, share }
    : undefined;
};
