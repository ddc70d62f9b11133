/** A store of cached objects with a source behind it, from which it fetches on a miss. */
import { withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { ObjectUnavailable, ObjectRequest } from "../proxy/object-source.js";
import { cacheKey, type CachedObjects, type CachedObject } from "./cached-objects.js";

/** What a lookup gave: an object, or why there is none. */
export type LookupResult =
  { readonly kind: "found"; readonly copy: CachedObject } | ObjectUnavailable;

/** Fetches an object on a miss; `previous` is a cached object that may still be the newest. */
export type ObjectFetch = (
  request: ObjectRequest,
  previous: CachedObject | undefined,
) => Promise<LookupResult>;

/** What an `ObjectStore` works on. */
export interface ObjectStoreOptions {
  readonly clock: Clock;
  readonly cachedObjects: CachedObjects;
  /**
   * Whether the known purges are recent enough to serve a cached object that none of them names.
   */
  readonly isFresh: () => boolean;
  readonly source: ObjectFetch;
  /** How far beyond its maximum age a cached object may be served when the source fails. */
  readonly staleIfErrorUs: number;
}

/** Lookups so far. These names are part of the status that operators read. */
export interface ObjectStoreCounts {
  hits: number;
  misses: number;
  /** Misses that joined a fetch in flight. */
  joined: number;
  /** Lookups for which the source gave no object. */
  refused: number;
}

interface InFlightFetch {
  readonly request: ObjectRequest;
  readonly beganUs: number;
  readonly result: Promise<LookupResult>;
}

const MAX_FETCH_ATTEMPTS = 3;

/**
 * Cached objects with a source behind them. Simultaneous misses share one fetch.
 * Invariant: what `get` returns was validated after every purge naming it that was known when `get`
 * was called.
 */
export class ObjectStore {
  readonly counts: ObjectStoreCounts = { hits: 0, misses: 0, joined: 0, refused: 0 };
  private readonly inFlight = new Map<string, InFlightFetch>();

  constructor(private readonly options: ObjectStoreOptions) {}

  /** The cached object, if it may be served without a fetch. */
  readonly peek = (request: ObjectRequest): CachedObject | undefined => {
    const { clock, cachedObjects, isFresh } = this.options;
    const copy = cachedObjects.get(cacheKey(request));
    return copy && clock.nowUs() - copy.validatedAtUs <= request.maxAgeUs && isFresh()
      ? copy
      : undefined;
  };

  /** Serves an object from the cache, or fetches it; resolves by the deadline of the request. */
  readonly get = async (request: ObjectRequest): Promise<LookupResult> => {
    const { clock } = this.options;
    const copy = this.peek(request);
    if (copy) {
      this.counts.hits += 1;
      return { kind: "found", copy };
    }
    const key = cacheKey(request);
    const inFlightFetch = this.inFlight.get(key);
    const canJoin =
      inFlightFetch !== undefined &&
      clock.nowUs() - inFlightFetch.beganUs <= request.maxAgeUs &&
      inFlightFetch.request.maxAgeUs <= request.maxAgeUs;
    if (canJoin) this.counts.joined += 1;
    else this.counts.misses += 1;
    const found = await withTimeout(
      clock,
      request.deadlineUs - clock.nowUs(),
      canJoin ? inFlightFetch.result : this.begin(key, request),
      TIMED_OUT,
    );
    if (found.kind === "found") return found;
    this.counts.refused += 1;
    return this.staleIfError(request) ?? found;
  };

  /** After a purge: fetches in flight serve the requests that wait for them, and no later ones. */
  readonly detachInFlight = (): void => this.inFlight.clear();

  private readonly begin = (key: string, request: ObjectRequest): Promise<LookupResult> => {
    const inFlightFetch: InFlightFetch = {
      request,
      beganUs: this.options.clock.nowUs(),
      result: this.fetch(request),
    };
    this.inFlight.set(key, inFlightFetch);
    const forget = () => {
      if (this.inFlight.get(key) === inFlightFetch) this.inFlight.delete(key);
    };
    inFlightFetch.result.then(forget, forget);
    return inFlightFetch.result;
  };

  private readonly fetch = async (request: ObjectRequest): Promise<LookupResult> => {
    const { cachedObjects, source, clock } = this.options;
    let maxAgeUs = request.maxAgeUs;
    for (let round = 0; round < MAX_FETCH_ATTEMPTS; round += 1) {
      const purgeReceivedUs = cachedObjects.lastPurgeUs(request.host, request.url);
      if (purgeReceivedUs !== undefined)
        maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - purgeReceivedUs);
      const found = await source({ ...request, maxAgeUs }, cachedObjects.get(cacheKey(request)));
      if (found.kind === "none" || cachedObjects.put(found.copy)) return found;
      maxAgeUs = Math.min(
        maxAgeUs,
        clock.nowUs() - (cachedObjects.coveringPurgeUs(found.copy) ?? 0),
      );
    }
    return TIMED_OUT;
  };

  /** A cached object a little beyond its maximum age, where the bound on staleness allows it. */
  private readonly staleIfError = (request: ObjectRequest): LookupResult | undefined => {
    const { clock, cachedObjects, isFresh, staleIfErrorUs } = this.options;
    const copy = cachedObjects.get(cacheKey(request));
    const usable =
      copy &&
      isFresh() &&
      request.maxAgeUs === request.cacheForUs &&
      clock.nowUs() - copy.validatedAtUs <= request.cacheForUs + staleIfErrorUs;
    return usable ? { kind: "found", copy } : undefined;
  };
}

const TIMED_OUT: LookupResult = {
  kind: "none",
  reason: "late",
  retryAfterUs: 100 * MILLISECOND_US,
};
