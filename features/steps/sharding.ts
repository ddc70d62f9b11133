import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "../support/manual-clock.js";
import { ReleaseTracker } from "../../src/sharding/release-tracker.js";
import type { ShardReport } from "../../src/sharding/shard-heartbeat.js";
import { planNextTable, type ShardWorker } from "../../src/sharding/shard-planner.js";
import { findRow, MAX_SHARD_KEY, type ShardRow } from "../../src/sharding/shard-table.js";
import { seeded } from "../support/fleet.js";
import type { UnknownRecord } from "../../src/common/decode.js";
import { ShardedWorker } from "../support/sharded-worker.js";
import { SmallSystem } from "../support/small-system.js";

const SERVICE = "s-sharded";
const KEYS = 65_536;
/** Interval of the workers' heartbeats, and of the checks that no key has two holders. */
const HEARTBEAT_US = 500_000;
const CHECK_US = 50_000;

let system: SmallSystem | undefined;
let workers: ShardedWorker[] = [];
const version = 1;

const running = (): SmallSystem => {
  assert.ok(system, "no system was started");
  return system;
};

const holdersOf = (key: number): readonly string[] =>
  workers.filter((worker) => worker.holdsKey(key)).map(({ id }) => id);
const SAMPLED_KEYS: readonly number[] = Array.from({ length: 257 }, (_, at) =>
  Math.min(KEYS - 1, at * 256),
);
const assertSingleHolders = (): void =>
  SAMPLED_KEYS.forEach((key) => assert.ok(holdersOf(key).length <= 1, `key ${key}`));

const addWorker = async (id: string): Promise<void> => {
  const worker = new ShardedWorker(id, running().clock);
  await worker.start();
  workers.push(worker);
  running().workers.push(worker);
};

const sendHeartbeat = async (worker: ShardedWorker): Promise<void> => {
  const sentUs = running().clock.nowUs();
  const body = worker.nextHeartbeat(SERVICE);
  const reply = await running().callController("POST", `/workers/${worker.id}/heartbeat`, body);
  if (reply.status === 200) worker.applyAnswer(reply.body, sentUs);
};

const sendHeartbeatsFor = async (durationUs: number, silent: readonly string[] = []) => {
  const endUs = running().clock.nowUs() + durationUs;
  while (running().clock.nowUs() < endUs) {
    for (const worker of workers.filter(({ id }) => !silent.includes(id)))
      await sendHeartbeat(worker);
    for (let passedUs = 0; passedUs < HEARTBEAT_US; passedUs += CHECK_US) {
      await running().clock.pass(CHECK_US);
      assertSingleHolders();
    }
  }
};

const routeChange = (name: string): UnknownRecord => ({
  putItems: {
    listeners: [
      {
        host: "a.example",
        rules: [
          {
            name,
            routeKind: "safe",
            target_time: "800ms",
            rank: 1,
            version,
            matchOn: { pathStart: `/${name}/` },
            then: { service: SERVICE, giveUp: "2000ms", tries: 2 },
          },
        ],
      },
    ],
    groups: [
      {
        name: SERVICE,
        statusPath: "/health",
        maxConnections: 60,
        sharded: true,
        warm: "2s",
        grants: "heartbeat",
        version: 1,
      },
    ],
  },
  remove: { routes: [] },
});

After(async () => {
  await system?.stop();
  system = undefined;
  workers = [];
});

Given(
  "a system with a sharded service and {int} workers that hold no keys",
  async (count: number) => {
    system = new SmallSystem();
    await system.start();
    assert.equal((await system.change(routeChange("first"))).status, 200);
    for (let number = 1; number <= count; number += 1) await addWorker(`w-${number}`);
  },
);
When("the workers send heartbeats for {int} seconds", (seconds: number) =>
  sendHeartbeatsFor(seconds * 1_000_000),
);
When("a route to the sharded service is added", async () => {
  assert.equal((await running().change(routeChange("added"))).status, 200);
});
Then("every key is held by exactly one worker", () =>
  SAMPLED_KEYS.forEach((key) => assert.equal(holdersOf(key).length, 1, `key ${key}`)),
);
Then("requests for {int} keys on it are served", async (count: number) => {
  for (let at = 0; at < count; at += 1) {
    const key = Math.floor((at * KEYS) / count);
    const reply = await running().request("GET", "/added/x", { "Yewreel-Shard-Key": String(key) });
    assert.equal(reply.status, 200, `key ${key}: ${reply.body}`);
  }
});

const workerNamed = (id: string): ShardedWorker => {
  const worker = workers.find((one) => one.id === id);
  assert.ok(worker);
  return worker;
};
let handedOver: readonly number[] = [];
let fencesBefore = new Map<number, number>();

When("worker {string} sends no heartbeats for {int} seconds", (id: string, seconds: number) =>
  sendHeartbeatsFor(seconds * 1_000_000, [id]),
);
When("worker {string} drains for {int} seconds", async (id: string, seconds: number) => {
  const worker = workerNamed(id);
  handedOver = SAMPLED_KEYS.filter(worker.holdsKey);
  assert.ok(handedOver.length > 0);
  fencesBefore = new Map(handedOver.map((key) => [key, worker.rangeOf(key)?.fence ?? 0]));
  worker.state = "draining";
  await sendHeartbeatsFor(seconds * 1_000_000);
});
When(
  "worker {string} joins and the workers send heartbeats for {int} seconds",
  async (id: string, seconds: number) => {
    await addWorker(id);
    await sendHeartbeatsFor(seconds * 1_000_000);
  },
);
Then("worker {string} holds no key", (id: string) =>
  assert.deepEqual(SAMPLED_KEYS.filter(workerNamed(id).holdsKey), []),
);
Then("worker {string} holds keys", (id: string) =>
  assert.ok(SAMPLED_KEYS.some(workerNamed(id).holdsKey)),
);
Then("its keys were handed over with its token, at a higher fence", () =>
  handedOver.forEach((key) => {
    const range = workers.flatMap((worker) => worker.rangeOf(key) ?? [])[0];
    assert.match(range?.handover ?? "", /^w-2\//);
    assert.ok((range?.fence ?? 0) > (fencesBefore.get(key) ?? 0));
  }),
);

Then("a sharded service that wants grants by calls is refused with a reason", async () => {
  const service = { name: "s-2", statusPath: "/health", maxConnections: 60, version: 1 };
  const reply = await running().change({ putItems: { groups: [{ ...service, sharded: true }] } });
  assert.equal(reply.status, 400);
  assert.match(reply.body, /grants/);
});
Then("a heartbeat with invalid ranges is refused", async () => {
  const [worker] = workers;
  assert.ok(worker);
  const body = worker.nextHeartbeat(SERVICE).replace('"released":[]', '"released":[["a"]]');
  const reply = await running().callController("POST", `/workers/${worker.id}/heartbeat`, body);
  assert.equal(reply.status, 400);
});
Then(
  "requests with the shard keys {string}, {string}, {string} and {string} get 400",
  async (first: string, second: string, third: string, fourth: string) => {
    for (const key of [first, second, third, fourth]) {
      const headers = { "Yewreel-Shard-Key": key };
      assert.equal((await running().request("GET", "/first/x", headers)).status, 400, key);
    }
  },
);

const HOLD_US = 4_000_000;
const ROW: ShardRow = {
  from: 100,
  to: 199,
  worker: "w",
  fence: 3,
  handover: "",
  isReleasing: true,
  next: "",
  assignedAtCall: 7,
};
const releasedTokenAfter = (changes: Partial<ShardReport>): string | undefined => {
  const tracker = new ReleaseTracker({ clock: new ManualClock(), holdUs: HOLD_US });
  tracker.observe("s", [ROW]);
  const released = [{ from: 100, to: 199, handover: "token" }];
  const report = { service: "s", worker: "w", callCount: 8, holds: [], released, ...changes };
  tracker.recordReport(report, [ROW]);
  return tracker.stateOf("s").releasedToken(ROW);
};
Then("a release with an earlier call count does not count", () =>
  assert.equal(releasedTokenAfter({ callCount: 7 }), undefined),
);
Then("a release of only a part of the range does not count", () =>
  assert.equal(
    releasedTokenAfter({ released: [{ from: 100, to: 198, handover: "t" }] }),
    undefined,
  ),
);
Then("a release by a worker that still works on the range does not count", () =>
  assert.equal(releasedTokenAfter({ holds: [{ from: 199, to: 300 }] }), undefined),
);
Then("a complete later release counts, with its token", () =>
  assert.equal(releasedTokenAfter({}), "token"),
);
Then("without a release the range is free 5% after the hold has passed", () => {
  const clock = new ManualClock();
  const tracker = new ReleaseTracker({ clock, holdUs: HOLD_US });
  assert.equal(tracker.stateOf("s").hasExpired(ROW), false);
  tracker.observe("s", [ROW]);
  clock.jump(HOLD_US * 1.05);
  assert.equal(tracker.stateOf("s").hasExpired(ROW), false);
  clock.jump(1);
  assert.equal(tracker.stateOf("s").hasExpired(ROW), true);
});

Then(
  "{int} random plans with joining, leaving and releasing workers keep both conditions",
  (plans: number) => {
    const random = seeded(35);
    let table: readonly ShardRow[] = [];
    let fences = SAMPLED_KEYS.map(() => 0);
    for (let plan = 0; plan < plans; plan += 1) {
      const ready = Array.from({ length: 12 }, (_, at): ShardWorker => ({
        id: `w-${at}`,
        capacity: 1 + (at % 3),
        callCount: plan,
      })).filter(() => random() < 0.8);
      table = planNextTable(table, ready, {
        releasedToken: () => (random() < 0.5 ? "t" : undefined),
        hasExpired: () => random() < 0.2,
      });
      assert.equal(table[0]?.from, 0);
      assert.equal(table.at(-1)?.to, MAX_SHARD_KEY);
      table.slice(1).forEach((row, at) => assert.equal(row.from, (table[at]?.to ?? 0) + 1));
      const next = SAMPLED_KEYS.map((key) => findRow(table, key)?.fence ?? 0);
      next.forEach((fence, at) => assert.ok(fence >= (fences[at] ?? 0)));
      fences = next;
    }
  },
);
