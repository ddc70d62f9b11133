import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { MILLISECOND_US, SECOND_US } from "../../src/common/duration.js";
import { REAL_COMPONENTS, type Components } from "../../simulator/simulated-controller.js";
import { violationsOf, type Violation } from "../../simulator/invariants.js";
import { simulate } from "../../simulator/simulation.js";
import { generateSchedule } from "../../simulator/schedule-generator.js";
import { faultKindOf, type Event, type Schedule } from "../../simulator/schedule.js";
import { shrink } from "../../simulator/shrink.js";
import { DEFECTIVE_COMPONENTS } from "../support/defective-controllers.js";

/** The components that the scenario runs, and the violations found. */
let components: Components = REAL_COMPONENTS;
let violations: readonly Violation[] = [];
let failing: { readonly schedule: Schedule; readonly violation: Violation } | undefined;

/** Attempts to remove events; enough for schedules that also have changes of customers. */
const MAX_SHRINK_RUNS = 24;
/** Ends a run that hangs. */
const MAX_RUN_MS = 240_000;
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
 * A change reaches controllers 0 and 1, but controller 2 only after all three have lost power. The
 * disk of controller 1 is wiped or corrupted then, and controller 0 restarts last.
 */
const laggingReplicaSchedule = (seed: number, damage: string): Schedule => {
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
      wiped: damage === "wiped" ? [1] : [],
      corrupted: damage === "corrupted" ? [1] : [],
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

Given("controllers with the defect {string}", (defect: string) => {
  const defective = DEFECTIVE_COMPONENTS[defect];
  assert.ok(defective, `unknown defect: ${defect}`);
  components = defective;
});

When(
  "{int} seeds of the deployment {string} are simulated",
  { timeout: MAX_RUN_MS },
  (seeds: number, deployment: string) => runAll(schedulesOf(seeds, deployment, false)),
);

When(
  "{int} seeds of the deployment {string} are simulated, with faults beyond its fault tolerance",
  { timeout: MAX_RUN_MS },
  (seeds: number, deployment: string) => runAll(schedulesOf(seeds, deployment, true)),
);

When(
  "a change reaches two of three controllers before all lose power and the disk of one of the two is {word}",
  { timeout: MAX_RUN_MS },
  (damage: string) =>
    runAll(Array.from({ length: 10 }, (_none, at) => laggingReplicaSchedule(at + 1, damage))),
);

When(
  "seeds with frequent {string} faults are simulated until the invariant {string} is violated",
  { timeout: MAX_RUN_MS },
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
    assert.ok(failing, `invariant ${invariant} was not violated by ${MAX_SEEDS} seeds`);
  },
);

Then("no invariant is violated", () => assert.deepEqual(violations, []));

Then("the invariant {string} is violated", (invariant: string) =>
  assert.ok(
    violations.some((violation) => violation.invariant === invariant),
    `invariant ${invariant} was not violated`,
  ),
);

Then("the shrunk schedule violates the same invariant", { timeout: MAX_RUN_MS }, async () => {
  assert.ok(failing);
  const { schedule, violation, runs } = await shrink(
    failing.schedule,
    failing.violation,
    components,
    MAX_SHRINK_RUNS,
  );
  assert.equal(violation.invariant, failing.violation.invariant);
  assert.ok(
    schedule.events.length < failing.schedule.events.length,
    `no event was removed in ${runs} runs`,
  );
});

Then(
  "seed {int} of the deployment {string} produces the same history twice",
  { timeout: MAX_RUN_MS },
  async (seed: number, deployment: string) => {
    const schedule = generateSchedule(seed, deployment, { exceedsTolerance: false });
    const [first, second] = [await simulate(schedule), await simulate(schedule)];
    assert.equal(JSON.stringify(second), JSON.stringify(first));
  },
);
