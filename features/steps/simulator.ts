import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { MILLISECOND_US, SECOND_US } from "../../src/common/duration.js";
import { REAL_PARTS, type Parts } from "../../simulator/simulated-controller.js";
import { faultsOf, type Fault } from "../../simulator/invariants.js";
import { play } from "../../simulator/simulation.js";
import { scheduleOf, troubleKind, type Event, type Schedule } from "../../simulator/schedule.js";
import { shrink } from "../../simulator/shrink.js";
import { BROKEN } from "../support/broken-controllers.js";

/** The variant that a scenario plays, and what it came to. */
let parts: Parts = REAL_PARTS;
let found: readonly Fault[] = [];
let failing: { readonly schedule: Schedule; readonly fault: Fault } | undefined;

const SEEDS_MOST = 150;

const playOn = async (schedules: readonly Schedule[]): Promise<void> => {
  const faults: Fault[] = [];
  for (const schedule of schedules)
    faultsOf(await play(schedule, parts), schedule).forEach((fault) =>
      faults.push({
        ...fault,
        sentence: `seed ${schedule.seed} of ${schedule.deployment}: ${fault.sentence}`,
      }),
    );
  found = faults;
};

const seedsOf = (seeds: number, deployment: string, beyond: boolean): readonly Schedule[] =>
  Array.from({ length: seeds }, (_none, at) => scheduleOf(at + 1, deployment, { beyond }));

/** An order that box 2 hears of only after all three have lost power, box 1 with what it kept; box 0 comes back last. */
const lateThird = (seed: number, harm: string): Schedule => {
  const order = (id: number, atUs: number): Event => ({
    atUs,
    kind: "order",
    id,
    slot: 0,
    parts: [{ key: "route/a", version: id, body: `{"order":${id}}` }],
    needs: "",
    lostAnswers: 0,
  });
  const strikeUs = 5_100 * MILLISECOND_US;
  const events: Event[] = [
    order(1, 1 * SECOND_US),
    {
      atUs: 4_980 * MILLISECOND_US,
      kind: "cut",
      slot: 2,
      others: [0, 1],
      way: "both",
      forUs: strikeUs - 4_980 * MILLISECOND_US,
    },
    order(2, 5 * SECOND_US),
    {
      atUs: strikeUs,
      kind: "all",
      byPower: true,
      wiped: harm === "wiped" ? [1] : [],
      spoiled: harm === "spoiled" ? [1] : [],
      downUs: [1 * SECOND_US, 50 * MILLISECOND_US, 50 * MILLISECOND_US],
    },
    ...Array.from({ length: 24 }, (_none, at): Event => ({
      atUs: strikeUs + at * 50 * MILLISECOND_US,
      kind: "read",
      slot: 1 + (at % 2),
    })),
  ];
  return { seed, deployment: "small", beyond: false, padBytes: 0, events, calmUs: 7 * SECOND_US };
};

Before(() => {
  parts = REAL_PARTS;
});

Given("boxes of which {}", (fault: string) => {
  const broken = BROKEN[fault];
  assert.ok(broken, `no such variant: ${fault}`);
  parts = broken;
});

When(
  "{int} seeds of the deployment {string} are played",
  { timeout: 60_000 },
  (seeds: number, deployment: string) => playOn(seedsOf(seeds, deployment, false)),
);

When(
  "{int} seeds of the deployment {string} are played, with more lost than it withstands",
  { timeout: 60_000 },
  (seeds: number, deployment: string) => playOn(seedsOf(seeds, deployment, true)),
);

When(
  "an order reaches two of three, the third is late, and all lose power while one of the two is {word}",
  { timeout: 60_000 },
  (harm: string) => playOn(Array.from({ length: 10 }, (_none, at) => lateThird(at + 1, harm))),
);

When(
  "seeds with much {string} are played until the check {string} fails",
  { timeout: 60_000 },
  async (kind: string, check: string) => {
    failing = undefined;
    const favoured = troubleKind(kind);
    assert.ok(favoured);
    for (let seed = 1; seed <= SEEDS_MOST && !failing; seed += 1) {
      const schedule = scheduleOf(seed, "small", { beyond: false, favoured });
      const fault = faultsOf(await play(schedule, parts), schedule).find(
        (one) => one.check === check,
      );
      if (fault) failing = { schedule, fault };
    }
    assert.ok(failing, `the check ${check} passed ${SEEDS_MOST} seeds`);
  },
);

Then("every check passes on each", () => assert.deepEqual(found, []));

Then("the check {string} fails", (check: string) =>
  assert.ok(
    found.some((fault) => fault.check === check),
    `passed by ${check}`,
  ),
);

Then("the shortest schedule found fails the same check", { timeout: 60_000 }, async () => {
  assert.ok(failing);
  const { schedule, fault, plays } = await shrink(failing.schedule, failing.fault, parts, 12);
  assert.equal(fault.check, failing.fault.check);
  assert.ok(
    schedule.events.length < failing.schedule.events.length,
    `${plays} plays left out nothing`,
  );
});

Then(
  "seed {int} of the deployment {string} gives the same history twice",
  { timeout: 60_000 },
  async (seed: number, deployment: string) => {
    const schedule = scheduleOf(seed, deployment, { beyond: false });
    const [first, second] = [await play(schedule), await play(schedule)];
    assert.equal(JSON.stringify(second), JSON.stringify(first));
  },
);
