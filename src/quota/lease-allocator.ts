import type { Clock } from "../common/clock.js";

interface Given {
  readonly share: number;
  readonly endUs: number;
}

export interface LeaseTerms {
  /** How long a lease lasts. */
  readonly lastsUs: number;
  /** For how long after its end what was done under a lease still counts. */
  readonly restUs: number;
}

/**
 * The duty's holder leases a whole out in shares, each to one life of a node.
 * Invariants: the shares whose leases have not ended, or ended less than the rest ago, add up to at most the whole; for
 * that long after taking the duty a holder only renews what its bearers say they have from the one before, since it
 * doesn't know what that one gave.
 */
export class LeaseAllocator {
  private readonly given = new Map<string, Given[]>();

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
  readonly lose = (): void => {
    this.sinceUs = undefined;
    this.given.clear();
  };

  /** A share for one life of a node, for `lastsUs` from now. */
  readonly give = (life: string, wanted: number, held: number, whole: number): number => {
    const { lastsUs, restUs } = this.terms;
    const nowUs = this.clock.nowUs();
    this.sinceUs ??= nowUs;
    this.trim();
    let others = 0;
    this.given.forEach((rows, other) => {
      if (other !== life) others += outstanding(rows);
    });
    const isNew = nowUs - this.sinceUs < lastsUs + restUs;
    const share = Math.min(Math.max(0, whole - others), isNew ? held : wanted);
    if (share > 0)
      this.given.set(life, [...(this.given.get(life) ?? []), { share, endUs: nowUs + lastsUs }]);
    return share;
  };

  private readonly trim = (): void => {
    const nowUs = this.clock.nowUs();
    this.given.forEach((rows, life) => {
      const left = rows.filter(({ endUs }) => endUs + this.terms.restUs > nowUs);
      if (left.length > 0) this.given.set(life, left);
      else this.given.delete(life);
    });
  };
}

/** A renewal that was lost leaves the old lease in force, so the largest one counts. */
const outstanding = (rows: readonly Given[]): number =>
  rows.reduce((most, { share }) => Math.max(most, share), 0);
