import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { After, Then } from "@cucumber/cucumber";
import { asRecord, isRecord, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { silentLogger } from "../../src/common/logger.js";
import type { NodeRole } from "../../src/membership/cluster.js";
import {
  packClusterSize,
  packNode,
  packNodeAnswer,
  readHeartbeat,
} from "../../src/membership/messages.js";
import { NodeSessions } from "../../src/membership/node-sessions.js";
import { Peers } from "../../src/membership/peers.js";
import { UpdatePublisher } from "../../src/membership/update-publisher.js";
import { UpdateStore } from "../../src/membership/update-store.js";
import { UpdateSubscriber } from "../../src/membership/update-subscriber.js";
import { WorkerRegistry } from "../../src/membership/worker-registry.js";
import { connectTo } from "../../src/transport/connect.js";
import type { Connection, Message } from "../../src/transport/connection.js";
import { Listener } from "../../src/transport/listener.js";
import { toPlainJson, withFormerNames } from "../support/golden.js";
import { ManualClock } from "../support/manual-clock.js";

const DATA = "features/data/before-2026-12-membership/conversations.json";
const PORT = 17_520;
const NODE_PORT = PORT + 1;
const TIMES = { heartbeatUs: 300_000, timeoutUs: 1_000_000 };

let clock = new ManualClock();
let listeners: Listener[] = [];
let connections: Connection[] = [];

After(() => {
  connections.forEach((connection) => connection.close());
  listeners.forEach((listener) => listener.close());
  [connections, listeners] = [[], []];
});

const recorded = async (name: string): Promise<UnknownRecord> =>
  asRecord(asRecord(parseJson(await readFile(DATA, "utf8")))[name], name);

/** Replaces the ages of updates by their type, because they depend on the timing of socket events. */
const withoutAges = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(withoutAges);
  if (!isRecord(value)) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, inner]) => [
      name,
      name === "ageUs" && "key" in value ? typeof inner : withoutAges(inner),
    ]),
  );
};

const pass = async (waitMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < waitMs; passedMs += 20) await clock.pass(20_000);
};

/**
 * Connects as a node of the recorded conversation: sends its hello, answers requests and collects
 * the messages that it receives.
 */
const joinAsNode = async (
  messagesByNode: Record<string, Message[]>,
  name: string,
  node: UnknownRecord,
): Promise<Connection> => {
  const received: Message[] = [];
  messagesByNode[name] = received;
  const connection = await connectTo("127.11.0.1", PORT, clock, 1_000_000, TIMES);
  assert.ok(connection, `${name} could not connect to the controller`);
  connections.push(connection);
  connection.send({ kind: "pointsman", node: { name, ...node } });
  const receive = async (): Promise<void> => {
    for await (const message of connection.incoming()) {
      received.push(message);
      if (message.kind === "retries" && typeof message["ask"] === "number")
        connection.send({ kind: "retries", rows: [[name, "safe", 3]], re: message["ask"] });
    }
  };
  void receive();
  await pass(60);
  return connection;
};

Then("the messages between a controller and six nodes are the recorded ones", async () => {
  clock = new ManualClock();
  const updates = new UpdateStore(clock);
  const registry = new WorkerRegistry(clock, updates, 1_000_000);
  registry.record(
    readHeartbeat("w1", {
      service: "s1",
      address: "127.5.0.1:80",
      cell: "c1",
      version: "v1",
      capacity: 3,
      state: "ready",
      warmLeft: "2s",
      callCount: 1,
    }),
  );
  const publisher = new UpdatePublisher(clock, updates, () => true);
  let mayServe = true;
  const requests: unknown[] = [];
  const reports: Message[] = [];
  const sessions = new NodeSessions({
    clock,
    publisher,
    log: silentLogger,
    mayServe: async () => mayServe,
    drainedZone: () => "",
    zone: "c1",
    controllers: () => [
      { id: "127.11.0.1:1", zone: "c1" },
      { id: "127.11.0.2:1", zone: "c2" },
    ],
    answer: async (message, node) => {
      requests.push([node, message]);
      return { kind: "unknown" };
    },
  });
  sessions.events.on("report", (message) => {
    reports.push(message);
  });
  const listener = new Listener(clock, TIMES, { pointsman: sessions.serve }, silentLogger);
  listeners.push(listener);
  await listener.listen("127.11.0.1", PORT);

  const messagesByNode: Record<string, Message[]> = {};
  const nodeAt = (at: number, zone: string, rest: UnknownRecord): UnknownRecord => ({
    cell: zone,
    relay: `127.11.1.${at}:1`,
    ...rest,
  });
  const first = await joinAsNode(
    messagesByNode,
    "n1",
    nodeAt(1, "c1", { role: "pointsman", linkMbps: 10 }),
  );
  const second = await joinAsNode(
    messagesByNode,
    "n2",
    nodeAt(2, "c1", { role: "pointsman", linkMbps: 10 }),
  );
  await joinAsNode(messagesByNode, "n3", nodeAt(3, "c2", { role: "depot" }));
  await joinAsNode(messagesByNode, "n4", nodeAt(4, "c1", { role: "pointsman", linkMbps: 100 }));
  const fifth = await joinAsNode(messagesByNode, "n5", nodeAt(5, "c3", { role: "pointsman" }));
  fifth.send({ kind: "lost-news", parent: "127.11.1.1:1" });
  await pass(60);
  sessions.announceControllers();
  publisher.setClusterSize(sessions.clusterSize());
  registry.leave("w1");
  await pass(60);
  publisher.sendFreshness(5);
  first.send({ kind: "retry-ask", life: "l", wants: [], ask: 7 });
  second.send({ kind: "faults", counts: [] });
  await pass(60);
  const pendingAnswers = sessions.queryAll({ kind: "retries" }, 100_000);
  await pass(160);
  const answers = await pendingAnswers;
  const packed = sessions.packNodes();
  mayServe = false;
  await joinAsNode(messagesByNode, "n6", nodeAt(6, "c1", { role: "pointsman" }));

  const expected = await recorded("controller");
  assert.deepEqual(withoutAges(toPlainJson(messagesByNode)), expected["got"]);
  assert.deepEqual(toPlainJson(requests), expected["asked"]);
  assert.deepEqual(toPlainJson(reports), expected["reports"]);
  assert.deepEqual(toPlainJson(answers.map(packNodeAnswer)), expected["answers"]);
  assert.deepEqual(toPlainJson(packed), expected["pack"]);
  assert.deepEqual(toPlainJson(sessions.nodes().map(packNode)), expected["nodes"]);
  assert.deepEqual(withFormerNames(sessions.clusterSize()), expected["crew"]);
  const { kind, ...size } = packClusterSize(sessions.clusterSize());
  assert.equal(kind, "crew");
  assert.deepEqual(size, expected["crew"]);
});

const controller = (at: number, zone: string): UnknownRecord => ({
  id: `127.12.0.${at}:1`,
  cell: zone,
});

Then("the messages of a node to controllers and its relay are the recorded ones", async () => {
  clock = new ManualClock();
  const updates = new UpdateStore(clock);
  const sent: unknown[] = [];
  const serve = async (
    ip: string,
    kind: string,
    onConnect: (connection: Connection) => void,
  ): Promise<void> => {
    const handle = async (
      connection: Connection,
      hello: Message,
      incoming: AsyncIterable<Message>,
    ): Promise<void> => {
      sent.push([ip, hello]);
      onConnect(connection);
      for await (const message of incoming) sent.push([ip, message]);
    };
    const listener = new Listener(clock, TIMES, { [kind]: handle }, silentLogger);
    listeners.push(listener);
    await listener.listen(ip, NODE_PORT);
  };
  const all = [controller(3, "c3"), controller(1, "c1"), controller(2, "c2")];
  await serve("127.12.0.9", "pointsman", (connection) => {
    connection.send({ kind: "adrift", boxes: all });
    void connection.finish();
  });
  await serve("127.12.0.3", "pointsman", (connection) => {
    connection.send({ kind: "welcome", boxes: all });
    connection.send({ kind: "boxes", boxes: [controller(1, "c1"), controller(3, "c3")] });
    void connection.finish();
  });
  await serve("127.12.0.2", "pointsman", () => undefined);
  await serve("127.12.0.1", "pointsman", (connection) => {
    connection.send({ kind: "welcome", boxes: [controller(3, "c3"), controller(1, "c1")] });
    connection.send({ kind: "parent", parent: `127.12.0.8:${NODE_PORT}` });
    connection.send({ kind: "retries", ask: 4 });
    connection.send({ kind: "other", ask: 5 });
  });
  await serve("127.12.0.8", "child", (connection) => {
    const worker = {
      service: "s1",
      address: "127.5.0.1:80",
      cell: "c1",
      capacity: 3,
      state: "ready",
      warmUs: 0,
      release: "v1",
    };
    const known = { key: "worker/w1", version: 4, tie: "", ageUs: 3, body: worker };
    connection.send({ kind: "news", whole: true, complete: true, facts: [known] });
    connection.send({
      kind: "crew",
      pointsmen: 3,
      cells: { c1: 2, c3: 1 },
      halls: [{ address: "127.12.1.4:1", cell: "c1" }],
      depots: [{ address: "127.12.1.3:1", cell: "c2" }],
    });
    connection.send({ kind: "fresh", ageUs: 5 });
    connection.send({
      kind: "news",
      whole: false,
      complete: false,
      facts: [{ key: "ejections", version: 1, tie: "", ageUs: 0, body: {} }],
      forget: ["worker/w0"],
    });
    void connection.finish();
  });
  const role: NodeRole = "cache";
  const subscriber = new UpdateSubscriber({
    name: "n5",
    zone: "c3",
    role,
    linkMbps: 7,
    relay: "127.12.1.5:1",
    seeds: ["127.12.0.9:1"],
    peerPort: NODE_PORT,
    clock,
    times: TIMES,
    updates,
    log: silentLogger,
    answer: ({ kind }) => (kind === "retries" ? { kind: "retries", rows: [] } : undefined),
  });
  const events: unknown[] = [];
  const recordEvent = (name: string) => (value: unknown) => {
    events.push([name, withFormerNames(value) ?? null]);
  };
  subscriber.events.on("clusterSize", recordEvent("crew"));
  subscriber.events.on("snapshot", recordEvent("whole"));
  subscriber.events.on("freshness", recordEvent("fresh"));
  subscriber.events.on("disconnected", recordEvent("unfed"));
  void subscriber.run();
  await pass(900);
  // Taken before the subscriber stops, because the effects of stopping are not recorded.
  const facts = updates.pack(updates.all());
  const observed = withoutAges(toPlainJson({ said: sent, events, facts }));
  subscriber.stop();
  assert.deepEqual(observed, await recorded("node"));
});

Then("a controller sends its peers the recorded hello and reads theirs as recorded", async () => {
  clock = new ManualClock();
  const peers = new Peers({
    self: "127.13.0.1:1",
    zone: "c1",
    peerPort: PORT,
    clock,
    times: TIMES,
  });
  peers.learnFrom({ kind: "welcome", from: "127.13.0.2:1", cell: "c2", known: [] });
  peers.learnFrom({ kind: "welcome", from: "127.13.0.3:1", known: [] });
  const zones = ["127.13.0.1:1", "127.13.0.2:1", "127.13.0.3:1"].map(peers.zoneOf);
  const expected = await recorded("peers");
  assert.deepEqual(toPlainJson(peers.hello()), expected["hello"]);
  assert.deepEqual(zones, expected["cells"]);
  assert.deepEqual(withFormerNames(peers.connectedControllers()), expected["boxes"]);
});
