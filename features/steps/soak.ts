import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { CHECKS } from "../../soak/checks.js";
import {
  HistoryRecorder,
  type History,
  type KeyedRequestRecord,
  type ReadRecord,
  type RequestRecord,
} from "../../soak/history.js";
import { keyedAnswerTo, keyOf } from "../../soak/keyed-client.js";
import { drawSchedule } from "../../soak/schedule.js";
import { runSoak } from "../../soak/soak-run.js";

const SECOND = 1_000_000;
const KEYS = ["k1", "k2", "k3", "k4"] as const;

let history = new HistoryRecorder();
let recorded: History | undefined;
let failures: readonly string[] = [];

When(
  "the soak test runs seed {int} for {int} seconds with {int} gateways",
  { timeout: 180_000 },
  async (seed: number, seconds: number, gateways: number) => {
    const schedule = drawSchedule(seed, seconds * 1_000);
    const result = await runSoak({ schedule, gateways, keepsFiles: false });
    recorded = result.history;
    failures = result.failures;
  },
);
Then("no check reports a violation", () => {
  assert.ok(recorded);
  const completeHistory = recorded;
  const found = Object.entries(CHECKS).flatMap(([name, check]) =>
    check(completeHistory).violations.map((violation) => `${name}: ${violation}`),
  );
  assert.deepEqual([...failures, ...found], []);
});
Then("requests, executions, changes, reads and faults were recorded", () => {
  const { requests = [], runs = [], changes = [], reads = [], faults = [] } = recorded ?? {};
  const { keyedRequests = [] } = recorded ?? {};
  [requests, runs, changes, reads, faults, keyedRequests].forEach((records, at) =>
    assert.ok(records.length > 0, `list ${at + 1} is empty`),
  );
});

Then(
  "seed {int} gives the same schedule twice and seed {int} a different one",
  (seed: number, other: number) => {
    assert.deepEqual(drawSchedule(seed, 30_000), drawSchedule(seed, 30_000));
    assert.notDeepEqual(drawSchedule(seed, 30_000).actions, drawSchedule(other, 30_000).actions);
  },
);
Then(
  "no fault of seeds {int} to {int} begins in the last {int} seconds",
  (first: number, last: number, seconds: number) => {
    const faults = ["terminate", "kill", "freeze", "kill-all-controllers", "lose-disk"];
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
const keyedRequestOf = (
  attemptId: string,
  changes: Partial<KeyedRequestRecord> = {},
): KeyedRequestRecord => ({
  key: keyOf(attemptId),
  attemptId,
  gateway: "gateway-1",
  sentUs: 20 * SECOND,
  endedUs: 20 * SECOND + 30_000,
  status: 200,
  hasSeal: true,
  body: keyedAnswerTo(`${keyOf(attemptId)}#1`),
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
    // The previous version is still allowed until `applyUs` after the acknowledgement.
    { attemptId: "q", service: "s0", atUs: 12 * SECOND },
  );
  history.keyedRequests.push(
    ...KEYS.map((key) => keyedRequestOf(`${key}#1`)),
    keyedRequestOf("k1#2", { sentUs: 24 * SECOND, endedUs: 24 * SECOND }),
    // Until a second after the response, and for a few keys later, a repeat may be refused.
    keyedRequestOf("k2#2", { sentUs: 20.5 * SECOND, status: 409, hasSeal: false, body: "" }),
    keyedRequestOf("k3#2", { sentUs: 24 * SECOND, status: 409, hasSeal: false, body: "" }),
  );
  history.runs.push(
    ...KEYS.map((key) => ({ attemptId: `${key}#1`, service: "s0", atUs: 20 * SECOND })),
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

/** Repeats of all keys, four seconds after they were answered, are refused as in progress. */
const refuseRepeats = (): void =>
  KEYS.forEach((key) =>
    history.keyedRequests.push(
      keyedRequestOf(`${key}#3`, {
        sentUs: 24 * SECOND,
        endedUs: 24 * SECOND,
        status: 409,
        hasSeal: false,
        body: "",
      }),
    ),
  );

const addStaleProbe = (): void => {
  history.requests.push(
    requestOf("stale", { isProbe: true, isSafe: true, sentUs: 25 * SECOND, endedUs: 25 * SECOND }),
  );
  history.runs.push({ attemptId: "stale", service: "s0", atUs: 25 * SECOND });
};

const DEFECTS: Readonly<Record<string, () => void>> = {
  "a keyed operation is executed again for a repeat": () =>
    void history.runs.push({ attemptId: "k1#2", service: "s0", atUs: 24 * SECOND }),
  "a keyed operation is executed and its client gets 503": () => {
    history.keyedRequests.push(keyedRequestOf("k9#1", { status: 503, hasSeal: false, body: "" }));
    history.runs.push({ attemptId: "k9#1", service: "s0", atUs: 20 * SECOND });
  },
  "a repeat gets another response than the first one": () =>
    void history.keyedRequests.push(keyedRequestOf("k1#3", { body: keyedAnswerTo("k1#3") })),
  "repeats of answered keys are refused as in progress": refuseRepeats,
  "an unsafe request is executed twice": () =>
    void history.runs.push({ attemptId: "a", service: "s0", atUs: 20 * SECOND }),
  "an unsafe request is executed and its client gets 503": () =>
    void history.runs.push({ attemptId: "refused", service: "s0", atUs: 20 * SECOND }),
  "a client gets the response to another attempt": () =>
    void history.requests.push(requestOf("b", { body: "answer to a" })),
  "a 200 response has no seal": () =>
    void history.requests.push(requestOf("b", { hasSeal: false })),
  "a request is handled by the old service long after a change": addStaleProbe,
  "a read returns an older version than was acknowledged": () =>
    void history.reads.push(readOf({ probeVersion: 1 })),
  "a read lacks a route that was acknowledged": () =>
    void history.reads.push(readOf({ routes: new Set(["r-probe"]) })),
  "a draining gateway aborts a request": () => {
    const cut = { gateway: "gateway-2", status: undefined, sentUs: 29.9 * SECOND };
    history.requests.push(requestOf("cut", { ...cut, endedUs: 31 * SECOND }));
    history.runs.push({ attemptId: "cut", service: "s0", atUs: 29.95 * SECOND });
  },
  "a process exits unexpectedly": () =>
    void history.exits.push({
      process: "controller-1",
      atUs: SECOND,
      code: 1,
      termUs: undefined,
      wasKilled: false,
    }),
  "a process takes too long to exit": () =>
    void history.exits.push({
      process: "gateway-2",
      atUs: 60 * SECOND,
      code: 0,
      termUs: 50 * SECOND,
      wasKilled: false,
    }),
};
When(new RegExp(`^(${Object.keys(DEFECTS).join("|")})$`), (defect: string) => DEFECTS[defect]?.());
When("the host machine was delayed at that time", () =>
  history.machineDelays.push({ fromUs: 24 * SECOND, toUs: 24.5 * SECOND }),
);

const violatedChecks = (): readonly string[] =>
  Object.entries(CHECKS)
    .filter(([, check]) => check(history).violations.length > 0)
    .map(([name]) => name);
Then("no check reports a violation of it", () => assert.deepEqual(violatedChecks(), []));
Then("only the check {string} reports a violation", (name: string) =>
  assert.deepEqual(violatedChecks(), [name]),
);
Then("no check reports a violation of it, and {int} observation was skipped", (count: number) => {
  assert.deepEqual(violatedChecks(), []);
  const skipped = Object.values(CHECKS).reduce((sum, check) => sum + check(history).skipped, 0);
  assert.equal(skipped, count);
});
