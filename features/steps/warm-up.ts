import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { SECOND_US } from "../../src/common/duration.js";
import type { Metric } from "../../src/programs/metrics-server.js";
import { DEFAULT_FLEET_OPTIONS, SimFleet } from "../support/fleet.js";
import type { Reply } from "../support/http-call.js";
import { SmallSystem } from "../support/small-system.js";
import type { StubWorker } from "../support/stub-worker.js";

const SERVICE = "s";
const ZONE = "c1";
const CONFIGURATION = {
  putItems: {
    listeners: [
      {
        host: "a.example",
        rules: [
          {
            name: "r-1",
            routeKind: "unsafe",
            target_time: "800ms",
            rank: 1,
            version: 1,
            matchOn: { pathStart: "/" },
            then: { service: SERVICE, giveUp: "2000ms", tries: 1 },
          },
        ],
      },
    ],
    groups: [
      {
        name: SERVICE,
        statusPath: "/health",
        maxConnections: 60,
        warmUp: "3s",
        coldRateS: 2.7,
        version: 1,
      },
    ],
  },
  remove: { routes: [] },
};

let system: SmallSystem | undefined;
let worker: StubWorker | undefined;
let reply: Reply = { status: 0, body: "" };
let replies: Reply[] = [];
let fleet: SimFleet | undefined;
let coldFromUs = 0;
let coldUntilUs = 0;

const running = (): SmallSystem => {
  assert.ok(system, "no system was started");
  return system;
};
const theWorker = (): StubWorker => {
  assert.ok(worker, "no worker was started");
  return worker;
};
const theFleet = (): SimFleet => {
  assert.ok(fleet, "no fleet was started");
  return fleet;
};
const valueOf = (metrics: readonly Metric[], name: string): unknown =>
  metrics.find((metric) => metric.name === name)?.read();

After(async () => {
  await system?.stop();
  system = undefined;
  worker = undefined;
  fleet = undefined;
  replies = [];
});

Given("a system with a worker whose service has a limit during warm-up", async () => {
  system = new SmallSystem();
  await system.start();
  assert.equal((await system.change(CONFIGURATION)).status, 200);
  worker = await system.addWorker("w-1", SERVICE);
});
When(/^the operator (start|end)s the evacuation of the zone$/, async (order: string) => {
  reply = await running().callController("POST", `/evacuate/${ZONE}/${order}`);
  await running().passDistribution();
});
When("{int} requests are sent", async (count: number) => {
  replies = [];
  for (let sent = 0; sent < count; sent += 1)
    replies.push(await running().request("POST", "/orders"));
});
When("the worker announces that it warms up for {int} s", async (seconds: number) => {
  await running().sendHeartbeat(theWorker(), { service: SERVICE, warmLeft: `${seconds}s` });
});
Then("the call is answered with {int}", (status: number) => assert.equal(reply.status, status));
Then("each is answered with {int}, and the worker has received none", (status: number) => {
  assert.ok(replies.every((each) => each.status === status));
  assert.deepEqual(theWorker().requests, []);
});
Then("the controller and the gateway both count {int} worker that warms up", (count: number) => {
  const metrics = running().metrics();
  assert.equal(valueOf(metrics, "yewreel_workers_warming_up"), count);
  assert.equal(valueOf(metrics, "yewreel_workers_in_slow_start"), count);
});

Given(
  "a fleet of {int} zones with {int} gateways and {int} workers each, {int}% of all slots in use",
  (zones: number, nodesPerZone: number, workersPerZone: number, percent: number) => {
    fleet = new SimFleet({
      ...DEFAULT_FLEET_OPTIONS,
      zones,
      nodesPerZone,
      workersPerZone,
      utilization: percent / 100,
    });
    fleet.start();
  },
);
When("the gateways serve for {int} seconds", (seconds: number) => {
  const { timeline } = theFleet();
  timeline.runUntil(timeline.nowUs() + seconds * SECOND_US);
});
When(
  "all workers of a zone turn cold for {int} s, and all gateways are told",
  (seconds: number) => {
    coldFromUs = theFleet().timeline.nowUs();
    coldUntilUs = coldFromUs + seconds * SECOND_US;
    theFleet().turnCold("c0", seconds * SECOND_US);
  },
);
Then("no cold worker has got more than {int} requests within a second", (most: number) => {
  const { calls, workers } = theFleet();
  const coldWorkers = [...workers.values()].filter(({ zone }) => zone === "c0");
  coldWorkers.forEach(({ id }) => {
    const sentUs = calls
      .filter((call) => call.worker === id && call.atUs >= coldFromUs && call.atUs < coldUntilUs)
      .map(({ atUs }) => atUs)
      .sort((a, b) => a - b);
    sentUs.forEach((startUs, at) => {
      const within = sentUs.slice(at).filter((sent) => sent < startUs + SECOND_US).length;
      assert.ok(within <= most, `${id} got ${within} requests from ${startUs - coldFromUs} us on`);
    });
  });
});
