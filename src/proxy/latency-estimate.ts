/**
 * Latency estimates per service and per worker, with the service's mean as the prior of its
 * workers.
 */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";

const INITIAL_MEAN_US = 50 * MILLISECOND_US;
/** Weight of the service's mean in a worker's estimate, in number of requests. */
const PRIOR_SAMPLES = 3;
/**
 * Maximum number of a worker's own requests that weigh in its mean, so that the mean follows
 * changes.
 */
const MAX_SAMPLES = 20;
/**
 * Time constant of the exponential decay of a worker's samples, after which a formerly slow worker
 * is tried again, rarely at first.
 */
const DECAY_TIME_CONSTANT_US = 8 * SECOND_US;

/** Mean latency of requests to a service over all its workers. */
export class ServiceLatency {
  meanUs = INITIAL_MEAN_US;
  private samples = 0;

  readonly record = (tookUs: number): void => {
    this.samples = Math.min(MAX_SAMPLES * 5, this.samples + 1);
    this.meanUs += (tookUs - this.meanUs) / this.samples;
  };
}

/**
 * Mean latency of requests to one worker: the running mean of the worker's own requests, which
 * decays over time, shrunk towards the service's mean. Invariant: at most MAX_SAMPLES own requests
 * weigh in the mean, and the service's mean weighs as much as PRIOR_SAMPLES requests.
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

  /** Returns the effective number of own samples, decayed exponentially since the last one. */
  private readonly effectiveSamples = (): number =>
    this.samples * Math.exp((this.recordedUs - this.clock.nowUs()) / DECAY_TIME_CONSTANT_US);
}
