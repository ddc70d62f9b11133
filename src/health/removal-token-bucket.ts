/** The rate limit of removals. */
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

  /** A new leader does not know when a token was last taken. */
  readonly beginLeadership = (): void => {
    this.takenUs = undefined;
    this.leaderSinceUs = this.clock.nowUs();
  };

  /** Who is not the leader knows of no token but one that it took itself. */
  readonly endLeadership = (): void => {
    this.leaderSinceUs = undefined;
  };

  /**
   * Whether there is a token.
   *
   * @param removals - how many were ever made: after the first one, a new leader starts with the
   *   token spent
   */
  readonly hasToken = (removals: number): boolean => {
    const sinceUs = this.takenUs ?? (removals > 0 ? this.leaderSinceUs : undefined);
    return sinceUs === undefined || this.clock.nowUs() - sinceUs >= this.intervalUs;
  };

  /** Takes the token, after a removal was made durable. */
  readonly take = (): void => {
    this.takenUs = this.clock.nowUs();
  };
}
