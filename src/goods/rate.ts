import type { Clock } from "../trackbed/clock.js";

export interface Grant {
  readonly share: number;
  readonly endUs: number;
}

/** Kept back of the rate, and the burst that a whole rate may make: both fit in a ceiling a tenth above the rate. */
const USED_PART = 0.96;
const BURST_S = 0.2;

/**
 * What this process may send to services with a rate, from its share of it.
 * Invariants: nothing is taken without a grant that has not ended; a bucket starts empty and never holds more than its
 * share of the burst, so over all shares that add up to at most 1 a span t sees at most rate * (0.96 t + 0.2 s).
 */
export class RateShare {
  private grant: Grant = { share: 0, endUs: 0 };
  private readonly buckets = new Map<string, { tokens: number; sinceUs: number }>();

  constructor(private readonly clock: Clock, private readonly ratePerS: (service: string) => number) {}

  get share(): number {
    return this.clock.nowUs() < this.grant.endUs ? this.grant.share : 0;
  }

  readonly take = (grant: Grant): void => {
    this.buckets.forEach((_bucket, service) => this.fill(service));
    this.grant = grant;
  };

  /** Takes one request's worth, or says how long it would take to come. */
  readonly spend = (service: string): { readonly ok: true } | { readonly ok: false; readonly waitUs: number } => {
    const rate = this.ratePerS(service);
    if (rate <= 0) return { ok: true };
    const bucket = this.fill(service);
    if (this.share > 0 && bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return { ok: true };
    }
    return this.delay(service);
  };

  /** How long the next request's worth takes to come. */
  readonly delay = (service: string): { readonly ok: false; readonly waitUs: number } => {
    const perUs = (this.ratePerS(service) * USED_PART * this.share) / 1_000_000;
    return { ok: false, waitUs: perUs > 0 ? Math.ceil(Math.max(0, 1 - this.fill(service).tokens) / perUs) : 500_000 };
  };

  private readonly fill = (service: string): { tokens: number; sinceUs: number } => {
    const nowUs = this.clock.nowUs();
    const bucket = this.buckets.get(service) ?? { tokens: 0, sinceUs: nowUs };
    const untilUs = Math.min(nowUs, this.grant.endUs);
    const rate = this.ratePerS(service) * this.grant.share;
    const fresh = (rate * USED_PART * Math.max(0, untilUs - bucket.sinceUs)) / 1_000_000;
    bucket.tokens = Math.min(bucket.tokens + fresh, Math.max(1, rate * BURST_S));
    bucket.sinceUs = Math.max(bucket.sinceUs, nowUs);
    this.buckets.set(service, bucket);
    return bucket;
  };
}

interface Given {
  readonly share: number;
  readonly endUs: number;
}

interface Holder {
  readonly kind: string;
  seenUs: number;
  given: Given[];
}

export const GRANT_LASTS_US = 3_000_000;
const SEEN_US = 2_000_000;

/**
 * The duty's holder gives the rate out in shares.
 * Invariants: the shares of grants that have not ended add up to at most 1; for a whole grant's length after taking the
 * duty a holder only renews what its bearers still have from the one before, since it doesn't know what that one gave.
 */
export class RateOffice {
  private readonly holders = new Map<string, Holder>();
  private sinceUs: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** Called whenever the duty is not held here: what was given is no longer known to be all. */
  readonly lose = (): void => {
    this.sinceUs = undefined;
    this.holders.clear();
  };

  /** A share for one life of a node, for GRANT_LASTS_US from now. */
  readonly give = (life: string, kind: string, held: number): number => {
    const nowUs = this.clock.nowUs();
    this.sinceUs ??= nowUs;
    const holder = this.holders.get(life) ?? { kind, seenUs: nowUs, given: [] };
    holder.seenUs = nowUs;
    this.holders.set(life, holder);
    this.trim(nowUs);
    let others = 0;
    this.holders.forEach((other) => {
      if (other !== holder) others += outstanding(other);
    });
    const left = Math.max(0, 1 - others);
    const isNew = nowUs - this.sinceUs < GRANT_LASTS_US;
    const share = Math.min(left, isNew ? held : this.wanted(kind, nowUs));
    holder.given.push({ share, endUs: nowUs + GRANT_LASTS_US });
    return share;
  };

  /** Equal shares of the depots, or of the pointsmen as long as no depot is seen. */
  private readonly wanted = (kind: string, nowUs: number): number => {
    const seen = [...this.holders.values()].filter((other) => nowUs - other.seenUs < SEEN_US);
    const depots = seen.filter((other) => other.kind === "depot").length;
    if (kind !== "depot" && depots > 0) return 0;
    return 1 / Math.max(1, kind === "depot" ? depots : seen.length);
  };

  private readonly trim = (nowUs: number): void =>
    this.holders.forEach((holder, life) => {
      holder.given = holder.given.filter(({ endUs }) => endUs > nowUs);
      if (holder.given.length === 0 && nowUs - holder.seenUs > GRANT_LASTS_US) this.holders.delete(life);
    });
}

/** A renewal that was lost leaves the old grant in force, so the largest one counts. */
const outstanding = (holder: Holder): number => holder.given.reduce((most, { share }) => Math.max(most, share), 0);
