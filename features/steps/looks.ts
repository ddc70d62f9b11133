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
let open: Listener[] = [];
let seeds: string[] = [];
let looks: string[] = [];
let subscriber: UpdateSubscriber | undefined;

After(() => {
  subscriber?.stop();
  open.forEach((updates) => updates.close());
  open = [];
});

Given(
  "{int} signalboxes that are told of and {int} that are only seeds, none of which takes anyone",
  async (told: number, others: number) => {
    clock = new ManualClock();
    looks = [];
    const all = Array.from({ length: told + others }, (_none, at) => addressOf(at));
    seeds = all.slice(told);
    const boxes = all.slice(0, told).map((id, at) => ({ id, cell: `c${at}` }));
    for (const id of all) {
      const refuse = async (connection: Connection): Promise<void> => {
        looks.push(id);
        connection.send({ kind: "adrift", boxes });
        await connection.finish();
      };
      const updates = new Listener(clock, TIMES, { pointsman: refuse }, silentLogger);
      await updates.listen(id.split(":")[0] ?? "", PORT);
      open.push(updates);
    }
  },
);

When("a node has looked for one {int} times", async (count: number) => {
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
  for (let step = 0; step < 5_000 && looks.length < count; step += 1)
    await clock.pass(10 * MILLISECOND_US);
  assert.ok(looks.length >= count, `it looked only ${looks.length} times`);
});

Then("at most {int} of the looks went to those that are only seeds", (most: number) => {
  const spent = looks.slice(0, 13).filter((id) => seeds.includes(id)).length;
  assert.ok(spent <= most, looks.join(" "));
});
