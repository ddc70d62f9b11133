/** Predicts when all slots of a service will be in use, by linear regression on recent samples. */
import { linearRegression, linearRegressionLine, sampleVariance } from "simple-statistics";

/** Time until utilization reaches 1, in seconds from the last sample. */
export interface Trend {
  readonly expectedS: number;
  readonly earliestS: number;
  readonly latestS: number;
}

/** Utilization at one point in time. */
export interface UtilizationSample {
  readonly atS: number;
  /** The share of slots in use, 0 to 1. */
  readonly utilization: number;
}

const MIN_SAMPLES = 6;

/**
 * Fits a line by least squares.
 *
 * @param slopeErrors - number of standard errors by which the slope must exceed 0
 * @returns undefined if the slope cannot be told from noise
 */
export const fitTrend = (
  samples: readonly UtilizationSample[],
  slopeErrors: number,
): Trend | undefined => {
  const last = samples[samples.length - 1];
  if (samples.length < MIN_SAMPLES || !last) return undefined;
  const points = samples.map(({ atS, utilization }) => [atS, utilization]);
  const fit = linearRegression(points);
  const line = linearRegressionLine(fit);
  const sumOfSquaredDeviations =
    sampleVariance(samples.map(({ atS }) => atS)) * (samples.length - 1);
  const residualVariance =
    points.reduce((sum, [x = 0, y = 0]) => sum + (y - line(x)) ** 2, 0) / (samples.length - 2);
  // Successive samples are correlated, so the effective sample size is smaller: uses twice the
  // standard error of independent samples.
  const slopeError = 2 * Math.sqrt(residualVariance / sumOfSquaredDeviations) + 1e-9;
  if (fit.m <= slopeErrors * slopeError) return undefined;
  const headroom = Math.max(0, 1 - line(last.atS));
  return {
    expectedS: headroom / fit.m,
    earliestS: headroom / (fit.m + 2 * slopeError),
    latestS: headroom / (fit.m - 2 * slopeError),
  };
};
