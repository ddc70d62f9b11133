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

interface Asked {
  readonly want: ObjectRequest;
  readonly old: CachedObject | undefined;
}

let clock = new ManualClock();
let copies: CachedObjects;
let store: ObjectStore;
let version = 1;
let asked: Asked[] = [];
let isFresh = true;
let refuses = false;
let isLateCache = false;
let purges = 0;

const copyOf = (url: string, bornUs: number): CachedObject => ({
  service: "s",
  host: "h",
  url,
  status: 200,
  headers: [],
  etag: `"${version}"`,
  labels: ["t1"],
  body: Buffer.from(String(version)),
  validatedAtUs: bornUs,
});

const source = async (
  want: ObjectRequest,
  old: CachedObject | undefined,
): Promise<LookupResult> => {
  asked.push({ want, old });
  if (refuses) return { kind: "none", reason: "rate", retryAfterUs: 1 };
  const beganUs = clock.nowUs();
  const copy = copyOf(
    want.url,
    isLateCache && want.maxAgeUs > 5_000_000 ? beganUs - 5_000_000 : beganUs,
  );
  await sleep(clock, 100_000);
  return { kind: "found", copy };
};

const build = (): void => {
  clock = new ManualClock();
  copies = new CachedObjects(clock, 1_000_000);
  store = new ObjectStore({
    clock,
    cachedObjects: copies,
    isFresh: () => isFresh,
    source,
    staleIfErrorUs: 1_000_000,
  });
  version = 1;
  asked = [];
  isFresh = true;
  refuses = false;
  isLateCache = false;
};

const get = async (url: string): Promise<LookupResult> => {
  const want: ObjectRequest = {
    service: "s",
    host: "h",
    url,
    cacheForUs: 40_000_000,
    maxAgeUs: 40_000_000,
    latencyTargetUs: 500_000,
    deadlineUs: clock.nowUs() + 2_000_000,
  };
  let found: LookupResult | undefined;
  void store.get(want).then((result) => {
    found = result;
  });
  for (let step = 0; step < 300 && found === undefined; step += 1) await clock.pass(10_000);
  assert.ok(found);
  return found;
};

const versionOf = (found: LookupResult): string =>
  found.kind === "found" ? found.copy.body.toString() : found.reason;

const learn = (kind: string, name: string): void => {
  purges += 1;
  copies.purge({
    id: `p${purges}`,
    host: kind === "path" ? "h" : "",
    path: kind === "path" ? name : "",
    label: kind === "label" ? name : "",
  });
  store.detachInFlight();
};

Given("a store whose source takes 100 ms", build);
Given("a store whose source is a cache with an old object", () => {
  build();
  isLateCache = true;
});
When("{int} callers want {string} at the same moment", async (count: number, url: string) => {
  await Promise.all(Array.from({ length: count }, () => get(url)));
});
When(/^(\d+) seconds? pass(?:es)? at the store$/, (seconds: string) =>
  clock.pass(Number(seconds) * 1_000_000),
);
When(
  /^the object changes and a purge of (label|path) "(.*)" is learned$/,
  async (kind: string, name: string) => {
    await clock.pass(1_000);
    version += 1;
    learn(kind, name);
  },
);
When(/^a purge of (label|path) "(.*)" is learned$/, async (kind: string, name: string) => {
  learn(kind, name);
  await clock.pass(1_000_000);
});
When(
  /^a caller wants "(.*)" and the object changes and a purge of (label|path) "(.*)" is learned meanwhile$/,
  async (url: string, kind: string, name: string) => {
    const before = get(url);
    version += 1;
    learn(kind, name);
    await before;
  },
);
When("a caller wants {string}", async (url: string) => {
  await get(url);
});
When("the updates are too old", () => {
  isFresh = false;
});
When("the source refuses for its rate", () => {
  refuses = true;
});
Then("the source was asked {int} time(s)", (count: number) => assert.equal(asked.length, count));
Then("the source was asked {int} times, the last time with the old object", (count: number) => {
  assert.equal(asked.length, count);
  assert.ok(asked[count - 1]?.old);
});
Then("a caller of {string} gets version {int}", async (url: string, wanted: number) =>
  assert.equal(versionOf(await get(url)), String(wanted)),
);
Then("a caller of {string} is refused for the rate", async (url: string) =>
  assert.equal(versionOf(await get(url)), "rate"),
);
Then("the cache was asked for an object no older than the purge", () => {
  const last = asked[asked.length - 1];
  assert.ok(last && last.want.maxAgeUs <= 1_100_000, `${last?.want.maxAgeUs}`);
});
Then(
  "the range {string} of {int} bytes resolves to {string}",
  (range: string, size: number, wanted: string) => {
    const result = resolveRange(range, size);
    assert.equal(result.kind === "partial" ? `${result.from}-${result.to}` : result.kind, wanted);
  },
);

// --- the rate limit ------------------------------------------------------------------------------

let rate = 0;
let limitFactor = 0;
let windowS = 0;
let history: { readonly atUs: number; readonly cache: string }[] = [];
let allocator: RateAllocator;

interface CacheNode {
  readonly name: string;
  readonly share: RateLimiter;
  isUp: boolean;
  isPartitioned: boolean;
}

const newCacheNode = (name: string): CacheNode => ({
  name,
  share: new RateLimiter(clock, () => rate),
  isUp: true,
  isPartitioned: false,
});
const renew = (cache: CacheNode): void => {
  if (!cache.isUp || cache.isPartitioned) return;
  const askedUs = clock.nowUs();
  cache.share.applyLease({
    share: allocator.allocate(cache.name, "depot", cache.share.share),
    expiresAtUs: askedUs + RATE_LEASE_US,
  });
};
const spendAll = (cache: CacheNode): void => {
  while (cache.isUp && cache.share.takeToken("s").ok)
    history.push({ atUs: clock.nowUs(), cache: cache.name });
};

Given(
  "an origin with a rate of {int} a second and a limit of {float} over {int} s",
  (perS: number, excess: number, seconds: number) => {
    clock = new ManualClock();
    [rate, limitFactor, windowS] = [perS, excess, seconds];
    history = [];
    allocator = new RateAllocator(clock);
  },
);
When(
  "{int} caches spend all they may for {int} s, while caches crash and start and the allocator moves",
  async (count: number, seconds: number) => {
    const caches = Array.from({ length: count }, (_, at) => newCacheNode(`d${at}`));
    let incarnations = 0;
    for (let step = 0; step < seconds * 20; step += 1) {
      await clock.pass(50_000);
      // Every 7 s one is killed and starts again as another incarnation; every 11 s one is
      // partitioned for 4 s; every 20 s the allocator moves.
      if (step % 140 === 139) {
        incarnations += 1;
        caches[incarnations % count] = newCacheNode(`again-${incarnations}`);
      }
      if (step % 220 === 219)
        caches.forEach((cache, at) => (cache.isPartitioned = at === incarnations % count));
      if (step % 220 === 80) caches.forEach((cache) => (cache.isPartitioned = false));
      if (step % 400 === 399) allocator = new RateAllocator(clock);
      if (step % 12 === 0) caches.forEach(renew);
      caches.forEach(spendAll);
    }
  },
);
When("one cache of 2 is partitioned", async () => {
  const [one, two] = [newCacheNode("one"), newCacheNode("two")];
  for (let step = 0; step < 600; step += 1) {
    await clock.pass(50_000);
    if (step === 300) one.isPartitioned = true;
    if (step % 12 === 0) [one, two].forEach(renew);
    [one, two].forEach(spendAll);
  }
});
Then("no {int} s of the recorded history hold more than the limit allows", (seconds: number) => {
  assert.equal(seconds, windowS);
  const most = rate * windowS * limitFactor + 5;
  let from = 0;
  history.forEach(({ atUs }, at) => {
    while (atUs - (history[from]?.atUs ?? atUs) > windowS * 1_000_000) from += 1;
    assert.ok(at - from + 1 <= most, `${at - from + 1} in a window`);
  });
});
Then("at least {int} requests a second were made", (least: number) =>
  assert.ok(history.length / 60 >= least, `${history.length / 60}`),
);
Then("it sends nothing once its lease has ended, and the other then gets the whole rate", () => {
  const cutUs = 1_000_000 + 301 * 50_000;
  assert.equal(
    history.filter(({ cache, atUs }) => cache === "one" && atUs > cutUs + RATE_LEASE_US).length,
    0,
  );
  const late = history.filter(
    ({ cache, atUs }) => cache === "two" && atUs > cutUs + 2 * RATE_LEASE_US,
  );
  const spanS = (clock.nowUs() - cutUs - 2 * RATE_LEASE_US) / 1_000_000;
  assert.ok(late.length / spanS > rate * 0.9, `${late.length / spanS}`);
});
