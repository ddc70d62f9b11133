import { LeaseAllocator } from "./lease-allocator.js";
import type { Clock } from "../common/clock.js";

export interface RateLease {
  readonly share: number;
  readonly expiresAtUs: number;
}

/** Kept back of the rate, and the burst that a whole rate may make: both fit in a ceiling a tenth above the rate. */
const USED_PART = 0.96;
const BURST_S = 0.2;

/**
 * What this process may send to services with a rate, from its share of it.
 * Invariants: nothing is taken without a grant that has not ended; a bucket starts empty and never holds more than its
 * share of the burst, so over all shares that add up to at most 1 a span t sees at most rate * (0.96 t + 0.2 s).
 */
export class RateLimiter {
  private grant: RateLease = { share: 0, expiresAtUs: 0 };
  private readonly buckets = new Map<string, { tokens: number; sinceUs: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly ratePerS: (service: string) => number,
  ) {}

  get share(): number {
    return this.clock.nowUs() < this.grant.expiresAtUs ? this.grant.share : 0;
  }

  readonly applyLease = (grant: RateLease): void => {
    this.buckets.forEach((_bucket, service) => this.fill(service));
    this.grant = grant;
  };

  /** Takes one request's worth, or says how long it would take to come. */
  readonly takeToken = (
    service: string,
  ): { readonly ok: true } | { readonly ok: false; readonly waitUs: number } => {
    const rate = this.ratePerS(service);
    if (rate <= 0) return { ok: true };
    const bucket = this.fill(service);
    if (this.share > 0 && bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return { ok: true };
    }
    return this.delayToNextToken(service);
  };

  /** How long the next request's worth takes to come. */
  readonly delayToNextToken = (
    service: string,
  ): { readonly ok: false; readonly waitUs: number } => {
    const perUs = (this.ratePerS(service) * USED_PART * this.share) / 1_000_000;
    return {
      ok: false,
      waitUs: perUs > 0 ? Math.ceil(Math.max(0, 1 - this.fill(service).tokens) / perUs) : 500_000,
    };
  };

  private readonly fill = (service: string): { tokens: number; sinceUs: number } => {
    const nowUs = this.clock.nowUs();
    const bucket = this.buckets.get(service) ?? { tokens: 0, sinceUs: nowUs };
    const untilUs = Math.min(nowUs, this.grant.expiresAtUs);
    const rate = this.ratePerS(service) * this.grant.share;
    const fresh = (rate * USED_PART * Math.max(0, untilUs - bucket.sinceUs)) / 1_000_000;
    bucket.tokens = Math.min(bucket.tokens + fresh, Math.max(1, rate * BURST_S));
    bucket.sinceUs = Math.max(bucket.sinceUs, nowUs);
    this.buckets.set(service, bucket);
    return bucket;
  };
}

export const RATE_LEASE_US = 3_000_000;
const SEEN_US = 2_000_000;

/** The duty's holder gives the rate out in shares: equal ones of the depots, or of the pointsmen while no depot is seen. */
export class RateAllocator {
  private readonly seen = new Map<string, { readonly kind: string; readonly atUs: number }>();
  private readonly office: LeaseAllocator;

  constructor(private readonly clock: Clock) {
    this.office = new LeaseAllocator(clock, { durationUs: RATE_LEASE_US, graceUs: 0 });
  }

  /** Called whenever the duty is not held here. */
  readonly reset = (): void => {
    this.office.reset();
    this.seen.clear();
  };

  /** A share for one life of a node, for GRANT_LASTS_US from now. */
  readonly allocate = (life: string, kind: string, held: number): number => {
    const nowUs = this.clock.nowUs();
    this.seen.set(life, { kind, atUs: nowUs });
    this.seen.forEach(({ atUs }, other) => {
      if (nowUs - atUs >= SEEN_US) this.seen.delete(other);
    });
    return this.office.allocate(life, this.wanted(kind), held, 1);
  };

  private readonly wanted = (kind: string): number => {
    const depots = [...this.seen.values()].filter((other) => other.kind === "depot").length;
    if (kind !== "depot" && depots > 0) return 0;
    return 1 / Math.max(1, kind === "depot" ? depots : this.seen.size);
  };
}
