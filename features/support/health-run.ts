/**
 * One fixed run of each part of src/health: what the nodes report, what the leader stores in its
 * registers and what the operators are answered, in order. Compared word for word with what the
 * code before the renames gave (features/data/before-2026-12/health.json).
 */
import { asRecord, parseJson } from "../../src/common/decode.js";
import { SECOND_US } from "../../src/common/duration.js";
import { silentLogger } from "../../src/common/logger.js";
import { CanaryAnalyzer } from "../../src/health/canary-analysis.js";
import {
  NO_CANARIES,
  readCanaryState,
  type CanaryState,
  type SplitRoute,
} from "../../src/health/canary-state.js";
import { CanaryCounters } from "../../src/health/canary-counters.js";
import { CapacityForecaster } from "../../src/health/capacity-forecast.js";
import { FORECAST_SETTINGS, readCapacityStates } from "../../src/health/capacity-state.js";
import { FaultCounters } from "../../src/health/fault-counters.js";
import { LoadCounters } from "../../src/health/load-counters.js";
import type { ClearError, WindowError } from "../../src/health/errors.js";
import { WINDOW_SETTINGS, type WindowState } from "../../src/health/maintenance-window.js";
import { MaintenanceWindows } from "../../src/health/maintenance-windows.js";
import { packWindows, readWindows } from "../../src/health/windows-codec.js";
import { packHealthDecisions, readHealthDecisions } from "../../src/health/decisions-codec.js";
import {
  NO_DECISIONS,
  type HealthDecisions,
  type ZonalShift,
} from "../../src/health/health-decisions.js";
import { OutlierDetector } from "../../src/health/outlier-detector.js";
import { OUTLIER_SETTINGS } from "../../src/health/outlier-ranking.js";
import { SEQUENTIAL_TEST_SETTINGS } from "../../src/health/sequential-test.js";
import type { Message } from "../../src/transport/connection.js";
import { seeded } from "./fleet.js";
import { ManualClock } from "./manual-clock.js";

/** What came out, in order: what it is, and its JSON. */
export type Transcript = [what: string, json: string][];

const ZONES = ["c1", "c2", "c3", "c4"];

const decisionsText = (decisions: HealthDecisions): string =>
  JSON.stringify(packHealthDecisions(decisions));
const shiftOf = (text: string): ZonalShift | undefined =>
  text === "" ? undefined : readHealthDecisions(parseJson(text)).shift;

/**
 * Ejection, a spent token, a return, a zonal shift and its end, manual shifts, practice, malformed
 * reports.
 */
export const runOutlierDetector = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const out: Transcript = [];
  let text = "";
  const workers = Array.from({ length: 12 }, (_, at) => ({
    id: `w${at + 1}`,
    service: at < 6 ? "pay" : "menu",
    zone: ZONES[at % 3] ?? "",
    isMissing: at === 11,
  }));
  const decisions = () => (text === "" ? NO_DECISIONS : readHealthDecisions(parseJson(text)));
  const detector = new OutlierDetector({
    clock,
    log: silentLogger,
    settings: OUTLIER_SETTINGS,
    isLeader: () => true,
    term: () => 256,
    workers: () => workers,
    decisions,
    publish: async (wanted) => {
      text = decisionsText(wanted);
      out.push(["register", text]);
      return true;
    },
  });
  const counters = new FaultCounters("life-1");
  const explain = () => out.push(["answer", JSON.stringify(detector.explain())]);
  const faults = async (faultsOf: (id: string, zone: string) => number): Promise<void> => {
    workers.forEach(({ id, zone }) => {
      counters.count(id, false);
      for (let fault = 0; fault < faultsOf(id, zone); fault += 1) counters.count(id, true);
    });
    const report = counters.takeReport();
    out.push(["report", JSON.stringify(report ?? null)]);
    if (report) detector.receive({ ...report, node: "n1" });
    for (let tick = 0; tick < 3; tick += 1) {
      await detector.tick();
      await clock.pass(5 * SECOND_US);
    }
    explain();
  };
  await detector.tick();
  await faults((id) => (id === "w1" ? 30 : 0));
  await faults((id) => (id === "w2" ? 90 : 0));
  counters.remove("w2");
  await clock.pass(620 * SECOND_US);
  await faults((_, zone) => (zone === "c2" ? 120 : 1));
  await faults((_, zone) => (zone === "c3" ? 900 : 0));
  await clock.pass(601 * SECOND_US);
  await faults(() => 0);
  out.push(["manual", JSON.stringify(await detector.zonalShift.shiftManually("c1"))]);
  out.push(["practice", JSON.stringify(await detector.zonalShift.startPractice("c3"))]);
  await clock.pass(61 * SECOND_US);
  await faults(() => 0);
  const shift = { cell: "c2", why: "window", reason: "A planned window.", safe: 0.25, unsafe: 0 };
  const windowShift = shiftOf(JSON.stringify({ removals: 0, ejections: [], shift }));
  out.push(["window", JSON.stringify(await detector.zonalShift.setShift(windowShift))]);
  out.push(["manual", JSON.stringify(await detector.zonalShift.shiftManually("c1"))]);
  out.push(["practice", JSON.stringify(await detector.zonalShift.startPractice("c3"))]);
  out.push(["window", JSON.stringify(await detector.zonalShift.setShift(undefined))]);
  out.push(["manual", JSON.stringify(await detector.zonalShift.shiftManually(""))]);
  detector.receive({ kind: "faults", node: "n1", life: "life-1", workers: [["w1"]] });
  await clock.pass(7 * 24 * 3600 * SECOND_US);
  await faults(() => 0);
  return out;
};

/**
 * The names that the errors of clearing had in memory when the golden data was made; they were
 * never sent.
 */
const FORMER_CLEAR_NAMES: Readonly<Record<string, string>> = {
  ROUTE_NOT_SPLIT: "unknown-route",
  STALE_ROUTE_VERSION: "stale-version",
  NOT_STOPPED: "not-stopped",
  CLEAR_NOT_STORED: "not-published",
};
const formerClearName = (error: ClearError | undefined): string | undefined =>
  error === undefined ? "cleared" : FORMER_CLEAR_NAMES[error.code];

/**
 * Reports, a pass, a stop for possibly doubled requests, every outcome of a clearing, a takeover.
 */
export const runCanaryAnalyzer = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const out: Transcript = [];
  let text = "";
  const state = (): CanaryState => (text === "" ? NO_CANARIES : readCanaryState(parseJson(text)));
  const shares = [
    { service: "old", share: 9 },
    { service: "new", share: 1 },
  ];
  const routes: SplitRoute[] = [
    { name: "r1", version: 7, isSafe: false, shares },
    { name: "r2", version: 8, isSafe: true, shares },
  ];
  let isPublishing = true;
  const open = () =>
    new CanaryAnalyzer({
      clock,
      log: silentLogger,
      settings: SEQUENTIAL_TEST_SETTINGS,
      random: seeded(5),
      isLeader: () => true,
      term: () => 256,
      splitRoutes: () => routes,
      previousPrimary: (route) => (route === "r1" ? "old" : undefined),
      state,
      publish: async (wanted) => {
        if (!isPublishing) return false;
        text = JSON.stringify(wanted);
        out.push(["register", text]);
        return true;
      },
    });
  let analyzer = open();
  const counters = new CanaryCounters("life-1");
  const report = async (): Promise<void> => {
    const message = counters.takeReport();
    out.push(["report", JSON.stringify(message ?? null)]);
    if (message) analyzer.receive({ ...message, node: "n1" });
    await clock.pass(SECOND_US);
    await analyzer.tick();
    out.push(["answer", JSON.stringify(analyzer.explain())]);
  };
  const count = (route: string, version: number, doubledOf: number): void => {
    for (let at = 0; at < 90; at += 1)
      counters.count(route, version, "old", "c1|near|warm", at % 30 === 0 ? "late" : "inTime");
    for (let at = 0; at < 30; at += 1)
      counters.count(route, version, "new", "c1|near|warm", at < doubledOf ? "doubled" : "inTime");
    counters.count(route, version, "new", "c2|far|cold", "lost");
    counters.count(route, version, "new", "c2|far|cold", "own");
  };
  const clear = async (route: string, version: number | undefined): Promise<void> => {
    out.push(["clear", JSON.stringify(formerClearName(await analyzer.clearStop(route, version)))]);
  };
  await analyzer.tick();
  for (let round = 0; round < 20; round += 1) {
    count("r1", 7, round < 2 ? 0 : 6);
    count("r2", 8, 0);
    count("nowhere", 1, 0);
    if (round % 4 === 3) await report();
  }
  analyzer.receive({ kind: "rollout", node: "n1", life: "life-1", rows: [["r1", 7, "new"]] });
  await clear("nowhere", undefined);
  await clear("r1", 6);
  await clear("r2", 8);
  isPublishing = false;
  await clear("r1", 7);
  isPublishing = true;
  analyzer = open();
  await report();
  await clear("r1", 7);
  await report();
  return out;
};

/** A rising load until it overruns the service, too few nodes, and the way back. */
export const runCapacityForecaster = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const out: Transcript = [];
  let text = "{}";
  let nodes = 3;
  const forecaster = new CapacityForecaster({
    clock,
    log: silentLogger,
    settings: FORECAST_SETTINGS,
    isLeader: () => true,
    nodes: () => nodes,
    workers: () =>
      Array.from({ length: 10 }, (_, at) => ({
        id: `w${at}`,
        service: "pay",
        zone: ZONES[at % 2] ?? "",
        capacity: 2,
        isRoutable: at !== 9,
      })),
    published: () => readCapacityStates(parseJson(text)),
    publish: async (wanted) => {
      text = JSON.stringify(wanted);
      out.push(["register", text]);
      return true;
    },
  });
  const counters = [1, 2, 3].map((node) => new LoadCounters(`life-${node}`));
  const tick = async (callsPerNode: number, rejected: number): Promise<void> => {
    counters.forEach((counter, at) => {
      for (let call = 0; call < callsPerNode; call += 1) {
        counter.arrived("pay");
        counter.answered("pay", ZONES[call % 2] ?? "", 200_000 + (call % 7) * 10_000);
      }
      for (let call = 0; call < rejected; call += 1) counter.refused("pay");
      const report: Message | undefined = counter.takeReport();
      if (isWanted(out)) out.push(["report", JSON.stringify(report ?? null)]);
      if (report) forecaster.receive({ ...report, node: `n${at}` });
    });
    await clock.pass(2 * SECOND_US);
    await forecaster.tick();
    out.push(["answer", JSON.stringify(forecaster.explain())]);
  };
  forecaster.receive({ kind: "usage", node: "n1", life: "life-1", rows: "none" });
  for (let at = 0; at < 30; at += 1) await tick(10 + 2 * at, at > 26 ? 5 : 0);
  out.push(["inFlight", JSON.stringify([...forecaster.inFlight()])]);
  for (let at = 0; at < 10; at += 1) await tick(20, 0);
  nodes = 9;
  for (let at = 0; at < 4; at += 1) await tick(20, 0);
  return out;
};

/** Enough reports to see their form without all of them. */
const isWanted = (out: Transcript): boolean => out.filter(([what]) => what === "report").length < 9;

/**
 * The names that the errors of windows had in memory when the golden data was made; they were never
 * sent.
 */
const FORMER_NAMES: Readonly<Record<string, string>> = {
  UNKNOWN_ZONE: "unknownCell",
  WINDOW_TOO_SOON: "tooLate",
  WINDOW_OUT_OF_RANGE: "wrongLength",
  WINDOW_OVERLAP: "overlap",
  ZONE_NEEDED_FOR_QUORUM: "noQuorumWithout",
  UNKNOWN_WINDOW: "unknownWindow",
  WINDOW_OVER: "windowOver",
  WINDOW_NOT_STORED: "noQuorum",
};
const formerName = (error: WindowError | undefined): string | undefined =>
  error === undefined ? "done" : FORMER_NAMES[error.code];

/** Every refusal, one window from its announcement to its end, one cancelled, one extended. */
export const runMaintenanceWindows = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const out: Transcript = [];
  let text = "";
  let shift: ZonalShift | undefined;
  let leads = true;
  const state = (): WindowState => (text === "" ? [] : readWindows(parseJson(text)));
  const windows = new MaintenanceWindows({
    clock,
    log: silentLogger,
    settings: WINDOW_SETTINGS,
    isLeader: () => leads,
    state,
    stateAgeUs: () => 0,
    publish: async (wanted) => {
      text = JSON.stringify(packWindows(wanted));
      out.push(["register", text]);
      return true;
    },
    shift: () => shift,
    setShift: async (wanted) => {
      shift = wanted;
      out.push(["shift", decisionsText({ ...NO_DECISIONS, shift: wanted })]);
      return true;
    },
    zones: () => ZONES,
    workers: () =>
      ZONES.map((zone) => ({ zone, service: "pay", capacity: 4, isReady: zone !== "c4" })),
    longestDeadlineUs: () => 2 * SECOND_US,
    hasQuorumWithout: (zone) => zone !== "c1",
    inFlight: () => new Map([["pay", 7.5]]),
    moveLeadershipOutOf: async (zone) => {
      out.push(["leadership", zone]);
    },
  });
  const explain = () => out.push(["answer", JSON.stringify(windows.explain())]);
  const add = async (id: string, zone: string, opensS: number, lastsS: number): Promise<void> => {
    const request = { zone, opensInUs: opensS * SECOND_US, durationUs: lastsS * SECOND_US };
    const added = await windows.add(request, id);
    out.push(["add", JSON.stringify(added.isOk ? added.value : formerName(added.error))]);
  };
  const passS = async (seconds: number): Promise<void> => {
    for (let at = 0; at < seconds * 2; at += 1) {
      await clock.pass(SECOND_US / 2);
      await windows.tick();
      if (at % 10 === 0) explain();
    }
  };
  await windows.tick();
  await add("a", "c9", 60, 30);
  await add("a", "c2", 60, 1);
  await add("a", "c2", 5, 30);
  await add("a", "c1", 60, 30);
  leads = false;
  await add("a", "c2", 60, 30);
  leads = true;
  await add("a", "c2", 60, 30);
  await add("b", "c3", 70, 30);
  await add("b", "c3", 400, 30);
  await passS(50);
  out.push(["extend", JSON.stringify(formerName(await windows.extend("a", 5 * SECOND_US)))]);
  out.push(["extend", JSON.stringify(formerName(await windows.extend("a", 600 * SECOND_US)))]);
  out.push(["extend", JSON.stringify(formerName(await windows.extend("a", 0)))]);
  await passS(100);
  out.push(["cancel", JSON.stringify(formerName(await windows.cancel("a")))]);
  out.push(["cancel", JSON.stringify(formerName(await windows.cancel("x")))]);
  await passS(220);
  out.push(["cancel", JSON.stringify(formerName(await windows.cancel("b")))]);
  await passS(30);
  asRecord(parseJson(text), "the stored windows");
  return out;
};
