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
import type { Worker } from "../../src/proxy/worker.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import {
  DEFAULT_FLEET_OPTIONS,
  seeded,
  SimFleet,
  type CallRecord,
  type SimWorker,
} from "../support/fleet.js";
import { workerUpdate } from "../support/proxy-updates.js";
import { ManualClock } from "../support/manual-clock.js";

interface NodeLocation {
  readonly name: string;
  readonly zone: string;
}

let nodes: NodeLocation[] = [];
let workers: SubsetCandidate[] = [];
let zones = 1;
let clockReads = 0;
let fleet: SimFleet;
let phaseStartUs = 0;
let leftAtUs = 0;
let departed: string[] = [];
let slowWorkers: SimWorker[] = [];
let worker: Worker;
const clock = new ManualClock();

const spreadOverZones = (count: number, prefix: string): SubsetCandidate[] =>
  Array.from({ length: count }, (_value, at) => ({
    id: `${prefix}-${Math.floor(at / zones) + 1}-${at % zones}`,
    zone: `c${at % zones}`,
  }));

const nodeCountFor = (node: NodeLocation, all: readonly NodeLocation[] = nodes): NodeCount => ({
  inZone: all.filter(({ zone }) => zone === node.zone).length,
  total: all.length,
});
const subsetFor = (
  node: NodeLocation,
  of: readonly SubsetCandidate[] = workers,
  all: readonly NodeLocation[] = nodes,
): Subset<SubsetCandidate> => subsetOf(node.name, node.zone, of, nodeCountFor(node, all));
const countReplaced = (
  before: readonly SubsetCandidate[],
  after: readonly SubsetCandidate[],
): number => before.filter((candidate) => !after.includes(candidate)).length;

Given(
  "{int} nodes and {int} workers over {int} zones",
  (nodeCount: number, workerCount: number, cellCount: number) => {
    zones = cellCount;
    nodes = spreadOverZones(nodeCount, "edge").map(({ id, zone }) => ({ name: id, zone }));
    workers = spreadOverZones(workerCount, "i-worker");
  },
);
Then(
  "each node's subset has at most {int} workers, at least 6 of them in the node's own zone",
  (most: number) => {
    nodes.forEach((node) => {
      const { local, remote } = subsetFor(node);
      assert.ok(local.length + remote.length <= most, `${local.length} and ${remote.length}`);
      assert.ok(
        local.length >= 6 &&
          local.every(({ zone }) => zone === node.zone) &&
          remote.every(({ zone }) => zone !== node.zone),
      );
    });
  },
);
Then(
  "each worker is local to at least {int} nodes, and to at most {float} times the mean number of nodes",
  (minNodes: number, times: number) => {
    const localNodeCounts = new Map(workers.map(({ id }) => [id, 0]));
    nodes.forEach((node) =>
      subsetFor(node).local.forEach(({ id }) =>
        localNodeCounts.set(id, (localNodeCounts.get(id) ?? 0) + 1),
      ),
    );
    const counts = [...localNodeCounts.values()];
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    assert.ok(
      Math.min(...counts) >= minNodes && Math.max(...counts) <= mean * times,
      `${Math.min(...counts)} to ${Math.max(...counts)}, mean ${mean}`,
    );
  },
);
Then(
  "adding or removing a worker changes at most one entry of each list, and removing a node changes none",
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
        countReplaced(before.local, after.local) <= 1 &&
          countReplaced(before.remote, after.remote) <= 1,
      );
      assert.ok(
        countReplaced(after.local, before.local) <= 1 &&
          countReplaced(after.remote, before.remote) <= 1,
      );
      assert.deepEqual([without.local, without.remote], [before.local, before.remote]);
    });
  },
);
Then("each node's subset has all {int} workers", (count: number) => {
  nodes.forEach((node) => {
    const { local, remote } = subsetFor(node);
    assert.equal(local.length + remote.length, count);
  });
});

/**
 * Counts how often choosing a worker reads the clock. Each worker examined costs a fixed number of
 * reads, so the count measures how many workers are examined.
 */
const countClockReads = (choices: number): number => {
  let count = 0;
  const countingClock = { nowUs: () => (count += 1), after: clock.after, every: clock.every };
  const [node] = nodes;
  assert.ok(node);
  const directory = new WorkerDirectory(countingClock, node.name, node.zone);
  directory.setNodeCount(nodeCountFor(node));
  const body = (zone: string) => ({
    service: "s",
    address: "127.0.0.1:1",
    cell: zone,
    capacity: 2,
    state: "ready",
    warmUs: 0,
  });
  directory.applyUpdates(
    workers.map(({ id, zone }) => ({
      key: WORKER_PREFIX + id,
      version: 1,
      tie: "",
      sinceUs: 0,
      body: body(zone),
    })),
  );
  const loadBalancer = new LoadBalancer({
    workers: directory,
    zone: node.zone,
    random: seeded(7),
    connectionShare: () => 6,
  });
  loadBalancer.choose("s", new Set(), 600_000);
  count = 0;
  for (let choice = 0; choice < choices; choice += 1)
    assert.ok(loadBalancer.choose("s", new Set(), 600_000));
  return count;
};
When("the clock reads of {int} choices are counted", (choices: number) => {
  clockReads = countClockReads(choices);
});
When("there are {int} times as many nodes and workers", (times: number) => {
  nodes = spreadOverZones(nodes.length * times, "edge").map(({ id, zone }) => ({ name: id, zone }));
  workers = spreadOverZones(workers.length * times, "i-worker");
});
Then(
  "{int} choices read the clock at most {float} times as often",
  (choices: number, times: number) => {
    const readsNow = countClockReads(choices);
    assert.ok(readsNow > 0 && readsNow <= clockReads * times, `${readsNow} against ${clockReads}`);
  },
);

// --- Load per worker

Given(
  "a fleet of {int} zones with {int} nodes and {int} workers each, {int}% of all slots in use",
  (zoneCount: number, nodesPerZone: number, workersPerZone: number, percent: number) => {
    fleet = new SimFleet({
      ...DEFAULT_FLEET_OPTIONS,
      zones: zoneCount,
      nodesPerZone,
      workersPerZone,
      utilization: percent / 100,
      durationFactors: [1],
    });
    departed = [];
    fleet.start();
  },
);
When("the fleet runs for {int} seconds", (seconds: number) => {
  phaseStartUs = fleet.timeline.nowUs();
  fleet.timeline.runUntil(phaseStartUs + seconds * 1_000_000);
});

/** Calls sent in the second half of the last phase, after the effects of earlier changes settled. */
const recentCalls = (): readonly CallRecord[] => {
  const fromUs = (phaseStartUs + fleet.timeline.nowUs()) / 2;
  return fleet.calls.filter(({ atUs }) => atUs >= fromUs);
};
const callCounts = (ids: readonly string[]): readonly number[] => {
  const counts = new Map(ids.map((id) => [id, 0]));
  recentCalls().forEach(({ worker: id }) => {
    const count = counts.get(id);
    if (count !== undefined) counts.set(id, count + 1);
  });
  return [...counts.values()];
};
const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

Then("at least {int}% of the calls are answered within {int} ms", (percent: number, ms: number) => {
  const calls = recentCalls();
  const inTime = calls.filter(
    ({ kind, tookUs }) => kind === "answered" && tookUs <= ms * 1_000,
  ).length;
  assert.ok(inTime >= (calls.length * percent) / 100, `${inTime} of ${calls.length}`);
});
Then("at most {float}% of the calls are reset by a full worker", (percent: number) => {
  const resets = recentCalls().filter(({ kind }) => kind === "reset").length;
  assert.ok(
    resets <= (recentCalls().length * percent) / 100,
    `${resets} of ${recentCalls().length}`,
  );
});
Then("no worker has more than {float} times the mean number of calls", (times: number) => {
  const calls = callCounts([...fleet.workers.keys()]);
  assert.ok(
    Math.max(...calls) <= meanOf(calls) * times,
    `${Math.max(...calls)}, mean ${meanOf(calls)}`,
  );
});
When("{int} workers leave and {int} others join", (leaveCount: number, joinCount: number) => {
  leftAtUs = fleet.timeline.nowUs();
  departed = [...fleet.workers.keys()].slice(0, leaveCount);
  departed.forEach(fleet.retire);
  for (let at = 0; at < joinCount; at += 1)
    fleet.add(`w-new-${at}`, `c${at % fleet.options.zones}`);
});
Then(
  "no worker present throughout has more than {float} times the mean number of calls",
  (times: number) => {
    const calls = callCounts(
      [...fleet.workers.keys()].filter((id) => !departed.includes(id) && !id.startsWith("w-new")),
    );
    assert.ok(
      Math.max(...calls) <= meanOf(calls) * times,
      `${Math.max(...calls)}, mean ${meanOf(calls)}`,
    );
  },
);
Then("no call is sent to a worker after it left", () => {
  assert.equal(
    fleet.calls.filter((call) => call.atUs > leftAtUs && departed.includes(call.worker)).length,
    0,
  );
});
When("a sixth of the workers become {int} times slower", (times: number) => {
  slowWorkers = [...fleet.workers.values()].filter((_worker, at) => at % 6 === 0);
  slowWorkers.forEach((slowWorker) => {
    slowWorker.slowdown = times;
  });
});
When("the slow workers recover", () => {
  slowWorkers.forEach((slowWorker) => {
    slowWorker.slowdown = 1;
  });
});
const slowShare = (): number => {
  const slowIds = slowWorkers.map(({ id }) => id);
  return (
    meanOf(callCounts(slowIds)) /
    meanOf(callCounts([...fleet.workers.keys()].filter((id) => !slowIds.includes(id))))
  );
};
Then(
  "the slow workers get at most {int}% of the calls of the others on average",
  (percent: number) => assert.ok(slowShare() <= percent / 100, String(slowShare())),
);
Then(
  "the recovered workers get at least {int}% of the calls of the others on average",
  (percent: number) => assert.ok(slowShare() >= percent / 100, String(slowShare())),
);

Given("a worker whose calls usually take {int} ms", (ms: number) => {
  const directory = new WorkerDirectory(clock, "n1", "c1");
  const update = workerUpdate({ id: "w", address: "127.0.0.1:1" });
  directory.applyUpdates([{ ...update, sinceUs: clock.nowUs() }]);
  const added = directory.get("w");
  assert.ok(added);
  worker = added;
  for (let call = 0; call < 40; call += 1) worker.latency.record(ms * 1_000);
});
When("a call to it has been in progress for {int} ms", async (ms: number) => {
  worker.begin();
  await clock.pass(ms * 1_000);
});
Then("another call to it is expected to take at least {int} ms", (ms: number) =>
  assert.ok(worker.expectedLatencyUs(worker.load(0)) >= ms * 1_000),
);
