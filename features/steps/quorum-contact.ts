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
import { sentFrameCounts } from "../../src/transport/frame-codec.js";
import { PartitionableNet } from "../support/partitionable-net.js";
import { ManualClock, settle } from "../support/manual-clock.js";

const LINK_TIMES = { heartbeatUs: 300_000, timeoutUs: 1_000_000 };
const STEP_US = 10_000;

interface Controller {
  readonly settings: Settings;
  readonly clock: ManualClock;
  running: RunningProgram;
}

/** First port of the running scenario: each scenario uses its own range. */
let basePort = 15_000;
let net = new PartitionableNet();
let controllers: Controller[] = [];
let nodeClock = new ManualClock();
let frozenClock: ManualClock | undefined;
let subscribers: UpdateSubscriber[] = [];
let openConnections: Connection[] = [];
let heartbeatCount = 0;

/**
 * Advances the clocks together in steps: one clock per controller and one for all nodes. A frozen
 * clock stands still.
 */
const advance = async (spanUs: number): Promise<void> => {
  for (let passedUs = 0; passedUs < spanUs; passedUs += STEP_US) {
    for (const clock of [nodeClock, ...controllers.map((controller) => controller.clock)])
      if (clock !== frozenClock) await clock.pass(STEP_US);
    await settle(4);
  }
};

/** Advances the clocks until the operation ends; returns its result and how long it took. */
const advanceUntilDone = async <T>(
  operation: Promise<T>,
  limitUs = 20_000_000,
): Promise<{ readonly result: T; readonly tookUs: number }> => {
  let isDone = false;
  const finished = operation.finally(() => {
    isDone = true;
  });
  await settle();
  let tookUs = 0;
  // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
  for (; !isDone && tookUs < limitUs; tookUs += STEP_US) await advance(STEP_US);
  return { result: await finished, tookUs };
};

const advanceUntil = async (
  condition: () => boolean,
  timeoutUs: number,
  what: string,
): Promise<void> => {
  for (let passedUs = 0; !condition(); passedUs += STEP_US) {
    assert.ok(passedUs < timeoutUs, `within ${timeoutUs / 1_000} ms ${what}`);
    await advance(STEP_US);
  }
};

interface Answer {
  readonly status: number;
  readonly body: UnknownRecord;
  readonly hasRetryAfter: boolean;
}

const callController = (
  controller: Controller,
  method: string,
  path: string,
  body: unknown = "",
): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const bytes = typeof body === "string" ? body : JSON.stringify(body);
    const request = httpRequest(
      `http://${controller.settings.control}${path}`,
      { method, agent: false, headers: { "Content-Length": Buffer.byteLength(bytes) } },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            body: asRecord(parseJson(Buffer.concat(chunks).toString())),
            hasRetryAfter: response.headers["retry-after"] !== undefined,
          }),
        );
      },
    );
    request.on("error", reject);
    request.end(bytes);
  });

const controllerAt = (number: number): Controller => {
  const controller = controllers[number - 1];
  assert.ok(controller);
  return controller;
};
const idOf = (controller: Controller): string => controller.settings.control;

const settingsOf = (number: number, firstRun: boolean): Settings =>
  parseSettings(`
    [node]
    name = "box-${number}"
    cell = "c${number}"
    ip = "127.4.0.${number}"
    sparePorts = [${basePort}, ${basePort + 1}]
    seedNodes = [${[1, 2, 3].map((other) => `"127.1.0.${other}:${basePort + 2}"`).join()}]
    firstRun = ${firstRun}
    heartbeat = "1500ms"
    logLevel = "silent"
    [listen]
    control = "127.1.0.${number}:${basePort + 2}"
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
  `).unwrapOrElse(({ message }) => assert.fail(message));

const heartbeatOf = (service: string, zone: string, state = "ready"): UnknownRecord => {
  heartbeatCount += 1;
  return {
    service,
    address: "127.5.0.1:80",
    cell: zone,
    version: "v1",
    capacity: 3,
    state,
    warmLeft: "0ms",
    callCount: heartbeatCount,
  };
};
const configurationOf = (version: number, timeout = "2000ms"): UnknownRecord => ({
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
            then: { service: "s1", giveUp: timeout, tries: 2 },
          },
        ],
      },
    ],
    groups: [{ name: "s1", statusPath: "/health", maxConnections: 60, version: 1 }],
  },
});
const applyConfiguration = async (number: number, version: number): Promise<void> => {
  for (let at = 0; at < 20; at += 1)
    if (
      (
        await advanceUntilDone(
          callController(controllerAt(number), "POST", "/plan/change", configurationOf(version)),
        )
      ).result.status === 200
    )
      return;
  assert.fail(`version ${version} was not acknowledged`);
};
const ZONES = ["c1", "c2", "c3"];

Given("3 running controllers, a configuration, and workers that send heartbeats", async () => {
  setLogLevel("silent");
  basePort += 20;
  net = new PartitionableNet();
  nodeClock = new ManualClock();
  [controllers, subscribers, openConnections, frozenClock] = [[], [], [], undefined];
  for (const number of [1, 2, 3]) {
    const settings = settingsOf(number, true);
    await net.open(settings.control, splitAddress(settings.control).ip, settings.ip, basePort);
    const clock = new ManualClock();
    controllers.push({ settings, clock, running: await runController(settings, clock) });
  }
  await advance(4_000_000);
  await applyConfiguration(1, 1);
  for (const zone of ZONES)
    assert.equal(
      (
        await advanceUntilDone(
          callController(
            controllerAt(1),
            "POST",
            `/workers/w-${zone}/heartbeat`,
            heartbeatOf("s1", zone),
          ),
        )
      ).result.status,
      200,
    );
  await advance(1_500_000);
});

After(async () => {
  frozenClock = undefined;
  subscribers.forEach((subscriber) => subscriber.stop());
  openConnections.forEach((connection) => connection.close());
  for (const controller of controllers) await advanceUntilDone(controller.running.stop());
  net.close();
  controllers = [];
  await settle();
});

const partition = (controller: Controller, fault: string): void =>
  controllers
    .filter((other) => other !== controller)
    .forEach((other) => {
      if (fault !== "receives nothing from its peers") net.cut(idOf(controller), idOf(other));
      if (fault !== "can send nothing to its peers") net.cut(idOf(other), idOf(controller));
    });
const PARTITION =
  "(is partitioned from its peers|receives nothing from its peers|can send nothing to its peers)";
When(new RegExp(`^controller (\\d) ${PARTITION}$`), (number: string, fault: string) =>
  partition(controllerAt(Number(number)), fault),
);
When("every controller is partitioned from its peers", () =>
  controllers.forEach((controller) => partition(controller, "")),
);
When("the partition is healed and {int} s pass", async (seconds: number) => {
  net.heal();
  await advance(seconds * 1_000_000);
});

/** Opens a node session at protocol level: records received messages and sends requests. */
const openSession = async (
  controller: Controller,
  name: string,
): Promise<{
  readonly connection: Connection;
  readonly received: Message[];
  readonly request: (message: Message) => Promise<Message | undefined>;
}> => {
  const { result: connection } = await advanceUntilDone(
    connectTo(controller.settings.ip, basePort, nodeClock, 500_000, LINK_TIMES),
  );
  assert.ok(connection, "the controller refused the connection");
  openConnections.push(connection);
  const pendingRequests = new PendingRequests(nodeClock);
  const received: Message[] = [];
  const read = async () => {
    for await (const message of connection.incoming())
      if (!pendingRequests.resolve(message)) received.push(message);
    pendingRequests.abandonAll();
  };
  void read();
  connection.send({
    kind: "pointsman",
    node: {
      name,
      cell: controller.settings.zone,
      relay: `127.6.0.1:${basePort + 1}`,
      role: "pointsman",
    },
  });
  return {
    connection,
    received,
    request: (message) => pendingRequests.request(connection.send, message, 500_000),
  };
};

Then(
  "controller {int} {word} every heartbeat, leave and query within 1 s, and every command and node session",
  async (number: number, expectation: string) => {
    const controller = controllerAt(number);
    const { zone } = controller.settings;
    const heartbeat = (id: string, state: string): readonly [string, string, unknown] => [
      "POST",
      `/workers/${id}/heartbeat`,
      heartbeatOf("s1", zone, state),
    ];
    const timedCalls: readonly (readonly [string, string, unknown])[] = [
      heartbeat(`w-${zone}`, "ready"),
      heartbeat(`w-fresh-${heartbeatCount}`, "ready"),
      heartbeat(`w-leaving-${heartbeatCount}`, "draining"),
      ["POST", `/workers/w-${ZONES[(heartbeatCount + 1) % 2]}/leave`, ""],
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
    const untimedCalls: readonly (readonly [string, string, unknown])[] = [
      ["GET", "/plan/read", ""],
      ["POST", "/plan/change", configurationOf(heartbeatCount)],
      ["POST", "/retries", { service: "*", kind: "unsafe", ratio: 0.1, slack: 4 }],
      ["POST", "/cells/shift", { cell: "" }],
    ];
    const answersTo = (calls: typeof timedCalls) =>
      Promise.all(
        calls.map(async ([method, path, body]) => ({
          path,
          ...(await callController(controller, method, path, body)),
        })),
      );
    const session = openSession(controller, `bare-${heartbeatCount}`);
    const untimedAnswers = answersTo(untimedCalls);
    const { result, tookUs } = await advanceUntilDone(answersTo(timedCalls));
    assert.ok(tookUs <= 1_000_000, `${tookUs} us`);
    const answers = [...result, ...(await advanceUntilDone(untimedAnswers)).result];
    answers.forEach(({ path, status, body, hasRetryAfter }) => {
      assert.equal(
        status,
        expectation === "accepts" ? 200 : 503,
        `${path}: ${JSON.stringify(body)}`,
      );
      assert.equal(hasRetryAfter, expectation !== "accepts", path);
    });
    const { connection, received: heard } = (await advanceUntilDone(session)).result;
    assert.equal(
      heard.some(({ kind }) => kind === "welcome"),
      expectation === "accepts",
    );
    if (expectation !== "accepts")
      assert.deepEqual(
        heard.map(({ kind }) => kind),
        ["adrift"],
      );
    connection.close();
  },
);
Then(
  "controller {int} still reports the state of its replica, marked as its own view",
  async (number: number) => {
    const { status, body } = (
      await advanceUntilDone(callController(controllerAt(number), "GET", "/tell/copy"))
    ).result;
    const copy = asRecord(body["copy"]);
    assert.deepEqual(
      [status, copy["view"], copy["box"], copy["roster"]],
      [200, "this copy's own", idOf(controllerAt(number)), 1],
    );
    assert.ok(asNumber(copy["unansweredMs"]) > 0);
  },
);

When(
  "controller {int} is frozen and partitioned for {int} s while the configuration changes to version {int}",
  async (number: number, seconds: number, version: number) => {
    const controller = controllerAt(number);
    frozenClock = controller.clock;
    partition(controller, "");
    await applyConfiguration(1, version);
    await advance(seconds * 1_000_000);
    controller.clock.jump(seconds * 1_000_000);
  },
);
When("controller {int} resumes with overdue timers, still partitioned", (number: number) => {
  assert.equal(frozenClock, controllerAt(number).clock);
  frozenClock = undefined;
});
When(
  "controller {int} alone is frozen for {int} s and resumes with overdue timers",
  (number: number, seconds: number) => controllerAt(number).clock.jump(seconds * 1_000_000),
);

Then(
  "the first updates that a node gets from controller {int} contain version {int}",
  async (number: number, version: number) => {
    for (let at = 0; at < 60; at += 1) {
      const { connection, received: heard } = await openSession(controllerAt(number), `late-${at}`);
      await advance(100_000);
      const updates = heard.find(({ kind }) => kind === "news");
      connection.close();
      if (!updates) continue;
      const update = asList(updates["facts"])
        .map((value) => asRecord(value))
        .find((one) => one["key"] === "plan/route/r1");
      assert.equal(update?.["version"], version, `after ${at} refused sessions`);
      return;
    }
    assert.fail("no node got updates");
  },
);

let acknowledgedUs = 0;
let contactFrames = 0;
When(
  "{int} workers send heartbeats to controller {int} at once",
  async (count: number, number: number) => {
    const controller = controllerAt(number);
    const before = sentFrameCounts.get("contact")?.frames ?? 0;
    const answers = Array.from({ length: count }, (_, at) =>
      callController(
        controller,
        "POST",
        `/workers/w-crowd-${at}/heartbeat`,
        heartbeatOf("s1", controller.settings.zone),
      ),
    );
    const { result, tookUs } = await advanceUntilDone(Promise.all(answers));
    result.forEach(({ status }) => assert.equal(status, 200));
    acknowledgedUs = tookUs;
    contactFrames = (sentFrameCounts.get("contact")?.frames ?? 0) - before;
  },
);
Then(
  "all are acknowledged within {int} ms, with at most {int} quorum contact frames sent",
  (ms: number, maxFrames: number) => {
    assert.ok(acknowledgedUs <= ms * 1_000, `${acknowledgedUs} us`);
    assert.ok(contactFrames > 0 && contactFrames <= maxFrames, `${contactFrames} frames`);
  },
);

let leaseHolder: Controller | undefined;
let bareSession: Awaited<ReturnType<typeof openSession>> | undefined;
/**
 * Requests a retry lease and returns the granted tokens. The request states that the node already
 * holds some, because a new holder of the leader lease would renew those.
 */
const requestTokens = async (): Promise<number | undefined> => {
  assert.ok(bareSession);
  const { result } = await advanceUntilDone(
    bareSession.request({ kind: "retry-ask", life: "a life", wants: [["s1", "safe", 5, 3]] }),
  );
  return result === undefined
    ? undefined
    : readList(result, "rows", (row) => asNumber(asList(row)[2])).reduce(
        (sum, tokens) => sum + tokens,
        0,
      );
};
Given(
  "a node with a session at the holder of the leader lease gets a retry lease there",
  async () => {
    const lease = asRecord(
      (await advanceUntilDone(callController(controllerAt(1), "GET", "/tell/duty"))).result.body[
        "duty"
      ],
    );
    leaseHolder = controllers.find((controller) => idOf(controller) === lease["holder"]);
    assert.ok(leaseHolder);
    bareSession = await openSession(leaseHolder, "bare");
    await advance(200_000);
    assert.equal(await requestTokens(), 3);
  },
);
When(
  "the holder of the leader lease is partitioned from its peers",
  () => leaseHolder && partition(leaseHolder, ""),
);
Then("it grants the node no retry lease until the session ends", async () => {
  let requestCount = 0;
  for (; bareSession?.connection.isClosed === false; requestCount += 1)
    assert.ok(((await requestTokens()) ?? 0) === 0, `request ${requestCount} was granted a lease`);
  assert.ok(requestCount > 2, `${requestCount} requests`);
});

let sessionControllers: string[] = [];
const startNode = async (
  seeds: readonly string[],
): Promise<{ readonly subscriber: UpdateSubscriber; readonly updates: UpdateStore }> => {
  const updates = new UpdateStore(nodeClock);
  const info = (event: string, fields: UnknownRecord = {}) => {
    if (event === "session opened") sessionControllers.push(readString(fields, "controller"));
  };
  const subscriber = new UpdateSubscriber({
    name: "n1",
    zone: "c3",
    role: "gateway",
    relay: `127.6.0.2:${basePort + 1}`,
    seeds,
    peerPort: basePort,
    clock: nodeClock,
    times: LINK_TIMES,
    updates,
    log: { ...silentLogger, info },
  });
  subscribers.push(subscriber);
  sessionControllers = [];
  void subscriber.run();
  await advance(1_500_000);
  return { subscriber, updates };
};
let subscribedNode: Awaited<ReturnType<typeof startNode>>;
const hasConfiguration = (): boolean => subscribedNode.updates.get("plan/route/r1") !== undefined;
Given("a node that knows only controller {int} has a session there", async (number: number) => {
  subscribedNode = await startNode([idOf(controllerAt(number))]);
  assert.ok(subscribedNode.subscriber.isConnected && hasConfiguration());
  assert.deepEqual(sessionControllers, [idOf(controllerAt(number))]);
});
Given("a node whose seed nodes are all unreachable", async () => {
  subscribedNode = await startNode([`127.1.0.9:${basePort + 2}`]);
  assert.ok(!subscribedNode.subscriber.isConnected);
});
When("its settings are reloaded with controller {int} as the seed node", (number: number) =>
  subscribedNode.subscriber.setSeeds([idOf(controllerAt(number))]),
);
Then("the session ends within {int} ms", (ms: number) =>
  advanceUntil(() => !subscribedNode.subscriber.isConnected, ms * 1_000, "the session has ended"),
);
Then(
  "within {int} s the node has a session with another controller, and the configuration",
  async (seconds: number) => {
    await advanceUntil(
      () => subscribedNode.subscriber.isConnected,
      seconds * 1_000_000,
      "the node has a session",
    );
    assert.notEqual(sessionControllers.at(-1), idOf(controllerAt(3)));
    await advanceUntil(hasConfiguration, 200_000, "the node has the configuration");
  },
);
Then(
  "for {int} s the node has no session, and keeps the configuration",
  async (seconds: number) => {
    const before = sessionControllers.length;
    await advance(seconds * 1_000_000);
    assert.ok(
      !subscribedNode.subscriber.isConnected &&
        sessionControllers.length === before &&
        hasConfiguration(),
    );
  },
);
When("the partition between controllers {int} and {int} is healed", (one: number, other: number) =>
  net.healBetween(idOf(controllerAt(one)), idOf(controllerAt(other))),
);
Then(
  "a worker of zone {string} that sends a heartbeat to controller {int} is redirected to {string}",
  async (zone: string, number: number, to: string) => {
    const { status, body } = (
      await advanceUntilDone(
        callController(
          controllerAt(number),
          "POST",
          `/workers/w-${zone}/heartbeat`,
          heartbeatOf("s1", zone),
        ),
      )
    ).result;
    assert.deepEqual(
      [status, body["reportTo"]],
      [200, to === "none" ? undefined : idOf(controllerAt(3))],
    );
  },
);

When(
  "the connection from controller {int} to controller {int} is reset",
  (from: number, to: number) => net.reset(idOf(controllerAt(from)), idOf(controllerAt(to))),
);
Then("{int} s later controller {int} lists that node", async (seconds: number, number: number) => {
  await advance(seconds * 1_000_000);
  const { body } = (
    await advanceUntilDone(callController(controllerAt(number), "GET", "/tell/nodes"))
  ).result;
  assert.deepEqual(
    asList(body["nodes"]).map((one) => readString(asRecord(one), "name")),
    ["n1"],
  );
});

let registry: WorkerRegistry;
When(
  "a peer shares a heartbeat of {string} that is {int} s old, and one of {string} that is {int} s old",
  (one: string, oneS: number, other: string, otherS: number) => {
    registry = new WorkerRegistry(nodeClock, new UpdateStore(nodeClock), 1_500_000);
    registry.record(readHeartbeat(one, heartbeatOf("s1", "c1")), oneS * 1_000_000);
    registry.record(readHeartbeat(other, heartbeatOf("s1", "c1")), otherS * 1_000_000);
  },
);
Then(
  "worker {string} is {string} and worker {string} is {string}",
  (one: string, state: string, other: string, otherState: string) =>
    assert.deepEqual(
      [one, other].map((id) => registry.get(id)?.state ?? "unknown"),
      [state, otherState],
    ),
);
Then(
  "a worker that could not be heard for {int} s is missing only 5 s after listening resumes",
  async (seconds: number) => {
    registry.record(readHeartbeat("w-heard", heartbeatOf("s1", "c1")));
    await nodeClock.pass(seconds * 1_000_000);
    registry.restartListening();
    registry.sweep();
    assert.deepEqual([registry.get("w-heard")?.state, registry.isComplete()], ["ready", false]);
    await nodeClock.pass(5_000_000);
    registry.sweep();
    assert.deepEqual([registry.get("w-heard")?.state, registry.isComplete()], ["missing", true]);
  },
);

/** Stops all of them before starting the first. They restart with empty disks. */
const restartWithEmptyDisks = async (
  numbers: readonly number[],
  firstRun: boolean,
): Promise<void> => {
  for (const number of numbers) await advanceUntilDone(controllerAt(number).running.stop());
  for (const number of numbers)
    controllerAt(number).running = await runController(
      settingsOf(number, firstRun),
      controllerAt(number).clock,
    );
};
When(
  "controller {int} restarts with an empty disk and receives nothing from its peers",
  async (number: number) => {
    partition(controllerAt(number), "receives nothing from its peers");
    await restartWithEmptyDisks([number], false);
    await advance(1_500_000);
  },
);
When("only keep-alive frames reach controller {int}", (number: number) =>
  controllers.forEach((controller) =>
    net.passKeepAlivesOnly(idOf(controller), idOf(controllerAt(number))),
  ),
);
When(
  "controllers {int} and {int} restart with empty disks together, and {int} s pass",
  async (one: number, other: number, seconds: number) => {
    await restartWithEmptyDisks([one, other], false);
    await advance(seconds * 1_000_000);
  },
);
When("every controller is stopped and then started as a first run", async () => {
  await restartWithEmptyDisks([1, 2, 3], true);
  await advance(4_000_000);
});
const replicaStateOf = async (number: number): Promise<readonly unknown[]> => {
  const copy = asRecord(
    (await advanceUntilDone(callController(controllerAt(number), "GET", "/tell/copy"))).result.body[
      "copy"
    ],
  );
  return [copy["counting"], copy["why"], copy["majorityInReach"]];
};
Then(
  "controller {int} reports that its replica does not vote because {string}",
  async (number: number, why: string) =>
    assert.deepEqual(await replicaStateOf(number), [false, why, false]),
);
Then(
  "controller {int} reports that its replica does not vote because {string}, with a majority in reach",
  async (number: number, why: string) =>
    assert.deepEqual(await replicaStateOf(number), [false, why, true]),
);
Then(
  "controller {int} reports voter set {int}, a term, and that controller {int} does not answer",
  async (number: number, voterSet: number, unseen: number) => {
    const lease = asRecord(
      (await advanceUntilDone(callController(controllerAt(number), "GET", "/tell/duty"))).result
        .body["duty"],
    );
    assert.deepEqual(
      [asRecord(lease["roster"])["number"], asRecord(lease["roster"])["is"]],
      [voterSet, "simple"],
    );
    assert.ok(asNumber(lease["term"]) > 0);
    const rows = readList(lease, "boxes", asRecord);
    assert.deepEqual(
      rows.map((row) => [row["box"], row["seen"], row["counting"], row["why"]]),
      controllers.map((controller, at) => [
        idOf(controller),
        at + 1 !== unseen,
        at + 1 !== unseen,
        at + 1 === unseen ? "it does not answer" : "",
      ]),
    );
  },
);

Then(
  "configuration version {int} with different content gets {int} and {string}",
  async (version: number, status: number, sentence: string) => {
    const { listeners } = asRecord(configurationOf(version, "1500ms")["putItems"]);
    const { result } = await advanceUntilDone(
      callController(controllerAt(2), "POST", "/plan/change", { putItems: { listeners } }),
    );
    assert.deepEqual([result.status, result.body["problem"]], [status, sentence]);
  },
);
Then(
  "configuration version {int} with its original content gets {int}",
  async (version: number, status: number) => {
    assert.equal(
      (
        await advanceUntilDone(
          callController(controllerAt(3), "POST", "/plan/change", configurationOf(version)),
        )
      ).result.status,
      status,
    );
  },
);
