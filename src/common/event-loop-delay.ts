/** How late timers fire, and so how long the event loop stands still. */
import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import type { Clock, Timer } from "./clock.js";
import { MILLISECOND_US } from "./duration.js";

/** How often the delay is measured; each time costs a wake-up of the process. */
const MEASUREMENT_INTERVAL_US = 250 * MILLISECOND_US;

/** The delays of timers since the last reading, in microseconds. */
export interface EventLoopDelays {
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
}

/** Measures by how much a timer is late, again and again. */
export class EventLoopDelayRecorder {
  private readonly histogram: RecordableHistogram = createHistogram();
  private dueUs: number;
  private readonly timer: Timer;

  constructor(private readonly clock: Clock) {
    this.dueUs = clock.nowUs() + MEASUREMENT_INTERVAL_US;
    this.timer = clock.every(MEASUREMENT_INTERVAL_US, this.measure);
  }

  /** Gives the delays since the last call, and starts anew. */
  readonly take = (): EventLoopDelays => {
    const delays = {
      p50Us: this.histogram.percentile(50),
      p99Us: this.histogram.percentile(99),
      maxUs: this.histogram.count === 0 ? 0 : this.histogram.max,
    };
    this.histogram.reset();
    return delays;
  };

  /** Measures no more. */
  readonly stop = (): void => this.timer.stop();

  private readonly measure = (): void => {
    const nowUs = this.clock.nowUs();
    // A histogram takes whole numbers from 1.
    this.histogram.record(Math.max(1, Math.round(nowUs - this.dueUs)));
    this.dueUs = nowUs + MEASUREMENT_INTERVAL_US;
  };
}
