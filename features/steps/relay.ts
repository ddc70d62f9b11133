import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { FAN_OUT } from "../../src/membership/relay-tree.js";
import type { UpdateStore } from "../../src/membership/update-store.js";
import { ManualClock } from "../support/manual-clock.js";
import { RelayCluster } from "../support/relay-cluster.js";

let cluster: RelayCluster | undefined;
/** Every scenario's cluster has ports of its own. */
let clusters = 0;

const current = (): RelayCluster => {
  assert.ok(cluster, "no cluster was started");
  return cluster;
};

const join = async (number: number): Promise<void> => {
  await current().addNode(number);
  await current().pass(200);
};

Given(
  "a signalbox that feeds {int} and {int} pointsmen below it",
  async (room: number, count: number) => {
    assert.equal(room, FAN_OUT);
    clusters += 1;
    cluster = new RelayCluster({ clock: new ManualClock(), port: 12_000 + clusters * 20 });
    await cluster.start();
    for (let number = 1; number <= count; number += 1) await join(number);
  },
);

Given("{int} pointsmen below the signalbox in all", async (count: number) => {
  for (let number = current().nodes.length + 1; number <= count; number += 1) await join(number);
  await current().pass(500);
});
Then(
  "no relay feeds more than {int}, and none is more than {int} deep",
  (most: number, deepest: number) => {
    const { nodes, depthOf, publisher } = current();
    nodes.forEach((node) =>
      assert.ok(
        node.publisher.size <= most && depthOf(node) <= deepest,
        `${node.publisher.size} children, ${depthOf(node)} deep`,
      ),
    );
    assert.equal(publisher.size, FAN_OUT);
  },
);
When("a relay with relays below it dies without a word", () => {
  const { nodes, depthOf, parentOf, kill } = current();
  const dying = nodes.find(
    (node) =>
      depthOf(node) === 0 &&
      nodes.some((other) => other.publisher.size > 0 && parentOf(other) === node),
  );
  assert.ok(dying, "no relay has relays below it");
  kill(dying);
});
Then("the signalbox feeds {int} at most, and nobody hangs below itself", async (most: number) => {
  await current().pass(500);
  assert.ok(current().publisher.size <= most, `${current().publisher.size}`);
  current().nodes.forEach(current().depthOf);
});

When("a fact is posted at the signalbox", () => {
  current().updates.post([
    { key: "plan/route/r1", version: 9, tie: "", body: { item: "nine", dropped: false } },
  ]);
});
const ROUTES = "plan/route/many-";
const routesAt = (updates: UpdateStore): number =>
  updates.all().filter(({ key }) => key.startsWith(ROUTES)).length;
/** How many of the routes each node held when it was told that the news is fresh. */
let heldWhenFresh: number[] = [];

When("a plan of {int} routes is posted at the signalbox", (count: number) => {
  heldWhenFresh = [];
  current().nodes.forEach(({ subscriber, updates }) =>
    subscriber.events.on("freshness", () => {
      heldWhenFresh = [...heldWhenFresh, routesAt(updates)];
    }),
  );
  current().updates.post(
    Array.from({ length: count }, (_, at) => ({
      key: `${ROUTES}${at}`,
      version: 1,
      tie: "",
      body: { item: `{"name":"r-${at}","pathStart":"/a${at}/"}`, dropped: false },
    })),
  );
});
When("the signalbox tells that all purges so far are known", () =>
  current().publisher.sendFreshness(0),
);
Then(
  "every pointsman holds {int} routes within {int} ms",
  async (count: number, waitMs: number) => {
    await current().pass(waitMs);
    current().nodes.forEach(({ updates }, at) =>
      assert.equal(routesAt(updates), count, `node ${at + 1}`),
    );
  },
);
Then("every pointsman was told so after it held them", () => {
  assert.equal(heldWhenFresh.length, current().nodes.length);
  heldWhenFresh.forEach((held) => assert.equal(held, 1_500));
});

When("the fact is posted again with a lower version", async () => {
  await current().pass(100);
  current().nodes.forEach(({ updates }) =>
    updates.post([
      { key: "plan/route/r1", version: 8, tie: "", body: { item: "eight", dropped: false } },
    ]),
  );
});
When("a relay with children dies without a word", () => {
  const dying = current().nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(dying, "no relay has children");
  current().kill(dying);
});
When("a relay with children no longer feeds them", () => {
  const broken = current().nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(broken, "no relay has children");
  broken.relay.close();
});
When("the signalbox is gone for {int} ms", async (waitMs: number) => {
  current().closeController();
  await current().pass(waitMs);
});

Then("some pointsmen are fed by a relay and none feeds more than {int}", async (most: number) => {
  await current().pass(500);
  const { nodes, publisher } = current();
  assert.equal(publisher.size, most);
  assert.equal(
    nodes.reduce((sum, node) => sum + node.publisher.size, 0),
    nodes.length - most,
  );
  nodes.forEach((node) => assert.ok(node.publisher.size <= most));
});
Then("every pointsman holds it within {int} ms", async (waitMs: number) => {
  await current().pass(waitMs);
  current().nodes.forEach(({ updates }, at) =>
    assert.equal(updates.get("plan/route/r1")?.body["item"], "nine", `node ${at + 1}`),
  );
});

After({ tags: "not @none" }, () => {
  cluster?.close();
  cluster = undefined;
});
