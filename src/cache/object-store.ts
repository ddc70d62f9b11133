import { withTimeout, type Clock } from "../common/clock.js";
import type { ObjectUnavailable, ObjectRequest } from "../proxy/object-source.js";
import { keyOf, type CachedObjects, type CachedObject } from "./cached-objects.js";

export type { ObjectRequest as Want };

export type LookupResult =
  { readonly kind: "found"; readonly copy: CachedObject } | ObjectUnavailable;

/** Where an object comes from on a miss; `old` is a copy that may still be the newest. */
export type ObjectFetch = (
  want: ObjectRequest,
  old: CachedObject | undefined,
) => Promise<LookupResult>;

export interface ObjectStoreOptions {
  readonly clock: Clock;
  readonly cachedObjects: CachedObjects;
  /** Whether the news is so new that a copy no purge names may be served. */
  readonly isFresh: () => boolean;
  readonly source: ObjectFetch;
  /** How far beyond its age a copy may be used when nothing else is to be had. */
  readonly staleIfErrorUs: number;
}

export interface ObjectStoreCounts {
  hits: number;
  misses: number;
  joined: number;
  refused: number;
}

interface Running {
  readonly want: ObjectRequest;
  readonly beganUs: number;
  readonly found: Promise<LookupResult>;
}

const MOST_ROUNDS = 3;

/**
 * Copies with a source behind them. Simultaneous misses share one fetch.
 * Invariant: what `get` gives was born after every purge naming it that was known when `get` was called.
 */
export class ObjectStore {
  readonly counts: ObjectStoreCounts = { hits: 0, misses: 0, joined: 0, refused: 0 };
  private readonly inFlight = new Map<string, Running>();

  constructor(private readonly options: ObjectStoreOptions) {}

  /** A copy that may be given at once. */
  readonly peek = (want: ObjectRequest): CachedObject | undefined => {
    const { clock, cachedObjects: copies, isFresh } = this.options;
    const copy = copies.get(keyOf(want));
    return copy && clock.nowUs() - copy.bornUs <= want.maxAgeUs && isFresh() ? copy : undefined;
  };

  readonly get = async (want: ObjectRequest): Promise<LookupResult> => {
    const { clock } = this.options;
    const copy = this.peek(want);
    if (copy) {
      this.counts.hits += 1;
      return { kind: "found", copy };
    }
    const key = keyOf(want);
    const running = this.inFlight.get(key);
    const joins =
      running !== undefined &&
      clock.nowUs() - running.beganUs <= want.maxAgeUs &&
      running.want.maxAgeUs <= want.maxAgeUs;
    if (joins) this.counts.joined += 1;
    else this.counts.misses += 1;
    const found = await withTimeout(
      clock,
      want.deadlineUs - clock.nowUs(),
      joins ? running.found : this.begin(key, want),
      TIMED_OUT,
    );
    if (found.kind === "found") return found;
    this.counts.refused += 1;
    return this.staleIfError(want) ?? found;
  };

  /** On learning of a purge: what runs already serves who waits for it, and nobody who comes later. */
  readonly detachInFlight = (): void => this.inFlight.clear();

  private readonly begin = (key: string, want: ObjectRequest): Promise<LookupResult> => {
    const running: Running = { want, beganUs: this.options.clock.nowUs(), found: this.fetch(want) };
    this.inFlight.set(key, running);
    const over = () => {
      if (this.inFlight.get(key) === running) this.inFlight.delete(key);
    };
    running.found.then(over, over);
    return running.found;
  };

  private readonly fetch = async (want: ObjectRequest): Promise<LookupResult> => {
    const { cachedObjects: copies, source, clock } = this.options;
    let maxAgeUs = want.maxAgeUs;
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const purgedUs = copies.lastPurgeUs(want.host, want.url);
      if (purgedUs !== undefined) maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - purgedUs);
      const found = await source({ ...want, maxAgeUs }, copies.get(keyOf(want)));
      if (found.kind === "none" || copies.put(found.copy)) return found;
      maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - (copies.coveringPurgeUs(found.copy) ?? 0));
    }
    return TIMED_OUT;
  };

  /** A copy a little beyond its age, where the bound on staleness still has room for it. */
  private readonly staleIfError = (want: ObjectRequest): LookupResult | undefined => {
    const { clock, cachedObjects: copies, isFresh, staleIfErrorUs: slackUs } = this.options;
    const copy = copies.get(keyOf(want));
    const usable =
      copy &&
      isFresh() &&
      want.maxAgeUs === want.cacheForUs &&
      clock.nowUs() - copy.bornUs <= want.cacheForUs + slackUs;
    return usable ? { kind: "found", copy } : undefined;
  };
}

const TIMED_OUT: LookupResult = { kind: "none", reason: "late", retryAfterUs: 100_000 };
