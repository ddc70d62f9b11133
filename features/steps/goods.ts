import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { CachedObjects, type CachedObject } from "../../src/cache/cached-objects.js";
import { resolveRange } from "../../src/cache/byte-range.js";
import { RATE_LEASE_US, RateAllocator } from "../../src/quota/rate-allocator.js";
import { RateLimiter } from "../../src/quota/rate-limiter.js";
import { ObjectStore, type LookupResult, type Want } from "../../src/cache/object-store.js";
import { sleep } from "../../src/common/clock.js";
import { ManualClock } from "../support/manual-clock.js";

interface Asked {
  readonly want: Want;
  readonly old: CachedObject | undefined;
}

let clock = new ManualClock();
let copies: CachedObjects;
let store: ObjectStore;
let version = 1;
let asked: Asked[] = [];
let isFresh = true;
let refuses = false;
let lateDepot = false;
let purges = 0;

const copyOf = (url: string, bornUs: number): CachedObject => ({
  service: "s",
  host: "h",
  url,
  status: 200,
  heads: [],
  etag: `"${version}"`,
  labels: ["t1"],
  body: Buffer.from(String(version)),
  bornUs,
});

const source = async (want: Want, old: CachedObject | undefined): Promise<LookupResult> => {
  asked.push({ want, old });
  if (refuses) return { kind: "none", reason: "rate", retryAfterUs: 1 };
  const beganUs = clock.nowUs();
  const copy = copyOf(
    want.url,
    lateDepot && want.maxAgeUs > 5_000_000 ? beganUs - 5_000_000 : beganUs,
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
  lateDepot = false;
};

const get = async (url: string): Promise<LookupResult> => {
  const want: Want = {
    service: "s",
    host: "h",
    url,
    cacheForUs: 40_000_000,
    maxAgeUs: 40_000_000,
    latencyTargetUs: 500_000,
    deadlineUs: clock.nowUs() + 2_000_000,
  };
  let found: LookupResult | undefined;
  void store.get(want).then((told) => {
    found = told;
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
Given("a store whose source is a depot with an old copy", () => {
  build();
  lateDepot = true;
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
When("the news is too old", () => {
  isFresh = false;
});
When("the source refuses for its rate", () => {
  refuses = true;
});
Then("the source was asked {int} time(s)", (count: number) => assert.equal(asked.length, count));
Then("the source was asked {int} times, the last time with the old copy", (count: number) => {
  assert.equal(asked.length, count);
  assert.ok(asked[count - 1]?.old);
});
Then("a caller of {string} gets version {int}", async (url: string, wanted: number) =>
  assert.equal(versionOf(await get(url)), String(wanted)),
);
Then("a caller of {string} is refused for the rate", async (url: string) =>
  assert.equal(versionOf(await get(url)), "rate"),
);
Then("the depot was asked for a copy no older than the purge", () => {
  const last = asked[asked.length - 1];
  assert.ok(last && last.want.maxAgeUs <= 1_100_000, `${last?.want.maxAgeUs}`);
});
Then(
  "the range {string} of {int} bytes is {string}",
  (range: string, size: number, wanted: string) => {
    const cut = resolveRange(range, size);
    assert.equal(cut.kind === "part" ? `${cut.from}-${cut.to}` : cut.kind, wanted);
  },
);

// --- the rate
// -------------------------------------------------------------------------------------------------------

let rate = 0;
let ceiling = 0;
let windowS = 0;
let history: { readonly atUs: number; readonly depot: string }[] = [];
let office: RateAllocator;

interface Depot {
  readonly name: string;
  readonly share: RateLimiter;
  isUp: boolean;
  isCut: boolean;
}

const newDepot = (name: string): Depot => ({
  name,
  share: new RateLimiter(clock, () => rate),
  isUp: true,
  isCut: false,
});
const renew = (depot: Depot): void => {
  if (!depot.isUp || depot.isCut) return;
  const askedUs = clock.nowUs();
  depot.share.applyLease({
    share: office.allocate(depot.name, "depot", depot.share.share),
    expiresAtUs: askedUs + RATE_LEASE_US,
  });
};
const spendAll = (depot: Depot): void => {
  while (depot.isUp && depot.share.takeToken("s").ok)
    history.push({ atUs: clock.nowUs(), depot: depot.name });
};

Given(
  "an origin with a rate of {int} a second and a ceiling of {float} over {int} s",
  (perS: number, excess: number, seconds: number) => {
    clock = new ManualClock();
    [rate, ceiling, windowS] = [perS, excess, seconds];
    history = [];
    office = new RateAllocator(clock);
  },
);
When(
  "{int} depots spend all they may for {int} s, while depots die and start and the duty moves",
  async (count: number, seconds: number) => {
    const depots = Array.from({ length: count }, (_, at) => newDepot(`d${at}`));
    let lives = 0;
    for (let step = 0; step < seconds * 20; step += 1) {
      await clock.pass(50_000);
      // Every 7 s one is killed and starts again as another life; every 11 s one is cut off for 4
      // s; every 20 s the duty moves.
      if (step % 140 === 139) {
        lives += 1;
        depots[lives % count] = newDepot(`again-${lives}`);
      }
      if (step % 220 === 219) depots.forEach((depot, at) => (depot.isCut = at === lives % count));
      if (step % 220 === 80) depots.forEach((depot) => (depot.isCut = false));
      if (step % 400 === 399) office = new RateAllocator(clock);
      if (step % 12 === 0) depots.forEach(renew);
      depots.forEach(spendAll);
    }
  },
);
When("one depot of 2 is cut off", async () => {
  const [one, two] = [newDepot("one"), newDepot("two")];
  for (let step = 0; step < 600; step += 1) {
    await clock.pass(50_000);
    if (step === 300) one.isCut = true;
    if (step % 12 === 0) [one, two].forEach(renew);
    [one, two].forEach(spendAll);
  }
});
Then("no {int} s of the recorded history hold more than the ceiling allows", (seconds: number) => {
  assert.equal(seconds, windowS);
  const most = rate * windowS * ceiling + 5;
  let from = 0;
  history.forEach(({ atUs }, at) => {
    while (atUs - (history[from]?.atUs ?? atUs) > windowS * 1_000_000) from += 1;
    assert.ok(at - from + 1 <= most, `${at - from + 1} in a window`);
  });
});
Then("at least {int} requests a second were made", (least: number) =>
  assert.ok(history.length / 60 >= least, `${history.length / 60}`),
);
Then("it sends nothing once its grant has ended, and the other then gets the whole rate", () => {
  const cutUs = 1_000_000 + 301 * 50_000;
  assert.equal(
    history.filter(({ depot, atUs }) => depot === "one" && atUs > cutUs + RATE_LEASE_US).length,
    0,
  );
  const late = history.filter(
    ({ depot, atUs }) => depot === "two" && atUs > cutUs + 2 * RATE_LEASE_US,
  );
  const spanS = (clock.nowUs() - cutUs - 2 * RATE_LEASE_US) / 1_000_000;
  assert.ok(late.length / spanS > rate * 0.9, `${late.length / spanS}`);
});
