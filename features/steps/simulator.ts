import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { MILLISECOND_US, SECOND_US } from "../../src/common/duration.js";
import { REAL_COMPONENTS, type Components } from "../../simulator/simulated-controller.js";
import { violationsOf, type Violation } from "../../simulator/invariants.js";
import { simulate } from "../../simulator/simulation.js";
import { generateSchedule } from "../../simulator/schedule-generator.js";
import { faultKindOf, type Event, type Schedule } from "../../simulator/schedule.js";
import { shrink } from "../../simulator/shrink.js";
import { BROKEN_COMPONENTS } from "../support/broken-controllers.js";

/** The variant that a scenario runs, and what it violated. */
let components: Components = REAL_COMPONENTS;
let violations: readonly Violation[] = [];
let failing: { readonly schedule: Schedule; readonly violation: Violation } | undefined;

const MAX_SEEDS = 150;

const runAll = async (schedules: readonly Schedule[]): Promise<void> => {
  const found: Violation[] = [];
  for (const schedule of schedules)
    violationsOf(await simulate(schedule, components), schedule).forEach((violation) =>
      found.push({
        ...violation,
        description: `seed ${schedule.seed} of ${schedule.deployment}: ${violation.description}`,
      }),
    );
  violations = found;
};

const schedulesOf = (
  seeds: number,
  deployment: string,
  exceedsTolerance: boolean,
): readonly Schedule[] =>
  Array.from({ length: seeds }, (_none, at) =>
    generateSchedule(at + 1, deployment, { exceedsTolerance }),
  );

/**
 * A change that controller 2 hears of only after all three have lost power, controller 1 with its
 * disk; controller 0 comes back last.
 */
const laggingReplicaSchedule = (seed: number, harm: string): Schedule => {
  const change = (id: number, atUs: number): Event => ({
    atUs,
    kind: "change",
    id,
    slot: 0,
    items: [{ key: "route/a", version: id, body: `{"order":${id}}` }],
    requires: "",
    answerLossProbability: 0,
  });
  const outageUs = 5_100 * MILLISECOND_US;
  const events: Event[] = [
    change(1, 1 * SECOND_US),
    {
      atUs: 4_980 * MILLISECOND_US,
      kind: "partition",
      slot: 2,
      others: [0, 1],
      direction: "both",
      durationUs: outageUs - 4_980 * MILLISECOND_US,
    },
    change(2, 5 * SECOND_US),
    {
      atUs: outageUs,
      kind: "stop-all",
      byPower: true,
      wiped: harm === "wiped" ? [1] : [],
      corrupted: harm === "corrupted" ? [1] : [],
      downUs: [1 * SECOND_US, 50 * MILLISECOND_US, 50 * MILLISECOND_US],
    },
    ...Array.from({ length: 24 }, (_none, at): Event => ({
      atUs: outageUs + at * 50 * MILLISECOND_US,
      kind: "read",
      slot: 1 + (at % 2),
    })),
  ];
  return {
    seed,
    deployment: "small",
    exceedsTolerance: false,
    paddingBytes: 0,
    events,
    faultsEndUs: 7 * SECOND_US,
  };
};

Before(() => {
  components = REAL_COMPONENTS;
});

Given("controllers of which {}", (defect: string) => {
  const broken = BROKEN_COMPONENTS[defect];
  assert.ok(broken, `no such variant: ${defect}`);
  components = broken;
});

When(
  "{int} seeds of the deployment {string} are run",
  { timeout: 60_000 },
  (seeds: number, deployment: string) => runAll(schedulesOf(seeds, deployment, false)),
);

When(
  "{int} seeds of the deployment {string} are run, with more lost than it withstands",
  { timeout: 60_000 },
  (seeds: number, deployment: string) => runAll(schedulesOf(seeds, deployment, true)),
);

When(
  "a change reaches two of three, the third is late, and all lose power while one of the two is {word}",
  { timeout: 60_000 },
  (harm: string) =>
    runAll(Array.from({ length: 10 }, (_none, at) => laggingReplicaSchedule(at + 1, harm))),
);

When(
  "seeds with much {string} are run until the invariant {string} is violated",
  { timeout: 60_000 },
  async (kind: string, invariant: string) => {
    failing = undefined;
    const frequentFault = faultKindOf(kind);
    assert.ok(frequentFault);
    for (let seed = 1; seed <= MAX_SEEDS && !failing; seed += 1) {
      const schedule = generateSchedule(seed, "small", {
        exceedsTolerance: false,
        frequentFault,
      });
      const violation = violationsOf(await simulate(schedule, components), schedule).find(
        (one) => one.invariant === invariant,
      );
      if (violation) failing = { schedule, violation };
    }
    assert.ok(failing, `the invariant ${invariant} held for ${MAX_SEEDS} seeds`);
  },
);

Then("every invariant holds on each", () => assert.deepEqual(violations, []));

Then("the invariant {string} is violated", (invariant: string) =>
  assert.ok(
    violations.some((violation) => violation.invariant === invariant),
    `${invariant} held`,
  ),
);

Then("the shortest schedule found violates the same invariant", { timeout: 60_000 }, async () => {
  assert.ok(failing);
  const { schedule, violation, runs } = await shrink(
    failing.schedule,
    failing.violation,
    components,
    12,
  );
  assert.equal(violation.invariant, failing.violation.invariant);
  assert.ok(
    schedule.events.length < failing.schedule.events.length,
    `${runs} runs left out nothing`,
  );
});

Then(
  "seed {int} of the deployment {string} gives the same history twice",
  { timeout: 60_000 },
  async (seed: number, deployment: string) => {
    const schedule = generateSchedule(seed, deployment, { exceedsTolerance: false });
    const [first, second] = [await simulate(schedule), await simulate(schedule)];
    assert.equal(JSON.stringify(second), JSON.stringify(first));
  },
);
