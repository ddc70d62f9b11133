/** Limits the requests that one process sends to a service to its share of the service's rate. */
import type { Clock } from "../common/clock.js";

/** A share of all rates, from 0 to 1, that expires at a time on this process's clock. */
export interface RateLease {
  readonly share: number;
  readonly expiresAtUs: number;
}

/**
 * The fraction of a rate that is used. Including the burst, usage stays within 110% of the rate.
 */
const USED_FRACTION = 0.96;
/** Maximum burst over all shares, in seconds of the rate. */
const BURST_S = 0.2;
/** Delay that is reported to a client while there is no lease. */
const DELAY_WITHOUT_LEASE_US = 500_000;

interface TokenBucket {
  tokens: number;
  filledUs: number;
}

/**
 * Keeps a token bucket for each service with a rate, refilled with this process's share of the
 * rate.
 *
 * Invariants: a token is only taken under an unexpired lease; a bucket starts empty and never holds
 * more than its share of the burst, or one token if that is more. If all shares add up to at most
 * 1 and each amounts to at least one token of burst, then at most rate * (0.96 t + 0.2 s) requests
 * are sent in a time span t.
 */
export class RateLimiter {
  private lease: RateLease = { share: 0, expiresAtUs: 0 };
  private readonly buckets = new Map<string, TokenBucket>();

  constructor(
    private readonly clock: Clock,
    private readonly ratePerS: (service: string) => number,
  ) {}

  /** This process's share of all rates; 0 without a lease. */
  get share(): number {
    return this.clock.nowUs() < this.lease.expiresAtUs ? this.lease.share : 0;
  }

  /** Replaces the current lease. Tokens accumulated under it remain. */
  readonly applyLease = (lease: RateLease): void => {
    this.buckets.forEach((_bucket, service) => this.fill(service));
    this.lease = lease;
  };

  /** Takes a token for one request, or returns the time until the next one is available. */
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

  /** Time until the next token is available, in microseconds. */
  readonly delayToNextToken = (
    service: string,
  ): { readonly ok: false; readonly waitUs: number } => {
    const tokensPerUs = (this.ratePerS(service) * USED_FRACTION * this.share) / 1_000_000;
    return {
      ok: false,
      waitUs:
        tokensPerUs > 0
          ? Math.ceil(Math.max(0, 1 - this.fill(service).tokens) / tokensPerUs)
          : DELAY_WITHOUT_LEASE_US,
    };
  };

  private readonly fill = (service: string): TokenBucket => {
    const nowUs = this.clock.nowUs();
    const bucket = this.buckets.get(service) ?? { tokens: 0, filledUs: nowUs };
    const untilUs = Math.min(nowUs, this.lease.expiresAtUs);
    const rate = this.ratePerS(service) * this.lease.share;
    const addedTokens = (rate * USED_FRACTION * Math.max(0, untilUs - bucket.filledUs)) / 1_000_000;
    bucket.tokens = Math.min(bucket.tokens + addedTokens, Math.max(1, rate * BURST_S));
    bucket.filledUs = Math.max(bucket.filledUs, nowUs);
    this.buckets.set(service, bucket);
    return bucket;
  };
}
