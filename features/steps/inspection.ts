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

// --- the simulation

interface Rates {
  readonly late: number;
  readonly lost: number;
  readonly doubled: number;
}

const draw = (rates: Rates, random: () => number): OutcomeKind => {
  const at = random();
  if (at < rates.doubled) return "doubled";
  if (at < rates.doubled + rates.lost) return "lost";
  return at < rates.doubled + rates.lost + rates.late ? "late" : "inTime";
};

const ratesOf = (late: number, lost: number, doubled: number): Rates => ({ late, lost, doubled });

const SECONDS = 900;

/**
 * One run: 27 baseline and 3 candidate requests a second over four cells, looked at every second.
 */
const playRun = (isSafe: boolean, baseline: Rates, candidate: Rates, seed: number): TestResult => {
  const random = seeded(seed);
  const trial = new SequentialTest(isSafe, SEQUENTIAL_TEST_SETTINGS, random);
  for (let second = 0; second < SECONDS; second += 1) {
    for (let request = 0; request < 30; request += 1) {
      const stratum = `c${Math.floor(random() * 4)}|near|warm`;
      const isCandidate = random() < 0.1;
      const rise: OutcomeCounts = {
        ...NO_OUTCOMES,
        [draw(isCandidate ? candidate : baseline, random)]: 1,
      };
      if (isCandidate) trial.addCandidate(stratum, rise);
      else trial.addBaseline(stratum, rise);
    }
    const result = trial.evaluate();
    if (result.decision !== "observing") return result;
  }
  return trial.evaluate();
};

let isSafe = true;
let baselineRates = ratesOf(0, 0, 0);
let verdicts: readonly TestResult[] = [];
const sizeOf = (tally: OutcomeCounts): number =>
  tally.inTime + tally.late + tally.lost + tally.doubled;
const median = (numbers: readonly number[]): number =>
  [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? Number.NaN;
const having = (name: string): readonly TestResult[] =>
  verdicts.filter(({ decision: result }) => result === name);

Given(
  "runs of a {word} route whose baseline is late {float} and lost {float} and doubled {float}",
  (kind: string, late: number, lost: number, doubled: number) => {
    isSafe = kind === "safe";
    baselineRates = ratesOf(late, lost, doubled);
  },
);
When(
  "{int} runs of a candidate that is late {float} and lost {float} and doubled {float} are played",
  (runs: number, late: number, lost: number, doubled: number) => {
    verdicts = Array.from({ length: runs }, (_, run) =>
      playRun(isSafe, baselineRates, ratesOf(late, lost, doubled), 1_000 + run),
    );
  },
);
Then("at most {int} of them stop and at least {int} of them do", (most: number, least: number) => {
  const stopped = having("stop").length;
  assert.ok(stopped <= most && stopped >= least, `${stopped} stopped`);
});
Then(
  "the median run stops after at most {int} possibly doubled requests and {int} requests",
  (doubled: number, requests: number) => {
    const stopped = having("stop");
    const [seenDoubled, seen] = [
      median(stopped.map(({ candidate }) => candidate.doubled)),
      median(stopped.map(({ candidate }) => sizeOf(candidate))),
    ];
    assert.ok(
      seenDoubled <= doubled && seen <= requests,
      `${seenDoubled} doubled, ${seen} requests`,
    );
  },
);
Then(
  "at least {int} of them pass, the median after at most {int} requests",
  (least: number, requests: number) => {
    const passed = having("pass");
    const seen = median(passed.map(({ candidate }) => sizeOf(candidate)));
    assert.ok(
      passed.length >= least && seen <= requests,
      `${passed.length} passed, ${seen} requests`,
    );
  },
);
Then("at most {int} of them pass", (most: number) =>
  assert.ok(having("pass").length <= most, `${having("pass").length} passed`),
);

// --- the rollout inspector

let clock = new ManualClock();
let state: CanaryState = NO_CANARIES;
let route: SplitRoute = { name: "", version: 0, isSafe: false, shares: [] };
let rollouts: CanaryAnalyzer;
let holds = true;

const newRollouts = (): CanaryAnalyzer =>
  new CanaryAnalyzer({
    clock,
    log: silentLogger,
    settings: SEQUENTIAL_TEST_SETTINGS,
    random: seeded(5),
    isLeader: () => holds,
    term: () => 256,
    splitRoutes: () => [route],
    previousPrimary: () => "old",
    state: () => state,
    publish: async (wanted) => {
      state = wanted;
      return true;
    },
  });

const report = (
  service: string,
  tally: Partial<OutcomeCounts>,
  stratum = "c1|near|warm",
  version = 7,
  name = "r1",
  life = "a",
) => {
  const { inTime, late, lost, doubled } = { ...NO_OUTCOMES, ...tally };
  return {
    kind: "rollout",
    node: "n1",
    life,
    rows: [[name, version, service, stratum, inTime, late, lost, doubled, 0]],
  };
};

Given(
  /^a rollout inspector (that holds|without) the duty, for an unsafe route "(\w+)" of "(\w+)" (\d+) and "(\w+)" (\d+)$/,
  async (
    holding: string,
    name: string,
    old: string,
    oldShare: string,
    fresh: string,
    freshShare: string,
  ) => {
    clock = new ManualClock();
    state = NO_CANARIES;
    holds = holding === "that holds";
    route = {
      name,
      version: 7,
      isSafe: false,
      shares: [
        { service: old, share: Number(oldShare) },
        { service: fresh, share: Number(freshShare) },
      ],
    };
    rollouts = newRollouts();
    await rollouts.tick();
  },
);
When(
  "{string} answers {int} requests late on cold workers while {string} answers {int} in time on warm ones",
  async (fresh: string, late: number, old: string, inTime: number) => {
    rollouts.receive(report(old, { inTime }));
    rollouts.receive(report(fresh, { late }, "c1|near|cold"));
    await rollouts.tick();
  },
);
When(
  "{string} possibly doubles {int} of {int} requests and {string} none of {int}",
  async (fresh: string, doubled: number, requests: number, old: string, size: number) => {
    rollouts.receive(report(old, { inTime: size }));
    rollouts.receive(report(fresh, { inTime: requests - doubled, doubled }));
    await rollouts.tick();
  },
);
When(
  "the same report of {int} requests of {string} comes {int} times, and then an older one",
  async (size: number, fresh: string, times: number) => {
    for (let time = 0; time < times; time += 1) rollouts.receive(report(fresh, { inTime: size }));
    rollouts.receive(report(fresh, { inTime: size - 10 }));
    await rollouts.tick();
  },
);
When("a malformed report, one of an unknown route and one of a stale version come", async () => {
  rollouts.receive({
    kind: "rollout",
    node: "n1",
    life: "a",
    rows: [["r1", 7, "new", "c1|near|warm", -4, 0, 0, 0, 0]],
  });
  rollouts.receive(report("new", { inTime: 5 }, "c1|near|warm", 7, "nowhere"));
  rollouts.receive(report("new", { inTime: 5 }, "c1|near|warm", 6));
  await rollouts.tick();
});
When("another inspector takes over", async () => {
  rollouts = newRollouts();
  await rollouts.tick();
});
When("the operator clears {string}", async (name: string) => {
  assert.equal(await rollouts.clearStop(name, 7), undefined);
});

Then("nothing is stopped", () => assert.deepEqual(state.stops, []));
Then(
  "{string} is stopped on {string} in favour of {string}, with counts and a reason",
  (fresh: string, name: string, old: string) => {
    assert.equal(state.stops.length, 1);
    const [stop] = state.stops;
    assert.deepEqual(
      [stop?.candidate, stop?.route, stop?.baseline, stop?.version],
      [fresh, name, old, 7],
    );
    assert.match(
      stop?.reason ?? "",
      /(8 of the candidate's 100|14 of the candidate's 336) requests/,
    );
    assert.ok(stop?.evidence["candidate"] && stop.evidence["term"] === 256);
  },
);
Then("{int} requests of {string} are counted", (count: number, fresh: string) => {
  const row = rollouts.list().find((one) => one["candidate"] === fresh);
  assert.match(JSON.stringify(row?.["seen"]), new RegExp(`"candidate":{"inTime":${count},`));
});
Then("{int} reports are counted as dropped and nothing else", (count: number) => {
  assert.equal(rollouts.explain()["droppedReports"], count);
  assert.match(JSON.stringify(rollouts.list()[0]?.["seen"]), /"candidate":{"inTime":0,/);
});
Then("clearing an unknown route or a stale version says so", async () => {
  assert.equal((await rollouts.clearStop("nowhere", undefined))?.code, "ROUTE_NOT_SPLIT");
  assert.equal((await rollouts.clearStop("r1", 6))?.code, "STALE_ROUTE_VERSION");
});

// --- the inspector

interface OneWorker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly isMissing: boolean;
}

let workers: readonly OneWorker[] = [];
let decisions: HealthDecisions = NO_DECISIONS;
let inspector: OutlierDetector;
let isFenced = false;
let practices = 0;
const told = new Map<string, number>();

const newInspector = (): OutlierDetector =>
  new OutlierDetector({
    clock,
    log: silentLogger,
    settings: OUTLIER_SETTINGS,
    isLeader: () => true,
    term: () => 256,
    workers: () => workers,
    decisions: () => decisions,
    publish: async (wanted) => {
      if (isFenced) return false;
      if (wanted.shift?.cause === "practice") practices += 1;
      decisions = wanted;
      return true;
    },
  });

const tell = async (faultsOf: (id: string, zone: string) => number): Promise<void> => {
  workers.forEach(({ id, zone }) => told.set(id, (told.get(id) ?? 0) + faultsOf(id, zone)));
  inspector.receive({ kind: "faults", node: "n1", life: "a", workers: [...told] });
  for (let look = 0; look < 3; look += 1) {
    await inspector.tick();
    await clock.pass(5_000_000);
  }
};

const passMinutes = async (minutes: number): Promise<void> => {
  for (let step = 0; step < minutes * 2; step += 1) {
    await clock.pass(30_000_000);
    await inspector.tick();
  }
};

Given(
  "{int} workers of one service in {int} cells and an inspector that holds the duty",
  async (count: number, zones: number) => {
    clock = new ManualClock();
    decisions = NO_DECISIONS;
    isFenced = false;
    practices = 0;
    told.clear();
    workers = Array.from({ length: count }, (_, at) => ({
      id: `w${at + 1}`,
      service: "s1",
      zone: `c${(at % zones) + 1}`,
      isMissing: false,
    }));
    inspector = newInspector();
    await inspector.tick();
  },
);
Given("a newer term refuses what the inspector publishes", () => {
  isFenced = true;
});
Given("only {int} workers of the service are left", (count: number) => {
  workers = workers.slice(0, count);
});
When(
  "worker {int} has {int} faults and every other one {int}",
  async (bad: number, faults: number, others: number) =>
    tell((id) => (id === `w${bad}` ? faults : others)),
);
When("every worker has {int} faults", async (faults: number) => tell(() => faults));
When(
  "every worker of cell {int} has {int} faults and every other one {int}",
  async (zone: number, faults: number, others: number) =>
    tell((_, where) => (where === `c${zone}` ? faults : others)),
);
When(
  "{int} minutes pass, in which worker {int} has {int} more faults",
  async (minutes: number, bad: number, faults: number) => {
    await passMinutes(minutes);
    await tell((id) => (id === `w${bad}` ? faults : 0));
  },
);
When("{int} minutes pass", async (minutes: number) => passMinutes(minutes));
When(
  "another inspector takes the duty over and worker {int} has {int} faults",
  async (bad: number, faults: number) => {
    inspector = newInspector();
    await tell((id) => (id === `w${bad}` ? faults : 0));
  },
);
When(
  "the report of {int} faults of worker {int} comes twice",
  async (faults: number, bad: number) => {
    for (let time = 0; time < 2; time += 1)
      inspector.receive({ kind: "faults", node: "n1", life: "a", workers: [[`w${bad}`, faults]] });
    await inspector.tick();
  },
);
When("{int} days pass", async (days: number) => {
  for (let hour = 0; hour < days * 24; hour += 1) {
    await clock.pass(3_600_000_000);
    await inspector.tick();
  }
});

Then("only worker {int} is ejected", (bad: number) =>
  assert.deepEqual(
    decisions.ejections.map(({ worker }) => worker),
    [`w${bad}`],
  ),
);
Then("worker {int} is ejected", (bad: number) =>
  assert.ok(decisions.ejections.some(({ worker }) => worker === `w${bad}`)),
);
Then("nobody is ejected", () => assert.deepEqual(decisions.ejections, []));
Then("the ejection names the counts, the share, the token and the term", () => {
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
Then("traffic is shifted away from cell {int}", (zone: number) =>
  assert.equal(decisions.shift?.zone, `c${zone}`),
);
Then("a practice shift has been made and is over", () => {
  assert.equal(practices, 1);
  assert.equal(decisions.shift, undefined);
});

When(
  "{string} answers {int} requests in time and {string} {int}",
  async (fresh: string, size: number, old: string, oldSize: number) => {
    rollouts.receive(report(old, { inTime: oldSize }));
    rollouts.receive(report(fresh, { inTime: size }));
    await rollouts.tick();
  },
);
Then("{string} has passed on {string}", (fresh: string, name: string) => {
  assert.ok(
    rollouts
      .list()
      .some(
        (row) => row["candidate"] === fresh && row["route"] === name && row["verdict"] === "pass",
      ),
  );
});
Then("the verdict on {string} is a stop", (fresh: string) => {
  assert.ok(rollouts.list().some((row) => row["candidate"] === fresh && row["verdict"] === "stop"));
  assert.equal(state.stops.length, 1);
});
