/**
 * Leases shares of a quota such that the shares in force never exceed it, including across leader
 * changes.
 */
import type { Clock } from "../common/clock.js";

/** A leased share, and when the lease expires on this process's clock. */
interface Lease {
  readonly share: number;
  readonly expiresAtUs: number;
}

/** Durations that apply to leases, in microseconds. */
export interface LeaseTerms {
  /** Duration of a lease. */
  readonly durationUs: number;
  /** Time after its expiry for which a lease still counts against the quota. */
  readonly graceUs: number;
}

/**
 * Leases shares of a quota to incarnations of nodes. Runs at the holder of the leader lease.
 *
 * Invariants: the shares of leases that have not expired, or expired less than the grace time ago,
 * add up to at most the quota. For one lease duration plus the grace time after taking over, a
 * leader only renews the shares that nodes report from the previous leader, since it does not know
 * what that one allocated.
 */
export class LeaseAllocator {
  private readonly leases = new Map<string, Lease[]>();

  /**
   * @param leaderSinceUs - time since which the leader lease is held here; defaults to the time of
   * the first request
   */
  constructor(
    private readonly clock: Clock,
    private readonly terms: LeaseTerms,
    private leaderSinceUs?: number,
  ) {}

  /** Whether no lease counts against the quota any more. */
  get isIdle(): boolean {
    this.removeExpired();
    return this.leases.size === 0;
  }

  /**
   * Called whenever the leader lease is not held here, since another controller may allocate then.
   */
  readonly reset = (): void => {
    this.leaderSinceUs = undefined;
    this.leases.clear();
  };

  /**
   * Leases a share to one incarnation of a node, for `durationUs` from now.
   *
   * @param wanted - the share it requests
   * @param held - the share it reports from earlier leases
   * @param quota - maximum total of all shares
   * @returns the share; 0 if nothing is left
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

/**
 * The share that counts for an incarnation. It is the largest one, since the older lease stays in
 * force if the response to its renewal is lost.
 */
const largestOf = (leases: readonly Lease[]): number =>
  leases.reduce((largest, { share }) => Math.max(largest, share), 0);
