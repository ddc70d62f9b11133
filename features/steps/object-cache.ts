import assert from "node:assert/strict";
import type { ObjectRequest } from "../../src/proxy/object-source.js";
import { Given, Then, When } from "@cucumber/cucumber";
import { CachedObjects, type CachedObject } from "../../src/cache/cached-objects.js";
import { resolveRange } from "../../src/cache/byte-range.js";
import { RATE_LEASE_US, RateAllocator } from "../../src/quota/rate-allocator.js";
import { RateLimiter } from "../../src/quota/rate-limiter.js";
import { ObjectStore, type LookupResult } from "../../src/cache/object-store.js";
import { sleep } from "../../src/common/clock.js";
import { ManualClock } from "../support/manual-clock.js";

interface SourceFetch {
  readonly request: ObjectRequest;
  readonly cached: CachedObject | undefined;
}

let clock = new ManualClock();
let cachedObjects: CachedObjects;
let store: ObjectStore;
let version = 1;
let sourceFetches: SourceFetch[] = [];
let isFresh = true;
let isRateLimited = false;
let isOutdatedCache = false;
let purgeCount = 0;

const objectOf = (url: string, validatedAtUs: number): CachedObject => ({
  service: "s",
  host: "h",
  url,
  status: 200,
  headers: [],
  etag: `"${version}"`,
  labels: ["t1"],
  body: Buffer.from(String(version)),
  validatedAtUs,
});

const source = async (
  request: ObjectRequest,
  cached: CachedObject | undefined,
): Promise<LookupResult> => {
  sourceFetches.push({ request, cached });
  if (isRateLimited) return { kind: "none", reason: "rate", retryAfterUs: 1 };
  const startedAtUs = clock.nowUs();
  const copy = objectOf(
    request.url,
    isOutdatedCache && request.maxAgeUs > 5_000_000 ? startedAtUs - 5_000_000 : startedAtUs,
  );
  await sleep(clock, 100_000);
  return { kind: "found", copy };
};

const resetStore = (): void => {
  clock = new ManualClock();
  cachedObjects = new CachedObjects(clock, 1_000_000);
  store = new ObjectStore({
    clock,
    cachedObjects,
    isFresh: () => isFresh,
    source,
    staleIfErrorUs: 1_000_000,
  });
  version = 1;
  sourceFetches = [];
  isFresh = true;
  isRateLimited = false;
  isOutdatedCache = false;
};

const fetchObject = async (url: string): Promise<LookupResult> => {
  const request: ObjectRequest = {
    service: "s",
    host: "h",
    url,
    cacheForUs: 40_000_000,
    maxAgeUs: 40_000_000,
    latencyTargetUs: 500_000,
    deadlineUs: clock.nowUs() + 2_000_000,
  };
  let found: LookupResult | undefined;
  void store.get(request).then((result) => {
    found = result;
  });
  for (let step = 0; step < 300 && found === undefined; step += 1) await clock.pass(10_000);
  assert.ok(found);
  return found;
};

const outcomeOf = (found: LookupResult): string =>
  found.kind === "found" ? found.copy.body.toString() : found.reason;

const receivePurge = (kind: string, name: string): void => {
  purgeCount += 1;
  cachedObjects.purge({
    id: `p${purgeCount}`,
    host: kind === "path" ? "h" : "",
    path: kind === "path" ? name : "",
    label: kind === "label" ? name : "",
  });
  store.detachInFlight();
};

Given("an object store whose source takes 100 ms", resetStore);
Given("an object store whose source is a cache with an outdated object", () => {
  resetStore();
  isOutdatedCache = true;
});
When("{int} clients request {string} at the same time", async (count: number, url: string) => {
  await Promise.all(Array.from({ length: count }, () => fetchObject(url)));
});
When(/^(\d+) seconds? pass(?:es)? in the store$/, (seconds: string) =>
  clock.pass(Number(seconds) * 1_000_000),
);
When(
  /^the object changes and a purge of (label|path) "(.*)" is received$/,
  async (kind: string, name: string) => {
    await clock.pass(1_000);
    version += 1;
    receivePurge(kind, name);
  },
);
When(/^a purge of (label|path) "(.*)" is received$/, async (kind: string, name: string) => {
  receivePurge(kind, name);
  await clock.pass(1_000_000);
});
When(
  /^a client requests "(.*)" and meanwhile the object changes and a purge of (label|path) "(.*)" is received$/,
  async (url: string, kind: string, name: string) => {
    const before = fetchObject(url);
    version += 1;
    receivePurge(kind, name);
    await before;
  },
);
When("a client requests {string}", async (url: string) => {
  await fetchObject(url);
});
When("the updates are stale", () => {
  isFresh = false;
});
When("the source is rate limited", () => {
  isRateLimited = true;
});
Then("the source was queried {int} time(s)", (count: number) =>
  assert.equal(sourceFetches.length, count),
);
Then(
  "the source was queried {int} times, the last time to revalidate the cached object",
  (count: number) => {
    assert.equal(sourceFetches.length, count);
    assert.ok(sourceFetches[count - 1]?.cached);
  },
);
Then("a client that requests {string} gets version {int}", async (url: string, expected: number) =>
  assert.equal(outcomeOf(await fetchObject(url)), String(expected)),
);
Then("a client that requests {string} is refused because of the rate limit", async (url: string) =>
  assert.equal(outcomeOf(await fetchObject(url)), "rate"),
);
Then("the cache was asked for an object no older than the purge", () => {
  const last = sourceFetches[sourceFetches.length - 1];
  assert.ok(last && last.request.maxAgeUs <= 1_100_000, `${last?.request.maxAgeUs}`);
});
Then(
  "the range {string} of {int} bytes resolves to {string}",
  (range: string, size: number, wanted: string) => {
    const result = resolveRange(range, size);
    assert.equal(result.kind === "partial" ? `${result.from}-${result.to}` : result.kind, wanted);
  },
);

// --- origin rate limit

let rate = 0;
let limitFactor = 0;
let windowS = 0;
let sentRequests: { readonly atUs: number; readonly cache: string }[] = [];
let allocator: RateAllocator;

interface CacheNode {
  readonly name: string;
  readonly rateLimiter: RateLimiter;
  isUp: boolean;
  isPartitioned: boolean;
}

const newCacheNode = (name: string): CacheNode => ({
  name,
  rateLimiter: new RateLimiter(clock, () => rate),
  isUp: true,
  isPartitioned: false,
});
const renewLease = (cache: CacheNode): void => {
  if (!cache.isUp || cache.isPartitioned) return;
  const askedUs = clock.nowUs();
  cache.rateLimiter.applyLease({
    share: allocator.allocate(cache.name, "depot", cache.rateLimiter.share),
    expiresAtUs: askedUs + RATE_LEASE_US,
  });
};
const sendAtFullRate = (cache: CacheNode): void => {
  while (cache.isUp && cache.rateLimiter.takeToken("s").ok)
    sentRequests.push({ atUs: clock.nowUs(), cache: cache.name });
};

Given(
  "an origin with a rate of {int} per second and a limit of {float} over {int} s",
  (perS: number, excess: number, seconds: number) => {
    clock = new ManualClock();
    [rate, limitFactor, windowS] = [perS, excess, seconds];
    sentRequests = [];
    allocator = new RateAllocator(clock);
  },
);
When(
  "{int} caches send at their full rate for {int} s while caches restart, are partitioned and the allocator is replaced",
  async (count: number, seconds: number) => {
    const caches = Array.from({ length: count }, (_, at) => newCacheNode(`d${at}`));
    let incarnations = 0;
    for (let step = 0; step < seconds * 20; step += 1) {
      await clock.pass(50_000);
      // Every 7 s one cache is replaced by a new incarnation, every 11 s one is partitioned for
      // 4 s, and every 20 s the allocator is replaced by one without state.
      if (step % 140 === 139) {
        incarnations += 1;
        caches[incarnations % count] = newCacheNode(`again-${incarnations}`);
      }
      if (step % 220 === 219)
        caches.forEach((cache, at) => (cache.isPartitioned = at === incarnations % count));
      if (step % 220 === 80) caches.forEach((cache) => (cache.isPartitioned = false));
      if (step % 400 === 399) allocator = new RateAllocator(clock);
      if (step % 12 === 0) caches.forEach(renewLease);
      caches.forEach(sendAtFullRate);
    }
  },
);
When("one of 2 caches is partitioned from the allocator", async () => {
  const [one, two] = [newCacheNode("one"), newCacheNode("two")];
  for (let step = 0; step < 600; step += 1) {
    await clock.pass(50_000);
    if (step === 300) one.isPartitioned = true;
    if (step % 12 === 0) [one, two].forEach(renewLease);
    [one, two].forEach(sendAtFullRate);
  }
});
Then("no {int} s window has more requests than the limit allows", (seconds: number) => {
  assert.equal(seconds, windowS);
  const maxRequests = rate * windowS * limitFactor + 5;
  let from = 0;
  sentRequests.forEach(({ atUs }, at) => {
    while (atUs - (sentRequests[from]?.atUs ?? atUs) > windowS * 1_000_000) from += 1;
    assert.ok(at - from + 1 <= maxRequests, `${at - from + 1} in a window`);
  });
});
Then("at least {int} requests per second were sent", (minRate: number) =>
  assert.ok(sentRequests.length / 60 >= minRate, `${sentRequests.length / 60}`),
);
Then("it sends nothing after its lease expires, and the other then gets the whole rate", () => {
  const partitionedAtUs = 1_000_000 + 301 * 50_000;
  assert.equal(
    sentRequests.filter(
      ({ cache, atUs }) => cache === "one" && atUs > partitionedAtUs + RATE_LEASE_US,
    ).length,
    0,
  );
  const laterRequests = sentRequests.filter(
    ({ cache, atUs }) => cache === "two" && atUs > partitionedAtUs + 2 * RATE_LEASE_US,
  );
  const spanS = (clock.nowUs() - partitionedAtUs - 2 * RATE_LEASE_US) / 1_000_000;
  assert.ok(laterRequests.length / spanS > rate * 0.9, `${laterRequests.length / spanS}`);
});
