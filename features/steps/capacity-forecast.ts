import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { CapacityForecaster } from "../../src/health/capacity-forecast.js";
import { FORECAST_SETTINGS, type CapacityState } from "../../src/health/capacity-state.js";
import { LoadCounters } from "../../src/health/load-counters.js";
import { silentLogger } from "../../src/common/logger.js";
import { asList, asRecord } from "../../src/common/decode.js";
import type { Message } from "../../src/transport/connection.js";
import { ManualClock } from "../support/manual-clock.js";

const seeded = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
};

const NODES = 20;
const SLOTS = 40;
const CALL_US = 200_000;
const ZONES = ["c1", "c2", "c3", "c4"];

interface Run {
  /** Each change of the capacity state, with the time in seconds since the start of the run. */
  readonly transitions: readonly { readonly atS: number; readonly state: CapacityState }[];
  /** When the demand first reached all slots, in seconds; infinite if it never did. */
  readonly saturatedS: number;
}

/** The conditions during one reporting interval. */
interface LoadPhase {
  /** Demand as a fraction of all initial slots, at the normal call duration. */
  readonly load: number;
  readonly slots: number;
  /** Factor on the normal call duration. */
  readonly slowdown: number;
}

/** Nodes that send calls to one service and report their load to a capacity forecaster. */
class Simulation {
  readonly clock = new ManualClock();
  readonly counters = Array.from(
    { length: NODES },
    (_, index) => new LoadCounters(`life-${index}`),
  );
  slots = SLOTS;
  isLeader = true;
  publishedStates: Readonly<Record<string, CapacityState>> = {};
  publishCount = 0;
  readonly forecaster = new CapacityForecaster({
    clock: this.clock,
    log: silentLogger,
    settings: FORECAST_SETTINGS,
    isLeader: () => this.isLeader,
    nodes: () => NODES,
    workers: () =>
      Array.from({ length: this.slots / 2 }, (_, index) => ({
        id: `w${index}`,
        service: "s",
        zone: ZONES[index % 4] ?? "",
        capacity: 2,
        isRoutable: true,
      })),
    published: () => this.publishedStates,
    publish: async (states) => {
      this.publishedStates = states;
      this.publishCount += 1;
      return true;
    },
  });

  readonly capacityState = (): CapacityState => this.forecaster.states()["s|"] ?? "unknown";

  /**
   * Simulates two seconds. The number of calls varies about as much as that of independent arrivals;
   * the calls are spread randomly over all nodes.
   */
  readonly tick = async (
    random: () => number,
    { load, slots, slowdown }: LoadPhase,
  ): Promise<void> => {
    this.slots = slots;
    const meanCalls = (load * SLOTS * 2_000_000) / CALL_US;
    const callCount = Math.max(
      0,
      Math.round(meanCalls + Math.sqrt(meanCalls) * (random() + random() + random() - 1.5) * 2),
    );
    for (let index = 0; index < callCount; index += 1) {
      const nodeCounters = this.counters[Math.floor(random() * NODES)];
      nodeCounters?.recordArrival("s");
      nodeCounters?.recordCompletion(
        "s",
        ZONES[Math.floor(random() * 4)] ?? "",
        CALL_US * slowdown * (0.5 + random()),
      );
    }
    this.takeReports().forEach(this.forecaster.receive);
    await this.advance();
  };

  readonly takeReports = (): readonly Message[] =>
    this.counters.flatMap((nodeCounters, index) => {
      const report = nodeCounters.takeReport();
      return report ? [{ ...report, node: `n${index}` }] : [];
    });

  readonly advance = async (): Promise<void> => {
    await this.clock.pass(2_000_000);
    await this.forecaster.tick();
  };
}

const simulateRun = async (
  seed: number,
  seconds: number,
  loadAt: (atS: number) => LoadPhase,
): Promise<Run> => {
  const simulation = new Simulation();
  const random = seeded(seed * 7_919 + 13);
  const transitions: { atS: number; state: CapacityState }[] = [];
  let saturatedS = Number.POSITIVE_INFINITY;
  for (let atS = 0; atS < seconds; atS += 2) {
    const phase = loadAt(atS);
    if (phase.load * phase.slowdown * SLOTS >= phase.slots) saturatedS = Math.min(saturatedS, atS);
    await simulation.tick(random, phase);
    const current = simulation.capacityState();
    if (current !== (transitions[transitions.length - 1]?.state ?? "unknown"))
      transitions.push({ atS: atS + 2, state: current });
  }
  return { transitions, saturatedS };
};

let runs: readonly Run[] = [];
let simulation = new Simulation();

const simulateRuns = async (
  count: number,
  seconds: number,
  loadAt: (atS: number) => LoadPhase,
): Promise<void> => {
  const finished: Run[] = [];
  for (let seed = 1; seed <= count; seed += 1)
    finished.push(await simulateRun(seed, seconds, loadAt));
  runs = finished;
};

const firstWarningS = (run: Run): number =>
  run.transitions.find(({ state: current }) => current === "nearing" || current === "overrun")
    ?.atS ?? Number.POSITIVE_INFINITY;

When(
  "{int} runs with a load ramp from {int}% to {int}% over {int} s are simulated",
  (count: number, fromPercent: number, toPercent: number, seconds: number) =>
    simulateRuns(count, seconds + 40, (atS) => ({
      load:
        (fromPercent + (toPercent - fromPercent) * Math.min(1, Math.max(0, atS - 40) / seconds)) /
        100,
      slots: SLOTS,
      slowdown: 1,
    })),
);
When(
  "{int} runs with a load of {int}% are simulated while a worker is lost every {int} s from {int} s on",
  (count: number, loadPercent: number, intervalS: number, startS: number) =>
    simulateRuns(count, 200, (atS) => ({
      load: loadPercent / 100,
      slots: Math.max(2, SLOTS - 2 * Math.floor(Math.max(0, atS - startS) / intervalS)),
      slowdown: 1,
    })),
);
When(
  "{int} runs with a load of {int}% are simulated while calls slow down by {int}% per second from {int} s on",
  (count: number, loadPercent: number, percentPerS: number, startS: number) =>
    simulateRuns(count, 200, (atS) => ({
      load: loadPercent / 100,
      slots: SLOTS,
      slowdown: 1 + (Math.max(0, atS - startS) * percentPerS) / 100,
    })),
);
When(
  "{int} runs with a load of {int}% that oscillates by {int}% every {int} s are simulated",
  (count: number, loadPercent: number, amplitude: number, period: number) =>
    simulateRuns(count, 120, (atS) => ({
      load: (loadPercent / 100) * (1 + (amplitude / 100) * Math.sin((2 * Math.PI * atS) / period)),
      slots: SLOTS,
      slowdown: 1,
    })),
);
When("{int} runs with a load of {int}% are simulated", (count: number, loadPercent: number) =>
  simulateRuns(count, 120, () => ({ load: loadPercent / 100, slots: SLOTS, slowdown: 1 })),
);
When(
  "a load step from {int}% to {int}% and back after {int} s is simulated",
  (fromPercent: number, toPercent: number, durationS: number) =>
    simulateRuns(1, 160, (atS) => ({
      load: (atS >= 60 && atS < 60 + durationS ? toPercent : fromPercent) / 100,
      slots: SLOTS,
      slowdown: 1,
    })),
);

Then(
  "each run warned before 100% utilization, with a median lead time of at least {int} s",
  (min: number) => {
    const leadTimes = runs.map((run) => run.saturatedS - firstWarningS(run)).sort((a, b) => a - b);
    assert.ok((leadTimes[0] ?? -1) > 0, `the shortest lead time in seconds was ${leadTimes[0]}`);
    assert.ok(
      (leadTimes[Math.floor(leadTimes.length / 2)] ?? 0) >= min,
      `the median lead time in seconds was ${leadTimes[Math.floor(leadTimes.length / 2)]}`,
    );
  },
);
Then("no run warned in the first {int} s", (seconds: number) =>
  assert.ok(runs.every((run) => firstWarningS(run) > seconds)),
);
Then("at most {int} runs warned", (max: number) => {
  const warned = runs.filter((run) => Number.isFinite(firstWarningS(run))).length;
  assert.ok(warned <= max, `${warned} runs warned`);
});
Then("the state becomes overrun within {int} s, then nearing, then steady", (seconds: number) => {
  const [run] = runs;
  assert.ok(run);
  const after = run.transitions.filter(({ atS }) => atS > 60);
  const overrun = after.find(({ state: current }) => current === "overrun");
  assert.ok(overrun && overrun.atS - 60 <= seconds, JSON.stringify(run.transitions));
  assert.deepEqual(
    after.filter(({ atS }) => atS >= overrun.atS).map(({ state: current }) => current),
    ["overrun", "nearing", "steady"],
  );
});

/** Reports one interval of calls at the given load, spread evenly over the nodes. */
const reportLoad = (load: number, nodes: number, repeats: number): void => {
  for (let index = 0; index < nodes; index += 1) {
    const nodeCounters = simulation.counters[index];
    for (let call = 0; call < Math.round((load * SLOTS * 10) / nodes); call += 1) {
      nodeCounters?.recordArrival("s");
      nodeCounters?.recordCompletion("s", "c1", CALL_US);
    }
    const report = nodeCounters?.takeReport();
    if (!report) continue;
    for (let repeat = 0; repeat < repeats; repeat += 1)
      simulation.forecaster.receive({ ...report, node: `n${index}` });
  }
};

Given("a forecaster that receives reports from {int} of 20 nodes", async (nodes: number) => {
  simulation = new Simulation();
  for (let tick = 0; tick < 6; tick += 1) {
    reportLoad(0.5, nodes, 1);
    await simulation.advance();
  }
});
When(
  "20 nodes report a load of {int}%, each report twice and out of order",
  async (percent: number) => {
    let previousReports: readonly Message[] = [];
    for (let tick = 0; tick < 8; tick += 1) {
      reportLoad(percent / 100, NODES, 2);
      previousReports.forEach(simulation.forecaster.receive);
      previousReports = simulation.takeReports();
      await simulation.advance();
    }
  },
);
Then("the capacity state is {string}", (expected: string) =>
  assert.equal(simulation.capacityState(), expected),
);
Then(
  "the capacity state is {string} at a utilization of {int}%",
  (expected: string, percent: number) => {
    assert.equal(simulation.capacityState(), expected);
    const row = asList(simulation.forecaster.explain()["services"])
      .map((value) => asRecord(value))
      .find((entry) => entry["cell"] === "all");
    assert.equal(Math.round(Number(row?.["usedPart"]) * 100), percent);
  },
);
Given("a forecaster without the leader lease", () => {
  simulation = new Simulation();
  simulation.isLeader = false;
});
Then("it publishes nothing under overload until it acquires the leader lease", async () => {
  for (let tick = 0; tick < 8; tick += 1) {
    reportLoad(1.5, NODES, 1);
    await simulation.advance();
  }
  assert.equal(simulation.publishCount, 0);
  simulation.isLeader = true;
  for (let tick = 0; tick < 8; tick += 1) {
    reportLoad(1.5, NODES, 1);
    await simulation.advance();
  }
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- changes in each tick of the forecaster
  assert.ok(simulation.publishCount > 0);
});
