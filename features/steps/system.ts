import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { runGateway } from "../../src/programs/gateway/gateway.js";
import type { RunningProgram } from "../../src/programs/running-program.js";
import { runController } from "../../src/programs/controller/controller.js";
import { setLogLevel } from "../../src/common/logger.js";
import type { Settings } from "../../src/common/settings.js";
import { asRecord, asList, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { ManualClock, settle } from "../support/manual-clock.js";
import { StandIn } from "../support/stand-in.js";

let clock = new ManualClock();
let base = 0;
/** Every scenario's system has ports of its own. */
let systems = 0;
let boxes: Settings[] = [];
let nodes: Settings[] = [];
let running = new Map<string, RunningProgram>();
let workers = new Map<string, StandIn>();
let lastOrder = 0;
let reply: UnknownRecord = {};

const SPAN = {
  heartbeatUs: 1_500_000,
  drainUs: 2_000_000,
  graceUs: 1_000_000,
  applyUs: 2_000_000,
  contactUs: 3_000_000,
  confirmUs: 4_000_000,
  retryWindowUs: 10_000_000,
};

const settingsOf = (name: string, ip: string, zone: string, port: number): Settings => ({
  ...SPAN,
  name,
  zone,
  ip,
  peerPort: base,
  relayPort: base + 1,
  seedNodes: [1, 2, 3].map((box) => `127.1.0.${box}:${base + 2}`),
  firstRun: true,
  dataFolder: "",
  logLevel: "silent",
  front: `${ip}:${port}`,
  ready: `${ip}:${port + 1}`,
  control: `${ip}:${base + 2}`,
  memoryMb: 300,
  fileHandles: 1_000,
  withstandMachines: 1,
  retryRatio: 0.2,
  retrySlack: 50,
  deployment: "",
  diskMb: 64,
  linkMbps: 0,
  regions: new Map(),
  stretchUs: 5_000_000,
  keyWindowUs: 60_000_000,
  purgeUs: 2_000_000,
  staleSlackUs: 2_000_000,
  ceilingWindowUs: 5_000_000,
  ceilingExcess: 1.1,
  metrics: new Map(),
  forecastActs: false,
  rolloutWeights: { late: 0.3, lostSafe: 1, lostUnsafe: 2, doubled: 5 },
});

const call = (
  address: string,
  method: string,
  path: string,
  body = "",
  headers: Readonly<Record<string, string>> = {},
): Promise<{ readonly status: number; readonly body: string }> =>
  new Promise((resolve) => {
    const request = httpRequest(
      `http://${address}${path}`,
      { method, agent: false, headers: { ...headers, "Content-Length": Buffer.byteLength(body) } },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() }),
        );
        response.on("error", () => resolve({ status: 0, body: "" }));
      },
    );
    request.on("error", () => resolve({ status: 0, body: "" }));
    request.end(body);
  });

/** Moves the clock on in small steps until the work is done. */
const during = async <T>(work: Promise<T>, stepUs = 5_000): Promise<T> => {
  let isDone = false;
  const finished = work.finally(() => {
    isDone = true;
  });
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
  for (let step = 0; step < 4_000 && !isDone; step += 1) await clock.pass(stepUs);
  return finished;
};

const until = async (isSo: () => Promise<boolean>, what: string, seconds = 20): Promise<void> => {
  for (let step = 0; step < seconds * 10; step += 1) {
    if (await isSo()) return;
    await beatAll();
    await clock.pass(100_000);
  }
  assert.fail(`it never came to be that ${what}`);
};

let heartbeats = 0;
const beatOf = (worker: StandIn, state = "ready"): string => {
  heartbeats += 1;
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
    callCount: heartbeats,
  });
};
const liveBox = (): Settings => {
  const box = boxes.find(({ name }) => running.has(name));
  assert.ok(box);
  return box;
};
let lastBeatUs = 0;
const beatAll = async (): Promise<void> => {
  if (!boxes.some(({ name }) => running.has(name)) || clock.nowUs() - lastBeatUs < 1_000_000)
    return;
  lastBeatUs = clock.nowUs();
  for (const worker of [...workers.values()].filter(({ id }) => cellOfWorker(id) !== darkCell))
    await during(
      call(liveBox().control, "POST", `/workers/${worker.id}/heartbeat`, beatOf(worker)),
    );
};

/** Time passes while the workers go on beating. */
const live = async (spanUs: number): Promise<void> => {
  for (let passedUs = 0; passedUs < spanUs; passedUs += 500_000) {
    await beatAll();
    await clock.pass(Math.min(500_000, spanUs - passedUs));
  }
};

/** Until the work is done; a controller that leaves still hears the workers. */
const whileBeating = async (work: Promise<void>): Promise<void> => {
  let isDone = false;
  const finished = work.finally(() => {
    isDone = true;
  });
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
  while (!isDone) await live(100_000);
  await finished;
};

const planOf = (version: number, then: UnknownRecord): string =>
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

const apply = async (box: Settings, body: string): Promise<void> => {
  let status = 0;
  await until(async () => {
    status = (await during(call(box.control, "POST", "/plan/change", body))).status;
    return status === 200;
  }, "the change is acknowledged");
};

const order = (node: Settings): Promise<{ readonly status: number; readonly body: string }> => {
  lastOrder += 1;
  return during(
    call(node.front, "POST", "/o/x", "an order", {
      Host: "a.example",
      "Yewreel-Try-Id": `order-${lastOrder}`,
      "Yewreel-Time-Left-Ms": "1500",
    }),
    20_000,
  );
};

const startNode = async (number: number): Promise<void> => {
  const node = settingsOf(`node-${number}`, `127.2.0.${number}`, `c${(number % 3) + 1}`, base + 4);
  nodes.push(node);
  running.set(node.name, await runGateway(node, clock));
};

const tellRollouts = async (): Promise<string> =>
  (await during(call(liveBox().control, "GET", "/tell/rollouts"))).body;
const seenBy = (prefix: string): number =>
  [...workers]
    .filter(([id]) => id.startsWith(prefix))
    .reduce((sum, [, worker]) => sum + worker.seen.length, 0);

Given("3 controllers and 5 gateways in 3 cells that start for the first time", async () => {
  setLogLevel("silent");
  clock = new ManualClock();
  running = new Map();
  workers = new Map();
  lastBeatUs = 0;
  darkCell = "";
  systems += 1;
  base = 12_000 + systems * 20;
  boxes = [1, 2, 3].map((number) =>
    settingsOf(`box-${number}`, `127.1.0.${number}`, `c${number}`, base + 4),
  );
  nodes = [];
  for (const box of boxes) running.set(box.name, await runController(box, clock));
  for (let number = 1; number <= 5; number += 1) await startNode(number);
  await clock.pass(3_000_000);
});
Given("an old and a new service with 3 workers each that send heartbeats", async () => {
  for (const id of ["old-1", "old-2", "old-3", "new-1", "new-2", "new-3"]) {
    const worker = new StandIn(id);
    await worker.start();
    workers.set(id, worker);
  }
  await beatAll();
});
Given("the operator's configuration with {string} on the old service", async (name: string) => {
  assert.equal(name, "r-unsafe");
  await apply(liveBox(), planOf(1, { service: "s-old" }));
});
Given("every gateway is ready", async () => {
  for (const node of nodes)
    await until(
      async () => (await during(call(node.ready, "GET", "/ready"))).status === 200,
      `${node.name} is ready`,
    );
  await clock.pass(500_000);
});

When(
  "the operator moves {string} to the new service at version {int} through controller {int}",
  async (_name: string, version: number, number: number) => {
    const box = boxes[number - 1];
    assert.ok(box);
    await apply(box, planOf(version, { service: "s-new" }));
    await clock.pass(500_000);
  },
);
When(
  "the operator splits {string} {int} to {int} over the old and the new service at version {int}",
  async (_name: string, old: number, fresh: number, version: number) => {
    await apply(
      liveBox(),
      planOf(version, {
        shares: [
          { service: "s-old", share: old },
          { service: "s-new", share: fresh },
        ],
      }),
    );
    await live(1_500_000);
  },
);
When("every controller ends", async () => {
  for (const box of boxes) {
    await whileBeating(running.get(box.name)?.stop() ?? Promise.resolve());
    running.delete(box.name);
  }
});
When("{int} seconds pass on the clock", async (seconds: number) => clock.pass(seconds * 1_000_000));
When(
  "worker {string} says through controller {int} that it is draining",
  async (id: string, number: number) => {
    const [worker, box] = [workers.get(id), boxes[number - 1]];
    assert.ok(worker && box);
    const answer = await during(
      call(box.control, "POST", `/workers/${id}/heartbeat`, beatOf(worker, "draining")),
    );
    assert.equal(answer.status, 200);
    workers.forEach((one) => one.seen.splice(0));
  },
);
When("the updates have spread", async () => clock.pass(200_000));
When("a sixth gateway starts", async () => {
  await startNode(6);
  const node = nodes[5];
  assert.ok(node);
  await until(
    async () => (await during(call(node.ready, "GET", "/ready"))).status === 200,
    "the sixth is ready",
  );
});
When("the new service's workers lose the answers of orders", () => {
  workers.forEach((worker, id) => {
    if (id.startsWith("new")) worker.manner = "resets";
  });
});
When("the lease holder ends in order", async () => {
  const lease = asRecord(
    asRecord(parseJson((await during(call(liveBox().control, "GET", "/tell/duty"))).body))["duty"],
  );
  const holder = boxes.find((box) => box.control === lease["holder"]);
  assert.ok(holder, "nobody holds the leader lease");
  await during(running.get(holder.name)?.stop() ?? Promise.resolve());
  running.delete(holder.name);
  await live(3_000_000);
});
When("{int} orders are placed over all gateways", async (count: number) => {
  for (let at = 0; at < count; at += 1) {
    const node = nodes[at % nodes.length];
    assert.ok(node);
    await order(node);
  }
});
When(
  "worker {string} of another cell sends a heartbeat to controller {int}",
  async (id: string, number: number) => {
    const [worker, box] = [workers.get(id), boxes[number - 1]];
    assert.ok(worker && box);
    reply = asRecord(
      parseJson(
        (await during(call(box.control, "POST", `/workers/${id}/heartbeat`, beatOf(worker)))).body,
      ),
    );
  },
);

Then("every gateway serves an order", async () => {
  for (const node of nodes) assert.equal((await order(node)).status, 200, node.name);
});
Then("every gateway sends orders to the new service", async () => {
  workers.forEach((worker) => worker.seen.splice(0));
  for (const node of nodes) assert.equal((await order(node)).status, 200);
  assert.deepEqual([seenBy("old"), seenBy("new")], [0, nodes.length]);
});
Then("every gateway sends orders to the old service only", async () => {
  await clock.pass(300_000);
  workers.forEach((worker) => worker.seen.splice(0));
  for (const node of nodes)
    for (let time = 0; time < 4; time += 1) assert.equal((await order(node)).status, 200);
  assert.deepEqual([seenBy("old"), seenBy("new")], [nodes.length * 4, 0]);
});
Then("no gateway sends an order to {string}", async (id: string) => {
  for (const node of nodes)
    for (let time = 0; time < 5; time += 1) assert.equal((await order(node)).status, 200);
  assert.equal(workers.get(id)?.seen.length, 0);
});
Then(
  "within {int} seconds the new service is stopped on {string}",
  async (seconds: number, name: string) => {
    await until(
      async () => (await tellRollouts()).includes('"verdict":"stop"'),
      "the candidate is stopped",
      seconds,
    );
    const told = asRecord(asRecord(parseJson(await tellRollouts()))["rollouts"]);
    const row = asRecord(asList(told["rollouts"])[0]);
    assert.deepEqual([row["route"], row["candidate"], row["baseline"]], [name, "s-new", "s-old"]);
  },
);
Then("it is told to report to the controller of its own cell", () =>
  assert.equal(reply["reportTo"], boxes[2]?.control),
);

After(async () => {
  for (const one of running.values()) await during(one.stop(), 100_000);
  running.clear();
  workers.forEach((worker) => worker.stop());
  workers.clear();
  await settle();
});

interface Placed {
  readonly id: string;
  readonly status: number;
}
let placed: Placed[] = [];
let darkCell = "";
let windowId = "";
let lastSeenInCellUs = 0;

const cellOfWorker = (id: string): string => `c${(Number(id.slice(-1)) % 3) + 1}`;
const seenInCell = (zone: string): number =>
  [...workers]
    .filter(([id]) => cellOfWorker(id) === zone)
    .reduce((sum, [, worker]) => sum + worker.seen.length, 0);

/** One order at each node that says it is ready, as the platform would bring callers there. */
const placeAtReady = async (): Promise<void> => {
  for (const node of nodes.filter(({ name }) => running.has(name))) {
    if ((await during(call(node.ready, "GET", "/ready"))).status !== 200) continue;
    const before = seenInCell("c2");
    const { status } = await order(node);
    placed.push({ id: `order-${lastOrder}`, status });
    if (seenInCell("c2") > before) lastSeenInCellUs = clock.nowUs();
  }
};

const stageOf = async (): Promise<string> => {
  const told = asRecord(
    asRecord(parseJson((await during(call(liveBox().control, "GET", "/tell/windows"))).body))[
      "windows"
    ],
  );
  const row = asList(told["windows"])
    .map((value) => asRecord(value))
    .find((window) => window["id"] === windowId);
  return String(row?.["stage"]);
};

When(
  "a window of {string} that opens in {int} s and lasts {int} s is planned through controller {int}",
  async (zone: string, opens: number, lasts: number, number: number) => {
    placed = [];
    darkCell = "";
    await live(3_000_000);
    const answer = await during(
      call(
        boxes[number - 1]?.control ?? "",
        "POST",
        "/windows",
        JSON.stringify({ cell: zone, opens: `${opens}s`, lasts: `${lasts}s` }),
      ),
    );
    assert.equal(answer.status, 200, answer.body);
    windowId = String(asRecord(parseJson(answer.body))["id"]);
  },
);
When(
  "orders go on at every ready gateway until the window is {string}",
  { timeout: 60_000 },
  async (stage: string) => {
    for (let at = 0; at < 120 && (await stageOf()) !== stage; at += 1) {
      await placeAtReady();
      await live(500_000);
    }
    assert.equal(await stageOf(), stage);
  },
);
When("the workers and gateways of {string} go dark", { timeout: 60_000 }, async (zone: string) => {
  darkCell = zone;
  workers.forEach((worker, id) => {
    if (cellOfWorker(id) === zone) worker.stop();
  });
  for (const node of nodes.filter((one) => one.zone === zone)) {
    await during(running.get(node.name)?.stop() ?? Promise.resolve());
    running.delete(node.name);
  }
});
When(
  "orders go on at every ready gateway for {int} s",
  { timeout: 60_000 },
  async (seconds: number) => {
    for (let at = 0; at < seconds * 2; at += 1) {
      await placeAtReady();
      await live(500_000);
    }
  },
);
Then(
  "the gateways of {string} are not ready, and its workers have seen no order for {int} s or more",
  async (zone: string, seconds: number) => {
    for (const node of nodes.filter((one) => one.zone === zone))
      assert.notEqual((await during(call(node.ready, "GET", "/ready"))).status, 200);
    assert.ok(clock.nowUs() - lastSeenInCellUs >= seconds * 1_000_000);
  },
);
Then("every order was answered well, and ran exactly once", () => {
  assert.ok(placed.length > 60, `${placed.length} orders`);
  const runs = new Map<string, number>();
  workers.forEach((worker) =>
    worker.seen.forEach(({ tryId }) => runs.set(tryId, (runs.get(tryId) ?? 0) + 1)),
  );
  placed.forEach(({ id, status }) => assert.deepEqual([id, status, runs.get(id)], [id, 200, 1]));
});

// --- the written retry limit, and the forecast of what would move

const post = async (
  box: Settings | undefined,
  path: string,
  body: UnknownRecord,
): Promise<{ readonly status: number; readonly body: UnknownRecord }> => {
  const answer = await during(call(box?.control ?? "", "POST", path, JSON.stringify(body)));
  return { status: answer.status, body: asRecord(parseJson(answer.body)) };
};
let setStatuses: number[] = [];
When(
  "the retry limit of {string} is set to {float} and {int} through each controller in turn",
  async (kind: string, ratio: number, slack: number) => {
    setStatuses = [];
    for (const box of boxes)
      setStatuses.push((await post(box, "/retries", { service: "*", kind, ratio, slack })).status);
  },
);
Then("it is taken each time", () => assert.deepEqual(setStatuses, [200, 200, 200]));
Then("a limit above the deployment's is refused with one sentence", async () => {
  const answer = await post(boxes[1], "/retries", {
    service: "*",
    kind: "unsafe",
    ratio: 0.9,
    slack: 4,
  });
  assert.equal(answer.status, 400);
  assert.match(String(answer.body["problem"]), /above the deployment's 0.2/);
  assert.equal(
    (await post(boxes[1], "/retries", { service: "nobody", kind: "unsafe", ratio: 0.1, slack: 4 }))
      .status,
    400,
  );
});
When("the old service's workers are full and orders are placed", async () => {
  await apply(
    liveBox(),
    planOf(1, { service: "s-old" })
      .replace('"version":1,"matchOn"', '"version":3,"matchOn"')
      .replace('"tries":1', '"tries":3'),
  );
  await live(1_000_000);
  workers.forEach((worker, id) => {
    worker.seen.splice(0);
    if (id.startsWith("old")) worker.manner = "full";
  });
  for (let round = 0; round < 8; round += 1)
    for (const node of nodes) assert.equal((await order(node)).status, 503);
});
Then(
  "the retries shown stand under the limit of {float} and {int}, with none left out",
  async (ratio: number, slack: number) => {
    const told = asRecord(
      parseJson((await during(call(liveBox().control, "GET", "/tell/retries"))).body),
    );
    const row = asList(told["retries"])
      .map((value) => asRecord(value))
      .find((one) => one["service"] === "s-old" && one["kind"] === "unsafe");
    assert.ok(row, JSON.stringify(told));
    assert.deepEqual([row["ratio"], row["slack"], row["unheard"]], [ratio, slack, 0]);
    const arrivals = [...workers.values()].flatMap(({ seen }) => seen.map(({ tryId }) => tryId));
    const again = arrivals.length - new Set(arrivals).size;
    assert.ok(
      again <= ratio * Number(row["requests"]) + slack,
      `${again} of ${String(row["requests"])}`,
    );
    assert.ok(Number(row["spent"]) >= again && Number(row["refused"]) > 0, JSON.stringify(row));
  },
);
Then("no order ran twice", () => {
  const runs = new Map<string, number>();
  workers.forEach(({ seen, manner }) =>
    seen.forEach(({ tryId }) => manner !== "full" && runs.set(tryId, (runs.get(tryId) ?? 0) + 1)),
  );
  runs.forEach((count) => assert.equal(count, 1));
});

let moves: UnknownRecord = {};
let sentBefore = 0;
let openBefore = 0;
const sentInAll = (): number =>
  [...workers.values()].reduce((sum, { seen }) => sum + seen.length, 0);
const openedInAll = (): number =>
  [...workers.values()].reduce((sum, { connections }) => sum + connections, 0);
When(
  "the forecast of retiring {string} is asked of controller {int}",
  async (id: string, number: number) => {
    [sentBefore, openBefore] = [sentInAll(), openedInAll()];
    const answer = await post(boxes[number - 1], "/backends/forecast", {
      add: [],
      retire: [id],
      byRoute: true,
    });
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    moves = asRecord(answer.body["moves"]);
  },
);
Then(
  "it names the share that was sent to {string}, node by node and for the fleet",
  (id: string) => {
    const seen = workers.get(id)?.seen.length ?? 0;
    const [fleet] = asList(moves["fleet"]).map((value) => asRecord(value));
    assert.ok(fleet && seen > 0);
    assert.deepEqual(
      [fleet["kind"], fleet["route"], fleet["calls"], asList(moves["unheard"]).length],
      ["unsafe", "r-unsafe", 60, 0],
    );
    assert.ok(
      Math.abs(Number(fleet["moved"]) - seen / 60) < 1e-9,
      `${String(fleet["moved"])} against ${seen}`,
    );
    assert.ok(
      Number(fleet["low"]) <= Number(fleet["moved"]) &&
        Number(fleet["moved"]) <= Number(fleet["high"]),
    );
    const rows = asList(moves["nodes"]).map((value) => asRecord(value));
    assert.equal(rows.length, 5);
    assert.ok(
      Math.abs(
        rows.reduce((sum, row) => sum + Number(row["moved"]) * Number(row["calls"]), 0) - seen,
      ) < 1e-9,
    );
  },
);
Then("asking sent nothing to any worker and opened no connection", () =>
  assert.deepEqual([sentInAll(), openedInAll()], [sentBefore, openBefore]),
);
Then("forecasts of what can't be are refused with one sentence each", async () => {
  const refused: readonly (readonly [UnknownRecord, RegExp])[] = [
    [{ add: [], retire: ["nobody"] }, /no worker nobody/],
    [{ add: [{ service: "s-none", cell: "c1", count: 1 }], retire: [] }, /no service s-none/],
    [{ add: [{ service: "s-old", cell: "c9", count: 1 }], retire: [] }, /no cell c9/],
    [{ add: [], retire: ["old-1", "old-2", "old-3"] }, /all workers of s-old/],
    [{ add: [], retire: [] }, /name a backend/],
    [{ add: "x", retire: [] }, /add must be a list/],
  ];
  for (const [body, sentence] of refused) {
    const answer = await post(boxes[0], "/backends/forecast", body);
    assert.equal(answer.status, 400);
    assert.match(String(answer.body["problem"]), sentence);
  }
});
