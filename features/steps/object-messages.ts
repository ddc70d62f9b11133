import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { Then } from "@cucumber/cucumber";
import { CachedObjects, type CachedObject } from "../../src/cache/cached-objects.js";
import { ObjectClient } from "../../src/cache/object-client.js";
import { packObjectRequest } from "../../src/cache/messages.js";
import { ObjectServer } from "../../src/cache/object-server.js";
import { ObjectStore, type LookupResult } from "../../src/cache/object-store.js";
import { OriginFetcher } from "../../src/cache/origin-fetch.js";
import { PeerCaches } from "../../src/cache/peer-caches.js";
import { sleep, type Clock } from "../../src/common/clock.js";
import {
  asList,
  asRecord,
  asString,
  isRecord,
  parseJson,
  readBoolean,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../../src/common/decode.js";
import { silentLogger } from "../../src/common/logger.js";
import { LoadBalancer } from "../../src/proxy/load-balancer.js";
import type { ObjectResult, ObjectRequest } from "../../src/proxy/object-source.js";
import { RetryBudgets } from "../../src/proxy/retry-budget.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import { RateLimiter } from "../../src/quota/rate-limiter.js";
import type { Message } from "../../src/transport/connection.js";
import { toPlainJson, messageOf } from "../support/golden.js";
import { ManualClock, settle } from "../support/manual-clock.js";

const FILE = "features/data/before-2026-12-objects/objects.json";
const CACHE_TTL_US = 40_000_000;

const golden = async (): Promise<UnknownRecord> =>
  asRecord(parseJson(await readFile(FILE, "utf8")), FILE);

const requestOf = (clock: Clock, url: string, leftUs = 900_000): ObjectRequest => ({
  service: "s",
  host: "h.example",
  url,
  cacheForUs: CACHE_TTL_US,
  maxAgeUs: CACHE_TTL_US,
  latencyTargetUs: 500_000,
  deadlineUs: clock.nowUs() + leftUs,
});

const objectOf = (etag: string): CachedObject => ({
  service: "s",
  host: "h.example",
  url: "/small",
  status: 200,
  headers: [],
  etag,
  labels: [],
  body: Buffer.from("old"),
  validatedAtUs: 0,
});

Then("requests for objects are encoded as recorded", async () => {
  const clock = new ManualClock();
  const rows = asList((await golden())["packed"]).map((row) => asRecord(row));
  assert.equal(rows.length, 4);
  for (const row of rows) {
    const { range, etag } = row;
    const packed = packObjectRequest(
      requestOf(clock, readString(row, "url"), readNumber(row, "leftUs")),
      clock.nowUs(),
      range === undefined ? undefined : asString(range),
      etag === undefined ? undefined : objectOf(asString(etag)),
      readBoolean(row, "isHop"),
    );
    assert.deepEqual(toPlainJson(packed), row["message"]);
  }
});

/** Origin that serves the objects and failures listed in the golden data. */
const originOf =
  (clock: Clock, data: UnknownRecord) =>
  async (request: ObjectRequest): Promise<LookupResult> => {
    const failure = asRecord(data["none"])[request.url];
    if (isRecord(failure))
      return {
        kind: "none",
        reason: readString(failure, "why") === "rate" ? "rate" : "full",
        retryAfterUs: readNumber(failure, "comeBackUs"),
      };
    const row = asList(data["objects"])
      .map((value) => asRecord(value))
      .find(({ url }) => url === request.url);
    assert.ok(row, request.url);
    const validatedAtUs = clock.nowUs() - readNumber(row, "ageUs");
    const delayUs = readNumber(row, "slowUs");
    if (delayUs > 0) await sleep(clock, delayUs);
    return {
      kind: "found",
      copy: {
        service: request.service,
        host: request.host,
        url: request.url,
        status: readNumber(row, "status"),
        headers: readList(row, "heads", asString),
        etag: readString(row, "etag"),
        labels: readList(row, "labels", asString),
        body: Buffer.from(readString(row, "text").repeat(readNumber(row, "times"))),
        validatedAtUs,
      },
    };
  };

/** Stream of incoming messages, in the order in which they are pushed. */
class Incoming implements AsyncIterable<Message> {
  private readonly queue: Message[] = [];
  private wake: () => void = () => undefined;

  readonly push = (message: Message): void => {
    this.queue.push(message);
    this.wake();
  };

  async *[Symbol.asyncIterator](): AsyncGenerator<Message> {
    for (;;) {
      const message = this.queue.shift();
      if (message) yield message;
      else await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }
}

Then("the object server's answers are identical to the recorded ones", async () => {
  const data = await golden();
  const clock = new ManualClock();
  const storeOf = () =>
    new ObjectStore({
      clock,
      cachedObjects: new CachedObjects(clock, 10_000_000),
      isFresh: () => true,
      staleIfErrorUs: 1_000_000,
      source: originOf(clock, data),
    });
  const server = new ObjectServer({
    clock,
    store: storeOf(),
    ownStore: storeOf(),
    // A service with a rate limit of which no share has been leased has no tokens.
    rateLimiter: new RateLimiter(clock, (service) => (service === "spent" ? 1 : 0)),
    log: silentLogger,
  });
  const sent: unknown[] = [];
  const incoming = new Incoming();
  void server.serve(
    { send: (message: Message) => void sent.push(toPlainJson(message)) },
    { kind: "goods" },
    incoming,
  );
  await settle();
  const rows = asList(data["server"]).map((row) => asRecord(row));
  assert.equal(rows.length, 14);
  for (const { message, sent: expected } of rows) {
    if (message !== null) {
      incoming.push(messageOf(message));
      await settle();
      await clock.pass(200_000);
    }
    assert.deepEqual(sent.splice(0), expected, JSON.stringify(message));
  }
});

/** Peer cache stub: answers with the next golden reply and records the requests. */
class RecordedCache extends PeerCaches {
  nextReply: unknown = null;
  private readonly requests: unknown[] = [];

  override get isAnyConnected(): boolean {
    return true;
  }

  override readonly request = async (
    key: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    this.requests.push(toPlainJson({ key, message, waitUs }));
    return this.nextReply === null ? undefined : messageOf(this.nextReply);
  };

  readonly takeRequests = (): unknown => this.requests.splice(0);
}

const originFetcher = (clock: Clock, rateLimiter: RateLimiter): OriginFetcher => {
  const workers = new WorkerDirectory(clock, "n1", "c1");
  const origin = new OriginFetcher({
    clock,
    workers,
    loadBalancer: new LoadBalancer({
      workers,
      zone: "c1",
      random: () => 0,
      connectionShare: () => 1,
    }),
    rateLimiter,
    retryBudgets: new RetryBudgets({
      clock,
      log: silentLogger,
      windowUs: 1_000_000,
      limits: () => ({}),
    }),
    countFault: () => undefined,
    maxObjectBytes: 0,
  });
  origin.fetches = 1;
  origin.revalidations = 2;
  origin.rateLimited = 3;
  return origin;
};

const newClient = (
  clock: Clock,
): { readonly client: ObjectClient; readonly cache: RecordedCache } => {
  const cache = new RecordedCache(clock);
  const rateLimiter = new RateLimiter(clock, () => 0);
  rateLimiter.applyLease({ share: 0.25, expiresAtUs: Number.POSITIVE_INFINITY });
  const client = new ObjectClient({
    clock,
    maxBytes: 1_000_000,
    sharedCaches: cache,
    zoneDistributors: new PeerCaches(clock),
    origin: originFetcher(clock, rateLimiter),
    rateLimiter,
    isFresh: () => true,
    staleIfErrorUs: 1_000_000,
  });
  return { client, cache };
};

/** The result with the field names that were used in memory when the golden data was written. */
const formerResult = (result: ObjectResult): unknown =>
  toPlainJson(
    result.kind === "served"
      ? { kind: "served", status: result.status, heads: result.headers, body: result.body }
      : { kind: "none", why: result.reason, comeBackUs: result.retryAfterUs },
  );

Then("the object client turns the recorded replies into the recorded results", async () => {
  const data = await golden();
  const clock = new ManualClock();
  const { client, cache } = newClient(clock);
  const rows = asList(data["client"]).map((row) => asRecord(row));
  assert.equal(rows.length, 15);
  for (const row of rows) {
    await clock.pass(typeof row["afterUs"] === "number" ? row["afterUs"] : 1_000);
    cache.nextReply = row["reply"];
    const result = await client.fetch(
      requestOf(clock, readString(row, "url")),
      row["range"] === undefined ? undefined : asString(row["range"]),
    );
    assert.deepEqual(cache.takeRequests(), row["asked"]);
    assert.deepEqual(formerResult(result), row["result"]);
  }
  for (const row of asList(data["permits"]).map((value) => asRecord(value))) {
    cache.nextReply = row["reply"];
    assert.equal(await client.permit("s"), row["isPermitted"]);
    assert.deepEqual(cache.takeRequests(), row["asked"]);
  }
  assert.deepEqual(toPlainJson(client.snapshot()), data["snapshot"]);
});
