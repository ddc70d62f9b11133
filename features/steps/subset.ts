import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { WORKER_PREFIX } from "../../src/membership/update-store.js";
import { LoadBalancer } from "../../src/proxy/load-balancer.js";
import {
  subsetOf,
  type NodeCount,
  type SubsetCandidate,
  type Subset,
} from "../../src/proxy/subset.js";
import { ServiceLatency } from "../../src/proxy/latency-estimate.js";
import { Worker } from "../../src/proxy/worker.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import { FLEET_TERMS, seeded, SimFleet, type Sent, type SimWorker } from "../support/fleet.js";
import { ManualClock } from "../support/manual-clock.js";

interface SimplePlace {
  readonly name: string;
  readonly zone: string;
}

let nodes: SimplePlace[] = [];
let workers: SubsetCandidate[] = [];
let zones = 1;
let reads = 0;
let fleet: SimFleet;
let phaseUs = 0;
let goneUs = 0;
let gone: string[] = [];
let slow: SimWorker[] = [];
let worker: Worker;
const clock = new ManualClock();

const spread = (count: number, prefix: string): SubsetCandidate[] =>
  Array.from({ length: count }, (_value, at) => ({
    id: `${prefix}-${Math.floor(at / zones) + 1}-${at % zones}`,
    zone: `c${at % zones}`,
  }));

const countOf = (node: SimplePlace, all: readonly SimplePlace[] = nodes): NodeCount => ({
  inZone: all.filter(({ zone }) => zone === node.zone).length,
  total: all.length,
});
const subsetFor = (
  node: SimplePlace,
  of: readonly SubsetCandidate[] = workers,
  all: readonly SimplePlace[] = nodes,
): Subset<SubsetCandidate> => subsetOf(node.name, node.zone, of, countOf(node, all));
const changed = (before: readonly SubsetCandidate[], after: readonly SubsetCandidate[]): number =>
  before.filter((one) => !after.includes(one)).length;

Given(
  "{int} nodes and {int} workers over {int} cells",
  (nodeCount: number, workerCount: number, cellCount: number) => {
    zones = cellCount;
    nodes = spread(nodeCount, "edge").map(({ id, zone }) => ({ name: id, zone }));
    workers = spread(workerCount, "i-worker");
  },
);
Then("each node sends to at most {int} workers, those of its own cell first", (most: number) => {
  nodes.forEach((node) => {
    const { local: near, remote: far } = subsetFor(node);
    assert.ok(near.length + far.length <= most, `${near.length} and ${far.length}`);
    assert.ok(
      near.length >= 6 &&
        near.every(({ zone }) => zone === node.zone) &&
        far.every(({ zone }) => zone !== node.zone),
    );
  });
});
Then(
  "each worker is near for at least {int} nodes, and for at most {float} times as many as on average",
  (least: number, times: number) => {
    const held = new Map(workers.map(({ id }) => [id, 0]));
    nodes.forEach((node) =>
      subsetFor(node).local.forEach(({ id }) => held.set(id, (held.get(id) ?? 0) + 1)),
    );
    const counts = [...held.values()];
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    assert.ok(
      Math.min(...counts) >= least && Math.max(...counts) <= mean * times,
      `${Math.min(...counts)} to ${Math.max(...counts)}, mean ${mean}`,
    );
  },
);
Then(
  "a worker that comes or goes changes at most one place of each list, and a node more or less changes none",
  () => {
    const fewer = workers.filter((_worker, at) => at !== 17);
    const fewerNodes = nodes.filter((_node, at) => at !== 23);
    nodes.slice(0, 20).forEach((node) => {
      const [before, after, without] = [
        subsetFor(node),
        subsetFor(node, fewer),
        subsetFor(node, workers, fewerNodes),
      ];
      assert.ok(
        changed(before.local, after.local) <= 1 && changed(before.remote, after.remote) <= 1,
      );
      assert.ok(
        changed(after.local, before.local) <= 1 && changed(after.remote, before.remote) <= 1,
      );
      assert.deepEqual([without.local, without.remote], [before.local, before.remote]);
    });
  },
);
Then("each node sends to all {int} workers", (count: number) => {
  nodes.forEach((node) => {
    const { local: near, remote: far } = subsetFor(node);
    assert.equal(near.length + far.length, count);
  });
});

/** How often choosing reads the clock: each look at a worker reads it a fixed number of times. */
const readsOf = (choices: number): number => {
  let count = 0;
  const counting = { nowUs: () => (count += 1), after: clock.after, every: clock.every };
  const [node] = nodes;
  assert.ok(node);
  const pool = new WorkerDirectory(counting, node.name, node.zone);
  pool.setNodeCount(countOf(node));
  const body = (zone: string) => ({
    service: "s",
    address: "127.0.0.1:1",
    cell: zone,
    capacity: 2,
    state: "ready",
    warmUs: 0,
  });
  pool.applyUpdates(
    workers.map(({ id, zone }) => ({
      key: WORKER_PREFIX + id,
      version: 1,
      tie: "",
      sinceUs: 0,
      body: body(zone),
    })),
  );
  const chooser = new LoadBalancer({
    workers: pool,
    zone: node.zone,
    random: seeded(7),
    connectionShare: () => 6,
  });
  chooser.choose("s", new Set(), 600_000);
  count = 0;
  for (let choice = 0; choice < choices; choice += 1)
    assert.ok(chooser.choose("s", new Set(), 600_000));
  return count;
};
When("the clock is read by {int} choices", (choices: number) => {
  reads = readsOf(choices);
});
When("there are {int} times as many nodes and workers", (times: number) => {
  nodes = spread(nodes.length * times, "edge").map(({ id, zone }) => ({ name: id, zone }));
  workers = spread(workers.length * times, "i-worker");
});
Then(
  "{int} choices read the clock at most {float} times as often",
  (choices: number, times: number) => {
    const now = readsOf(choices);
    assert.ok(now > 0 && now <= reads * times, `${now} against ${reads}`);
  },
);

// --- load over workers

Given(
  "a fleet of {int} cells with {int} nodes and {int} workers each, {int}% of all slots in use",
  (cellCount: number, nodesACell: number, workersACell: number, percent: number) => {
    fleet = new SimFleet({
      ...FLEET_TERMS,
      cells: cellCount,
      nodesACell,
      workersACell,
      usedPart: percent / 100,
      speeds: [1],
    });
    gone = [];
    fleet.start();
  },
);
When("it runs for {int} seconds", (seconds: number) => {
  phaseUs = fleet.timeline.nowUs();
  fleet.timeline.runUntil(phaseUs + seconds * 1_000_000);
});

/** What was sent in the latter half of the last run, when what came before has had its effect. */
const lately = (): readonly Sent[] => {
  const fromUs = (phaseUs + fleet.timeline.nowUs()) / 2;
  return fleet.sent.filter(({ atUs }) => atUs >= fromUs);
};
const callsOf = (ids: readonly string[]): readonly number[] => {
  const counts = new Map(ids.map((id) => [id, 0]));
  lately().forEach(({ worker: id }) => {
    const count = counts.get(id);
    if (count !== undefined) counts.set(id, count + 1);
  });
  return [...counts.values()];
};
const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

Then("at least {int}% of the calls are answered within {int} ms", (percent: number, ms: number) => {
  const rows = lately();
  const inTime = rows.filter(
    ({ kind, tookUs }) => kind === "answered" && tookUs <= ms * 1_000,
  ).length;
  assert.ok(inTime >= (rows.length * percent) / 100, `${inTime} of ${rows.length}`);
});
Then("at most {float}% of the calls are reset by a full worker", (percent: number) => {
  const resets = lately().filter(({ kind }) => kind === "reset").length;
  assert.ok(resets <= (lately().length * percent) / 100, `${resets} of ${lately().length}`);
});
Then("no worker has more than {float} times the calls of the mean", (times: number) => {
  const calls = callsOf([...fleet.workers.keys()]);
  assert.ok(
    Math.max(...calls) <= meanOf(calls) * times,
    `${Math.max(...calls)}, mean ${meanOf(calls)}`,
  );
});
When("{int} workers go and {int} others come", (out: number, come: number) => {
  goneUs = fleet.timeline.nowUs();
  gone = [...fleet.workers.keys()].slice(0, out);
  gone.forEach(fleet.retire);
  for (let at = 0; at < come; at += 1) fleet.add(`w-new-${at}`, `c${at % fleet.terms.cells}`);
});
Then(
  "no worker that was there all the time has more than {float} times the calls of the mean",
  (times: number) => {
    const calls = callsOf(
      [...fleet.workers.keys()].filter((id) => !gone.includes(id) && !id.startsWith("w-new")),
    );
    assert.ok(
      Math.max(...calls) <= meanOf(calls) * times,
      `${Math.max(...calls)}, mean ${meanOf(calls)}`,
    );
  },
);
Then("no call is sent to a worker after it went", () => {
  assert.equal(
    fleet.sent.filter((sent) => sent.atUs > goneUs && gone.includes(sent.worker)).length,
    0,
  );
});
When("a sixth of the workers turn {int} times slower", (times: number) => {
  slow = [...fleet.workers.values()].filter((_worker, at) => at % 6 === 0);
  slow.forEach((one) => {
    one.slowness = times;
  });
});
When("they are well again", () => {
  slow.forEach((one) => {
    one.slowness = 1;
  });
});
const slowPart = (): number => {
  const slowIds = slow.map(({ id }) => id);
  return (
    meanOf(callsOf(slowIds)) /
    meanOf(callsOf([...fleet.workers.keys()].filter((id) => !slowIds.includes(id))))
  );
};
Then("the slow workers get at most {int}% of the calls that the others get", (percent: number) =>
  assert.ok(slowPart() <= percent / 100, String(slowPart())),
);
Then("they get at least {int}% of the calls that the others get", (percent: number) =>
  assert.ok(slowPart() >= percent / 100, String(slowPart())),
);

Given("a worker whose calls usually take {int} ms", (ms: number) => {
  worker = new Worker("w", clock, new ServiceLatency());
  for (let call = 0; call < 40; call += 1) worker.latency.record(ms * 1_000);
});
When("a call to it has been waiting for {int} ms", async (ms: number) => {
  worker.begin();
  await clock.pass(ms * 1_000);
});
Then("another call to it is expected to take at least {int} ms", (ms: number) =>
  assert.ok(worker.expectedLatencyUs(worker.load(0)) >= ms * 1_000),
);
