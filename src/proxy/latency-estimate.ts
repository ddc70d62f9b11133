/**
 * Estimates of how long requests take: per service, and per worker with the service's mean as the
 * prior.
 */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";

const INITIAL_MEAN_US = 50 * MILLISECOND_US;
/** Weight of the service's mean in a worker's estimate, in requests. */
const PRIOR_SAMPLES = 3;
/** At most this many of a worker's own requests weigh in its mean, so that it follows changes. */
const MAX_SAMPLES = 20;
/** Time constant of forgetting: a worker that was slow is tried again, at first seldom. */
const DECAY_TIME_CONSTANT_US = 8 * SECOND_US;

/** The mean time of requests to a service, over all its workers. */
export class ServiceLatency {
  meanUs = INITIAL_MEAN_US;
  private samples = 0;

  readonly record = (tookUs: number): void => {
    this.samples = Math.min(MAX_SAMPLES * 5, this.samples + 1);
    this.meanUs += (tookUs - this.meanUs) / this.samples;
  };
}

/**
 * The mean time of requests to one worker: a running mean of its own requests, which fades, shrunk
 * towards the mean of its service. Invariant: at most MAX_SAMPLES own requests weigh in the mean,
 * and the service's mean weighs as PRIOR_SAMPLES.
 */
export class LatencyEstimate {
  private ownMeanUs = 0;
  private samples = 0;
  private recordedUs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly service: ServiceLatency,
  ) {}

  readonly record = (tookUs: number): void => {
    this.samples = Math.min(MAX_SAMPLES, this.effectiveSamples() + 1);
    this.recordedUs = this.clock.nowUs();
    this.ownMeanUs += (tookUs - this.ownMeanUs) / this.samples;
    this.service.record(tookUs);
  };

  readonly meanUs = (): number => {
    const samples = this.effectiveSamples();
    return (
      (this.ownMeanUs * samples + this.service.meanUs * PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)
    );
  };

  /** The number of own requests that still weigh, after exponential decay since the last one. */
  private readonly effectiveSamples = (): number =>
    this.samples * Math.exp((this.recordedUs - this.clock.nowUs()) / DECAY_TIME_CONSTANT_US);
}
