/**
 * When the slots of a service will all be in use, by a straight line through the recent samples.
 */
import { linearRegression, linearRegressionLine, sampleVariance } from "simple-statistics";

/** The time until utilization reaches 1, in seconds from the last sample. */
export interface Trend {
  readonly expectedS: number;
  readonly earliestS: number;
  readonly latestS: number;
}

/** One point of the line. */
export interface UtilizationSample {
  readonly atS: number;
  /** The share of slots in use. */
  readonly utilization: number;
}

const MIN_SAMPLES = 6;

/**
 * Fits the line by least squares.
 *
 * @param slopeErrors - how many standard errors above 0 the slope must be
 * @returns undefined where noise could rise as much
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
  const spread = sampleVariance(samples.map(({ atS }) => atS)) * (samples.length - 1);
  const residual =
    points.reduce((sum, [x = 0, y = 0]) => sum + (y - line(x)) ** 2, 0) / (samples.length - 2);
  // Neighbouring samples are alike, so that fewer speak than there are: twice the error that
  // independent ones would have.
  const slopeError = 2 * Math.sqrt(residual / spread) + 1e-9;
  if (fit.m <= slopeErrors * slopeError) return undefined;
  const left = Math.max(0, 1 - line(last.atS));
  return {
    expectedS: left / fit.m,
    earliestS: left / (fit.m + 2 * slopeError),
    latestS: left / (fit.m - 2 * slopeError),
  };
};
