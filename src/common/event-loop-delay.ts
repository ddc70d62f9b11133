/** Measures how late timers fire and thereby how long the event loop is blocked. */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import type { Clock, Timer } from "./clock.js";
import { MILLISECOND_US } from "./duration.js";

/** Interval between measurements; each one wakes up the process. */
const MEASUREMENT_INTERVAL_US = 250 * MILLISECOND_US;

/** Timer delays since the last reading, in microseconds. */
export interface EventLoopDelays {
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
}

/** Periodically records the delay of a timer. */
export class EventLoopDelayRecorder {
  private readonly histogram: RecordableHistogram = createHistogram();
  private dueUs: number;
  private readonly timer: Timer;

  constructor(private readonly clock: Clock) {
    this.dueUs = clock.nowUs() + MEASUREMENT_INTERVAL_US;
    this.timer = clock.every(MEASUREMENT_INTERVAL_US, this.measure);
  }

  /** Returns the delays since the last call and resets the histogram. */
  readonly take = (): EventLoopDelays => {
    const delays = {
      p50Us: this.histogram.percentile(50),
      p99Us: this.histogram.percentile(99),
      maxUs: this.histogram.count === 0 ? 0 : this.histogram.max,
    };
    this.histogram.reset();
    return delays;
  };

  /** Stops measuring. */
  readonly stop = (): void => this.timer.stop();

  private readonly measure = (): void => {
    const nowUs = this.clock.nowUs();
    // The histogram accepts only integers from 1.
    this.histogram.record(Math.max(1, Math.round(nowUs - this.dueUs)));
    this.dueUs = nowUs + MEASUREMENT_INTERVAL_US;
  };
}
