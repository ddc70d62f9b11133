import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { asRecord, parseJson } from "../../src/common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../../src/common/duration.js";
import type { Heartbeat } from "../../src/membership/cluster.js";
import { UpdateStore } from "../../src/membership/update-store.js";
import { WorkerRegistry } from "../../src/membership/worker-registry.js";
import type { Metric } from "../../src/programs/metrics-server.js";
import { DEFAULT_FLEET_OPTIONS, SimFleet, WARM_UP_LIMIT } from "../support/fleet.js";
import type { Reply } from "../support/http-call.js";
import { seeded } from "../support/fleet.js";
import {
  MAX_PER_SECOND,
  WarmUpModel,
  workerHeartbeat,
  type WarmUpFlaw,
} from "../support/warm-up-model.js";
import { ManualClock, settle } from "../support/manual-clock.js";
import { SmallSystem } from "../support/small-system.js";
import type { StubWorker } from "../support/stub-worker.js";

const SERVICE = "s";
const ZONE = "c1";
const HEARTBEAT_US = 1_500 * MILLISECOND_US;
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

const heartbeatOf = (warmS: number, callCount: number): Heartbeat =>
  workerHeartbeat({ warmUs: warmS * SECOND_US, callCount });

let system: SmallSystem | undefined;
let worker: StubWorker | undefined;
let reply: Reply = { status: 0, body: "" };
let replies: Reply[] = [];
let receivedBefore = 0;
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
const valuesOf = (metrics: readonly Metric[], name: string): readonly unknown[] =>
  metrics.filter((metric) => metric.name === name).map(({ read }) => read());

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
When("the operator orders the evacuation of the zone {string}", async (zone: string) => {
  reply = await running().callController("POST", `/evacuate/${zone}/start`);
});
When("{int} s pass", (seconds: number) => running().clock.pass(seconds * SECOND_US));
When("{int} requests are sent at once", async (count: number) => {
  receivedBefore = theWorker().requests.length;
  replies = await Promise.all(
    Array.from({ length: count }, () => running().request("POST", "/orders")),
  );
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
  const counts = valuesOf(running().metrics(), "yewreel_workers_warming_up");
  assert.deepEqual(counts, [count, count]);
});

Then("each is answered with {int}", (status: number) =>
  assert.deepEqual(
    replies.map((each) => each.status),
    replies.map(() => status),
  ),
);
Then(
  "at most {int} of them is answered with {int}, and the worker has received as many more",
  (most: number, status: number) => {
    const answered = replies.filter((each) => each.status === status).length;
    assert.ok(answered <= most, `${answered}`);
    assert.equal(theWorker().requests.length - receivedBefore, answered);
  },
);
Then("the evacuations are listed as {string}", async (json: string) => {
  const listed = await running().callController("GET", "/tell/evacuations");
  assert.deepEqual(asRecord(parseJson(listed.body))["evacuations"], parseJson(json));
});

let clock = new ManualClock();
let updates = new UpdateStore(clock);
let registry = new WorkerRegistry(clock, updates, HEARTBEAT_US);
let postedCount = 0;
const FIRST_CALL_COUNT = 10;

const record = (warmS: number, callCount: number, ageS = 0): void => {
  registry.record(heartbeatOf(warmS, callCount), ageS * SECOND_US);
};

Given(/^a controller that knows a worker as (warm|cold for 3 s)$/, (known: string) => {
  clock = new ManualClock();
  updates = new UpdateStore(clock);
  registry = new WorkerRegistry(clock, updates, HEARTBEAT_US);
  postedCount = 0;
  record(known === "warm" ? 0 : 3, FIRST_CALL_COUNT);
  updates.events.on("changed", (changed) => {
    postedCount += changed.length;
  });
});
When(/^a heartbeat announces (\d) s$/, (warmS: string) =>
  record(Number(warmS), FIRST_CALL_COUNT + 1),
);
When(
  /^a heartbeat announces (\d) s, and comes with an age of (\d) s$/,
  (warmS: string, ageS: string) => record(Number(warmS), FIRST_CALL_COUNT + 1, Number(ageS)),
);
When(/^(\d) s later a heartbeat announces (\d) s$/, async (laterS: string, warmS: string) => {
  await clock.pass(Number(laterS) * SECOND_US);
  record(Number(warmS), FIRST_CALL_COUNT + 1);
});
When(/^an older heartbeat announces (\d) s$/, (warmS: string) =>
  record(Number(warmS), FIRST_CALL_COUNT - 1),
);
When(/^(\d) s later nothing has come$/, (laterS: string) => clock.pass(Number(laterS) * SECOND_US));
When(/^it is restored from a file that says cold for (\d) s$/, (warmS: string) =>
  registry.restore([heartbeatOf(Number(warmS), FIRST_CALL_COUNT + 1)]),
);
Then(
  /^it counts (\d) worker that warms up, and has posted (an update|nothing)$/,
  async (count: string, posts: string) => {
    await settle();
    assert.equal(registry.warmingUp, Number(count));
    assert.equal(postedCount, posts === "nothing" ? 0 : 1);
  },
);

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
Then("the cold workers have got at least {int}% of what they can take", (percent: number) => {
  const { calls, workers } = theFleet();
  const coldWorkers = [...workers.values()].filter(({ zone }) => zone === "c0").map(({ id }) => id);
  const received = calls.filter(
    ({ worker: id, atUs }) => coldWorkers.includes(id) && atUs >= coldFromUs && atUs < coldUntilUs,
  ).length;
  const seconds = (coldUntilUs - coldFromUs) / SECOND_US;
  const canTake = coldWorkers.length * seconds * WARM_UP_LIMIT.requestsPerS;
  assert.ok(received >= (canTake * percent) / 100, `${received} of ${canTake}`);
});

const FLAWS: Readonly<Record<string, WarmUpFlaw>> = {
  "the choice of senders": "every gateway is a sender",
  "the wait of restarted gateways": "a restarted gateway sends at once",
  "the caution after an evacuation": "the end of an evacuation says nothing about the workers",
};
type Event = (model: WarmUpModel) => Promise<void>;
const EVENTS: Readonly<Record<string, Event>> = {
  "a worker starts cold, and two controllers choose senders without each other": (model) =>
    model.startCold(),
  "a known worker turns cold unnoticed while its zone is evacuated, and it ends": (model) =>
    model.returnCold(),
};
let gatewayCount = 0;
let event: Event | undefined;
let seedCount = 0;

/** The busiest second of the worker in each of the seeds. */
const busiestSeconds = async (flaw: WarmUpFlaw): Promise<readonly number[]> => {
  assert.ok(event);
  const busiest: number[] = [];
  for (let seed = 1; seed <= seedCount; seed += 1) {
    const model = new WarmUpModel({ gateways: gatewayCount, random: seeded(seed), flaw });
    await event(model);
    busiest.push(model.busiestSecond);
  }
  return busiest;
};

Given(
  "a model of {int} gateways that send to a worker as often as they may",
  (gateways: number) => {
    gatewayCount = gateways;
  },
);
When(/^(a .*), with (\d+) seeds$/, (name: string, seeds: string) => {
  event = EVENTS[name];
  seedCount = Number(seeds);
});
Then(
  "the worker gets at least {int} and at most {int} requests in its busiest second, where {int} are allowed",
  async (least: number, most: number, allowed: number) => {
    assert.equal(allowed, Math.floor(MAX_PER_SECOND));
    const busiest = await busiestSeconds("none");
    assert.ok(Math.min(...busiest) >= least, `${Math.min(...busiest)}`);
    assert.ok(Math.max(...busiest) <= most, `${Math.max(...busiest)}`);
  },
);
Then(/^without (.*), the model finds more than (\d+)$/, async (part: string, most: string) => {
  const flaw = FLAWS[part];
  assert.ok(flaw);
  const busiest = await busiestSeconds(flaw);
  assert.ok(Math.max(...busiest) > Number(most), `${Math.max(...busiest)}`);
});
