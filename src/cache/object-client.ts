import type { Clock } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { forwardedHeaders, SERVER_SEAL_HEADER } from "../proxy/headers.js";
import type { ObjectUnavailable, ObjectResult } from "../proxy/object-source.js";
import { MILLISECOND_US } from "../common/duration.js";
import { CachedObjects, keyOf, type CachedObject } from "./cached-objects.js";
import {
  isPermitted,
  packObjectRequest,
  packPermitRequest,
  readObject,
  readRange,
  readRetryAfterUs,
  unavailableReason,
} from "./messages.js";
import { SMALL_BYTES } from "./object-server.js";
import type { PeerCaches } from "./peer-caches.js";
import type { OriginFetcher } from "./origin-fetch.js";
import { resolveRange, type ByteRange } from "./byte-range.js";
import type { RateLimiter } from "../quota/rate-limiter.js";
import { ObjectStore, type LookupResult, type Want } from "./object-store.js";

export interface ObjectClientOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  readonly sharedCaches: PeerCaches;
  /** Who gives large objects out in this cell; nobody where a depot stands in it, or this node itself does. */
  readonly zoneCaches: PeerCaches;
  readonly origin: OriginFetcher;
  readonly rateLimiter: RateLimiter;
  readonly isFresh: () => boolean;
  readonly staleIfErrorUs: number;
}

/** A route whose objects are mostly larger than this goes by the cell's hall, where there is one. */
const LARGE_BYTES = 32 * 1024;
const SIZE_WEIGHT = 0.1;

const SEALS: ReadonlySet<string> = new Set([SERVER_SEAL_HEADER]);

type Got = { readonly copy: CachedObject; readonly cut: ByteRange; readonly size: number };

const MOST_ROUNDS = 3;
const PERMIT_WAIT_US = 100 * MILLISECOND_US;
const FULL: ObjectUnavailable = {
  kind: "none",
  reason: "full",
  retryAfterUs: 100 * MILLISECOND_US,
};

const groupOf = (want: Want): string =>
  `${want.service}\n${want.host}\n${want.url.split("/")[1] ?? ""}`;

/** A pointsman's way to objects: a small store of its own, then the depots, and without any of them the origin itself. */
export class ObjectClient {
  readonly cachedObjects: CachedObjects;
  private readonly store: ObjectStore;
  /** The mean size of the objects asked for, by service and the first part of the path. */
  private readonly sizes = new Map<string, number>();

  constructor(private readonly options: ObjectClientOptions) {
    const { clock, maxBytes: roomBytes, isFresh, staleIfErrorUs: slackUs } = options;
    this.cachedObjects = new CachedObjects(clock, roomBytes, SMALL_BYTES);
    this.store = new ObjectStore({
      clock,
      cachedObjects: this.cachedObjects,
      isFresh,
      staleIfErrorUs: slackUs,
      source: this.source,
    });
  }

  readonly detachInFlight = (): void => this.store.detachInFlight();

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

  readonly fetch = async (want: Want, range: string | undefined): Promise<ObjectResult> => {
    const { sharedCaches: depots } = this.options;
    if (range !== undefined && this.store.peek(want) === undefined && depots.isAnyConnected) {
      const got = await this.part(want, range);
      return "copy" in got ? this.served(got) : got;
    }
    const found = await this.store.get(want);
    if (found.kind === "none") return found;
    const { copy } = found;
    const size = copy.body.length;
    const cut = copy.status === 200 ? resolveRange(range, size) : { kind: "whole" as const };
    const body = cut.kind === "part" ? copy.body.subarray(cut.from, cut.to + 1) : copy.body;
    return this.served({ copy: { ...copy, body }, cut, size });
  };

  /** Whether one more request may go to a service with a rate: of this node's share, or of a depot's. */
  readonly permit = async (service: string): Promise<boolean> => {
    const { sharedCaches: depots, rateLimiter: rate } = this.options;
    if (!depots.isAnyConnected) return rate.takeToken(service).ok;
    return isPermitted(await depots.ask(service, packPermitRequest(service), PERMIT_WAIT_US));
  };

  private readonly source = async (
    want: Want,
    old: CachedObject | undefined,
  ): Promise<LookupResult> => {
    const { sharedCaches: depots, origin } = this.options;
    if (!depots.isAnyConnected) return origin.fetch(want, old);
    const got = await this.ask(want, undefined, old);
    return "copy" in got ? { kind: "found", copy: got.copy } : got;
  };

  /** A part comes straight from a depot; whatever a purge covers meanwhile is asked for anew. */
  private readonly part = async (want: Want, range: string): Promise<Got | ObjectUnavailable> => {
    const { clock } = this.options;
    let { maxAgeUs } = want;
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const purgedUs = this.cachedObjects.lastPurgeUs(want.host, want.url);
      if (purgedUs !== undefined) maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - purgedUs);
      const got = await this.ask({ ...want, maxAgeUs }, range);
      if (!("copy" in got)) return got;
      const coveredUs = this.cachedObjects.coveringPurgeUs(got.copy);
      if (coveredUs === undefined) return got;
      maxAgeUs = Math.min(maxAgeUs, clock.nowUs() - coveredUs);
    }
    return FULL;
  };

  private readonly ask = async (
    want: Want,
    range: string | undefined,
    old?: CachedObject,
  ): Promise<Got | ObjectUnavailable> => {
    const { clock, sharedCaches: depots, zoneCaches: halls } = this.options;
    const askedUs = clock.nowUs();
    const message = packObjectRequest(want, askedUs, range, old);
    const viaHall = halls.isAnyConnected && this.isLarge(want);
    const early = viaHall
      ? await halls.ask(keyOf(want), message, (want.deadlineUs - askedUs) / 2)
      : undefined;
    const reply =
      early ?? (await depots.ask(keyOf(want), message, want.deadlineUs - clock.nowUs()));
    if (!reply) return FULL;
    const copy = readObject(reply, want, old, askedUs);
    if (copy === undefined) {
      return {
        kind: "none",
        reason: unavailableReason(reply),
        retryAfterUs: readRetryAfterUs(reply) ?? FULL.retryAfterUs,
      };
    }
    const told = readRange(reply);
    this.learnSize(want, told?.size ?? copy.body.length);
    if (told) return { copy, cut: told.range, size: told.size };
    const cut =
      copy.status === 200 ? resolveRange(range, copy.body.length) : { kind: "whole" as const };
    if (range === undefined) return { copy, cut, size: copy.body.length };
    this.cachedObjects.put(copy);
    return {
      copy:
        cut.kind === "part" ? { ...copy, body: copy.body.subarray(cut.from, cut.to + 1) } : copy,
      cut,
      size: copy.body.length,
    };
  };

  private readonly isLarge = (want: Want): boolean =>
    (this.sizes.get(groupOf(want)) ?? 0) > LARGE_BYTES;

  private readonly learnSize = (want: Want, size: number): void => {
    const before = this.sizes.get(groupOf(want));
    this.sizes.set(
      groupOf(want),
      before === undefined ? size : before + (size - before) * SIZE_WEIGHT,
    );
  };

  private readonly served = ({ copy, cut, size }: Got): ObjectResult => {
    if (cut.kind === "whole")
      return { kind: "served", status: copy.status, headers: copy.heads, body: copy.body };
    // No worker answered this with 416, so it bears no worker's seal.
    if (cut.kind === "past")
      return {
        kind: "served",
        status: 416,
        headers: [...forwardedHeaders(copy.heads, SEALS), "Content-Range", `bytes */${size}`],
        body: Buffer.alloc(0),
      };
    return {
      kind: "served",
      status: 206,
      headers: [...copy.heads, "Content-Range", `bytes ${cut.from}-${cut.to}/${size}`],
      body: copy.body,
    };
  };
}
