import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Board } from "../../src/membership/update-store.js";
import { Switchboard } from "../../src/transport/listener.js";
import { Taker } from "../../src/membership/update-subscriber.js";
import { silentLog } from "../../src/common/logger.js";
import { MS } from "../../src/common/duration.js";
import type { Wire } from "../../src/transport/connection.js";
import { ManualClock } from "../support/manual-clock.js";

const PORT = 17_480;
const TIMES = { pulseUs: 300 * MS, silenceUs: 1_000 * MS };
const addressOf = (at: number): string => `127.9.0.${at + 1}:${PORT}`;

let clock = new ManualClock();
let open: Switchboard[] = [];
let seeds: string[] = [];
let looks: string[] = [];
let taker: Taker | undefined;

After(() => {
  taker?.stop();
  open.forEach((board) => board.close());
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
      const refuse = async (wire: Wire): Promise<void> => {
        looks.push(id);
        wire.send({ kind: "adrift", boxes });
        await wire.finish();
      };
      const board = new Switchboard(clock, TIMES, { pointsman: refuse }, silentLog);
      await board.listen(id.split(":")[0] ?? "", PORT);
      open.push(board);
    }
  },
);

When("a node has looked for one {int} times", async (count: number) => {
  taker = new Taker({
    name: "n",
    cell: "c0",
    role: "pointsman",
    relay: "127.9.0.99:1",
    seeds,
    signalPort: PORT,
    clock,
    times: TIMES,
    board: new Board(clock),
    log: silentLog,
  });
  void taker.run();
  for (let step = 0; step < 5_000 && looks.length < count; step += 1) await clock.pass(10 * MS);
  assert.ok(looks.length >= count, `it looked only ${looks.length} times`);
});

Then("at most {int} of the looks went to those that are only seeds", (most: number) => {
  const spent = looks.slice(0, 13).filter((id) => seeds.includes(id)).length;
  assert.ok(spent <= most, looks.join(" "));
});
