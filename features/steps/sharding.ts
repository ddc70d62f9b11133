import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
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
