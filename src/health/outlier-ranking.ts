/** Ranks workers or zones by their faults and finds outliers. */
import { SECOND_US } from "../common/duration.js";

/** Settings of outlier detection. */
export interface OutlierSettings {
  /** Length of the sliding window of faults. */
  readonly windowUs: number;
  /** A worker or zone with at least this share of all faults, 0 to 1, is an outlier. */
  readonly alarmShare: number;
  /** Minimum number of faults in the window for a worker to be an outlier. */
  readonly minFaults: number;
  /** Minimum number of faults in the window for a zone to be an outlier. */
  readonly minZoneFaults: number;
  /** Minimum time between two removals. */
  readonly removalIntervalUs: number;
  /** Maximum share of a service's workers that may be ejected or missing at once, 0 to 1. */
  readonly maxEjectedShare: number;
  /** How long an ejection or a zonal shift lasts. */
  readonly ejectionUs: number;
}

/**
 * Default settings, after "Building on AWS resilience: Innovations for critical success", ARC207: 66%
 * of the faults within 5 minutes, one removal per 10 minutes, and a cap.
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

/** A worker or zone with an outlying share of the faults. */
export interface Outlier {
  readonly id: string;
  readonly faults: number;
  readonly totalFaults: number;
  /** `faults` of `totalFaults`, 0 to 1. */
  readonly share: number;
}

/** The entry with at least `alarmShare` of all faults, if there are at least `minFaults`. */
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

/** One sentence that describes the outlier to the operator. */
export const describeOutlier = (outlier: Outlier): string =>
  `${outlier.id} holds ${outlier.faults} of ${outlier.totalFaults} faults (${Math.round(outlier.share * 100)}%).`;
