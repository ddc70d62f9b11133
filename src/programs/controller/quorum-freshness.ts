/** Tracks how recently this controller had contact with a quorum. */
import type { Clock } from "../../common/clock.js";

/**
 * The times of the last answer from a majority and of the last read from a quorum. Both are the
 * times of the request, not of the answer, because an answer is at least as recent as its request.
 */
export class QuorumFreshness {
  private lastContactUs: number;
  /** Undefined until this process has read from a quorum. */
  private lastReadUs: number | undefined;
  /**
   * Whether this controller was cut off since the last contact. It may then have missed heartbeats,
   * so their absence does not show that workers are missing.
   */
  private wasCutOff = false;

  /** @param onRegained - called on the first contact after the controller was cut off */
  constructor(
    private readonly clock: Clock,
    private readonly onRegained: () => void,
  ) {
    this.lastContactUs = clock.nowUs();
  }

  /** Whether this process has read from a quorum. */
  get hasRead(): boolean {
    return this.lastReadUs !== undefined;
  }

  /** Microseconds since the last contact with a majority, or since the start before the first. */
  readonly contactAgeUs = (): number => this.clock.nowUs() - this.lastContactUs;

  /** Microseconds since the last read from a quorum; infinite before the first. */
  readonly readAgeUs = (): number =>
    this.lastReadUs === undefined ? Infinity : this.clock.nowUs() - this.lastReadUs;

  /** Records a read from a quorum that was started at `startedUs`. */
  readonly recordRead = (startedUs: number): void => {
    this.lastReadUs = startedUs;
  };

  /** Records that a majority answered a request that was sent at `startedUs`. */
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
