/**
 * Leases a quota out in shares, so that all that are in force stay within it, also across changes
 * of the leader.
 */
import type { Clock } from "../common/clock.js";

/** What one lease gave, and when it expires by this process's clock. */
interface Lease {
  readonly share: number;
  readonly expiresAtUs: number;
}

/** For how long leases count, in microseconds. */
export interface LeaseTerms {
  /** How long a lease lasts. */
  readonly durationUs: number;
  /** For how long after its end what was done under a lease still counts. */
  readonly graceUs: number;
}

/**
 * Leases a quota out in shares, each to one incarnation of a node, at the holder of the leader
 * lease.
 *
 * Invariants: the shares whose leases have not expired, or did less than the grace time ago, add up
 * to at most the quota; for that long after taking over, a leader only renews what nodes say they
 * have from the one before, since it doesn't know what that one allocated.
 */
export class LeaseAllocator {
  private readonly leases = new Map<string, Lease[]>();

  /**
   * @param leaderSinceUs - since when the leader lease is held here; if not given, since the first
   * request
   */
  constructor(
    private readonly clock: Clock,
    private readonly terms: LeaseTerms,
    private leaderSinceUs?: number,
  ) {}

  /** Whether nothing that was allocated still counts. */
  get isIdle(): boolean {
    this.removeExpired();
    return this.leases.size === 0;
  }

  /** Called whenever the leader lease is not held here: others may allocate too. */
  readonly reset = (): void => {
    this.leaderSinceUs = undefined;
    this.leases.clear();
  };

  /**
   * Leases a share to one incarnation of a node, for `durationUs` from now.
   *
   * @param wanted - what it asks for
   * @param held - what it says it has from before
   * @param quota - what all shares may add up to
   * @returns the share; 0 where nothing is left
   */
  readonly allocate = (
    incarnation: string,
    wanted: number,
    held: number,
    quota: number,
  ): number => {
    const { durationUs, graceUs } = this.terms;
    const nowUs = this.clock.nowUs();
    this.leaderSinceUs ??= nowUs;
    this.removeExpired();
    let allocatedToOthers = 0;
    this.leases.forEach((leases, other) => {
      if (other !== incarnation) allocatedToOthers += largestOf(leases);
    });
    const isNewLeader = nowUs - this.leaderSinceUs < durationUs + graceUs;
    const share = Math.min(Math.max(0, quota - allocatedToOthers), isNewLeader ? held : wanted);
    if (share > 0)
      this.leases.set(incarnation, [
        ...(this.leases.get(incarnation) ?? []),
        { share, expiresAtUs: nowUs + durationUs },
      ]);
    return share;
  };

  private readonly removeExpired = (): void => {
    const nowUs = this.clock.nowUs();
    this.leases.forEach((leases, incarnation) => {
      const remaining = leases.filter(
        ({ expiresAtUs }) => expiresAtUs + this.terms.graceUs > nowUs,
      );
      if (remaining.length > 0) this.leases.set(incarnation, remaining);
      else this.leases.delete(incarnation);
    });
  };
}

/** A renewal that was lost leaves the old lease in force, so the largest one counts. */
const largestOf = (leases: readonly Lease[]): number =>
  leases.reduce((largest, { share }) => Math.max(largest, share), 0);
