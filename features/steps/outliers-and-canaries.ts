import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  NO_OUTCOMES,
  SequentialTest,
  SEQUENTIAL_TEST_SETTINGS,
  type OutcomeKind,
  type OutcomeCounts,
  type TestResult,
} from "../../src/health/sequential-test.js";
import { OutlierDetector } from "../../src/health/outlier-detector.js";
import { NO_DECISIONS, type HealthDecisions } from "../../src/health/health-decisions.js";
import { OUTLIER_SETTINGS } from "../../src/health/outlier-ranking.js";
import { CanaryAnalyzer } from "../../src/health/canary-analysis.js";
import { NO_CANARIES, type CanaryState, type SplitRoute } from "../../src/health/canary-state.js";
import { silentLogger } from "../../src/common/logger.js";
import { seeded } from "../support/fleet.js";
import { ManualClock } from "../support/manual-clock.js";

// --- Simulation of canary tests

/** Probability of each outcome per request; the remaining requests are in time. */
interface OutcomeRates {
  readonly late: number;
  readonly lost: number;
  readonly doubled: number;
}

const drawOutcome = (rates: OutcomeRates, random: () => number): OutcomeKind => {
  const sample = random();
  if (sample < rates.doubled) return "doubled";
  if (sample < rates.doubled + rates.lost) return "lost";
  return sample < rates.doubled + rates.lost + rates.late ? "late" : "inTime";
};

const ratesOf = (late: number, lost: number, doubled: number): OutcomeRates => ({
  late,
  lost,
  doubled,
});

/** Simulated seconds after which a run ends without a decision. */
const MAX_SECONDS = 900;

/**
 * Simulates one run: on average 27 baseline and 3 candidate requests per second over four zones,
 * evaluated every second.
 */
const simulateRun = (
  isSafe: boolean,
  baseline: OutcomeRates,
  candidate: OutcomeRates,
  seed: number,
): TestResult => {
  const random = seeded(seed);
  const test = new SequentialTest(isSafe, SEQUENTIAL_TEST_SETTINGS, random);
  for (let second = 0; second < MAX_SECONDS; second += 1) {
    for (let request = 0; request < 30; request += 1) {
      const stratum = `c${Math.floor(random() * 4)}|near|warm`;
      const isCandidate = random() < 0.1;
      const counts: OutcomeCounts = {
        ...NO_OUTCOMES,
        [drawOutcome(isCandidate ? candidate : baseline, random)]: 1,
      };
      if (isCandidate) test.addCandidate(stratum, counts);
      else test.addBaseline(stratum, counts);
    }
    const result = test.evaluate();
    if (result.decision !== "observing") return result;
  }
  return test.evaluate();
};

let isSafe = true;
let baselineRates = ratesOf(0, 0, 0);
let results: readonly TestResult[] = [];
const totalRequests = (counts: OutcomeCounts): number =>
  counts.inTime + counts.late + counts.lost + counts.doubled;
const median = (numbers: readonly number[]): number =>
  [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? Number.NaN;
const resultsWith = (decision: string): readonly TestResult[] =>
  results.filter(({ decision: actual }) => actual === decision);

Given(
  "a baseline for {word} requests with rates {float} late, {float} lost and {float} duplicated",
  (kind: string, late: number, lost: number, doubled: number) => {
    isSafe = kind === "safe";
    baselineRates = ratesOf(late, lost, doubled);
  },
);
When(
  "{int} runs of a candidate with rates {float} late, {float} lost and {float} duplicated are simulated",
  (runs: number, late: number, lost: number, doubled: number) => {
    results = Array.from({ length: runs }, (_, run) =>
      simulateRun(isSafe, baselineRates, ratesOf(late, lost, doubled), 1_000 + run),
    );
  },
);
Then("at most {int} runs stop the candidate, and at least {int} do", (max: number, min: number) => {
  const stopped = resultsWith("stop").length;
  assert.ok(stopped <= max && stopped >= min, `${stopped} runs stopped the candidate`);
});
Then(
  "the median run stops after at most {int} possibly duplicated requests and {int} requests",
  (doubled: number, requests: number) => {
    const stopped = resultsWith("stop");
    const [medianDuplicates, medianRequests] = [
      median(stopped.map(({ candidate }) => candidate.doubled)),
      median(stopped.map(({ candidate }) => totalRequests(candidate))),
    ];
    assert.ok(
      medianDuplicates <= doubled && medianRequests <= requests,
      `median of ${medianDuplicates} duplicated requests, ${medianRequests} requests`,
    );
  },
);
Then(
  "at least {int} runs pass the candidate, the median after at most {int} requests",
  (min: number, requests: number) => {
    const passed = resultsWith("pass");
    const medianRequests = median(passed.map(({ candidate }) => totalRequests(candidate)));
    assert.ok(
      passed.length >= min && medianRequests <= requests,
      `${passed.length} runs passed, median of ${medianRequests} requests`,
    );
  },
);
Then("at most {int} runs pass the candidate", (max: number) =>
  assert.ok(resultsWith("pass").length <= max, `${resultsWith("pass").length} runs passed`),
);

// --- Canary analyzer

let clock = new ManualClock();
let state: CanaryState = NO_CANARIES;
let route: SplitRoute = { name: "", version: 0, isSafe: false, shares: [] };
let analyzer: CanaryAnalyzer;
let isLeader = true;

const newAnalyzer = (): CanaryAnalyzer =>
  new CanaryAnalyzer({
    clock,
    log: silentLogger,
    settings: SEQUENTIAL_TEST_SETTINGS,
    random: seeded(5),
    isLeader: () => isLeader,
    term: () => 256,
    splitRoutes: () => [route],
    previousPrimary: () => "old",
    state: () => state,
    publish: async (next) => {
      state = next;
      return true;
    },
  });

/** A node's canary report with one row for the service. */
const report = (
  service: string,
  outcomes: Partial<OutcomeCounts>,
  stratum = "c1|near|warm",
  version = 7,
  routeName = "r1",
  life = "a",
) => {
  const { inTime, late, lost, doubled } = { ...NO_OUTCOMES, ...outcomes };
  return {
    kind: "rollout",
    node: "n1",
    life,
    rows: [[routeName, version, service, stratum, inTime, late, lost, doubled, 0]],
  };
};

Given(
  /^a canary analyzer (that holds|without) the leader lease, for an unsafe route "(\w+)" of "(\w+)" (\d+) and "(\w+)" (\d+)$/,
  async (
    leadership: string,
    name: string,
    baseline: string,
    baselineShare: string,
    candidate: string,
    candidateShare: string,
  ) => {
    clock = new ManualClock();
    state = NO_CANARIES;
    isLeader = leadership === "that holds";
    route = {
      name,
      version: 7,
      isSafe: false,
      shares: [
        { service: baseline, share: Number(baselineShare) },
        { service: candidate, share: Number(candidateShare) },
      ],
    };
    analyzer = newAnalyzer();
    await analyzer.tick();
  },
);
When(
  "{string} answers {int} requests late on cold workers while {string} answers {int} in time on warm ones",
  async (candidate: string, late: number, baseline: string, inTime: number) => {
    analyzer.receive(report(baseline, { inTime }));
    analyzer.receive(report(candidate, { late }, "c1|near|cold"));
    await analyzer.tick();
  },
);
When(
  "{string} possibly duplicates {int} of {int} requests and {string} none of {int}",
  async (
    candidate: string,
    doubled: number,
    requests: number,
    baseline: string,
    baselineRequests: number,
  ) => {
    analyzer.receive(report(baseline, { inTime: baselineRequests }));
    analyzer.receive(report(candidate, { inTime: requests - doubled, doubled }));
    await analyzer.tick();
  },
);
When(
  "the same report of {int} requests to {string} arrives {int} times, followed by an older one",
  async (requests: number, candidate: string, times: number) => {
    for (let repeat = 0; repeat < times; repeat += 1)
      analyzer.receive(report(candidate, { inTime: requests }));
    analyzer.receive(report(candidate, { inTime: requests - 10 }));
    await analyzer.tick();
  },
);
When(
  "a malformed report, one for an unknown route and one for a stale version arrive",
  async () => {
    analyzer.receive({
      kind: "rollout",
      node: "n1",
      life: "a",
      rows: [["r1", 7, "new", "c1|near|warm", -4, 0, 0, 0, 0]],
    });
    analyzer.receive(report("new", { inTime: 5 }, "c1|near|warm", 7, "nowhere"));
    analyzer.receive(report("new", { inTime: 5 }, "c1|near|warm", 6));
    await analyzer.tick();
  },
);
When("another controller becomes the leader", async () => {
  analyzer = newAnalyzer();
  await analyzer.tick();
});
When("the operator clears the stop on {string}", async (name: string) => {
  assert.equal(await analyzer.clearStop(name, 7), undefined);
});

Then("no candidate is stopped", () => assert.deepEqual(state.stops, []));
Then(
  "{string} is stopped on {string} in favour of {string}, with a reason and evidence",
  (candidate: string, routeName: string, baseline: string) => {
    assert.equal(state.stops.length, 1);
    const [stop] = state.stops;
    assert.deepEqual(
      [stop?.candidate, stop?.route, stop?.baseline, stop?.version],
      [candidate, routeName, baseline, 7],
    );
    assert.match(
      stop?.reason ?? "",
      /(8 of the candidate's 100|14 of the candidate's 336) requests/,
    );
    assert.ok(stop?.evidence["candidate"] && stop.evidence["term"] === 256);
  },
);
Then("{int} requests to {string} are counted", (count: number, candidate: string) => {
  const row = analyzer.list().find((entry) => entry["candidate"] === candidate);
  assert.match(JSON.stringify(row?.["seen"]), new RegExp(`"candidate":{"inTime":${count},`));
});
Then(
  "{int} reports are counted as dropped, and no request to the candidate is counted",
  (count: number) => {
    assert.equal(analyzer.explain()["droppedReports"], count);
    assert.match(JSON.stringify(analyzer.list()[0]?.["seen"]), /"candidate":{"inTime":0,/);
  },
);
Then("clearing a stop fails for an unknown route and for a stale version", async () => {
  assert.equal((await analyzer.clearStop("nowhere", undefined))?.code, "ROUTE_NOT_SPLIT");
  assert.equal((await analyzer.clearStop("r1", 6))?.code, "STALE_ROUTE_VERSION");
});

// --- Outlier detector

interface WorkerInfo {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly isMissing: boolean;
}

let workers: readonly WorkerInfo[] = [];
let decisions: HealthDecisions = NO_DECISIONS;
let detector: OutlierDetector;
let isFenced = false;
let practiceRuns = 0;
const faultTotals = new Map<string, number>();

const newDetector = (): OutlierDetector =>
  new OutlierDetector({
    clock,
    log: silentLogger,
    settings: OUTLIER_SETTINGS,
    isLeader: () => true,
    term: () => 256,
    workers: () => workers,
    decisions: () => decisions,
    publish: async (next) => {
      if (isFenced) return false;
      if (next.shift?.cause === "practice") practiceRuns += 1;
      decisions = next;
      return true;
    },
  });

/** Reports further faults of each worker, then lets the detector evaluate three times. */
const reportFaults = async (faultsOf: (id: string, zone: string) => number): Promise<void> => {
  workers.forEach(({ id, zone }) =>
    faultTotals.set(id, (faultTotals.get(id) ?? 0) + faultsOf(id, zone)),
  );
  detector.receive({ kind: "faults", node: "n1", life: "a", workers: [...faultTotals] });
  for (let tick = 0; tick < 3; tick += 1) {
    await detector.tick();
    await clock.pass(5_000_000);
  }
};

const passMinutes = async (minutes: number): Promise<void> => {
  for (let step = 0; step < minutes * 2; step += 1) {
    await clock.pass(30_000_000);
    await detector.tick();
  }
};

Given(
  "{int} workers of one service in {int} zones and an outlier detector on the leader",
  async (count: number, zones: number) => {
    clock = new ManualClock();
    decisions = NO_DECISIONS;
    isFenced = false;
    practiceRuns = 0;
    faultTotals.clear();
    workers = Array.from({ length: count }, (_, index) => ({
      id: `w${index + 1}`,
      service: "s1",
      zone: `c${(index % zones) + 1}`,
      isMissing: false,
    }));
    detector = newDetector();
    await detector.tick();
  },
);
Given("the detector's decisions are rejected because of a newer term", () => {
  isFenced = true;
});
Given("only {int} workers of the service remain", (count: number) => {
  workers = workers.slice(0, count);
});
When(
  "worker {int} has {int} faults and each other worker has {int}",
  async (faultyWorker: number, faults: number, others: number) =>
    reportFaults((id) => (id === `w${faultyWorker}` ? faults : others)),
);
When("each worker has {int} faults", async (faults: number) => reportFaults(() => faults));
When(
  "each worker of zone {int} has {int} faults and each other worker has {int}",
  async (zone: number, faults: number, others: number) =>
    reportFaults((_, workerZone) => (workerZone === `c${zone}` ? faults : others)),
);
When(
  "{int} minutes pass, then worker {int} has {int} more faults",
  async (minutes: number, faultyWorker: number, faults: number) => {
    await passMinutes(minutes);
    await reportFaults((id) => (id === `w${faultyWorker}` ? faults : 0));
  },
);
When("{int} minutes pass", async (minutes: number) => passMinutes(minutes));
When(
  "another controller becomes the leader and worker {int} has {int} faults",
  async (faultyWorker: number, faults: number) => {
    detector = newDetector();
    await reportFaults((id) => (id === `w${faultyWorker}` ? faults : 0));
  },
);
When(
  "the report of {int} faults of worker {int} arrives twice",
  async (faults: number, faultyWorker: number) => {
    for (let repeat = 0; repeat < 2; repeat += 1)
      detector.receive({
        kind: "faults",
        node: "n1",
        life: "a",
        workers: [[`w${faultyWorker}`, faults]],
      });
    await detector.tick();
  },
);
When("{int} days pass", async (days: number) => {
  for (let hour = 0; hour < days * 24; hour += 1) {
    await clock.pass(3_600_000_000);
    await detector.tick();
  }
});

Then("only worker {int} is ejected", (faultyWorker: number) =>
  assert.deepEqual(
    decisions.ejections.map(({ worker }) => worker),
    [`w${faultyWorker}`],
  ),
);
Then("worker {int} is ejected", (faultyWorker: number) =>
  assert.ok(decisions.ejections.some(({ worker }) => worker === `w${faultyWorker}`)),
);
Then("no worker is ejected", () => assert.deepEqual(decisions.ejections, []));
Then("the ejection states the counts, the share, the token and the term", () => {
  const [ejection] = decisions.ejections;
  assert.match(ejection?.reason ?? "", /w3 holds 40 of 51 faults \(78%\)/);
  assert.deepEqual(ejection?.evidence, {
    faults: 40,
    ofFaults: 51,
    share: 40 / 51,
    token: "taken",
    term: 256,
  });
});
Then("traffic is shifted away from zone {int}", (zone: number) =>
  assert.equal(decisions.shift?.zone, `c${zone}`),
);
Then("one practice run has been made and has ended", () => {
  assert.equal(practiceRuns, 1);
  assert.equal(decisions.shift, undefined);
});

When(
  "{string} answers {int} requests in time and {string} {int}",
  async (candidate: string, requests: number, baseline: string, baselineRequests: number) => {
    analyzer.receive(report(baseline, { inTime: baselineRequests }));
    analyzer.receive(report(candidate, { inTime: requests }));
    await analyzer.tick();
  },
);
Then("{string} has passed on {string}", (candidate: string, routeName: string) => {
  assert.ok(
    analyzer
      .list()
      .some(
        (row) =>
          row["candidate"] === candidate && row["route"] === routeName && row["verdict"] === "pass",
      ),
  );
});
Then("the verdict on {string} is to stop it", (candidate: string) => {
  assert.ok(
    analyzer.list().some((row) => row["candidate"] === candidate && row["verdict"] === "stop"),
  );
  assert.equal(state.stops.length, 1);
});
