import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { CHECKS } from "../../soak/checks.js";
import {
  HistoryRecorder,
  type History,
  type ReadRecord,
  type RequestRecord,
} from "../../soak/history.js";
import { drawSchedule } from "../../soak/schedule.js";
import { runSoak } from "../../soak/soak-run.js";

const SECOND = 1_000_000;

let history = new HistoryRecorder();
let recorded: History | undefined;
let failures: readonly string[] = [];

When(
  "the soak plays seed {int} for {int} seconds with {int} gateways",
  { timeout: 180_000 },
  async (seed: number, seconds: number, gateways: number) => {
    const schedule = drawSchedule(seed, seconds * 1_000);
    const result = await runSoak({ schedule, gateways, keepsFiles: false });
    recorded = result.history;
    failures = result.failures;
  },
);
Then("no check finds anything", () => {
  assert.ok(recorded);
  const completeHistory = recorded;
  const found = Object.entries(CHECKS).flatMap(([name, check]) =>
    check(completeHistory).violations.map((violation) => `${name}: ${violation}`),
  );
  assert.deepEqual([...failures, ...found], []);
});
Then("requests, runs, changes, readings and signals were recorded", () => {
  const { requests = [], runs = [], changes = [], reads = [], faults = [] } = recorded ?? {};
  [requests, runs, changes, reads, faults].forEach((records, at) =>
    assert.ok(records.length > 0, `list ${at + 1} is empty`),
  );
});

Then(
  "seed {int} gives the same schedule twice and seed {int} another one",
  (seed: number, other: number) => {
    assert.deepEqual(drawSchedule(seed, 30_000), drawSchedule(seed, 30_000));
    assert.notDeepEqual(drawSchedule(seed, 30_000).actions, drawSchedule(other, 30_000).actions);
  },
);
Then(
  "no fault of seeds {int} to {int} begins in the last {int} seconds",
  (first: number, last: number, seconds: number) => {
    const faults = ["terminate", "kill", "freeze", "kill-all-controllers"];
    for (let seed = first; seed <= last; seed += 1)
      drawSchedule(seed, 30_000)
        .actions.filter(({ kind }) => faults.includes(kind))
        .forEach(({ atMs }) => assert.ok(atMs < 30_000 - seconds * 1_000));
  },
);

const requestOf = (attemptId: string, changes: Partial<RequestRecord> = {}): RequestRecord => ({
  attemptId,
  gateway: "gateway-1",
  isProbe: false,
  isSafe: false,
  sentUs: 20 * SECOND,
  endedUs: 20 * SECOND + 30_000,
  status: 200,
  hasSeal: true,
  body: `answer to ${attemptId}`,
  ...changes,
});
const readOf = (changes: Partial<ReadRecord> = {}): ReadRecord => ({
  controller: "controller-1",
  startUs: 21 * SECOND,
  probeVersion: 2,
  routes: new Set(["r-probe", "r-large"]),
  ...changes,
});

Given("a recorded history", () => {
  history = new HistoryRecorder();
  history.changes.push(
    { version: 1, service: "s0", sentUs: 0, acknowledgedUs: SECOND },
    { version: 2, service: "s1", sentUs: 10 * SECOND, acknowledgedUs: 11 * SECOND },
  );
  history.largeChanges.push({ routes: ["r-large"], acknowledgedUs: 15 * SECOND });
  history.requests.push(
    requestOf("a"),
    requestOf("p", { isProbe: true, isSafe: true }),
    requestOf("q", { isProbe: true, isSafe: true, sentUs: 12 * SECOND, endedUs: 12 * SECOND }),
    requestOf("refused", { status: 503, hasSeal: false, body: "" }),
  );
  history.runs.push(
    { attemptId: "a", service: "s0", atUs: 20 * SECOND },
    { attemptId: "p", service: "s1", atUs: 20 * SECOND },
    // Within the bound the version before is still allowed.
    { attemptId: "q", service: "s0", atUs: 12 * SECOND },
  );
  history.reads.push(readOf());
  history.faults.push(
    { process: "gateway-2", kind: "term", fromUs: 30 * SECOND, toUs: 34 * SECOND },
    { process: "gateway-3", kind: "kill", fromUs: 30 * SECOND, toUs: 31 * SECOND },
  );
  history.exits.push(
    { process: "gateway-2", atUs: 33 * SECOND, code: 0, termUs: 30 * SECOND, wasKilled: false },
    { process: "gateway-3", atUs: 30 * SECOND, code: null, termUs: undefined, wasKilled: true },
  );
});

const addStaleProbe = (): void => {
  history.requests.push(
    requestOf("stale", { isProbe: true, isSafe: true, sentUs: 25 * SECOND, endedUs: 25 * SECOND }),
  );
  history.runs.push({ attemptId: "stale", service: "s0", atUs: 25 * SECOND });
};

const DEFECTS: Readonly<Record<string, () => void>> = {
  "an unsafe request runs twice": () =>
    void history.runs.push({ attemptId: "a", service: "s0", atUs: 20 * SECOND }),
  "an unsafe request ran and its client got 503": () =>
    void history.runs.push({ attemptId: "refused", service: "s0", atUs: 20 * SECOND }),
  "a client gets the answer of another attempt": () =>
    void history.requests.push(requestOf("b", { body: "answer to a" })),
  "a success has no seal": () => void history.requests.push(requestOf("b", { hasSeal: false })),
  "a request is run by the old service long after the change": addStaleProbe,
  "a reading shows an older version than was acknowledged": () =>
    void history.reads.push(readOf({ probeVersion: 1 })),
  "a reading lacks a route that was acknowledged": () =>
    void history.reads.push(readOf({ routes: new Set(["r-probe"]) })),
  "a gateway that was told to end cuts off a request": () => {
    const cut = { gateway: "gateway-2", status: undefined, sentUs: 29.9 * SECOND };
    history.requests.push(requestOf("cut", { ...cut, endedUs: 31 * SECOND }));
    history.runs.push({ attemptId: "cut", service: "s0", atUs: 29.95 * SECOND });
  },
  "a process ends by itself": () =>
    void history.exits.push({
      process: "controller-1",
      atUs: SECOND,
      code: 1,
      termUs: undefined,
      wasKilled: false,
    }),
  "a process takes too long to end": () =>
    void history.exits.push({
      process: "gateway-2",
      atUs: 60 * SECOND,
      code: 0,
      termUs: 50 * SECOND,
      wasKilled: false,
    }),
};
When(new RegExp(`^(${Object.keys(DEFECTS).join("|")})$`), (defect: string) => DEFECTS[defect]?.());
When("the machine itself was late at that time", () =>
  history.machineDelays.push({ fromUs: 24 * SECOND, toUs: 24.5 * SECOND }),
);

const violatedChecks = (): readonly string[] =>
  Object.entries(CHECKS)
    .filter(([, check]) => check(history).violations.length > 0)
    .map(([name]) => name);
Then("each check finds nothing in it", () => assert.deepEqual(violatedChecks(), []));
Then("just the check {string} finds it", (name: string) =>
  assert.deepEqual(violatedChecks(), [name]),
);
Then("each check finds nothing in it, and {int} observation was left out", (count: number) => {
  assert.deepEqual(violatedChecks(), []);
  const skipped = Object.values(CHECKS).reduce((sum, check) => sum + check(history).skipped, 0);
  assert.equal(skipped, count);
});
