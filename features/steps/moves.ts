import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { checkForecast, readKept } from "../../src/programs/ctl/forecast-check.js";
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
import { FLEET_TERMS, SimFleet, type FleetTerms, type SimNode } from "../support/fleet.js";

interface Seen {
  readonly share: number;
  readonly low: number;
  readonly high: number;
}

const SETTLE_US = 10_000_000;
const WINDOW_US = 60_000_000;

let terms: FleetTerms = FLEET_TERMS;
let nodesSeen: Seen[] = [];
let fleetsSeen: Seen[] = [];

Given(
  "fleets of {int} cells with {int} nodes and {int} workers each, {int}% of all slots in use",
  (zones: number, nodesACell: number, workersACell: number, percent: number) => {
    terms = { ...FLEET_TERMS, cells: zones, nodesACell, workersACell, usedPart: percent / 100 };
  },
);

const changeOf = (what: string, fleet: SimFleet): BackendChange => {
  const ids = [...fleet.workers.keys()];
  const retire =
    what === "one worker retired"
      ? ids.slice(0, 1)
      : what === "three workers retired"
        ? ids.slice(0, 3)
        : what === "a cell's retired"
          ? ids.filter((id) => id.startsWith("w-0-"))
          : [];
  const count = what === "one worker added" ? 1 : what === "four workers added" ? 4 : 0;
  return { add: count > 0 ? [{ service: "s", cell: "c0", count }] : [], retire, byRoute: false };
};

/** A fleet that has run until the moment of the forecast, its nodes counting what they send. */
const grow = (
  seed: number,
): { readonly fleet: SimFleet; readonly counts: ReadonlyMap<string, RequestCounters> } => {
  const fleet = new SimFleet({ ...terms, seed });
  const counts = new Map(
    fleet.nodes.map(({ name }) => [name, new RequestCounters(fleet.timeline)]),
  );
  fleet.onSent = (node, worker) => counts.get(node)?.record("s", "safe", "r", worker);
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
  const { pool } = node;
  return forecastReassignment({
    node: node.name,
    zone: node.zone,
    nodeCount: pool.nodeCount,
    service: "s",
    workers: pool.readyWorkersOf("s"),
    calls,
    spanUs,
    change,
  }).rows[0];
};

/** What each node sent to whom in the window after the moment of the forecast. */
const after = (fleet: SimFleet): ReadonlyMap<string, readonly string[]> => {
  const fromUs = fleet.timeline.nowUs();
  fleet.timeline.runUntil(fromUs + WINDOW_US);
  const sent = new Map<string, string[]>(fleet.nodes.map(({ name }) => [name, []]));
  fleet.sent
    .filter(({ atUs, worker }) => atUs >= fromUs && worker !== "")
    .forEach(({ node, worker }) => sent.get(node)?.push(worker));
  return sent;
};

const play = (seed: number, what: string): void => {
  const { fleet, counts } = grow(seed);
  const change = changeOf(what, fleet);
  const rows = new Map(fleet.nodes.map((node) => [node.name, forecastOf(node, counts, change)]));
  const subsets = new Map(
    fleet.nodes.map(({ name, pool }) => [
      name,
      new Set([...pool.subsetFor("s").local, ...pool.subsetFor("s").remote].map(({ id }) => id)),
    ]),
  );
  // Retired: the calls that would have gone to them, had they stayed. Added: the calls that the
  // newcomers and their likes got.
  const isAdding = change.add.length > 0;
  if (isAdding)
    for (let at = 0; at < (change.add[0]?.count ?? 0); at += 1)
      fleet.add(`fresh-${seed}-${at}`, "c0");
  const sent = after(fleet);
  let [moved, total, forecast] = [0, 0, 0];
  let draws: number[] = [];
  fleet.nodes.forEach(({ name }) => {
    const row = rows.get(name);
    const calls = sent.get(name) ?? [];
    if (!row || row.calls < 30 || calls.length < 30) return;
    const leavers = new Set(row.leavers.filter((id) => change.retire.includes(id)));
    const count = calls.filter((id) =>
      isAdding ? subsets.get(name)?.has(id) === false : leavers.has(id),
    ).length;
    nodesSeen.push({
      share: count / calls.length,
      low: isAdding ? row.joinLow : row.low,
      high: isAdding ? row.joinHigh : row.high,
    });
    moved += count;
    total += calls.length;
    forecast += (isAdding ? row.join : row.moved) * row.calls;
    draws = row.draws.map((share, at) => (draws[at] ?? 0) + share * row.calls);
  });
  const known = [...rows.values()].reduce(
    (sum, row) => sum + (row && row.calls >= 30 ? row.calls : 0),
    0,
  );
  const perWorker = new Map(
    [...fleet.workers.keys()].filter((id) => !id.startsWith("fresh")).map((id) => [id, 0]),
  );
  counts.forEach((counted) =>
    counted
      .countsFor("s")
      .counts.forEach(
        ({ worker, count }) =>
          perWorker.has(worker) && perWorker.set(worker, (perWorker.get(worker) ?? 0) + count),
      ),
  );
  const band = isAdding
    ? joinConfidenceHalfWidth(
        forecast / known,
        known,
        coefficientOfVariation([...perWorker.values()]),
      )
    : confidenceHalfWidth(forecast / known, known);
  const spread = isAdding ? (Math.max(...draws) - Math.min(...draws)) / known / 2 : 0;
  fleetsSeen.push({
    share: moved / total,
    low: forecast / known - band - spread,
    high: forecast / known + band + spread,
  });
};

When(
  /^(\d+) histories are played, each with a forecast of (.+), and the change made or not$/,
  { timeout: 120_000 },
  (histories: string, what: string) => {
    [nodesSeen, fleetsSeen] = [[], []];
    for (let seed = 1; seed <= Number(histories); seed += 1) play(seed, what);
  },
);
const within = (seen: readonly Seen[]): number =>
  seen.filter(({ share, low, high }) => share >= low && share <= high).length / seen.length;
Then(
  "at least {int}% of the nodes' shares seen lie within their bands, and so do at least {int}% of the fleets'",
  (nodes: number, fleets: number) => {
    assert.ok(nodesSeen.length >= 50, `${nodesSeen.length} nodes`);
    assert.ok(
      within(nodesSeen) >= nodes / 100 && within(fleetsSeen) >= fleets / 100,
      `${within(nodesSeen)} of the nodes, ${within(fleetsSeen)} of the fleets`,
    );
  },
);
Then("the fleets' bands are at most {float} wide on average", (width: number) => {
  const mean = fleetsSeen.reduce((sum, { low, high }) => sum + high - low, 0) / fleetsSeen.length;
  assert.ok(mean <= width, String(mean));
});

let chosen: (readonly string[])[][] = [];
When("one history is played with a forecast every second, and once more with none", () => {
  chosen = [true, false].map((asks) => {
    const fleet = new SimFleet({ ...terms, seed: 5 });
    const counts = new Map(
      fleet.nodes.map(({ name }) => [name, new RequestCounters(fleet.timeline)]),
    );
    fleet.onSent = (node, worker) => counts.get(node)?.record("s", "safe", "r", worker);
    fleet.start();
    if (asks)
      fleet.timeline.every(1_000_000, () =>
        fleet.nodes.forEach((node) =>
          forecastOf(node, counts, changeOf("three workers retired", fleet)),
        ),
      );
    fleet.timeline.runUntil(30_000_000);
    return fleet.nodes.map((node) => node.chosen);
  });
});
Then("every node chose the same workers in the same order", () => {
  const [asking, silent] = chosen;
  // eslint-disable-next-line @typescript-eslint/prefer-optional-chain -- the assertion also tells that there is a first
  assert.ok(asking && asking.every((node) => node.length > 50));
  assert.deepEqual(asking, silent);
});

let verdictOf: (node: string) => string = () => "";
let kept = {};
Given(
  "a kept forecast that {int}% of the calls of node {string} would go to new workers, between {int}% and {int}%",
  (join: number, node: string, low: number, high: number) => {
    kept = {
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
  "the nodes have seen {int} calls to workers new to {string} and {int} to those of before",
  (fresh: number, node: string, old: number) => {
    const read = readKept(kept);
    assert.ok(isRecord(read));
    const calls = [
      { kind: "safe", worker: "w-new", count: fresh },
      { kind: "safe", worker: "w1", count: old },
    ];
    const rows = checkForecast(read, [{ node, heard: true, services: [{ service: "s", calls }] }]);
    verdictOf = (name) => rows.find((row) => row.node === name)?.verdict ?? "";
  },
);
Then("the check of {string} says {string}", (node: string, result: string) =>
  assert.equal(verdictOf(node), result),
);
