/** Store of cached objects that fetches from a source on a miss. */
import { withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { ObjectUnavailable, ObjectRequest } from "../proxy/object-source.js";
import { cacheKey, type CachedObjects, type CachedObject } from "./cached-objects.js";

/** Result of a lookup: an object, or the reason why there is none. */
export type LookupResult =
  { readonly kind: "found"; readonly copy: CachedObject } | ObjectUnavailable;

/** Fetches an object on a miss; `previous` is a cached object that may still be current. */
export type ObjectFetch = (
  request: ObjectRequest,
  previous: CachedObject | undefined,
) => Promise<LookupResult>;

/** Dependencies and limits of {@link ObjectStore}. */
export interface ObjectStoreOptions {
  readonly clock: Clock;
  readonly cachedObjects: CachedObjects;
  /**
   * Whether the knowledge of purges is recent enough to serve a cached object that no known purge
   * covers.
   */
  readonly isFresh: () => boolean;
  readonly source: ObjectFetch;
  /** How far beyond its maximum age a cached object may be served when the source fails. */
  readonly staleIfErrorUs: number;
}

/** Counters of lookups. The field names are part of the status that operators read. */
export interface ObjectStoreCounts {
  hits: number;
  misses: number;
  /** Misses that joined a fetch in flight. */
  joined: number;
  /** Lookups for which the source returned no object. */
  refused: number;
}

interface InFlightFetch {
  readonly request: ObjectRequest;
  readonly startedAtUs: number;
  readonly result: Promise<LookupResult>;
}

const MAX_FETCH_ATTEMPTS = 3;

/**
 * Serves cached objects, and fetches from the source on a miss. Concurrent misses of one object
 * share a fetch. Invariant: an object that `get` returns was validated after every purge covering
 * it that was known when `get` was called.
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
      clock.nowUs() - inFlightFetch.startedAtUs <= request.maxAgeUs &&
      inFlightFetch.request.maxAgeUs <= request.maxAgeUs;
    if (canJoin) this.counts.joined += 1;
    else this.counts.misses += 1;
    const found = await withTimeout(
      clock,
      request.deadlineUs - clock.nowUs(),
      canJoin ? inFlightFetch.result : this.startFetch(key, request),
      TIMED_OUT,
    );
    if (found.kind === "found") return found;
    this.counts.refused += 1;
    return this.staleIfError(request) ?? found;
  };

  /**
   * To be called after a purge: fetches in flight serve the requests that already wait for them,
   * and no later ones.
   */
  readonly detachInFlight = (): void => this.inFlight.clear();

  private readonly startFetch = (key: string, request: ObjectRequest): Promise<LookupResult> => {
    const inFlightFetch: InFlightFetch = {
      request,
      startedAtUs: this.options.clock.nowUs(),
      result: this.fetch(request),
    };
    this.inFlight.set(key, inFlightFetch);
    const removeWhenSettled = () => {
      if (this.inFlight.get(key) === inFlightFetch) this.inFlight.delete(key);
    };
    inFlightFetch.result.then(removeWhenSettled, removeWhenSettled);
    return inFlightFetch.result;
  };

  private readonly fetch = async (request: ObjectRequest): Promise<LookupResult> => {
    const { cachedObjects, source, clock } = this.options;
    let maxAgeUs = request.maxAgeUs;
    for (let attempt = 0; attempt < MAX_FETCH_ATTEMPTS; attempt += 1) {
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

  /**
   * A cached object that exceeds its maximum age by at most `staleIfErrorUs`, unless the request
   * demands a fresher one.
   */
  private readonly staleIfError = (request: ObjectRequest): LookupResult | undefined => {
    const { clock, cachedObjects, isFresh, staleIfErrorUs } = this.options;
    const copy = cachedObjects.get(cacheKey(request));
    const isUsable =
      copy &&
      isFresh() &&
      request.maxAgeUs === request.cacheForUs &&
      clock.nowUs() - copy.validatedAtUs <= request.cacheForUs + staleIfErrorUs;
    return isUsable ? { kind: "found", copy } : undefined;
  };
}

const TIMED_OUT: LookupResult = {
  kind: "none",
  reason: "late",
  retryAfterUs: 100 * MILLISECOND_US,
};
