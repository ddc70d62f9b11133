/** How recently this controller was in touch with a quorum. */
import type { Clock } from "../../common/clock.js";

/**
 * When a quorum last answered this controller, and when it last read the state of one. Times of
 * contact are those of the question, not of the answer: what was answered holds at least as of
 * then.
 */
export class QuorumFreshness {
  private confirmedUs: number;
  /** Undefined until a quorum was read in this process's life. */
  private readUs: number | undefined;
  /**
   * Whether heartbeats couldn't come in since the last contact, so that their lack says nothing.
   */
  private wasCutOff = false;

  /** @param onRegained - called at the first contact after the controller was cut off */
  constructor(
    private readonly clock: Clock,
    private readonly onRegained: () => void,
  ) {
    this.confirmedUs = clock.nowUs();
  }

  /** Whether a quorum was read since this process started. */
  get hasRead(): boolean {
    return this.readUs !== undefined;
  }

  /** Microseconds since the last contact with a majority; at first since the start. */
  readonly contactAgeUs = (): number => this.clock.nowUs() - this.confirmedUs;

  /** Microseconds since the last reading of a quorum; infinite before the first. */
  readonly readAgeUs = (): number =>
    this.readUs === undefined ? Infinity : this.clock.nowUs() - this.readUs;

  /** Records a reading of a quorum that began at `beganUs`. */
  readonly recordRead = (beganUs: number): void => {
    this.readUs = beganUs;
  };

  /** Records that a majority answered what was asked at `beganUs`. */
  readonly recordContact = (beganUs: number): void => {
    if (this.wasCutOff) this.onRegained();
    this.wasCutOff = false;
    this.confirmedUs = Math.max(this.confirmedUs, beganUs);
  };

  /** Records that this controller is cut off from the majority. */
  readonly recordCutOff = (): void => {
    this.wasCutOff = true;
  };
}
