import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { UpdateStore } from "../../src/membership/update-store.js";
import { UpdatePublisher } from "../../src/membership/update-publisher.js";
import { NodeSessions } from "../../src/membership/node-sessions.js";
import { FAN_OUT } from "../../src/membership/relay-tree.js";
import { Listener } from "../../src/transport/listener.js";
import { UpdateSubscriber } from "../../src/membership/update-subscriber.js";
import { silentLogger } from "../../src/common/logger.js";
import type { Message, Connection } from "../../src/transport/connection.js";
import { ManualClock } from "../support/manual-clock.js";

interface Node {
  readonly address: string;
  readonly subscriber: UpdateSubscriber;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly relay: Listener;
}

const TIMES = { heartbeatUs: 300_000, timeoutUs: 1_000_000 };

let clock = new ManualClock();
let top = new UpdateStore(clock);
let topFeeder: UpdatePublisher;
let box: Listener | undefined;
let nodes: Node[] = [];
/** Every scenario's tree has ports of its own. */
let trees = 0;

const pass = async (waitMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < waitMs; passedMs += 20) await clock.pass(20_000);
};

let port = 0;
const join = async (number: number): Promise<void> => {
  const boxId = `127.3.0.1:${port}`;
  const updates = new UpdateStore(clock);
  const publisher = new UpdatePublisher(clock, updates, () => false);
  const ip = `127.3.1.${number}`;
  const subscriber = new UpdateSubscriber({
    name: `n${number}`,
    zone: "c1",
    role: "gateway",
    relay: `${ip}:${port + 1}`,
    seeds: [boxId],
    peerPort: port,
    clock,
    times: TIMES,
    updates,
    log: silentLogger,
  });
  const serveChild = async (
    connection: Connection,
    _hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    if (!subscriber.isUpToDate) return;
    publisher.addChild(connection);
    for await (const message of incoming) assert.ok(message.kind);
    publisher.removeChild(connection);
  };
  const relay = new Listener(clock, TIMES, { child: serveChild }, silentLogger);
  await relay.listen(ip, port + 1);
  void subscriber.run();
  subscriber.events.on("freshness", publisher.sendFreshness);
  nodes.push({ address: `${ip}:${port + 1}`, subscriber, updates, publisher, relay });
  await pass(200);
};

Given(
  "a signalbox that feeds {int} and {int} pointsmen below it",
  async (room: number, count: number) => {
    assert.equal(room, FAN_OUT);
    clock = new ManualClock();
    nodes = [];
    trees += 1;
    port = 12_000 + trees * 20;
    top = new UpdateStore(clock);
    topFeeder = new UpdatePublisher(clock, top, () => true);
    const boxId = `127.3.0.1:${port}`;
    const sessions = new NodeSessions({
      clock,
      publisher: topFeeder,
      log: silentLogger,
      mayServe: async () => true,
      controllers: () => [{ id: boxId, zone: "c1" }],
      answer: async (message) => message,
      drainedZone: () => "",
      zone: "c1",
    });
    box = new Listener(clock, TIMES, { pointsman: sessions.serve }, silentLogger);
    await box.listen("127.3.0.1", port);
    for (let number = 1; number <= count; number += 1) await join(number);
  },
);

Given("{int} pointsmen below the signalbox in all", async (count: number) => {
  for (let number = nodes.length + 1; number <= count; number += 1) await join(number);
  await pass(500);
});
/** The relay that feeds a node, or none where the signalbox does. */
const above = (node: Node): Node | undefined =>
  nodes.find(({ address }) => address === node.subscriber.parentRelay);
const depthOf = (node: Node): number => {
  let depth = 0;
  for (let at = above(node); at; at = above(at)) {
    depth += 1;
    assert.ok(depth < nodes.length, "a relay hangs below itself");
  }
  return depth;
};
Then(
  "no relay feeds more than {int}, and none is more than {int} deep",
  (most: number, deepest: number) => {
    nodes.forEach((node) =>
      assert.ok(
        node.publisher.size <= most && depthOf(node) <= deepest,
        `${node.publisher.size} children, ${depthOf(node)} deep`,
      ),
    );
    assert.equal(topFeeder.size, FAN_OUT);
  },
);
When("a relay with relays below it dies without a word", () => {
  const dying = nodes.find(
    (node) =>
      depthOf(node) === 0 &&
      nodes.some((other) => other.publisher.size > 0 && above(other) === node),
  );
  assert.ok(dying, "no relay has relays below it");
  nodes = nodes.filter((node) => node !== dying);
  dying.subscriber.stop();
  dying.relay.close();
});
Then("the signalbox feeds {int} at most, and nobody hangs below itself", async (most: number) => {
  await pass(500);
  assert.ok(topFeeder.size <= most, `${topFeeder.size}`);
  nodes.forEach(depthOf);
});

When("a fact is posted at the signalbox", () => {
  top.post([{ key: "plan/route/r1", version: 9, tie: "", body: { item: "nine", dropped: false } }]);
});
const ROUTES = "plan/route/many-";
const routesAt = (updates: UpdateStore): number =>
  updates.all().filter(({ key }) => key.startsWith(ROUTES)).length;
/** How many of the routes each node held when it was told that the news is fresh. */
let heldWhenFresh: number[] = [];

When("a plan of {int} routes is posted at the signalbox", (count: number) => {
  heldWhenFresh = [];
  nodes.forEach(({ subscriber, updates }) =>
    subscriber.events.on("freshness", () => {
      heldWhenFresh = [...heldWhenFresh, routesAt(updates)];
    }),
  );
  top.post(
    Array.from({ length: count }, (_, at) => ({
      key: `${ROUTES}${at}`,
      version: 1,
      tie: "",
      body: { item: `{"name":"r-${at}","pathStart":"/a${at}/"}`, dropped: false },
    })),
  );
});
When("the signalbox tells that all purges so far are known", () => topFeeder.sendFreshness(0));
Then(
  "every pointsman holds {int} routes within {int} ms",
  async (count: number, waitMs: number) => {
    await pass(waitMs);
    nodes.forEach(({ updates }, at) => assert.equal(routesAt(updates), count, `node ${at + 1}`));
  },
);
Then("every pointsman was told so after it held them", () => {
  assert.equal(heldWhenFresh.length, nodes.length);
  heldWhenFresh.forEach((held) => assert.equal(held, 1_500));
});

When("the fact is posted again with a lower version", async () => {
  await pass(100);
  nodes.forEach(({ updates }) =>
    updates.post([
      { key: "plan/route/r1", version: 8, tie: "", body: { item: "eight", dropped: false } },
    ]),
  );
});
When("a relay with children dies without a word", () => {
  const dying = nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(dying, "no relay has children");
  nodes = nodes.filter((node) => node !== dying);
  dying.subscriber.stop();
  dying.relay.close();
});
When("a relay with children no longer feeds them", () => {
  const broken = nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(broken, "no relay has children");
  broken.relay.close();
});
When("the signalbox is gone for {int} ms", async (waitMs: number) => {
  box?.close();
  await pass(waitMs);
});

Then("some pointsmen are fed by a relay and none feeds more than {int}", async (most: number) => {
  await pass(500);
  assert.equal(topFeeder.size, most);
  assert.equal(
    nodes.reduce((sum, { publisher }) => sum + publisher.size, 0),
    nodes.length - most,
  );
  nodes.forEach(({ publisher }) => assert.ok(publisher.size <= most));
});
Then("every pointsman holds it within {int} ms", async (waitMs: number) => {
  await pass(waitMs);
  nodes.forEach(({ updates }, at) =>
    assert.equal(updates.get("plan/route/r1")?.body["item"], "nine", `node ${at + 1}`),
  );
});

After({ tags: "not @none" }, () => {
  nodes.forEach(({ subscriber, relay }) => {
    subscriber.stop();
    relay.close();
  });
  nodes = [];
  box?.close();
  box = undefined;
});
