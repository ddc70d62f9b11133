import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { runGateway } from "../../src/programs/gateway/gateway.js";
import type { RunningProgram } from "../../src/programs/running-program.js";
import { runController } from "../../src/programs/controller/controller.js";
import { setLogLevel } from "../../src/common/logger.js";
import type { Settings } from "../../src/common/settings.js";
import { asRecord, asList, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { callHttp } from "../support/http-call.js";
import { ManualClock, settle } from "../support/manual-clock.js";
import { StubWorker } from "../support/stub-worker.js";
import { testSettings } from "../support/test-settings.js";

let clock = new ManualClock();
let basePort = 0;
/** Number of systems started: each scenario uses its own range of ports. */
let systemCount = 0;
let controllers: Settings[] = [];
let gateways: Settings[] = [];
let running = new Map<string, RunningProgram>();
let workers = new Map<string, StubWorker>();
let lastRequestNumber = 0;
let heartbeatResponse: UnknownRecord = {};

const settingsOf = (name: string, ip: string, zone: string, port: number): Settings =>
  testSettings({
    name,
    ip,
    zone,
    peerPort: basePort,
    controlPort: basePort + 2,
    frontPort: port,
    controllerIps: [1, 2, 3].map((controller) => `127.1.0.${controller}`),
    withstandMachines: 1,
  });

/** Advances the clock in small steps until the operation ends. */
const advanceUntilDone = async <T>(operation: Promise<T>, stepUs = 5_000): Promise<T> => {
  let isDone = false;
  const finished = operation.finally(() => {
    isDone = true;
  });
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
  for (let step = 0; step < 4_000 && !isDone; step += 1) await clock.pass(stepUs);
  return finished;
};

const advanceUntil = async (
  condition: () => Promise<boolean>,
  what: string,
  seconds = 20,
): Promise<void> => {
  for (let step = 0; step < seconds * 10; step += 1) {
    if (await condition()) return;
    await sendHeartbeats();
    await clock.pass(100_000);
  }
  assert.fail(`timed out waiting until ${what}`);
};

let heartbeatCount = 0;
const heartbeatOf = (worker: StubWorker, state = "ready"): string => {
  heartbeatCount += 1;
  const service = worker.id.startsWith("old") ? "s-old" : "s-new";
  const zone = `c${(Number(worker.id.slice(-1)) % 3) + 1}`;
  return JSON.stringify({
    service,
    address: worker.address,
    cell: zone,
    version: "v1",
    capacity: 3,
    state,
    warmLeft: "0ms",
    callCount: heartbeatCount,
  });
};
const liveController = (): Settings => {
  const controller = controllers.find(({ name }) => running.has(name));
  assert.ok(controller);
  return controller;
};
let lastHeartbeatsUs = 0;
const sendHeartbeats = async (): Promise<void> => {
  if (
    !controllers.some(({ name }) => running.has(name)) ||
    clock.nowUs() - lastHeartbeatsUs < 1_000_000
  )
    return;
  lastHeartbeatsUs = clock.nowUs();
  for (const worker of [...workers.values()].filter(({ id }) => zoneOfWorker(id) !== offlineZone))
    await advanceUntilDone(
      callHttp(
        liveController().control,
        "POST",
        `/workers/${worker.id}/heartbeat`,
        heartbeatOf(worker),
      ),
    );
};

/** Advances the clock while the workers send heartbeats. */
const advanceWithHeartbeats = async (spanUs: number): Promise<void> => {
  for (let passedUs = 0; passedUs < spanUs; passedUs += 500_000) {
    await sendHeartbeats();
    await clock.pass(Math.min(500_000, spanUs - passedUs));
  }
};

/** Advances the clock until the work ends; a stopping controller still gets heartbeats. */
const awaitWithHeartbeats = async (operation: Promise<void>): Promise<void> => {
  let isDone = false;
  const finished = operation.finally(() => {
    isDone = true;
  });
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
  while (!isDone) await advanceWithHeartbeats(100_000);
  await finished;
};

const configurationOf = (version: number, then: UnknownRecord): string =>
  JSON.stringify({
    putItems: {
      listeners: [
        {
          host: "a.example",
          rules: [
            {
              name: "r-unsafe",
              routeKind: "unsafe",
              target_time: "800ms",
              rank: 1,
              version,
              matchOn: { pathStart: "/o/" },
              then: { ...then, giveUp: "2000ms", tries: 1 },
            },
          ],
        },
      ],
      groups: ["s-old", "s-new"].map((name) => ({
        name,
        statusPath: "/health",
        maxConnections: 60,
        version: 1,
      })),
    },
  });

const applyConfiguration = async (controller: Settings, body: string): Promise<void> => {
  let status = 0;
  await advanceUntil(async () => {
    status = (await advanceUntilDone(callHttp(controller.control, "POST", "/plan/change", body)))
      .status;
    return status === 200;
  }, "the change is acknowledged");
};

const sendRequest = (
  gateway: Settings,
): Promise<{ readonly status: number; readonly body: string }> => {
  lastRequestNumber += 1;
  return advanceUntilDone(
    callHttp(gateway.front, "POST", "/o/x", "an order", {
      Host: "a.example",
      "Yewreel-Try-Id": `order-${lastRequestNumber}`,
      "Yewreel-Time-Left-Ms": "1500",
    }),
    20_000,
  );
};

const startGateway = async (number: number): Promise<void> => {
  const gateway = settingsOf(
    `node-${number}`,
    `127.2.0.${number}`,
    `c${(number % 3) + 1}`,
    basePort + 4,
  );
  gateways.push(gateway);
  running.set(gateway.name, await runGateway(gateway, clock));
};

const queryRollouts = async (): Promise<string> =>
  (await advanceUntilDone(callHttp(liveController().control, "GET", "/tell/rollouts"))).body;
const requestsSeenBy = (prefix: string): number =>
  [...workers]
    .filter(([id]) => id.startsWith(prefix))
    .reduce((sum, [, worker]) => sum + worker.requests.length, 0);

Given("3 controllers and 5 gateways in 3 zones in their first run", async () => {
  setLogLevel("silent");
  clock = new ManualClock();
  running = new Map();
  workers = new Map();
  lastHeartbeatsUs = 0;
  offlineZone = "";
  systemCount += 1;
  basePort = 12_000 + systemCount * 20;
  controllers = [1, 2, 3].map((number) =>
    settingsOf(`box-${number}`, `127.1.0.${number}`, `c${number}`, basePort + 4),
  );
  gateways = [];
  for (const controller of controllers)
    running.set(controller.name, await runController(controller, clock));
  for (let number = 1; number <= 5; number += 1) await startGateway(number);
  await clock.pass(3_000_000);
});
Given("an old and a new service with 3 workers each that send heartbeats", async () => {
  for (const id of ["old-1", "old-2", "old-3", "new-1", "new-2", "new-3"]) {
    const worker = new StubWorker(id);
    await worker.start();
    workers.set(id, worker);
  }
  await sendHeartbeats();
});
Given("the operator's configuration with {string} on the old service", async (name: string) => {
  assert.equal(name, "r-unsafe");
  await applyConfiguration(liveController(), configurationOf(1, { service: "s-old" }));
});
Given("every gateway is ready", async () => {
  for (const gateway of gateways)
    await advanceUntil(
      async () => (await advanceUntilDone(callHttp(gateway.ready, "GET", "/ready"))).status === 200,
      `${gateway.name} is ready`,
    );
  await clock.pass(500_000);
});

When(
  "the operator moves {string} to the new service at version {int} through controller {int}",
  async (_name: string, version: number, number: number) => {
    const controller = controllers[number - 1];
    assert.ok(controller);
    await applyConfiguration(controller, configurationOf(version, { service: "s-new" }));
    await clock.pass(500_000);
  },
);
When(
  "the operator splits {string} {int} to {int} between the old and the new service at version {int}",
  async (_name: string, oldShare: number, newShare: number, version: number) => {
    await applyConfiguration(
      liveController(),
      configurationOf(version, {
        shares: [
          { service: "s-old", share: oldShare },
          { service: "s-new", share: newShare },
        ],
      }),
    );
    await advanceWithHeartbeats(1_500_000);
  },
);
When("every controller is stopped", async () => {
  for (const controller of controllers) {
    await awaitWithHeartbeats(running.get(controller.name)?.stop() ?? Promise.resolve());
    running.delete(controller.name);
  }
});
When("{int} seconds pass on the clock", async (seconds: number) => clock.pass(seconds * 1_000_000));
When(
  "worker {string} reports to controller {int} that it is draining",
  async (id: string, number: number) => {
    const [worker, controller] = [workers.get(id), controllers[number - 1]];
    assert.ok(worker && controller);
    const answer = await advanceUntilDone(
      callHttp(
        controller.control,
        "POST",
        `/workers/${id}/heartbeat`,
        heartbeatOf(worker, "draining"),
      ),
    );
    assert.equal(answer.status, 200);
    workers.forEach((one) => one.requests.splice(0));
  },
);
When("the updates have been distributed", async () => clock.pass(200_000));
When("a sixth gateway starts", async () => {
  await startGateway(6);
  const gateway = gateways[5];
  assert.ok(gateway);
  await advanceUntil(
    async () => (await advanceUntilDone(callHttp(gateway.ready, "GET", "/ready"))).status === 200,
    "the sixth gateway is ready",
  );
});
When("the new service's workers reset connections instead of responding", () => {
  workers.forEach((worker, id) => {
    if (id.startsWith("new")) worker.behavior = "resets";
  });
});
When("the holder of the leader lease is stopped gracefully", async () => {
  const lease = asRecord(
    asRecord(
      parseJson(
        (await advanceUntilDone(callHttp(liveController().control, "GET", "/tell/duty"))).body,
      ),
    )["duty"],
  );
  const holder = controllers.find((controller) => controller.control === lease["holder"]);
  assert.ok(holder, "nobody holds the leader lease");
  await advanceUntilDone(running.get(holder.name)?.stop() ?? Promise.resolve());
  running.delete(holder.name);
  await advanceWithHeartbeats(3_000_000);
});
When("{int} requests are sent across all gateways", async (count: number) => {
  for (let at = 0; at < count; at += 1) {
    const gateway = gateways[at % gateways.length];
    assert.ok(gateway);
    await sendRequest(gateway);
  }
});
When(
  "worker {string} of another zone sends a heartbeat to controller {int}",
  async (id: string, number: number) => {
    const [worker, controller] = [workers.get(id), controllers[number - 1]];
    assert.ok(worker && controller);
    heartbeatResponse = asRecord(
      parseJson(
        (
          await advanceUntilDone(
            callHttp(controller.control, "POST", `/workers/${id}/heartbeat`, heartbeatOf(worker)),
          )
        ).body,
      ),
    );
  },
);

Then("every gateway serves a request", async () => {
  for (const gateway of gateways)
    assert.equal((await sendRequest(gateway)).status, 200, gateway.name);
});
Then("every gateway sends requests to the new service", async () => {
  workers.forEach((worker) => worker.requests.splice(0));
  for (const gateway of gateways) assert.equal((await sendRequest(gateway)).status, 200);
  assert.deepEqual([requestsSeenBy("old"), requestsSeenBy("new")], [0, gateways.length]);
});
Then("every gateway sends requests to the old service only", async () => {
  await clock.pass(300_000);
  workers.forEach((worker) => worker.requests.splice(0));
  for (const gateway of gateways)
    for (let time = 0; time < 4; time += 1) assert.equal((await sendRequest(gateway)).status, 200);
  assert.deepEqual([requestsSeenBy("old"), requestsSeenBy("new")], [gateways.length * 4, 0]);
});
Then("no gateway sends a request to {string}", async (id: string) => {
  for (const gateway of gateways)
    for (let time = 0; time < 5; time += 1) assert.equal((await sendRequest(gateway)).status, 200);
  assert.equal(workers.get(id)?.requests.length, 0);
});
Then(
  "within {int} seconds the new service is stopped on {string}",
  async (seconds: number, name: string) => {
    await advanceUntil(
      async () => (await queryRollouts()).includes('"verdict":"stop"'),
      "the candidate is stopped",
      seconds,
    );
    const response = asRecord(asRecord(parseJson(await queryRollouts()))["rollouts"]);
    const row = asRecord(asList(response["rollouts"])[0]);
    assert.deepEqual([row["route"], row["candidate"], row["baseline"]], [name, "s-new", "s-old"]);
  },
);
Then("it is told to report to the controller of its own zone", () =>
  assert.equal(heartbeatResponse["reportTo"], controllers[2]?.control),
);

After(async () => {
  for (const one of running.values()) await advanceUntilDone(one.stop(), 100_000);
  running.clear();
  workers.forEach((worker) => worker.stop());
  workers.clear();
  await settle();
});

interface SentRequest {
  readonly id: string;
  readonly status: number;
}
let sentRequests: SentRequest[] = [];
let offlineZone = "";
let windowId = "";
let lastRequestInZoneUs = 0;

const zoneOfWorker = (id: string): string => `c${(Number(id.slice(-1)) % 3) + 1}`;
const requestsSeenInZone = (zone: string): number =>
  [...workers]
    .filter(([id]) => zoneOfWorker(id) === zone)
    .reduce((sum, [, worker]) => sum + worker.requests.length, 0);

/** Sends one request to each ready gateway, as the platform routes clients only to these. */
const sendToReadyGateways = async (): Promise<void> => {
  for (const gateway of gateways.filter(({ name }) => running.has(name))) {
    if ((await advanceUntilDone(callHttp(gateway.ready, "GET", "/ready"))).status !== 200) continue;
    const before = requestsSeenInZone("c2");
    const { status } = await sendRequest(gateway);
    sentRequests.push({ id: `order-${lastRequestNumber}`, status });
    if (requestsSeenInZone("c2") > before) lastRequestInZoneUs = clock.nowUs();
  }
};

const windowStage = async (): Promise<string> => {
  const response = asRecord(
    asRecord(
      parseJson(
        (await advanceUntilDone(callHttp(liveController().control, "GET", "/tell/windows"))).body,
      ),
    )["windows"],
  );
  const row = asList(response["windows"])
    .map((value) => asRecord(value))
    .find((window) => window["id"] === windowId);
  return String(row?.["stage"]);
};

When(
  "a maintenance window of zone {string} in {int} s for {int} s is scheduled at controller {int}",
  async (zone: string, opensInS: number, durationS: number, number: number) => {
    sentRequests = [];
    offlineZone = "";
    await advanceWithHeartbeats(3_000_000);
    const answer = await advanceUntilDone(
      callHttp(
        controllers[number - 1]?.control ?? "",
        "POST",
        "/windows",
        JSON.stringify({ cell: zone, opens: `${opensInS}s`, lasts: `${durationS}s` }),
      ),
    );
    assert.equal(answer.status, 200, answer.body);
    windowId = String(asRecord(parseJson(answer.body))["id"]);
  },
);
When(
  "requests are sent to every ready gateway until the window is {string}",
  { timeout: 60_000 },
  async (stage: string) => {
    for (let at = 0; at < 120 && (await windowStage()) !== stage; at += 1) {
      await sendToReadyGateways();
      await advanceWithHeartbeats(500_000);
    }
    assert.equal(await windowStage(), stage);
  },
);
When(
  "the workers and gateways of zone {string} are stopped",
  { timeout: 60_000 },
  async (zone: string) => {
    offlineZone = zone;
    workers.forEach((worker, id) => {
      if (zoneOfWorker(id) === zone) worker.stop();
    });
    for (const gateway of gateways.filter((one) => one.zone === zone)) {
      await advanceUntilDone(running.get(gateway.name)?.stop() ?? Promise.resolve());
      running.delete(gateway.name);
    }
  },
);
When(
  "requests are sent to every ready gateway for {int} s",
  { timeout: 60_000 },
  async (seconds: number) => {
    for (let at = 0; at < seconds * 2; at += 1) {
      await sendToReadyGateways();
      await advanceWithHeartbeats(500_000);
    }
  },
);
Then(
  "the gateways of zone {string} are not ready, and its workers have got no request for {int} s or more",
  async (zone: string, seconds: number) => {
    for (const gateway of gateways.filter((one) => one.zone === zone))
      assert.notEqual(
        (await advanceUntilDone(callHttp(gateway.ready, "GET", "/ready"))).status,
        200,
      );
    assert.ok(clock.nowUs() - lastRequestInZoneUs >= seconds * 1_000_000);
  },
);
Then("every request was answered with 200 and executed exactly once", () => {
  assert.ok(sentRequests.length > 60, `${sentRequests.length} requests`);
  const runs = new Map<string, number>();
  workers.forEach((worker) =>
    worker.requests.forEach(({ attemptId }) => runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1)),
  );
  sentRequests.forEach(({ id, status }) =>
    assert.deepEqual([id, status, runs.get(id)], [id, 200, 1]),
  );
});

// --- retry limits set by operators, and forecasts

const post = async (
  controller: Settings | undefined,
  path: string,
  body: UnknownRecord,
): Promise<{ readonly status: number; readonly body: UnknownRecord }> => {
  const answer = await advanceUntilDone(
    callHttp(controller?.control ?? "", "POST", path, JSON.stringify(body)),
  );
  return { status: answer.status, body: asRecord(parseJson(answer.body)) };
};
let limitStatuses: number[] = [];
When(
  "the retry limit of {string} is set to {float} and {int} through each controller in turn",
  async (kind: string, ratio: number, slack: number) => {
    limitStatuses = [];
    for (const controller of controllers)
      limitStatuses.push(
        (await post(controller, "/retries", { service: "*", kind, ratio, slack })).status,
      );
  },
);
Then("every controller accepts it", () => assert.deepEqual(limitStatuses, [200, 200, 200]));
Then(
  "a limit above the deployment's is refused with a reason, and one for an unknown service is refused",
  async () => {
    const answer = await post(controllers[1], "/retries", {
      service: "*",
      kind: "unsafe",
      ratio: 0.9,
      slack: 4,
    });
    assert.equal(answer.status, 400);
    assert.match(String(answer.body["problem"]), /above the deployment's 0.2/);
    assert.equal(
      (
        await post(controllers[1], "/retries", {
          service: "nobody",
          kind: "unsafe",
          ratio: 0.1,
          slack: 4,
        })
      ).status,
      400,
    );
  },
);
When("the old service's workers are at capacity and requests are sent", async () => {
  await applyConfiguration(
    liveController(),
    configurationOf(1, { service: "s-old" })
      .replace('"version":1,"matchOn"', '"version":3,"matchOn"')
      .replace('"tries":1', '"tries":3'),
  );
  await advanceWithHeartbeats(1_000_000);
  workers.forEach((worker, id) => {
    worker.requests.splice(0);
    if (id.startsWith("old")) worker.behavior = "full";
  });
  for (let round = 0; round < 8; round += 1)
    for (const gateway of gateways) assert.equal((await sendRequest(gateway)).status, 503);
});
Then(
  "the reported retries are within the limit of {float} and {int}, and include every node",
  async (ratio: number, slack: number) => {
    const response = asRecord(
      parseJson(
        (await advanceUntilDone(callHttp(liveController().control, "GET", "/tell/retries"))).body,
      ),
    );
    const row = asList(response["retries"])
      .map((value) => asRecord(value))
      .find((one) => one["service"] === "s-old" && one["kind"] === "unsafe");
    assert.ok(row, JSON.stringify(response));
    assert.deepEqual([row["ratio"], row["slack"], row["unheard"]], [ratio, slack, 0]);
    const arrivals = [...workers.values()].flatMap(({ requests }) =>
      requests.map(({ attemptId }) => attemptId),
    );
    const retries = arrivals.length - new Set(arrivals).size;
    assert.ok(
      retries <= ratio * Number(row["requests"]) + slack,
      `${retries} of ${String(row["requests"])}`,
    );
    assert.ok(Number(row["spent"]) >= retries && Number(row["refused"]) > 0, JSON.stringify(row));
  },
);
Then("no request was executed twice", () => {
  const runs = new Map<string, number>();
  workers.forEach(({ requests, behavior }) =>
    requests.forEach(
      ({ attemptId }) => behavior !== "full" && runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1),
    ),
  );
  runs.forEach((count) => assert.equal(count, 1));
});

let forecastMoves: UnknownRecord = {};
let requestsBefore = 0;
let connectionsBefore = 0;
const totalRequests = (): number =>
  [...workers.values()].reduce((sum, { requests }) => sum + requests.length, 0);
const totalConnections = (): number =>
  [...workers.values()].reduce((sum, { connections }) => sum + connections, 0);
When(
  "the forecast of retiring {string} is requested from controller {int}",
  async (id: string, number: number) => {
    [requestsBefore, connectionsBefore] = [totalRequests(), totalConnections()];
    const answer = await post(controllers[number - 1], "/backends/forecast", {
      add: [],
      retire: [id],
      byRoute: true,
    });
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    forecastMoves = asRecord(answer.body["moves"]);
  },
);
Then(
  "it gives the share of requests sent to {string}, per node and for the fleet",
  (id: string) => {
    const requestCount = workers.get(id)?.requests.length ?? 0;
    const [fleet] = asList(forecastMoves["fleet"]).map((value) => asRecord(value));
    assert.ok(fleet && requestCount > 0);
    assert.deepEqual(
      [fleet["kind"], fleet["route"], fleet["calls"], asList(forecastMoves["unheard"]).length],
      ["unsafe", "r-unsafe", 60, 0],
    );
    assert.ok(
      Math.abs(Number(fleet["moved"]) - requestCount / 60) < 1e-9,
      `${String(fleet["moved"])} against ${requestCount}`,
    );
    assert.ok(
      Number(fleet["low"]) <= Number(fleet["moved"]) &&
        Number(fleet["moved"]) <= Number(fleet["high"]),
    );
    const rows = asList(forecastMoves["nodes"]).map((value) => asRecord(value));
    assert.equal(rows.length, 5);
    assert.ok(
      Math.abs(
        rows.reduce((sum, row) => sum + Number(row["moved"]) * Number(row["calls"]), 0) -
          requestCount,
      ) < 1e-9,
    );
  },
);
Then("the forecast sent no request to a worker and opened no connection", () =>
  assert.deepEqual([totalRequests(), totalConnections()], [requestsBefore, connectionsBefore]),
);
Then("invalid forecasts are refused with a reason each", async () => {
  const refused: readonly (readonly [UnknownRecord, RegExp])[] = [
    [{ add: [], retire: ["nobody"] }, /no worker nobody/],
    [{ add: [{ service: "s-none", cell: "c1", count: 1 }], retire: [] }, /no service s-none/],
    [{ add: [{ service: "s-old", cell: "c9", count: 1 }], retire: [] }, /no cell c9/],
    [{ add: [], retire: ["old-1", "old-2", "old-3"] }, /all workers of s-old/],
    [{ add: [], retire: [] }, /name a backend/],
    [{ add: "x", retire: [] }, /add must be a list/],
  ];
  for (const [body, sentence] of refused) {
    const answer = await post(controllers[0], "/backends/forecast", body);
    assert.equal(answer.status, 400);
    assert.match(String(answer.body["problem"]), sentence);
  }
});
