/** Rate limit of removals. */
import type { Clock } from "../common/clock.js";

/**
 * A token bucket of one token, refilled `intervalUs` after it was taken ("Building on AWS
 * resilience: Innovations for critical success", ARC207: one token in ten minutes).
 */
export class RemovalTokenBucket {
  private takenUs: number | undefined;
  private leaderSinceUs: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly intervalUs: number,
  ) {}

  /** Resets the bucket: a new leader does not know when the token was last taken. */
  readonly beginLeadership = (): void => {
    this.takenUs = undefined;
    this.leaderSinceUs = this.clock.nowUs();
  };

  /** Ends the leadership; only a token that this process took itself is remembered. */
  readonly endLeadership = (): void => {
    this.leaderSinceUs = undefined;
  };

  /**
   * Whether the token is available.
   *
   * @param removals - total removals ever made; if above 0, a new leader starts with the token spent
   */
  readonly hasToken = (removals: number): boolean => {
    const sinceUs = this.takenUs ?? (removals > 0 ? this.leaderSinceUs : undefined);
    return sinceUs === undefined || this.clock.nowUs() - sinceUs >= this.intervalUs;
  };

  /** Takes the token, once a removal has been persisted. */
  readonly take = (): void => {
    this.takenUs = this.clock.nowUs();
  };
}
