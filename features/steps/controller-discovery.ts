import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { UpdateStore } from "../../src/membership/update-store.js";
import { Listener } from "../../src/transport/listener.js";
import { UpdateSubscriber } from "../../src/membership/update-subscriber.js";
import { silentLogger } from "../../src/common/logger.js";
import { MILLISECOND_US } from "../../src/common/duration.js";
import type { Connection } from "../../src/transport/connection.js";
import { ManualClock } from "../support/manual-clock.js";

const PORT = 17_480;
const TIMES = { heartbeatUs: 300 * MILLISECOND_US, timeoutUs: 1_000 * MILLISECOND_US };
const addressOf = (at: number): string => `127.9.0.${at + 1}:${PORT}`;

let clock = new ManualClock();
let listeners: Listener[] = [];
let seeds: string[] = [];
let attempts: string[] = [];
let subscriber: UpdateSubscriber | undefined;

After(() => {
  subscriber?.stop();
  listeners.forEach((listener) => listener.close());
  listeners = [];
});

Given(
  "{int} announced controllers and {int} that are only listed as seeds, none of which accepts nodes",
  async (announced: number, seedOnly: number) => {
    clock = new ManualClock();
    attempts = [];
    const all = Array.from({ length: announced + seedOnly }, (_none, at) => addressOf(at));
    seeds = all.slice(announced);
    const controllers = all.slice(0, announced).map((id, at) => ({ id, cell: `c${at}` }));
    for (const id of all) {
      const refuse = async (connection: Connection): Promise<void> => {
        attempts.push(id);
        connection.send({ kind: "adrift", boxes: controllers });
        await connection.finish();
      };
      const listener = new Listener(clock, TIMES, { pointsman: refuse }, silentLogger);
      await listener.listen(id.split(":")[0] ?? "", PORT);
      listeners.push(listener);
    }
  },
);

When("a node has made {int} attempts to connect to a controller", async (count: number) => {
  subscriber = new UpdateSubscriber({
    name: "n",
    zone: "c0",
    role: "gateway",
    relay: "127.9.0.99:1",
    seeds,
    peerPort: PORT,
    clock,
    times: TIMES,
    updates: new UpdateStore(clock),
    log: silentLogger,
  });
  void subscriber.run();
  for (let step = 0; step < 5_000 && attempts.length < count; step += 1)
    await clock.pass(10 * MILLISECOND_US);
  assert.ok(attempts.length >= count, `it made only ${attempts.length} attempts`);
});

Then(
  "at most {int} of the attempts went to controllers that are only listed as seeds",
  (maxAttempts: number) => {
    const attemptsToSeeds = attempts.slice(0, 13).filter((id) => seeds.includes(id)).length;
    assert.ok(attemptsToSeeds <= maxAttempts, attempts.join(" "));
  },
);
