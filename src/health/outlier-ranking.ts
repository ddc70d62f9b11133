/** Who stands out: the ranking of workers or zones by their faults. */
import { SECOND_US } from "../common/duration.js";

/** The thresholds of outlier detection. */
export interface OutlierSettings {
  /** How long a fault counts. */
  readonly windowUs: number;
  /** One worker or zone with this share of all faults is an outlier. */
  readonly alarmShare: number;
  /** Below this many faults in the window no worker is an outlier. */
  readonly minFaults: number;
  /** Below this many faults in the window no zone is an outlier. */
  readonly minZoneFaults: number;
  /** The time between two removals. */
  readonly removalIntervalUs: number;
  /** At most this share of a service's workers is ejected at once. */
  readonly maxEjectedShare: number;
  /** How long an ejection or a zonal shift lasts. */
  readonly ejectionUs: number;
}

/**
 * The figures of the paper ("Building on AWS resilience: Innovations for critical success",
 * ARC207): 66% of the faults in 5 minutes, one removal in 10, and a cap.
 */
export const OUTLIER_SETTINGS: OutlierSettings = {
  windowUs: 300 * SECOND_US,
  alarmShare: 0.66,
  minFaults: 20,
  removalIntervalUs: 600 * SECOND_US,
  minZoneFaults: 200,
  maxEjectedShare: 0.2,
  ejectionUs: 600 * SECOND_US,
};

/** The worker or zone that stands out. */
export interface Outlier {
  readonly id: string;
  readonly faults: number;
  readonly totalFaults: number;
  /** `faults` of `totalFaults`, 0 to 1. */
  readonly share: number;
}

/** The one with the alarm's share of all faults, if there are enough of them to tell. */
export const findOutlier = (
  sums: ReadonlyMap<string, number>,
  minFaults: number,
  alarmShare: number,
): Outlier | undefined => {
  const totalFaults = [...sums.values()].reduce((sum, faults) => sum + faults, 0);
  const [id, faults] = [...sums].sort((a, b) => b[1] - a[1])[0] ?? ["", 0];
  const share = totalFaults === 0 ? 0 : faults / totalFaults;
  return totalFaults >= minFaults && share >= alarmShare
    ? { id, faults, totalFaults, share }
    : undefined;
};

/** The sentence for the operator. */
export const describeOutlier = (outlier: Outlier): string =>
  `${outlier.id} holds ${outlier.faults} of ${outlier.totalFaults} faults (${Math.round(outlier.share * 100)}%).`;
