import type { Clock } from "../common/clock.js";

interface Allotment {
  readonly share: number;
  readonly expiresAtUs: number;
}

export interface LeaseTerms {
  /** How long a lease lasts. */
  readonly durationUs: number;
  /** For how long after its end what was done under a lease still counts. */
  readonly graceUs: number;
}

/**
 * The duty's holder leases a whole out in shares, each to one life of a node.
 * Invariants: the shares whose leases have not ended, or ended less than the rest ago, add up to at most the whole; for
 * that long after taking the duty a holder only renews what its bearers say they have from the one before, since it
 * doesn't know what that one gave.
 */
export class LeaseAllocator {
  private readonly given = new Map<string, Allotment[]>();

  /** Since when the duty is held here; where that isn't told, since the first asking. */
  constructor(
    private readonly clock: Clock,
    private readonly terms: LeaseTerms,
    private sinceUs?: number,
  ) {}

  /** Whether nothing that was given still counts. */
  get isIdle(): boolean {
    this.trim();
    return this.given.size === 0;
  }

  /** Called whenever the duty is not held here: what was given is no longer known to be all. */
  readonly reset = (): void => {
    this.sinceUs = undefined;
    this.given.clear();
  };

  /** A share for one life of a node, for `lastsUs` from now. */
  readonly allocate = (
    incarnation: string,
    wanted: number,
    held: number,
    whole: number,
  ): number => {
    const { durationUs, graceUs } = this.terms;
    const nowUs = this.clock.nowUs();
    this.sinceUs ??= nowUs;
    this.trim();
    let others = 0;
    this.given.forEach((rows, other) => {
      if (other !== incarnation) others += outstanding(rows);
    });
    const isNew = nowUs - this.sinceUs < durationUs + graceUs;
    const share = Math.min(Math.max(0, whole - others), isNew ? held : wanted);
    if (share > 0)
      this.given.set(incarnation, [
        ...(this.given.get(incarnation) ?? []),
        { share, expiresAtUs: nowUs + durationUs },
      ]);
    return share;
  };

  private readonly trim = (): void => {
    const nowUs = this.clock.nowUs();
    this.given.forEach((rows, incarnation) => {
      const left = rows.filter(({ expiresAtUs: endUs }) => endUs + this.terms.graceUs > nowUs);
      if (left.length > 0) this.given.set(incarnation, left);
      else this.given.delete(incarnation);
    });
  };
}

/** A renewal that was lost leaves the old lease in force, so the largest one counts. */
const outstanding = (rows: readonly Allotment[]): number =>
  rows.reduce((most, { share }) => Math.max(most, share), 0);
