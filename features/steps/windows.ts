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

interface Moment {
  readonly atS: number;
  readonly stage: WindowStage;
  readonly safe: number;
  readonly unsafe: number;
  readonly shift: ZonalShift | undefined;
}

let clock = new ManualClock();
let state: WindowState = [];
let stateSinceUs = 0;
let shift: ZonalShift | undefined;
let zones: readonly string[] = [];
let dark = new Set<string>();
let inFlight = new Map<string, number>();
let deadlineUs = 0;
let windows: MaintenanceWindows;
let history: Moment[] = [];
let addedUs = 0;
let added: Awaited<ReturnType<MaintenanceWindows["add"]>> | undefined;
let number = 0;

const workers = (): readonly ZoneWorker[] =>
  zones.flatMap((zone) =>
    [1, 2].map(() => ({ zone, service: "s", capacity: 2, isReady: !dark.has(zone) })),
  );

/** A holder; `knows` says whether its process has been up since the state was written. */
const hold = (knows: boolean): void => {
  windows = new MaintenanceWindows({
    clock,
    log: { info: () => undefined, debug: () => undefined, warn: (sentence) => said.push(sentence) },
    settings: WINDOW_SETTINGS,
    isLeader: () => true,
    state: () => state,
    stateAgeUs: () => (knows ? clock.nowUs() - stateSinceUs : undefined),
    publish: async (wanted) => {
      state = wanted;
      stateSinceUs = clock.nowUs();
      return true;
    },
    shift: () => shift,
    setShift: async (wanted) => {
      shift = wanted;
      return true;
    },
    zones: () => zones,
    workers,
    longestDeadlineUs: () => deadlineUs,
    hasQuorumWithout: (zone) => zone !== "c1",
    inFlight: () => inFlight,
    moveLeadershipOutOf: async () => undefined,
  });
};
let said: string[] = [];

const nowS = (): number => (clock.nowUs() - addedUs) / SECOND_US;
const windowOf = () => state[state.length - 1];

/** Half a second: the holder looks, and what it has come to is noted. */
const step = async (): Promise<void> => {
  await clock.pass(SECOND_US / 2);
  await windows.tick();
  const window = windowOf();
  if (window)
    history.push({
      atS: nowS(),
      stage: window.stage,
      safe: window.safeShare,
      unsafe: window.unsafeShare,
      shift,
    });
};
const passS = async (seconds: number): Promise<void> => {
  for (let at = 0; at < seconds * 2; at += 1) await step();
};
const until = async (stage: WindowStage): Promise<void> => {
  for (let at = 0; at < 600 && windowOf()?.stage !== stage; at += 1) await step();
  assert.equal(windowOf()?.stage, stage);
};
const firstOf = (stage: WindowStage): Moment => {
  const found = history.find((moment) => moment.stage === stage);
  assert.ok(found, `it never was ${stage}`);
  return found;
};
const openS = (): number => history.filter(({ stage }) => stage === "open").length / 2;

const add = async (zone: string, opensS: number, lastsS: number): Promise<void> => {
  number += 1;
  addedUs = clock.nowUs();
  history = [];
  added = await windows.add(
    { zone, opensInUs: opensS * SECOND_US, durationUs: lastsS * SECOND_US },
    `w${number}`,
  );
};

Given(
  "cells {string} whose longest budget is {int} s, and a holder of the duty",
  async (names: string, seconds: number) => {
    clock = new ManualClock();
    zones = names.split(", ");
    deadlineUs = seconds * SECOND_US;
    state = [];
    shift = undefined;
    dark = new Set();
    inFlight = new Map();
    said = [];
    hold(true);
    await windows.tick();
  },
);
Given("a practice shift of {string} stands", (zone: string) => {
  shift = { zone, cause: "practice", reason: "" };
});
Given("a shift of {string} by hand stands", async (zone: string) => {
  await passS(200);
  shift = { zone, cause: "by hand", reason: "" };
});
Given("service {string} has {int} calls in flight", (service: string, count: number) => {
  inFlight = new Map([[service, count]]);
});
When(
  "a window of {string} that opens in {int} s and lasts {int} s is added",
  async (zone: string, opens: number, lasts: number) => {
    await add(zone, opens, lasts);
    assert.ok(added?.isOk);
  },
);
When("a window of {string} that opens in {int} s and lasts {int} s is asked for", add);
When(
  "it is {string} and the holder dies, the next one having known the state",
  async (stage: string) => {
    await until(WINDOW_STAGE(stage));
    await clock.pass(2 * SECOND_US);
    hold(true);
  },
);
When("{int} seconds later every process is killed and starts again", async (seconds: number) => {
  await passS(seconds);
  await clock.pass(5 * SECOND_US);
  hold(false);
});
When("it is {string} and is cancelled", async (stage: string) => {
  await until(WINDOW_STAGE(stage));
  await passS(4);
  assert.equal(await windows.cancel(windowOf()?.id ?? ""), undefined);
});
When("it is {string} and is extended by {int} s", async (stage: string, seconds: number) => {
  await until(WINDOW_STAGE(stage));
  assert.equal(await windows.extend(windowOf()?.id ?? "", seconds * SECOND_US), undefined);
});
When("its workers go dark once it is open, and stay so", async () => {
  await until("open");
  dark.add("c2");
});

const WINDOW_STAGE = (name: string): WindowStage => {
  const stage = (["announced", "moving", "clear", "open", "returning", "ended"] as const).find(
    (other) => other === name,
  );
  assert.ok(stage);
  return stage;
};

Then(
  "safe requests leave in steps before unsafe ones, and all are gone {int} s or more before it opens",
  async (seconds: number) => {
    await until("open");
    const opened = firstOf("open").atS;
    const safeGone = history.find(({ safe }) => safe === 1)?.atS ?? Number.NaN;
    const unsafeGone = history.find(({ unsafe }) => unsafe === 1)?.atS ?? Number.NaN;
    assert.deepEqual([...new Set(history.map(({ safe }) => safe))], [0, 0.25, 0.5, 0.75, 1]);
    assert.ok(
      safeGone < unsafeGone && unsafeGone + seconds <= opened,
      `${safeGone} ${unsafeGone} ${opened}`,
    );
    assert.ok(
      history.every(
        (moment) =>
          moment.stage === "announced" ||
          (moment.shift?.zone === "c2" && moment.shift.unsafeShare === moment.unsafe),
      ),
    );
  },
);
Then("it is clear before it opens, and open for {int} s", async (seconds: number) => {
  await until("returning");
  assert.ok(firstOf("clear").atS < firstOf("open").atS);
  assert.ok(Math.abs(openS() - seconds) <= 1, `${openS()}`);
});
Then("requests come back in steps, and no shift is left", async () => {
  await until("ended");
  assert.equal(shift, undefined);
  assert.deepEqual(
    [...new Set(history.filter(({ stage }) => stage === "returning").map(({ safe }) => safe))],
    [1, 0.75, 0.5, 0.25],
  );
});
Then("the window is refused with code {string}", (code: string) => {
  const error: WindowError | undefined = added?.isErr ? added.error : undefined;
  assert.equal(error?.code, code);
});
Then(
  "the window still opens at its time, give or take {int} s, with the cell clear, and ends",
  async (seconds: number) => {
    await until("ended");
    assert.ok(Math.abs(firstOf("open").atS - 60) <= seconds, `${firstOf("open").atS}`);
    assert.ok(firstOf("clear").atS < firstOf("open").atS);
  },
);
Then(
  "the window opens early by {int} to {int} s, with the cell clear",
  async (least: number, most: number) => {
    await until("open");
    const earlyS = 90 - firstOf("open").atS;
    assert.ok(earlyS >= least && earlyS <= most, `${earlyS}`);
    assert.ok(firstOf("clear").atS < firstOf("open").atS);
  },
);
Then("it ends without ever having been open, and no shift is left", async () => {
  await until("ended");
  assert.ok(history.every(({ stage }) => stage !== "open"));
  assert.equal(shift, undefined);
});
Then("it was open for {int} s", async (seconds: number) => {
  await until("ended");
  assert.ok(Math.abs(openS() - seconds) <= 1, `${openS()}`);
});
Then("it moves at its time all the same", async () => {
  await until("moving");
  assert.equal(shift?.zone, "c2");
});
Then("it doesn't move as long as that shift stands", async () => {
  await passS(70);
  assert.equal(windowOf()?.stage, "announced");
  assert.ok(said.some((sentence) => sentence.includes("waits")));
  shift = undefined;
  await until("moving");
});
Then(
  "{int} s past its end it is still open, and returns once they are back",
  async (seconds: number) => {
    await passS(30 + seconds);
    assert.equal(windowOf()?.stage, "open");
    assert.ok(said.some((sentence) => sentence.includes("still dark")));
    dark.clear();
    await until("ended");
  },
);
Then("it is taken with a warning that names {string}", (service: string) => {
  assert.ok(added?.isOk && added.value.some((warning) => warning.startsWith(service)));
});
