import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { toRouteRegister } from "../../src/config/validation.js";
import { CONFIG_PREFIX } from "../../src/membership/update-store.js";
import { toConfigUpdate } from "../../src/config/config-update.js";
import { ManualClock } from "../support/manual-clock.js";
import { RelayCluster, type RelayNode } from "../support/relay-cluster.js";

const PORT = 13_200;
const SEED = 28;
const NAME_LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789";

let cluster: RelayCluster | undefined;
const current = (): RelayCluster => {
  assert.ok(cluster, "no cluster was started");
  return cluster;
};

Given(
  "a controller with a link of {int} Mbit\\/s and {int} gateways with links of {int} Mbit\\/s",
  { timeout: 60_000 },
  async (controllerMbps: number, count: number, nodeMbps: number) => {
    const rates = { controllerMbps, nodeMbps };
    cluster = new RelayCluster({ clock: new ManualClock(), port: PORT, rates });
    await cluster.start();
    for (let number = 1; number <= count; number += 1) {
      await cluster.addNode(number);
      await cluster.pass(40);
    }
    await cluster.pass(1_000);
    cluster.nodes.forEach(({ name, subscriber }) => assert.ok(subscriber.isUpToDate, name));
    cluster.disconnects.length = 0;
  },
);

/** Random names, like those that operators' tools generate: they do not compress. */
const randomNames = (count: number): readonly string[] => {
  const random = xoroshiro128plus(SEED);
  const letter = () => NAME_LETTERS[uniformInt(random, 0, NAME_LETTERS.length - 1)] ?? "a";
  return Array.from({ length: count }, () => Array.from({ length: 8 }, letter).join(""));
};

When("a configuration change of {int} routes is committed", (count: number) => {
  const names = randomNames(2 * count);
  const registers = Array.from({ length: count }, (_, at) =>
    toRouteRegister("menu.example", {
      name: `r-${names[2 * at] ?? ""}`,
      routeKind: "safe",
      target_time: "600ms",
      rank: 2,
      version: 6,
      matchOn: { pathStart: `/${names[2 * at + 1] ?? ""}/` },
      then: { service: "menu", giveUp: "2000ms", tries: 2 },
    }),
  );
  current().updates.post(registers.map(toConfigUpdate));
});

const routesAt = ({ updates }: RelayNode): number =>
  updates.all().filter(({ key }) => key.startsWith(CONFIG_PREFIX)).length;

Then(
  "every gateway has the {int} routes within {int} ms",
  { timeout: 60_000 },
  async (count: number, boundMs: number) => {
    await current().pass(boundMs);
    const late = current().nodes.filter((node) => routesAt(node) < count);
    assert.deepEqual(
      late.map(({ name }) => name),
      [],
      `${late.length} of ${current().nodes.length} gateways are late`,
    );
  },
);

Then(
  "no node loses its session or its relay within {int} ms",
  { timeout: 60_000 },
  async (waitMs: number) => {
    await current().pass(waitMs);
    assert.deepEqual(current().disconnects, []);
  },
);

Then("a relay has several children", () => {
  assert.ok(current().nodes.some(({ publisher }) => publisher.size > 1));
});

let throttledRelay: RelayNode | undefined;
When("a relay sends its children only keep-alives", () => {
  throttledRelay = current().nodes.find(({ publisher }) => publisher.size > 0);
  assert.ok(throttledRelay, "no relay has children");
  current().holdRelay(throttledRelay);
});
When("the relay sends the messages that it held back", () => {
  assert.ok(throttledRelay);
  current().releaseRelay(throttledRelay);
});
When("the controller stops", () => current().closeController());
When("{int} ms pass", { timeout: 60_000 }, async (waitMs: number) => current().pass(waitMs));

const isBelow = (node: RelayNode, relay: RelayNode | undefined): boolean => {
  const parent = current().parentOf(node);
  return parent !== undefined && (parent === relay || isBelow(parent, relay));
};
Then("exactly the nodes below that relay are behind", () => {
  current().nodes.forEach((node) =>
    assert.equal(node.lag.isBehind(), isBelow(node, throttledRelay), node.name),
  );
});
Then("no gateway is behind", () => {
  current().nodes.forEach(({ name, lag }) => assert.equal(lag.isBehind(), false, name));
});

After(() => {
  cluster?.close();
  cluster = undefined;
});
