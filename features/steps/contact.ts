import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { RunningProgram } from "../../src/programs/running-program.js";
import { runController } from "../../src/programs/controller/controller.js";
import { UpdateStore } from "../../src/membership/update-store.js";
import { readHeartbeat } from "../../src/membership/messages.js";
import { WorkerRegistry } from "../../src/membership/worker-registry.js";
import { UpdateSubscriber } from "../../src/membership/update-subscriber.js";
import { PendingRequests } from "../../src/transport/pending-requests.js";
import { setLogLevel, silentLogger } from "../../src/common/logger.js";
import { parseSettings, splitAddress, type Settings } from "../../src/common/settings.js";
import {
  asList,
  asRecord,
  readList,
  asNumber,
  parseJson,
  readString,
  type UnknownRecord,
} from "../../src/common/decode.js";
import { connectTo } from "../../src/transport/connect.js";
import type { Connection, Message } from "../../src/transport/connection.js";
import { sentFrames } from "../../src/transport/frame-codec.js";
import { CuttableNet } from "../support/cuttable-net.js";
import { ManualClock, settle } from "../support/manual-clock.js";

const TIMES = { heartbeatUs: 300_000, timeoutUs: 1_000_000 };
const STEP_US = 10_000;

interface Box {
  readonly settings: Settings;
  readonly clock: ManualClock;
  running: RunningProgram;
}

/** Every scenario has ports of its own. */
let base = 15_000;
let net = new CuttableNet();
let boxes: Box[] = [];
let nodeClock = new ManualClock();
let frozen: ManualClock | undefined;
let takers: UpdateSubscriber[] = [];
let wires: Connection[] = [];
let heartbeats = 0;

/**
 * Each box, and the nodes, have a clock of their own; all move on together, but for one that is
 * frozen.
 */
const pass = async (spanUs: number): Promise<void> => {
  for (let passedUs = 0; passedUs < spanUs; passedUs += STEP_US) {
    for (const clock of [nodeClock, ...boxes.map((box) => box.clock)])
      if (clock !== frozen) await clock.pass(STEP_US);
    await settle(4);
  }
};

/** How long it takes, by the clocks. */
const during = async <T>(
  work: Promise<T>,
  mostUs = 20_000_000,
): Promise<{ readonly result: T; readonly tookUs: number }> => {
  let isDone = false;
  const finished = work.finally(() => {
    isDone = true;
  });
  await settle();
  let tookUs = 0;
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
  for (; !isDone && tookUs < mostUs; tookUs += STEP_US) await pass(STEP_US);
  return { result: await finished, tookUs };
};

const until = async (isSo: () => boolean, mostUs: number, what: string): Promise<void> => {
  for (let passedUs = 0; !isSo(); passedUs += STEP_US) {
    assert.ok(passedUs < mostUs, `within ${mostUs / 1_000} ms ${what}`);
    await pass(STEP_US);
  }
};

interface Answer {
  readonly status: number;
  readonly body: UnknownRecord;
  readonly comeBack: boolean;
}

const call = (box: Box, method: string, path: string, body: unknown = ""): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const bytes = typeof body === "string" ? body : JSON.stringify(body);
    const request = httpRequest(
      `http://${box.settings.control}${path}`,
      { method, agent: false, headers: { "Content-Length": Buffer.byteLength(bytes) } },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            body: asRecord(parseJson(Buffer.concat(chunks).toString())),
            comeBack: response.headers["retry-after"] !== undefined,
          }),
        );
      },
    );
    request.on("error", reject);
    request.end(bytes);
  });

const boxAt = (number: number): Box => {
  const box = boxes[number - 1];
  assert.ok(box);
  return box;
};
const idOf = (box: Box): string => box.settings.control;

const settingsOf = (number: number, firstRun: boolean): Settings =>
  parseSettings(`
    [node]
    name = "box-${number}"
    cell = "c${number}"
    ip = "127.4.0.${number}"
    sparePorts = [${base}, ${base + 1}]
    seedNodes = [${[1, 2, 3].map((other) => `"127.1.0.${other}:${base + 2}"`).join()}]
    firstRun = ${firstRun}
    heartbeat = "1500ms"
    logLevel = "silent"
    [listen]
    control = "127.1.0.${number}:${base + 2}"
    [withstand]
    machines = 1
    [bounds]
    drain = "2000ms"
    grace = "1000ms"
    apply = "2000ms"
    contact = "3000ms"
    confirm = "4000ms"
    retryRatio = 0.2
    retryWindow = "10s"
    retrySlack = 50
  `).unwrapOrElse(({ sentence }) => assert.fail(sentence));

const beatOf = (service: string, zone: string, state = "ready"): UnknownRecord => {
  heartbeats += 1;
  return {
    service,
    address: "127.5.0.1:80",
    cell: zone,
    version: "v1",
    capacity: 3,
    state,
    warmLeft: "0ms",
    callCount: heartbeats,
  };
};
const planOf = (version: number, giveUp = "2000ms"): UnknownRecord => ({
  putItems: {
    listeners: [
      {
        host: "a.example",
        rules: [
          {
            name: "r1",
            routeKind: "safe",
            target_time: "500ms",
            rank: 1,
            version,
            matchOn: { pathStart: "/a/" },
            then: { service: "s1", giveUp, tries: 2 },
          },
        ],
      },
    ],
    groups: [{ name: "s1", statusPath: "/health", maxConnections: 60, version: 1 }],
  },
});
const apply = async (number: number, version: number): Promise<void> => {
  for (let at = 0; at < 20; at += 1)
    if (
      (await during(call(boxAt(number), "POST", "/plan/change", planOf(version)))).result.status ===
      200
    )
      return;
  assert.fail(`version ${version} was not acknowledged`);
};
const CELLS = ["c1", "c2", "c3"];

Given("3 signalboxes that stand, a plan, and workers that beat", async () => {
  setLogLevel("silent");
  base += 20;
  net = new CuttableNet();
  nodeClock = new ManualClock();
  [boxes, takers, wires, frozen] = [[], [], [], undefined];
  for (const number of [1, 2, 3]) {
    const settings = settingsOf(number, true);
    await net.open(settings.control, splitAddress(settings.control).ip, settings.ip, base);
    const clock = new ManualClock();
    boxes.push({ settings, clock, running: await runController(settings, clock) });
  }
  await pass(4_000_000);
  await apply(1, 1);
  for (const zone of CELLS)
    assert.equal(
      (await during(call(boxAt(1), "POST", `/workers/w-${zone}/heartbeat`, beatOf("s1", zone))))
        .result.status,
      200,
    );
  await pass(1_500_000);
});

After(async () => {
  frozen = undefined;
  takers.forEach((subscriber) => subscriber.stop());
  wires.forEach((connection) => connection.close());
  for (const box of boxes) await during(box.running.stop());
  net.close();
  boxes = [];
  await settle();
});

const cutWays = (box: Box, way: string): void =>
  boxes
    .filter((other) => other !== box)
    .forEach((other) => {
      if (way !== "hears nobody") net.cut(idOf(box), idOf(other));
      if (way !== "is heard by nobody") net.cut(idOf(other), idOf(box));
    });
const WAY = "(neither hears nor is heard|hears nobody|is heard by nobody)";
When(new RegExp(`^box (\\d) ${WAY}$`), (number: string, way: string) =>
  cutWays(boxAt(Number(number)), way),
);
When("every box neither hears nor is heard", () => boxes.forEach((box) => cutWays(box, "")));
When("the cut is healed for {int} s", async (seconds: number) => {
  net.heal();
  await pass(seconds * 1_000_000);
});

/** A node's bare session: what comes in, and what it may ask. */
const join = async (
  box: Box,
  name: string,
): Promise<{
  readonly wire: Connection;
  readonly heard: Message[];
  readonly ask: (message: Message) => Promise<Message | undefined>;
}> => {
  const { result: connection } = await during(
    connectTo(box.settings.ip, base, nodeClock, 500_000, TIMES),
  );
  assert.ok(connection, "nobody listens");
  wires.push(connection);
  const asks = new PendingRequests(nodeClock);
  const heard: Message[] = [];
  const read = async () => {
    for await (const message of connection.incoming())
      if (!asks.resolve(message)) heard.push(message);
    asks.abandonAll();
  };
  void read();
  connection.send({
    kind: "pointsman",
    node: { name, cell: box.settings.zone, relay: `127.6.0.1:${base + 1}`, role: "pointsman" },
  });
  return {
    wire: connection,
    heard,
    ask: (message) => asks.request(connection.send, message, 500_000),
  };
};

Then(
  "box {int} says {string} within 1 s to every beat, leave, tell, order and hello",
  async (number: number, verdict: string) => {
    const box = boxAt(number);
    const { zone } = box.settings;
    const heartbeat = (id: string, state: string): readonly [string, string, unknown] => [
      "POST",
      `/workers/${id}/heartbeat`,
      beatOf("s1", zone, state),
    ];
    const soon: readonly (readonly [string, string, unknown])[] = [
      heartbeat(`w-${zone}`, "ready"),
      heartbeat(`w-fresh-${heartbeats}`, "ready"),
      heartbeat(`w-leaving-${heartbeats}`, "draining"),
      ["POST", `/workers/w-${CELLS[(heartbeats + 1) % 2]}/leave`, ""],
      ["POST", "/workers/w-nobody/leave", ""],
      ...[
        "nodes",
        "workers",
        "duty",
        "inspection",
        "rollouts",
        "forecast",
        "windows",
        "retries",
      ].map((what) => ["GET", `/tell/${what}`, ""] as const),
      [
        "POST",
        "/backends/forecast",
        { add: [{ service: "s1", cell: zone, count: 1 }], retire: [] },
      ],
    ];
    const later: readonly (readonly [string, string, unknown])[] = [
      ["GET", "/plan/read", ""],
      ["POST", "/plan/change", planOf(heartbeats)],
      ["POST", "/retries", { service: "*", kind: "unsafe", ratio: 0.1, slack: 4 }],
      ["POST", "/cells/shift", { cell: "" }],
    ];
    const answersTo = (calls: typeof soon) =>
      Promise.all(
        calls.map(async ([method, path, body]) => ({
          path,
          ...(await call(box, method, path, body)),
        })),
      );
    const hello = join(box, `bare-${heartbeats}`);
    const orders = answersTo(later);
    const { result, tookUs } = await during(answersTo(soon));
    assert.ok(tookUs <= 1_000_000, `${tookUs} us`);
    const answers = [...result, ...(await during(orders)).result];
    answers.forEach(({ path, status, body, comeBack }) => {
      assert.equal(status, verdict === "yes" ? 200 : 503, `${path}: ${JSON.stringify(body)}`);
      assert.equal(comeBack, verdict !== "yes", path);
    });
    const { wire: connection, heard } = (await during(hello)).result;
    assert.equal(
      heard.some(({ kind }) => kind === "welcome"),
      verdict === "yes",
    );
    if (verdict !== "yes")
      assert.deepEqual(
        heard.map(({ kind }) => kind),
        ["adrift"],
      );
    connection.close();
  },
);
Then(
  "box {int} still tells of its own copy, and that this is its own view",
  async (number: number) => {
    const { status, body } = (await during(call(boxAt(number), "GET", "/tell/copy"))).result;
    const copy = asRecord(body["copy"]);
    assert.deepEqual(
      [status, copy["view"], copy["box"], copy["roster"]],
      [200, "this copy's own", idOf(boxAt(number)), 1],
    );
    assert.ok(asNumber(copy["unansweredMs"]) > 0);
  },
);

When(
  "box {int} is frozen for {int} s, and the plan is changed to version {int} meanwhile",
  async (number: number, seconds: number, version: number) => {
    const box = boxAt(number);
    frozen = box.clock;
    cutWays(box, "");
    await apply(1, version);
    await pass(seconds * 1_000_000);
    box.clock.jump(seconds * 1_000_000);
  },
);
When("box {int} thaws, its timers late, and still cut off", (number: number) => {
  assert.equal(frozen, boxAt(number).clock);
  frozen = undefined;
});
When(
  "box {int} thaws after {int} s that only it slept through, its timers late",
  (number: number, seconds: number) => boxAt(number).clock.jump(seconds * 1_000_000),
);

Then(
  "the first feed of a node at box {int} holds version {int}",
  async (number: number, version: number) => {
    for (let at = 0; at < 60; at += 1) {
      const { wire: connection, heard } = await join(boxAt(number), `late-${at}`);
      await pass(100_000);
      const news = heard.find(({ kind }) => kind === "news");
      connection.close();
      if (!news) continue;
      const fact = asList(news["facts"])
        .map((value) => asRecord(value))
        .find((one) => one["key"] === "plan/route/r1");
      assert.equal(fact?.["version"], version, `after ${at} hellos`);
      return;
    }
    assert.fail("no node was fed");
  },
);

let acknowledgedUs = 0;
let contactFrames = 0;
When("{int} workers beat at box {int} at once", async (count: number, number: number) => {
  const box = boxAt(number);
  const before = sentFrames.get("contact")?.frames ?? 0;
  const answers = Array.from({ length: count }, (_, at) =>
    call(box, "POST", `/workers/w-crowd-${at}/heartbeat`, beatOf("s1", box.settings.zone)),
  );
  const { result, tookUs } = await during(Promise.all(answers));
  result.forEach(({ status }) => assert.equal(status, 200));
  acknowledgedUs = tookUs;
  contactFrames = (sentFrames.get("contact")?.frames ?? 0) - before;
});
Then(
  "all are acknowledged within {int} ms, and at most {int} frames of contact were sent",
  (ms: number, most: number) => {
    assert.ok(acknowledgedUs <= ms * 1_000, `${acknowledgedUs} us`);
    assert.ok(contactFrames > 0 && contactFrames <= most, `${contactFrames} frames`);
  },
);

let holder: Box | undefined;
let bare: Awaited<ReturnType<typeof join>> | undefined;
/**
 * Tokens leased by the answer; the node says that it holds some, so that a new holder of the duty
 * would renew them.
 */
const leased = async (): Promise<number | undefined> => {
  assert.ok(bare);
  const { result } = await during(
    bare.ask({ kind: "retry-ask", life: "a life", wants: [["s1", "safe", 5, 3]] }),
  );
  return result === undefined
    ? undefined
    : readList(result, "rows", (row) => asNumber(asList(row)[2])).reduce(
        (sum, tokens) => sum + tokens,
        0,
      );
};
Given("a node with a session at the holder of the duty gets a lease there", async () => {
  const lease = asRecord((await during(call(boxAt(1), "GET", "/tell/duty"))).result.body["duty"]);
  holder = boxes.find((box) => idOf(box) === lease["holder"]);
  assert.ok(holder);
  bare = await join(holder, "bare");
  await pass(200_000);
  assert.equal(await leased(), 3);
});
When("the holder neither hears nor is heard", () => holder && cutWays(holder, ""));
Then("no lease is given there until its session ends", async () => {
  let asked = 0;
  for (; bare?.wire.isClosed === false; asked += 1)
    assert.ok(((await leased()) ?? 0) === 0, `a lease at asking ${asked}`);
  assert.ok(asked > 2, `${asked} askings`);
});

let sessionsAt: string[] = [];
const startNode = async (
  seeds: readonly string[],
): Promise<{ readonly subscriber: UpdateSubscriber; readonly updates: UpdateStore }> => {
  const updates = new UpdateStore(nodeClock);
  const info = (event: string, fields: UnknownRecord = {}) => {
    if (event === "session opened") sessionsAt.push(readString(fields, "controller"));
  };
  const subscriber = new UpdateSubscriber({
    name: "n1",
    zone: "c3",
    role: "gateway",
    relay: `127.6.0.2:${base + 1}`,
    seeds,
    peerPort: base,
    clock: nodeClock,
    times: TIMES,
    updates,
    log: { ...silentLogger, info },
  });
  takers.push(subscriber);
  sessionsAt = [];
  void subscriber.run();
  await pass(1_500_000);
  return { subscriber, updates };
};
let node: Awaited<ReturnType<typeof startNode>>;
const knowsPlan = (): boolean => node.updates.get("plan/route/r1") !== undefined;
Given("a node that knows box {int} alone has a session there", async (number: number) => {
  node = await startNode([idOf(boxAt(number))]);
  assert.ok(node.subscriber.isConnected && knowsPlan());
  assert.deepEqual(sessionsAt, [idOf(boxAt(number))]);
});
Given("a node whose seeds are gone", async () => {
  node = await startNode([`127.1.0.9:${base + 2}`]);
  assert.ok(!node.subscriber.isConnected);
});
When("its settings file names box {int}", (number: number) =>
  node.subscriber.renewSeeds([idOf(boxAt(number))]),
);
Then("the session is over within {int} ms", (ms: number) =>
  until(() => !node.subscriber.isConnected, ms * 1_000, "the session is over"),
);
Then(
  "within {int} s the node has one at another box, and knows the plan",
  async (seconds: number) => {
    await until(() => node.subscriber.isConnected, seconds * 1_000_000, "the node has a session");
    assert.notEqual(sessionsAt.at(-1), idOf(boxAt(3)));
    await until(knowsPlan, 200_000, "it knows the plan");
  },
);
Then("for {int} s the node has none, and knows the plan", async (seconds: number) => {
  const before = sessionsAt.length;
  await pass(seconds * 1_000_000);
  assert.ok(!node.subscriber.isConnected && sessionsAt.length === before && knowsPlan());
});
When("the cut between boxes {int} and {int} is healed", (one: number, other: number) =>
  net.healBetween(idOf(boxAt(one)), idOf(boxAt(other))),
);
Then(
  "a worker of {string} that beats at box {int} is sent to {string}",
  async (zone: string, number: number, to: string) => {
    const { status, body } = (
      await during(call(boxAt(number), "POST", `/workers/w-${zone}/heartbeat`, beatOf("s1", zone)))
    ).result;
    assert.deepEqual([status, body["reportTo"]], [200, to === "" ? undefined : idOf(boxAt(3))]);
  },
);

When(
  "the connection that box {int} has dialled to box {int} is reset",
  (from: number, to: number) => net.reset(idOf(boxAt(from)), idOf(boxAt(to))),
);
Then("{int} s later box {int} tells of that node", async (seconds: number, number: number) => {
  await pass(seconds * 1_000_000);
  const { body } = (await during(call(boxAt(number), "GET", "/tell/nodes"))).result;
  assert.deepEqual(
    asList(body["nodes"]).map((one) => readString(asRecord(one), "name")),
    ["n1"],
  );
});

let registry: WorkerRegistry;
When(
  "a beat of {string} is shared that is {int} s old, and one of {string} that is {int} s old",
  (one: string, oneS: number, other: string, otherS: number) => {
    registry = new WorkerRegistry(nodeClock, new UpdateStore(nodeClock), 1_500_000);
    registry.record(readHeartbeat(one, beatOf("s1", "c1")), oneS * 1_000_000);
    registry.record(readHeartbeat(other, beatOf("s1", "c1")), otherS * 1_000_000);
  },
);
Then(
  "{string} is {string} and {string} is {string}",
  (one: string, state: string, other: string, otherState: string) =>
    assert.deepEqual(
      [one, other].map((id) => registry.get(id)?.state ?? "unknown"),
      [state, otherState],
    ),
);
Then(
  "workers that couldn't be heard for {int} s are no more missing than before",
  async (seconds: number) => {
    registry.record(readHeartbeat("w-heard", beatOf("s1", "c1")));
    await nodeClock.pass(seconds * 1_000_000);
    registry.restartListening();
    registry.sweep();
    assert.deepEqual([registry.get("w-heard")?.state, registry.isComplete()], ["ready", false]);
    await nodeClock.pass(5_000_000);
    registry.sweep();
    assert.deepEqual([registry.get("w-heard")?.state, registry.isComplete()], ["missing", true]);
  },
);

/** All are stopped before the first is started; their disks are empty then. */
const startAnew = async (numbers: readonly number[], firstRun: boolean): Promise<void> => {
  for (const number of numbers) await during(boxAt(number).running.stop());
  for (const number of numbers)
    boxAt(number).running = await runController(settingsOf(number, firstRun), boxAt(number).clock);
};
When("box {int} starts anew without its disk, and hears nobody", async (number: number) => {
  cutWays(boxAt(number), "hears nobody");
  await startAnew([number], false);
  await pass(1_500_000);
});
When("only pulses come through to box {int}", (number: number) =>
  boxes.forEach((box) => net.passPulsesOnly(idOf(box), idOf(boxAt(number)))),
);
When(
  "boxes {int} and {int} lose their disks together, and {int} s pass",
  async (one: number, other: number, seconds: number) => {
    await startAnew([one, other], false);
    await pass(seconds * 1_000_000);
  },
);
When("every box is stopped, and then started as for the first time", async () => {
  await startAnew([1, 2, 3], true);
  await pass(4_000_000);
});
const copyOf = async (number: number): Promise<readonly unknown[]> => {
  const copy = asRecord(
    (await during(call(boxAt(number), "GET", "/tell/copy"))).result.body["copy"],
  );
  return [copy["counting"], copy["why"], copy["majorityInReach"]];
};
Then(
  "box {int} tells that its copy doesn't count since {string}",
  async (number: number, why: string) =>
    assert.deepEqual(await copyOf(number), [false, why, false]),
);
Then(
  "box {int} tells that its copy doesn't count since {string}, though its links reach a majority",
  async (number: number, why: string) => assert.deepEqual(await copyOf(number), [false, why, true]),
);
Then(
  "box {int} tells of roster {int}, of a term, and that box {int} is unseen",
  async (number: number, voterSet: number, unseen: number) => {
    const lease = asRecord(
      (await during(call(boxAt(number), "GET", "/tell/duty"))).result.body["duty"],
    );
    assert.deepEqual(
      [asRecord(lease["roster"])["number"], asRecord(lease["roster"])["is"]],
      [voterSet, "simple"],
    );
    assert.ok(asNumber(lease["term"]) > 0);
    const rows = readList(lease, "boxes", asRecord);
    assert.deepEqual(
      rows.map((row) => [row["box"], row["seen"], row["counting"], row["why"]]),
      boxes.map((box, at) => [
        idOf(box),
        at + 1 !== unseen,
        at + 1 !== unseen,
        at + 1 === unseen ? "it does not answer" : "",
      ]),
    );
  },
);

Then(
  "version {int} with another content gets {int} and {string}",
  async (version: number, status: number, sentence: string) => {
    const { listeners } = asRecord(planOf(version, "1500ms")["putItems"]);
    const { result } = await during(
      call(boxAt(2), "POST", "/plan/change", { putItems: { listeners } }),
    );
    assert.deepEqual([result.status, result.body["problem"]], [status, sentence]);
  },
);
Then("version {int} as it was gets {int}", async (version: number, status: number) => {
  assert.equal(
    (await during(call(boxAt(3), "POST", "/plan/change", planOf(version)))).result.status,
    status,
  );
});
