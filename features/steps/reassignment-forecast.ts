import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { checkForecast, readSavedForecast } from "../../src/programs/ctl/forecast-check.js";
import { RequestCounters } from "../../src/proxy/request-counters.js";
import {
  confidenceHalfWidth,
  forecastReassignment,
  joinConfidenceHalfWidth,
  coefficientOfVariation,
  type BackendChange,
  type ReassignmentRow,
} from "../../src/proxy/reassignment-forecast.js";
import { isRecord } from "../../src/common/decode.js";
import {
  DEFAULT_FLEET_OPTIONS,
  SimFleet,
  type FleetOptions,
  type SimNode,
} from "../support/fleet.js";

interface ShareObservation {
  readonly share: number;
  readonly low: number;
  readonly high: number;
}

const SETTLE_US = 10_000_000;
const WINDOW_US = 60_000_000;

let fleetOptions: FleetOptions = DEFAULT_FLEET_OPTIONS;
let nodeObservations: ShareObservation[] = [];
let fleetObservations: ShareObservation[] = [];

Given(
  "fleets of {int} zones with {int} nodes and {int} workers each, {int}% of all slots in use",
  (zones: number, nodesPerZone: number, workersPerZone: number, percent: number) => {
    fleetOptions = {
      ...DEFAULT_FLEET_OPTIONS,
      zones,
      nodesPerZone,
      workersPerZone,
      utilization: percent / 100,
    };
  },
);

const changeOf = (changeName: string, fleet: SimFleet): BackendChange => {
  const ids = [...fleet.workers.keys()];
  const retire =
    changeName === "one worker retired"
      ? ids.slice(0, 1)
      : changeName === "three workers retired"
        ? ids.slice(0, 3)
        : changeName === "all workers of one zone retired"
          ? ids.filter((id) => id.startsWith("w-0-"))
          : [];
  const count = changeName === "one worker added" ? 1 : changeName === "four workers added" ? 4 : 0;
  return { add: count > 0 ? [{ service: "s", cell: "c0", count }] : [], retire, byRoute: false };
};

/** Runs a fleet until the time of the forecast, with each node counting the calls it sends. */
const startFleet = (
  seed: number,
): { readonly fleet: SimFleet; readonly counts: ReadonlyMap<string, RequestCounters> } => {
  const fleet = new SimFleet({ ...fleetOptions, seed });
  const counts = new Map(
    fleet.nodes.map(({ name }) => [name, new RequestCounters(fleet.timeline)]),
  );
  fleet.onCall = (node, worker) => counts.get(node)?.record("s", "safe", "r", worker);
  fleet.start();
  fleet.timeline.runUntil(SETTLE_US + WINDOW_US);
  return { fleet, counts };
};

const forecastOf = (
  node: SimNode,
  counts: ReadonlyMap<string, RequestCounters>,
  change: BackendChange,
): ReassignmentRow | undefined => {
  const { spanUs, counts: calls } = counts.get(node.name)?.countsFor("s") ?? {
    spanUs: 0,
    counts: [],
  };
  const { directory } = node;
  return forecastReassignment({
    node: node.name,
    zone: node.zone,
    nodeCount: directory.nodeCount,
    service: "s",
    workers: directory.readyWorkersOf("s"),
    calls,
    spanUs,
    change,
  }).rows[0];
};

/** The worker of each call that each node sent in the window after the forecast. */
const callsAfterForecast = (fleet: SimFleet): ReadonlyMap<string, readonly string[]> => {
  const fromUs = fleet.timeline.nowUs();
  fleet.timeline.runUntil(fromUs + WINDOW_US);
  const callsByNode = new Map<string, string[]>(fleet.nodes.map(({ name }) => [name, []]));
  fleet.calls
    .filter(({ atUs, worker }) => atUs >= fromUs && worker !== "")
    .forEach(({ node, worker }) => callsByNode.get(node)?.push(worker));
  return callsByNode;
};

const simulateRun = (seed: number, changeName: string): void => {
  const { fleet, counts } = startFleet(seed);
  const change = changeOf(changeName, fleet);
  const rows = new Map(fleet.nodes.map((node) => [node.name, forecastOf(node, counts, change)]));
  const subsets = new Map(
    fleet.nodes.map(({ name, directory }) => [
      name,
      new Set(
        [...directory.subsetFor("s").local, ...directory.subsetFor("s").remote].map(({ id }) => id),
      ),
    ]),
  );
  // A retirement is not carried out: the share is that of the calls which still went to the workers
  // named in it. An addition is carried out: the share is that of the calls to workers which were
  // not in the node's subset before.
  const isAdding = change.add.length > 0;
  if (isAdding)
    for (let at = 0; at < (change.add[0]?.count ?? 0); at += 1)
      fleet.add(`fresh-${seed}-${at}`, "c0");
  const callsByNode = callsAfterForecast(fleet);
  let [moved, total, forecast] = [0, 0, 0];
  let draws: number[] = [];
  fleet.nodes.forEach(({ name }) => {
    const row = rows.get(name);
    const calls = callsByNode.get(name) ?? [];
    if (!row || row.calls < 30 || calls.length < 30) return;
    const leavers = new Set(row.leavers.filter((id) => change.retire.includes(id)));
    const count = calls.filter((id) =>
      isAdding ? subsets.get(name)?.has(id) === false : leavers.has(id),
    ).length;
    nodeObservations.push({
      share: count / calls.length,
      low: isAdding ? row.joinLow : row.low,
      high: isAdding ? row.joinHigh : row.high,
    });
    moved += count;
    total += calls.length;
    forecast += (isAdding ? row.join : row.moved) * row.calls;
    draws = row.draws.map((share, at) => (draws[at] ?? 0) + share * row.calls);
  });
  const knownCalls = [...rows.values()].reduce(
    (sum, row) => sum + (row && row.calls >= 30 ? row.calls : 0),
    0,
  );
  const callsPerWorker = new Map(
    [...fleet.workers.keys()].filter((id) => !id.startsWith("fresh")).map((id) => [id, 0]),
  );
  counts.forEach((counters) =>
    counters
      .countsFor("s")
      .counts.forEach(
        ({ worker, count }) =>
          callsPerWorker.has(worker) &&
          callsPerWorker.set(worker, (callsPerWorker.get(worker) ?? 0) + count),
      ),
  );
  const band = isAdding
    ? joinConfidenceHalfWidth(
        forecast / knownCalls,
        knownCalls,
        coefficientOfVariation([...callsPerWorker.values()]),
      )
    : confidenceHalfWidth(forecast / knownCalls, knownCalls);
  const spread = isAdding ? (Math.max(...draws) - Math.min(...draws)) / knownCalls / 2 : 0;
  fleetObservations.push({
    share: moved / total,
    low: forecast / knownCalls - band - spread,
    high: forecast / knownCalls + band + spread,
  });
};

When(
  /^(\d+) runs are simulated, each with a forecast of (.+), where only added workers are actually added$/,
  { timeout: 120_000 },
  (runCount: string, changeName: string) => {
    [nodeObservations, fleetObservations] = [[], []];
    for (let seed = 1; seed <= Number(runCount); seed += 1) simulateRun(seed, changeName);
  },
);
const shareWithinBand = (observations: readonly ShareObservation[]): number =>
  observations.filter(({ share, low, high }) => share >= low && share <= high).length /
  observations.length;
Then(
  "at least {int}% of the nodes' observed shares lie within their bands, and at least {int}% of the fleets'",
  (nodes: number, fleets: number) => {
    assert.ok(nodeObservations.length >= 50, `${nodeObservations.length} nodes`);
    assert.ok(
      shareWithinBand(nodeObservations) >= nodes / 100 &&
        shareWithinBand(fleetObservations) >= fleets / 100,
      `${shareWithinBand(nodeObservations)} of the nodes, ${shareWithinBand(fleetObservations)} of the fleets`,
    );
  },
);
Then("the fleets' bands are at most {float} wide on average", (width: number) => {
  const mean =
    fleetObservations.reduce((sum, { low, high }) => sum + high - low, 0) /
    fleetObservations.length;
  assert.ok(mean <= width, String(mean));
});

let chosenWorkersByRun: (readonly string[])[][] = [];
When("one run is simulated with a forecast every second and once more without forecasts", () => {
  chosenWorkersByRun = [true, false].map((isForecasting) => {
    const fleet = new SimFleet({ ...fleetOptions, seed: 5 });
    const counts = new Map(
      fleet.nodes.map(({ name }) => [name, new RequestCounters(fleet.timeline)]),
    );
    fleet.onCall = (node, worker) => counts.get(node)?.record("s", "safe", "r", worker);
    fleet.start();
    if (isForecasting)
      fleet.timeline.every(1_000_000, () =>
        fleet.nodes.forEach((node) =>
          forecastOf(node, counts, changeOf("three workers retired", fleet)),
        ),
      );
    fleet.timeline.runUntil(30_000_000);
    return fleet.nodes.map((node) => node.chosenWorkers);
  });
});
Then("every node chose the same workers in the same order", () => {
  const [withForecasts, withoutForecasts] = chosenWorkersByRun;
  // eslint-disable-next-line @typescript-eslint/prefer-optional-chain -- the assertion also narrows the type
  assert.ok(withForecasts && withForecasts.every((node) => node.length > 50));
  assert.deepEqual(withForecasts, withoutForecasts);
});

let verdictOf: (node: string) => string = () => "";
let savedForecast = {};
Given(
  "a saved forecast that {int}% of the calls of node {string} would go to new workers, between {int}% and {int}%",
  (join: number, node: string, low: number, high: number) => {
    savedForecast = {
      nodes: [
        {
          node,
          service: "s",
          kind: "safe",
          join: join / 100,
          joinLow: low / 100,
          joinHigh: high / 100,
          leavers: ["w-gone"],
        },
      ],
      subsets: [{ node, service: "s", subset: ["w1", "w-gone"] }],
    };
  },
);
When(
  "the nodes have sent {int} calls to workers new to {string} and {int} to workers it already had",
  (newCount: number, node: string, knownCount: number) => {
    const read = readSavedForecast(savedForecast);
    assert.ok(isRecord(read));
    const calls = [
      { kind: "safe", worker: "w-new", count: newCount },
      { kind: "safe", worker: "w1", count: knownCount },
    ];
    const rows = checkForecast(read, [{ node, heard: true, services: [{ service: "s", calls }] }]);
    verdictOf = (name) => rows.find((row) => row.node === name)?.verdict ?? "";
  },
);
Then("the check of {string} reports {string}", (node: string, result: string) =>
  assert.equal(verdictOf(node), result),
);
