import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { REAL_PARTS, type Parts } from "../../simulator/box.js";
import { faultsOf, type Fault } from "../../simulator/checks.js";
import { play } from "../../simulator/play.js";
import { scheduleOf, type Schedule } from "../../simulator/schedule.js";
import { shrink } from "../../simulator/shrink.js";
import { BROKEN } from "../support/broken-boxes.js";

/** The variant that a scenario plays, and what it came to. */
let parts: Parts = REAL_PARTS;
let found: readonly string[] = [];
let failing: { readonly schedule: Schedule; readonly fault: Fault } | undefined;

const SEEDS_MOST = 150;

const playSeeds = async (seeds: number, deployment: string, beyond: boolean): Promise<void> => {
  const faults: string[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const schedule = scheduleOf(seed, deployment, beyond);
    faultsOf(await play(schedule), schedule).forEach(({ check, sentence }) => faults.push(`seed ${seed} of ${deployment}: ${check}: ${sentence}`));
  }
  found = faults;
};

Given("boxes of which {}", (fault: string) => {
  const broken = BROKEN[fault];
  assert.ok(broken, `no such variant: ${fault}`);
  parts = broken;
});

When("{int} seeds of the deployment {string} are played", { timeout: 60_000 }, (seeds: number, deployment: string) => playSeeds(seeds, deployment, false));

When("{int} seeds of the deployment {string} are played, with more lost than it withstands", { timeout: 60_000 }, (seeds: number, deployment: string) => playSeeds(seeds, deployment, true));

When("seeds of the deployment {string} are played until the check {string} fails", { timeout: 60_000 }, async (deployment: string, check: string) => {
  failing = undefined;
  for (let seed = 1; seed <= SEEDS_MOST && !failing; seed += 1) {
    const schedule = scheduleOf(seed, deployment, false);
    const fault = faultsOf(await play(schedule, parts), schedule).find((one) => one.check === check);
    if (fault) failing = { schedule, fault };
  }
  assert.ok(failing, `the check ${check} passed ${SEEDS_MOST} seeds`);
});

Then("every check passes on each", () => assert.deepEqual(found, []));

Then("the shortest schedule found fails the same check", { timeout: 60_000 }, async () => {
  assert.ok(failing);
  const { schedule, fault, plays } = await shrink(failing.schedule, failing.fault, parts, 30);
  assert.equal(fault.check, failing.fault.check);
  assert.ok(schedule.events.length < failing.schedule.events.length, `${plays} plays left out nothing`);
  assert.ok(faultsOf(await play(schedule, parts), schedule).some(({ check }) => check === fault.check));
});

Then("seed {int} of the deployment {string} gives the same history twice", { timeout: 60_000 }, async (seed: number, deployment: string) => {
  const schedule = scheduleOf(seed, deployment, false);
  const [first, second] = [await play(schedule), await play(schedule)];
  assert.equal(JSON.stringify(second), JSON.stringify(first));
});
