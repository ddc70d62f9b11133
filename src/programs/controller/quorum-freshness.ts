/** How recently this controller was in touch with a quorum. */
import type { Clock } from "../../common/clock.js";

/**
 * When a quorum last answered this controller, and when it last read the state of one. Times of
 * contact are those of the question, not of the answer: what was answered holds at least as of
 * then.
 */
export class QuorumFreshness {
  private lastContactUs: number;
  /** Undefined until a quorum was read in this process's life. */
  private lastReadUs: number | undefined;
  /**
   * Whether heartbeats couldn't come in since the last contact, so that their lack says nothing.
   */
  private wasCutOff = false;

  /** @param onRegained - called at the first contact after the controller was cut off */
  constructor(
    private readonly clock: Clock,
    private readonly onRegained: () => void,
  ) {
    this.lastContactUs = clock.nowUs();
  }

  /** Whether a quorum was read since this process started. */
  get hasRead(): boolean {
    return this.lastReadUs !== undefined;
  }

  /** Microseconds since the last contact with a majority; at first since the start. */
  readonly contactAgeUs = (): number => this.clock.nowUs() - this.lastContactUs;

  /** Microseconds since the last reading of a quorum; infinite before the first. */
  readonly readAgeUs = (): number =>
    this.lastReadUs === undefined ? Infinity : this.clock.nowUs() - this.lastReadUs;

  /** Records a reading of a quorum that began at `beganUs`. */
  readonly recordRead = (startedUs: number): void => {
    this.lastReadUs = startedUs;
  };

  /** Records that a majority answered what was asked at `beganUs`. */
  readonly recordContact = (startedUs: number): void => {
    if (this.wasCutOff) this.onRegained();
    this.wasCutOff = false;
    this.lastContactUs = Math.max(this.lastContactUs, startedUs);
  };

  /** Records that this controller is cut off from the majority. */
  readonly recordCutOff = (): void => {
    this.wasCutOff = true;
  };
}
