/**
 * Deterministic runs of each component of src/health. Each records, in order, the nodes' reports, the
 * leader's register contents and the answers to operators. The transcripts are compared verbatim with
 * those of an earlier version (features/data/before-2026-12/health.json).
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

/** The recorded outputs in order, each as its kind and its JSON. */
export type Transcript = [kind: string, json: string][];

const ZONES = ["c1", "c2", "c3", "c4"];

const decisionsText = (decisions: HealthDecisions): string =>
  JSON.stringify(packHealthDecisions(decisions));
const shiftOf = (text: string): ZonalShift | undefined =>
  text === "" ? undefined : readHealthDecisions(parseJson(text)).shift;

/**
 * Covers an ejection, a spent removal token, the expiry of an ejection, zonal shifts and their end,
 * manual shifts, practice runs and a malformed report.
 */
export const runOutlierDetector = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const transcript: Transcript = [];
  let json = "";
  const workers = Array.from({ length: 12 }, (_, index) => ({
    id: `w${index + 1}`,
    service: index < 6 ? "pay" : "menu",
    zone: ZONES[index % 3] ?? "",
    isMissing: index === 11,
  }));
  const decisions = () => (json === "" ? NO_DECISIONS : readHealthDecisions(parseJson(json)));
  const detector = new OutlierDetector({
    clock,
    log: silentLogger,
    settings: OUTLIER_SETTINGS,
    isLeader: () => true,
    term: () => 256,
    workers: () => workers,
    decisions,
    publish: async (next) => {
      json = decisionsText(next);
      transcript.push(["register", json]);
      return true;
    },
  });
  const counters = new FaultCounters("life-1");
  const explain = () => transcript.push(["answer", JSON.stringify(detector.explain())]);
  const faults = async (faultsOf: (id: string, zone: string) => number): Promise<void> => {
    workers.forEach(({ id, zone }) => {
      counters.count(id, false);
      for (let fault = 0; fault < faultsOf(id, zone); fault += 1) counters.count(id, true);
    });
    const report = counters.takeReport();
    transcript.push(["report", JSON.stringify(report ?? null)]);
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
  transcript.push(["manual", JSON.stringify(await detector.zonalShift.shiftManually("c1"))]);
  transcript.push(["practice", JSON.stringify(await detector.zonalShift.startPractice("c3"))]);
  await clock.pass(61 * SECOND_US);
  await faults(() => 0);
  const shift = { cell: "c2", why: "window", reason: "A planned window.", safe: 0.25, unsafe: 0 };
  const windowShift = shiftOf(JSON.stringify({ removals: 0, ejections: [], shift }));
  transcript.push(["window", JSON.stringify(await detector.zonalShift.setShift(windowShift))]);
  transcript.push(["manual", JSON.stringify(await detector.zonalShift.shiftManually("c1"))]);
  transcript.push(["practice", JSON.stringify(await detector.zonalShift.startPractice("c3"))]);
  transcript.push(["window", JSON.stringify(await detector.zonalShift.setShift(undefined))]);
  transcript.push(["manual", JSON.stringify(await detector.zonalShift.shiftManually(""))]);
  detector.receive({ kind: "faults", node: "n1", life: "life-1", workers: [["w1"]] });
  await clock.pass(7 * 24 * 3600 * SECOND_US);
  await faults(() => 0);
  return transcript;
};

/**
 * The in-memory names of the errors of clearing a stop when the golden data was recorded. They were
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
 * Covers reports, a pass, a stop for possibly duplicated requests, each result of clearing a stop and
 * a leader change.
 */
export const runCanaryAnalyzer = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const transcript: Transcript = [];
  let json = "";
  const state = (): CanaryState => (json === "" ? NO_CANARIES : readCanaryState(parseJson(json)));
  const shares = [
    { service: "old", share: 9 },
    { service: "new", share: 1 },
  ];
  const routes: SplitRoute[] = [
    { name: "r1", version: 7, isSafe: false, shares },
    { name: "r2", version: 8, isSafe: true, shares },
  ];
  let isPublishing = true;
  const createAnalyzer = () =>
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
      publish: async (next) => {
        if (!isPublishing) return false;
        json = JSON.stringify(next);
        transcript.push(["register", json]);
        return true;
      },
    });
  let analyzer = createAnalyzer();
  const counters = new CanaryCounters("life-1");
  const report = async (): Promise<void> => {
    const message = counters.takeReport();
    transcript.push(["report", JSON.stringify(message ?? null)]);
    if (message) analyzer.receive({ ...message, node: "n1" });
    await clock.pass(SECOND_US);
    await analyzer.tick();
    transcript.push(["answer", JSON.stringify(analyzer.explain())]);
  };
  const count = (route: string, version: number, duplicates: number): void => {
    for (let index = 0; index < 90; index += 1)
      counters.count(route, version, "old", "c1|near|warm", index % 30 === 0 ? "late" : "inTime");
    for (let index = 0; index < 30; index += 1)
      counters.count(
        route,
        version,
        "new",
        "c1|near|warm",
        index < duplicates ? "doubled" : "inTime",
      );
    counters.count(route, version, "new", "c2|far|cold", "lost");
    counters.count(route, version, "new", "c2|far|cold", "own");
  };
  const clear = async (route: string, version: number | undefined): Promise<void> => {
    transcript.push([
      "clear",
      JSON.stringify(formerClearName(await analyzer.clearStop(route, version))),
    ]);
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
  analyzer = createAnalyzer();
  await report();
  await clear("r1", 7);
  await report();
  return transcript;
};

/** Covers a load that rises until the service is overrun, the recovery, and too few reporting nodes. */
export const runCapacityForecaster = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const transcript: Transcript = [];
  let json = "{}";
  let nodes = 3;
  const forecaster = new CapacityForecaster({
    clock,
    log: silentLogger,
    settings: FORECAST_SETTINGS,
    isLeader: () => true,
    nodes: () => nodes,
    workers: () =>
      Array.from({ length: 10 }, (_, index) => ({
        id: `w${index}`,
        service: "pay",
        zone: ZONES[index % 2] ?? "",
        capacity: 2,
        isRoutable: index !== 9,
      })),
    published: () => readCapacityStates(parseJson(json)),
    publish: async (next) => {
      json = JSON.stringify(next);
      transcript.push(["register", json]);
      return true;
    },
  });
  const counters = [1, 2, 3].map((node) => new LoadCounters(`life-${node}`));
  const tick = async (callsPerNode: number, rejected: number): Promise<void> => {
    counters.forEach((counter, index) => {
      for (let call = 0; call < callsPerNode; call += 1) {
        counter.recordArrival("pay");
        counter.recordCompletion("pay", ZONES[call % 2] ?? "", 200_000 + (call % 7) * 10_000);
      }
      for (let call = 0; call < rejected; call += 1) counter.recordRejection("pay");
      const report: Message | undefined = counter.takeReport();
      if (needsMoreReports(transcript)) transcript.push(["report", JSON.stringify(report ?? null)]);
      if (report) forecaster.receive({ ...report, node: `n${index}` });
    });
    await clock.pass(2 * SECOND_US);
    await forecaster.tick();
    transcript.push(["answer", JSON.stringify(forecaster.explain())]);
  };
  forecaster.receive({ kind: "usage", node: "n1", life: "life-1", rows: "none" });
  for (let index = 0; index < 30; index += 1) await tick(10 + 2 * index, index > 26 ? 5 : 0);
  transcript.push(["inFlight", JSON.stringify([...forecaster.inFlight()])]);
  for (let index = 0; index < 10; index += 1) await tick(20, 0);
  nodes = 9;
  for (let index = 0; index < 4; index += 1) await tick(20, 0);
  return transcript;
};

/** Whether to record another report; the first nine suffice to compare the format. */
const needsMoreReports = (transcript: Transcript): boolean =>
  transcript.filter(([kind]) => kind === "report").length < 9;

/**
 * The in-memory names of the errors of maintenance windows when the golden data was recorded. They
 * were never sent.
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

/** Covers every error, a window that is extended and runs to its end, and a cancelled one. */
export const runMaintenanceWindows = async (): Promise<Transcript> => {
  const clock = new ManualClock();
  const transcript: Transcript = [];
  let json = "";
  let shift: ZonalShift | undefined;
  let isLeader = true;
  const state = (): WindowState => (json === "" ? [] : readWindows(parseJson(json)));
  const windows = new MaintenanceWindows({
    clock,
    log: silentLogger,
    settings: WINDOW_SETTINGS,
    isLeader: () => isLeader,
    state,
    stateAgeUs: () => 0,
    publish: async (next) => {
      json = JSON.stringify(packWindows(next));
      transcript.push(["register", json]);
      return true;
    },
    shift: () => shift,
    setShift: async (next) => {
      shift = next;
      transcript.push(["shift", decisionsText({ ...NO_DECISIONS, shift: next })]);
      return true;
    },
    zones: () => ZONES,
    workers: () =>
      ZONES.map((zone) => ({ zone, service: "pay", capacity: 4, isReady: zone !== "c4" })),
    longestDeadlineUs: () => 2 * SECOND_US,
    hasQuorumWithout: (zone) => zone !== "c1",
    inFlight: () => new Map([["pay", 7.5]]),
    moveLeadershipOutOf: async (zone) => {
      transcript.push(["leadership", zone]);
    },
  });
  const explain = () => transcript.push(["answer", JSON.stringify(windows.explain())]);
  const add = async (id: string, zone: string, opensS: number, lastsS: number): Promise<void> => {
    const request = { zone, opensInUs: opensS * SECOND_US, durationUs: lastsS * SECOND_US };
    const added = await windows.add(request, id);
    transcript.push(["add", JSON.stringify(added.isOk ? added.value : formerName(added.error))]);
  };
  const passS = async (seconds: number): Promise<void> => {
    for (let index = 0; index < seconds * 2; index += 1) {
      await clock.pass(SECOND_US / 2);
      await windows.tick();
      if (index % 10 === 0) explain();
    }
  };
  await windows.tick();
  await add("a", "c9", 60, 30);
  await add("a", "c2", 60, 1);
  await add("a", "c2", 5, 30);
  await add("a", "c1", 60, 30);
  isLeader = false;
  await add("a", "c2", 60, 30);
  isLeader = true;
  await add("a", "c2", 60, 30);
  await add("b", "c3", 70, 30);
  await add("b", "c3", 400, 30);
  await passS(50);
  transcript.push(["extend", JSON.stringify(formerName(await windows.extend("a", 5 * SECOND_US)))]);
  transcript.push([
    "extend",
    JSON.stringify(formerName(await windows.extend("a", 600 * SECOND_US))),
  ]);
  transcript.push(["extend", JSON.stringify(formerName(await windows.extend("a", 0)))]);
  await passS(100);
  transcript.push(["cancel", JSON.stringify(formerName(await windows.cancel("a")))]);
  transcript.push(["cancel", JSON.stringify(formerName(await windows.cancel("x")))]);
  await passS(220);
  transcript.push(["cancel", JSON.stringify(formerName(await windows.cancel("b")))]);
  await passS(30);
  asRecord(parseJson(json), "the stored windows");
  return transcript;
};
