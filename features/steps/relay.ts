import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { FAN_OUT } from "../../src/membership/relay-tree.js";
import type { UpdateStore } from "../../src/membership/update-store.js";
import { ManualClock } from "../support/manual-clock.js";
import { RelayCluster } from "../support/relay-cluster.js";

let cluster: RelayCluster | undefined;
/** Number of clusters started so far; each scenario's cluster uses its own ports. */
let clusterCount = 0;

const current = (): RelayCluster => {
  assert.ok(cluster, "no cluster was started");
  return cluster;
};

const addNode = async (number: number): Promise<void> => {
  await current().addNode(number);
  await current().pass(200);
};

Given(
  "a controller with a fan-out of {int}, and {int} gateways below it",
  async (fanOut: number, count: number) => {
    assert.equal(fanOut, FAN_OUT);
    clusterCount += 1;
    cluster = new RelayCluster({ clock: new ManualClock(), port: 12_000 + clusterCount * 20 });
    await cluster.start();
    for (let number = 1; number <= count; number += 1) await addNode(number);
  },
);

Given("{int} gateways below the controller in total", async (count: number) => {
  for (let number = current().nodes.length + 1; number <= count; number += 1) await addNode(number);
  await current().pass(500);
});
Then(
  "no relay feeds more than {int} nodes, and none is more than {int} levels deep",
  (maxChildren: number, maxDepth: number) => {
    const { nodes, depthOf, publisher } = current();
    nodes.forEach((node) =>
      assert.ok(
        node.publisher.size <= maxChildren && depthOf(node) <= maxDepth,
        `${node.publisher.size} children at depth ${depthOf(node)}`,
      ),
    );
    assert.equal(publisher.size, FAN_OUT);
  },
);
When("a relay with relays below it crashes", () => {
  const { nodes, depthOf, parentOf, kill } = current();
  const crashing = nodes.find(
    (node) =>
      depthOf(node) === 0 &&
      nodes.some((other) => other.publisher.size > 0 && parentOf(other) === node),
  );
  assert.ok(crashing, "no relay has relays below it");
  kill(crashing);
});
Then(
  "the controller feeds at most {int} nodes, and no node is below itself",
  async (maxChildren: number) => {
    await current().pass(500);
    assert.ok(current().publisher.size <= maxChildren, `${current().publisher.size}`);
    current().nodes.forEach(current().depthOf);
  },
);

When("an update is published at the controller", () => {
  current().updates.post([
    { key: "plan/route/r1", version: 9, tie: "", body: { item: "nine", dropped: false } },
  ]);
});
const ROUTES = "plan/route/many-";
const routesAt = (updates: UpdateStore): number =>
  updates.all().filter(({ key }) => key.startsWith(ROUTES)).length;
/** Number of routes that each node held when it received the freshness message. */
let heldWhenFresh: number[] = [];

When("a configuration of {int} routes is published at the controller", (count: number) => {
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
When("the controller announces that all purges so far are known", () =>
  current().publisher.sendFreshness(0),
);
Then("every gateway holds {int} routes within {int} ms", async (count: number, waitMs: number) => {
  await current().pass(waitMs);
  current().nodes.forEach(({ updates }, at) =>
    assert.equal(routesAt(updates), count, `node ${at + 1}`),
  );
});
Then("every gateway received the announcement after it held the routes", () => {
  assert.equal(heldWhenFresh.length, current().nodes.length);
  heldWhenFresh.forEach((held) => assert.equal(held, 1_500));
});

When("the update is published again with a lower version", async () => {
  await current().pass(100);
  current().nodes.forEach(({ updates }) =>
    updates.post([
      { key: "plan/route/r1", version: 8, tie: "", body: { item: "eight", dropped: false } },
    ]),
  );
});
When("a relay with children crashes", () => {
  const crashing = current().nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(crashing, "no relay has children");
  current().kill(crashing);
});
When("a relay with children no longer feeds them", () => {
  const broken = current().nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(broken, "no relay has children");
  broken.relay.close();
});
When("the controller is down for {int} ms", async (waitMs: number) => {
  current().closeController();
  await current().pass(waitMs);
});

Then(
  "some gateways are fed by a relay and no node feeds more than {int}",
  async (maxChildren: number) => {
    await current().pass(500);
    const { nodes, publisher } = current();
    assert.equal(publisher.size, maxChildren);
    assert.equal(
      nodes.reduce((sum, node) => sum + node.publisher.size, 0),
      nodes.length - maxChildren,
    );
    nodes.forEach((node) => assert.ok(node.publisher.size <= maxChildren));
  },
);
Then("every gateway holds the update within {int} ms", async (waitMs: number) => {
  await current().pass(waitMs);
  current().nodes.forEach(({ updates }, at) =>
    assert.equal(updates.get("plan/route/r1")?.body["item"], "nine", `node ${at + 1}`),
  );
});

After({ tags: "not @none" }, () => {
  cluster?.close();
  cluster = undefined;
});
