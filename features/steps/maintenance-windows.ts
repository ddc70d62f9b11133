import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ZonalShift } from "../../src/health/health-decisions.js";
import type { WindowError } from "../../src/health/errors.js";
import {
  WINDOW_SETTINGS,
  type WindowStage,
  type WindowState,
} from "../../src/health/maintenance-window.js";
import { MaintenanceWindows } from "../../src/health/maintenance-windows.js";
import type { ZoneWorker } from "../../src/health/window-explanations.js";
import { SECOND_US } from "../../src/common/duration.js";
import { ManualClock } from "../support/manual-clock.js";

/** The latest window and the zonal shift, sampled after each tick of the leader. */
interface Sample {
  /** Seconds since the window was requested. */
  readonly atS: number;
  readonly stage: WindowStage;
  readonly safe: number;
  readonly unsafe: number;
  readonly shift: ZonalShift | undefined;
}

let clock = new ManualClock();
let state: WindowState = [];
let stateWrittenUs = 0;
let shift: ZonalShift | undefined;
let zones: readonly string[] = [];
let downZones = new Set<string>();
let inFlight = new Map<string, number>();
let longestDeadlineUs = 0;
let windows: MaintenanceWindows;
let samples: Sample[] = [];
let addedUs = 0;
let addResult: Awaited<ReturnType<MaintenanceWindows["add"]>> | undefined;
let windowCount = 0;

const workers = (): readonly ZoneWorker[] =>
  zones.flatMap((zone) =>
    [1, 2].map(() => ({ zone, service: "s", capacity: 2, isReady: !downZones.has(zone) })),
  );

/**
 * Starts a leader. `wasRunning` is whether its process has been up since the state was written, and
 * therefore knows the age of the state.
 */
const startLeader = (wasRunning: boolean): void => {
  windows = new MaintenanceWindows({
    clock,
    log: {
      info: () => undefined,
      debug: () => undefined,
      warn: (message) => warnings.push(message),
    },
    settings: WINDOW_SETTINGS,
    isLeader: () => true,
    state: () => state,
    stateAgeUs: () => (wasRunning ? clock.nowUs() - stateWrittenUs : undefined),
    publish: async (next) => {
      state = next;
      stateWrittenUs = clock.nowUs();
      return true;
    },
    shift: () => shift,
    setShift: async (next) => {
      shift = next;
      return true;
    },
    zones: () => zones,
    workers,
    longestDeadlineUs: () => longestDeadlineUs,
    hasQuorumWithout: (zone) => zone !== "c1",
    inFlight: () => inFlight,
    moveLeadershipOutOf: async () => undefined,
  });
};
let warnings: string[] = [];

const nowS = (): number => (clock.nowUs() - addedUs) / SECOND_US;
const latestWindow = () => state[state.length - 1];

/** Advances by half a second: one tick of the leader, then a sample. */
const step = async (): Promise<void> => {
  await clock.pass(SECOND_US / 2);
  await windows.tick();
  const window = latestWindow();
  if (window)
    samples.push({
      atS: nowS(),
      stage: window.stage,
      safe: window.safeShare,
      unsafe: window.unsafeShare,
      shift,
    });
};
const passS = async (seconds: number): Promise<void> => {
  for (let tick = 0; tick < seconds * 2; tick += 1) await step();
};
const runUntilStage = async (stage: WindowStage): Promise<void> => {
  for (let tick = 0; tick < 600 && latestWindow()?.stage !== stage; tick += 1) await step();
  assert.equal(latestWindow()?.stage, stage);
};
const firstSampleAt = (stage: WindowStage): Sample => {
  const first = samples.find((sample) => sample.stage === stage);
  assert.ok(first, `the window was never sampled at stage ${stage}`);
  return first;
};
const openSeconds = (): number => samples.filter(({ stage }) => stage === "open").length / 2;

const requestWindow = async (zone: string, opensS: number, lastsS: number): Promise<void> => {
  windowCount += 1;
  addedUs = clock.nowUs();
  samples = [];
  addResult = await windows.add(
    { zone, opensInUs: opensS * SECOND_US, durationUs: lastsS * SECOND_US },
    `w${windowCount}`,
  );
};

Given(
  "zones {string} with a longest deadline of {int} s, and a leader",
  async (zoneNames: string, seconds: number) => {
    clock = new ManualClock();
    zones = zoneNames.split(", ");
    longestDeadlineUs = seconds * SECOND_US;
    state = [];
    shift = undefined;
    downZones = new Set();
    inFlight = new Map();
    warnings = [];
    startLeader(true);
    await windows.tick();
  },
);
Given("a practice run shifts traffic away from {string}", (zone: string) => {
  shift = { zone, cause: "practice", reason: "" };
});
Given("a manual shift of {string} is active", async (zone: string) => {
  await passS(200);
  shift = { zone, cause: "by hand", reason: "" };
});
Given("service {string} has {int} requests in flight", (service: string, count: number) => {
  inFlight = new Map([[service, count]]);
});
When(
  "a window of {string} that opens in {int} s and lasts {int} s is added",
  async (zone: string, opens: number, lasts: number) => {
    await requestWindow(zone, opens, lasts);
    assert.ok(addResult?.isOk);
  },
);
When("a window of {string} that opens in {int} s and lasts {int} s is requested", requestWindow);
When(
  "the leader fails at stage {string} and a running controller that holds the state takes over",
  async (stage: string) => {
    await runUntilStage(parseStage(stage));
    await clock.pass(2 * SECOND_US);
    startLeader(true);
  },
);
When("{int} seconds later all processes are killed and restarted", async (seconds: number) => {
  await passS(seconds);
  await clock.pass(5 * SECOND_US);
  startLeader(false);
});
When("the window is cancelled at stage {string}", async (stage: string) => {
  await runUntilStage(parseStage(stage));
  await passS(4);
  assert.equal(await windows.cancel(latestWindow()?.id ?? ""), undefined);
});
When(
  "at stage {string} the window is extended by {int} s",
  async (stage: string, seconds: number) => {
    await runUntilStage(parseStage(stage));
    assert.equal(await windows.extend(latestWindow()?.id ?? "", seconds * SECOND_US), undefined);
  },
);
When("the zone's workers go down once the window is open", async () => {
  await runUntilStage("open");
  downZones.add("c2");
});

const parseStage = (name: string): WindowStage => {
  const stage = (["announced", "moving", "clear", "open", "returning", "ended"] as const).find(
    (known) => known === name,
  );
  assert.ok(stage);
  return stage;
};

Then(
  "safe requests are shifted in steps before unsafe ones, and all of them {int} s or more before it opens",
  async (seconds: number) => {
    await runUntilStage("open");
    const openedS = firstSampleAt("open").atS;
    const safeMovedS = samples.find(({ safe }) => safe === 1)?.atS ?? Number.NaN;
    const unsafeMovedS = samples.find(({ unsafe }) => unsafe === 1)?.atS ?? Number.NaN;
    assert.deepEqual([...new Set(samples.map(({ safe }) => safe))], [0, 0.25, 0.5, 0.75, 1]);
    assert.ok(
      safeMovedS < unsafeMovedS && unsafeMovedS + seconds <= openedS,
      `${safeMovedS} ${unsafeMovedS} ${openedS}`,
    );
    assert.ok(
      samples.every(
        (sample) =>
          sample.stage === "announced" ||
          (sample.shift?.zone === "c2" && sample.shift.unsafeShare === sample.unsafe),
      ),
    );
  },
);
Then(
  "the zone is clear before the window opens, and the window is open for {int} s",
  async (seconds: number) => {
    await runUntilStage("returning");
    assert.ok(firstSampleAt("clear").atS < firstSampleAt("open").atS);
    assert.ok(Math.abs(openSeconds() - seconds) <= 1, `${openSeconds()}`);
  },
);
Then("requests return in steps, and no zonal shift remains", async () => {
  await runUntilStage("ended");
  assert.equal(shift, undefined);
  assert.deepEqual(
    [...new Set(samples.filter(({ stage }) => stage === "returning").map(({ safe }) => safe))],
    [1, 0.75, 0.5, 0.25],
  );
});
Then("the window is rejected with code {string}", (code: string) => {
  const error: WindowError | undefined = addResult?.isErr ? addResult.error : undefined;
  assert.equal(error?.code, code);
});
Then(
  "the window still opens within {int} s of its time, with the zone clear, and ends",
  async (seconds: number) => {
    await runUntilStage("ended");
    assert.ok(Math.abs(firstSampleAt("open").atS - 60) <= seconds, `${firstSampleAt("open").atS}`);
    assert.ok(firstSampleAt("clear").atS < firstSampleAt("open").atS);
  },
);
Then(
  "the window opens early by {int} to {int} s, with the zone clear",
  async (min: number, max: number) => {
    await runUntilStage("open");
    const earlyS = 90 - firstSampleAt("open").atS;
    assert.ok(earlyS >= min && earlyS <= max, `${earlyS}`);
    assert.ok(firstSampleAt("clear").atS < firstSampleAt("open").atS);
  },
);
Then("the window ends without having opened, and no zonal shift remains", async () => {
  await runUntilStage("ended");
  assert.ok(samples.every(({ stage }) => stage !== "open"));
  assert.equal(shift, undefined);
});
Then("the window was open for {int} s", async (seconds: number) => {
  await runUntilStage("ended");
  assert.ok(Math.abs(openSeconds() - seconds) <= 1, `${openSeconds()}`);
});
Then("traffic is shifted for the window despite the practice run", async () => {
  await runUntilStage("moving");
  assert.equal(shift?.zone, "c2");
});
Then("no traffic is shifted for the window until the manual shift ends", async () => {
  await passS(70);
  assert.equal(latestWindow()?.stage, "announced");
  assert.ok(warnings.some((message) => message.includes("waits")));
  shift = undefined;
  await runUntilStage("moving");
});
Then(
  "the window is still open {int} s past its end, and ends once the workers are back",
  async (seconds: number) => {
    await passS(30 + seconds);
    assert.equal(latestWindow()?.stage, "open");
    assert.ok(warnings.some((message) => message.includes("still dark")));
    downZones.clear();
    await runUntilStage("ended");
  },
);
Then("the window is accepted with a warning about {string}", (service: string) => {
  assert.ok(addResult?.isOk && addResult.value.some((warning) => warning.startsWith(service)));
});
