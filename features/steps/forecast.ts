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
  /** Seconds into the run at which each verdict was entered. */
  readonly entered: readonly { readonly atS: number; readonly verdict: CapacityState }[];
  /** When the slots were first all wanted. */
  readonly fullS: number;
}

interface Moment {
  readonly part: number;
  readonly slots: number;
  readonly slower: number;
}

class Simulation {
  readonly clock = new ManualClock();
  readonly counts = Array.from({ length: NODES }, (_, at) => new LoadCounters(`life-${at}`));
  slots = SLOTS;
  holds = true;
  published: Readonly<Record<string, CapacityState>> = {};
  publishes = 0;
  readonly forecaster = new CapacityForecaster({
    clock: this.clock,
    log: silentLogger,
    settings: FORECAST_SETTINGS,
    isLeader: () => this.holds,
    nodes: () => NODES,
    workers: () =>
      Array.from({ length: this.slots / 2 }, (_, at) => ({
        id: `w${at}`,
        service: "s",
        zone: ZONES[at % 4] ?? "",
        capacity: 2,
        isRoutable: true,
      })),
    published: () => this.published,
    publish: async (verdicts) => {
      this.published = verdicts;
      this.publishes += 1;
      return true;
    },
  });

  readonly verdict = (): CapacityState => this.forecaster.states()["s|"] ?? "unknown";

  /** Two seconds: a number of calls that scatters as independent arrivals do, over all nodes. */
  readonly tick = async (random: () => number, { part, slots, slower }: Moment): Promise<void> => {
    this.slots = slots;
    const perTick = (part * SLOTS * 2_000_000) / CALL_US;
    const count = Math.max(
      0,
      Math.round(perTick + Math.sqrt(perTick) * (random() + random() + random() - 1.5) * 2),
    );
    for (let at = 0; at < count; at += 1) {
      const counts = this.counts[Math.floor(random() * NODES)];
      counts?.arrived("s");
      counts?.answered(
        "s",
        ZONES[Math.floor(random() * 4)] ?? "",
        CALL_US * slower * (0.5 + random()),
      );
    }
    this.reports().forEach(this.forecaster.receive);
    await this.pass();
  };

  readonly reports = (): readonly Message[] =>
    this.counts.flatMap((counts, at) => {
      const report = counts.takeReport();
      return report ? [{ ...report, node: `n${at}` }] : [];
    });

  readonly pass = async (): Promise<void> => {
    await this.clock.pass(2_000_000);
    await this.forecaster.tick();
  };
}

const play = async (
  seed: number,
  seconds: number,
  momentAt: (atS: number) => Moment,
): Promise<Run> => {
  const simulation = new Simulation();
  const random = seeded(seed * 7_919 + 13);
  const entered: { atS: number; verdict: CapacityState }[] = [];
  let fullS = Number.POSITIVE_INFINITY;
  for (let atS = 0; atS < seconds; atS += 2) {
    const moment = momentAt(atS);
    if (moment.part * moment.slower * SLOTS >= moment.slots) fullS = Math.min(fullS, atS);
    await simulation.tick(random, moment);
    const result = simulation.verdict();
    if (result !== (entered[entered.length - 1]?.verdict ?? "unknown"))
      entered.push({ atS: atS + 2, verdict: result });
  }
  return { entered, fullS };
};

let runs: readonly Run[] = [];
let simulation = new Simulation();

const playAll = async (
  count: number,
  seconds: number,
  momentAt: (atS: number) => Moment,
): Promise<void> => {
  const played: Run[] = [];
  for (let seed = 1; seed <= count; seed += 1) played.push(await play(seed, seconds, momentAt));
  runs = played;
};

const warnedS = (run: Run): number =>
  run.entered.find(({ verdict: result }) => result === "nearing" || result === "overrun")?.atS ??
  Number.POSITIVE_INFINITY;

When(
  "{int} runs of a ramp from {int}% to {int}% over {int} s are played",
  (count: number, from: number, to: number, seconds: number) =>
    playAll(count, seconds + 40, (atS) => ({
      part: (from + (to - from) * Math.min(1, Math.max(0, atS - 40) / seconds)) / 100,
      slots: SLOTS,
      slower: 1,
    })),
);
When(
  "{int} runs of a level of {int}% are played while a worker is lost every {int} s from {int} s on",
  (count: number, level: number, gap: number, from: number) =>
    playAll(count, 200, (atS) => ({
      part: level / 100,
      slots: Math.max(2, SLOTS - 2 * Math.floor(Math.max(0, atS - from) / gap)),
      slower: 1,
    })),
);
When(
  "{int} runs of a level of {int}% are played while calls take longer by {int}% a second from {int} s on",
  (count: number, level: number, percent: number, from: number) =>
    playAll(count, 200, (atS) => ({
      part: level / 100,
      slots: SLOTS,
      slower: 1 + (Math.max(0, atS - from) * percent) / 100,
    })),
);
When(
  "{int} runs of a level of {int}% with waves of {int}% every {int} s are played",
  (count: number, level: number, swing: number, period: number) =>
    playAll(count, 120, (atS) => ({
      part: (level / 100) * (1 + (swing / 100) * Math.sin((2 * Math.PI * atS) / period)),
      slots: SLOTS,
      slower: 1,
    })),
);
When("{int} runs of a level of {int}% are played", (count: number, level: number) =>
  playAll(count, 120, () => ({ part: level / 100, slots: SLOTS, slower: 1 })),
);
When(
  "a step from {int}% to {int}% and back after {int} s is played",
  (from: number, to: number, lasts: number) =>
    playAll(1, 160, (atS) => ({
      part: (atS >= 60 && atS < 60 + lasts ? to : from) / 100,
      slots: SLOTS,
      slower: 1,
    })),
);

Then("each warned before 100% was in use, the median at least {int} s ahead", (least: number) => {
  const leads = runs.map((run) => run.fullS - warnedS(run)).sort((a, b) => a - b);
  assert.ok((leads[0] ?? -1) > 0, `the worst lead was ${leads[0]}`);
  assert.ok(
    (leads[Math.floor(leads.length / 2)] ?? 0) >= least,
    `the median lead was ${leads[Math.floor(leads.length / 2)]}`,
  );
});
Then("none warned in the first {int} s", (seconds: number) =>
  assert.ok(runs.every((run) => warnedS(run) > seconds)),
);
Then("at most {int} of them warned", (most: number) => {
  const warned = runs.filter((run) => Number.isFinite(warnedS(run))).length;
  assert.ok(warned <= most, `${warned} warned`);
});
Then("it is overrun within {int} s, then nearing, then steady", (seconds: number) => {
  const [run] = runs;
  assert.ok(run);
  const after = run.entered.filter(({ atS }) => atS > 60);
  const overrun = after.find(({ verdict: result }) => result === "overrun");
  assert.ok(overrun && overrun.atS - 60 <= seconds, JSON.stringify(run.entered));
  assert.deepEqual(
    after.filter(({ atS }) => atS >= overrun.atS).map(({ verdict: result }) => result),
    ["overrun", "nearing", "steady"],
  );
});

const level = (part: number, nodes: number, repeats: number): void => {
  for (let at = 0; at < nodes; at += 1) {
    const counts = simulation.counts[at];
    for (let call = 0; call < Math.round((part * SLOTS * 10) / nodes); call += 1) {
      counts?.arrived("s");
      counts?.answered("s", "c1", CALL_US);
    }
    const report = counts?.takeReport();
    if (!report) continue;
    for (let time = 0; time < repeats; time += 1)
      simulation.forecaster.receive({ ...report, node: `n${at}` });
  }
};

Given("a forecaster that hears {int} of 20 nodes", async (nodes: number) => {
  simulation = new Simulation();
  for (let time = 0; time < 6; time += 1) {
    level(0.5, nodes, 1);
    await simulation.pass();
  }
});
When(
  "20 nodes report a level of {int}%, each report twice and out of order",
  async (percent: number) => {
    let before: readonly Message[] = [];
    for (let time = 0; time < 8; time += 1) {
      level(percent / 100, NODES, 2);
      before.forEach(simulation.forecaster.receive);
      before = simulation.reports();
      await simulation.pass();
    }
  },
);
Then("its verdict is {string}", (result: string) => assert.equal(simulation.verdict(), result));
Then("its verdict is {string} with {int}% in use", (result: string, percent: number) => {
  assert.equal(simulation.verdict(), result);
  const row = asList(simulation.forecaster.explain()["services"])
    .map((value) => asRecord(value))
    .find((told) => told["cell"] === "all");
  assert.equal(Math.round(Number(row?.["usedPart"]) * 100), percent);
});
Given("a forecaster without the duty", () => {
  simulation = new Simulation();
  simulation.holds = false;
});
Then("it publishes nothing under any load", async () => {
  for (let time = 0; time < 8; time += 1) {
    level(1.5, NODES, 1);
    await simulation.pass();
  }
  assert.equal(simulation.publishes, 0);
  simulation.holds = true;
  for (let time = 0; time < 8; time += 1) {
    level(1.5, NODES, 1);
    await simulation.pass();
  }
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- it changes with each pass
  assert.ok(simulation.publishes > 0);
});
