/** A gateway's access to the objects of cached routes. */
import type { Clock } from "../common/clock.js";
import type { Message } from "../transport/connection.js";
import type { UnknownRecord } from "../common/decode.js";
import { forwardedHeaders, SERVER_SEAL_HEADER } from "../proxy/headers.js";
import type { ObjectUnavailable, ObjectResult, ObjectRequest } from "../proxy/object-source.js";
import { MILLISECOND_US } from "../common/duration.js";
import { CachedObjects, cacheKey, type CachedObject } from "./cached-objects.js";
import {
  isPermitted,
  packObjectRequest,
  packPermitRequest,
  readObject,
  readRange,
  readRetryAfterUs,
  unavailableReason,
} from "./messages.js";
import { MAX_SMALL_OBJECT_BYTES } from "./object-server.js";
import type { PeerCaches } from "./peer-caches.js";
import type { OriginFetcher } from "./origin-fetch.js";
import { resolveRange, type RangeResult } from "./byte-range.js";
import type { RateLimiter } from "../quota/rate-limiter.js";
import { ObjectStore, type LookupResult } from "./object-store.js";

/** Dependencies and limits of {@link ObjectClient}. */
export interface ObjectClientOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  readonly sharedCaches: PeerCaches;
  /**
   * The nodes that distribute large objects in this zone. Empty if a cache runs in the zone, or if
   * this node is the distributor.
   */
  readonly zoneDistributors: PeerCaches;
  readonly origin: OriginFetcher;
  readonly rateLimiter: RateLimiter;
  readonly isFresh: () => boolean;
  readonly staleIfErrorUs: number;
}

/** Requests whose mean object size is larger go through the zone's distributor, if there is one. */
const LARGE_OBJECT_BYTES = 32 * 1024;
const MEAN_SIZE_WEIGHT = 0.1;

const SEAL_HEADERS: ReadonlySet<string> = new Set([SERVER_SEAL_HEADER]);

interface ClientReply {
  readonly copy: CachedObject;
  readonly range: RangeResult;
  readonly size: number;
}

const MAX_FETCH_ATTEMPTS = 3;
const PERMIT_TIMEOUT_US = 100 * MILLISECOND_US;
const OVERLOADED: ObjectUnavailable = {
  kind: "none",
  reason: "full",
  retryAfterUs: 100 * MILLISECOND_US,
};

const pathGroup = (request: ObjectRequest): string =>
  `${request.service}\n${request.host}\n${request.url.split("/")[1] ?? ""}`;

/**
 * Serves objects from a small local store, then from the shared caches, and directly from the
 * origin while no cache is connected.
 */
export class ObjectClient {
  readonly cachedObjects: CachedObjects;
  private readonly store: ObjectStore;
  /** Mean size of the requested objects, by service, host and first path segment. */
  private readonly meanSizes = new Map<string, number>();

  constructor(private readonly options: ObjectClientOptions) {
    const { clock, maxBytes, isFresh, staleIfErrorUs } = options;
    this.cachedObjects = new CachedObjects(clock, maxBytes, MAX_SMALL_OBJECT_BYTES);
    this.store = new ObjectStore({
      clock,
      cachedObjects: this.cachedObjects,
      isFresh,
      staleIfErrorUs,
      source: this.fetchOnMiss,
    });
  }

  /** To be called after a purge: later requests do not join the fetches in flight. */
  readonly detachInFlight = (): void => this.store.detachInFlight();

  /** The counters that the gateway's status shows. */
  readonly snapshot = (): UnknownRecord => ({
    ...this.store.counts,
    copies: this.cachedObjects.size,
    bytes: this.cachedObjects.bytes,
    droppedByPurges: this.cachedObjects.droppedByPurges,
    fetches: this.options.origin.fetches,
    checks: this.options.origin.revalidations,
    refusedForRate: this.options.origin.rateLimited,
    share: this.options.rateLimiter.share,
  });

  /** Fetches an object, or the part of it selected by `range`, the value of a `Range` header. */
  readonly fetch = async (
    request: ObjectRequest,
    range: string | undefined,
  ): Promise<ObjectResult> => {
    const { sharedCaches: caches } = this.options;
    if (range !== undefined && this.store.peek(request) === undefined && caches.isAnyConnected) {
      const reply = await this.fetchRange(request, range);
      return "copy" in reply ? this.toServedObject(reply) : reply;
    }
    const found = await this.store.get(request);
    if (found.kind === "none") return found;
    const { copy } = found;
    const size = copy.body.length;
    const resolvedRange =
      copy.status === 200 ? resolveRange(range, size) : { kind: "full" as const };
    const body =
      resolvedRange.kind === "partial"
        ? copy.body.subarray(resolvedRange.from, resolvedRange.to + 1)
        : copy.body;
    return this.toServedObject({ copy: { ...copy, body }, range: resolvedRange, size });
  };

  /**
   * Whether one more request may be sent to a service with a rate limit. Taken from a cache's share
   * of the rate, or from this node's while no cache is connected.
   */
  readonly permit = async (service: string): Promise<boolean> => {
    const { sharedCaches: caches, rateLimiter } = this.options;
    if (!caches.isAnyConnected) return rateLimiter.takeToken(service).ok;
    return isPermitted(
      await caches.request(service, packPermitRequest(service), PERMIT_TIMEOUT_US),
    );
  };

  private readonly fetchOnMiss = async (
    request: ObjectRequest,
    previous: CachedObject | undefined,
  ): Promise<LookupResult> => {
    const { sharedCaches: caches, origin } = this.options;
    if (!caches.isAnyConnected) return origin.fetch(request, previous);
    const reply = await this.requestObject(request, undefined, previous);
    return "copy" in reply ? { kind: "found", copy: reply.copy } : reply;
  };

  /**
   * Fetches a range from a cache. A reply that a purge covers in the meantime is requested again.
   */
  private readonly fetchRange = async (
    request: ObjectRequest,
    range: string,
  ): Promise<ClientReply | ObjectUnavailable> => {
    const { clock } = this.options;
    let { maxAgeUs } = request;
    for (let attempt = 0; attempt < MAX_FETCH_ATTEMPTS; attempt += 1) {
      const purgeReceivedUs = this.cachedObjects.lastPurgeUs(request.host, request.url);
      if (purgeReceivedUs !== undefined)
        maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - purgeReceivedUs);
      const reply = await this.requestObject({ ...request, maxAgeUs }, range);
      if (!("copy" in reply)) return reply;
      const coveringPurgeUs = this.cachedObjects.coveringPurgeUs(reply.copy);
      if (coveringPurgeUs === undefined) return reply;
      maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - coveringPurgeUs);
    }
    return OVERLOADED;
  };

  /** Requests an object from the zone's distributor if it is large, then from the caches. */
  private readonly requestObject = async (
    request: ObjectRequest,
    range: string | undefined,
    previous?: CachedObject,
  ): Promise<ClientReply | ObjectUnavailable> => {
    const { clock, sharedCaches: caches, zoneDistributors } = this.options;
    const sentAtUs = clock.nowUs();
    const message = packObjectRequest(request, sentAtUs, range, previous);
    const viaDistributor = zoneDistributors.isAnyConnected && this.isLarge(request);
    const distributorReply = viaDistributor
      ? await zoneDistributors.request(
          cacheKey(request),
          message,
          (request.deadlineUs - sentAtUs) / 2,
        )
      : undefined;
    const reply =
      distributorReply ??
      (await caches.request(cacheKey(request), message, request.deadlineUs - clock.nowUs()));
    if (!reply) return OVERLOADED;
    const copy = readObject(reply, request, previous, sentAtUs);
    if (copy) return this.acceptReply(reply, request, copy, range);
    return {
      kind: "none",
      reason: unavailableReason(reply),
      retryAfterUs: readRetryAfterUs(reply) ?? OVERLOADED.retryAfterUs,
    };
  };

  /**
   * Selects the requested range of the object in a reply. An object that arrives complete, although
   * a range was requested, is added to the cached objects.
   */
  private readonly acceptReply = (
    reply: Message,
    request: ObjectRequest,
    copy: CachedObject,
    range: string | undefined,
  ): ClientReply => {
    const partial = readRange(reply);
    this.recordSize(request, partial?.size ?? copy.body.length);
    if (partial) return { copy, range: partial.range, size: partial.size };
    const resolvedRange =
      copy.status === 200 ? resolveRange(range, copy.body.length) : { kind: "full" as const };
    if (range === undefined) return { copy, range: resolvedRange, size: copy.body.length };
    this.cachedObjects.put(copy);
    return {
      copy:
        resolvedRange.kind === "partial"
          ? { ...copy, body: copy.body.subarray(resolvedRange.from, resolvedRange.to + 1) }
          : copy,
      range: resolvedRange,
      size: copy.body.length,
    };
  };

  private readonly isLarge = (request: ObjectRequest): boolean =>
    (this.meanSizes.get(pathGroup(request)) ?? 0) > LARGE_OBJECT_BYTES;

  private readonly recordSize = (request: ObjectRequest, size: number): void => {
    const previousMean = this.meanSizes.get(pathGroup(request));
    this.meanSizes.set(
      pathGroup(request),
      previousMean === undefined ? size : previousMean + (size - previousMean) * MEAN_SIZE_WEIGHT,
    );
  };

  private readonly toServedObject = ({
    copy,
    range: resolvedRange,
    size,
  }: ClientReply): ObjectResult => {
    if (resolvedRange.kind === "full")
      return { kind: "served", status: copy.status, headers: copy.headers, body: copy.body };
    // No worker sent this 416 response, so it must not carry a worker's seal.
    if (resolvedRange.kind === "unsatisfiable")
      return {
        kind: "served",
        status: 416,
        headers: [
          ...forwardedHeaders(copy.headers, SEAL_HEADERS),
          "Content-Range",
          `bytes */${size}`,
        ],
        body: Buffer.alloc(0),
      };
    return {
      kind: "served",
      status: 206,
      headers: [
        ...copy.headers,
        "Content-Range",
        `bytes ${resolvedRange.from}-${resolvedRange.to}/${size}`,
      ],
      body: copy.body,
    };
  };
}
