import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { asList, asRecord, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { SmallSystem, type Reply } from "../support/small-system.js";
import type { StubWorker } from "../support/stub-worker.js";

const KEY_HEADER = "Yewreel-Credential";
const CUSTOMER_HEADER = "Yewreel-Customer";

let system: SmallSystem | undefined;
let worker: StubWorker | undefined;
let reply: Reply = { status: 0, body: "" };

const running = (): SmallSystem => {
  assert.ok(system, "no system was started");
  return system;
};
const theWorker = (): StubWorker => {
  assert.ok(worker, "no worker was started");
  return worker;
};

const customerOf = (name: string, apiKeys: readonly string[], version = 1): UnknownRecord => ({
  name,
  apiKeys,
  rank: 0,
  version,
});

const routesOf = (rules: readonly UnknownRecord[]): readonly UnknownRecord[] => [
  {
    host: "a.example",
    rules: rules.map((rule) => ({
      routeKind: "unsafe",
      target_time: "800ms",
      rank: 1,
      version: 1,
      ...rule,
      then: { service: "s", giveUp: "2000ms", tries: 1 },
    })),
  },
];

const firstChange = (customers: readonly UnknownRecord[]): UnknownRecord => ({
  putItems: {
    customers,
    listeners: routesOf([
      { name: "r-private", matchOn: { pathStart: "/private/" } },
      { name: "r-public", public: true, matchOn: { pathStart: "/public/" } },
    ]),
    groups: [{ name: "s", statusPath: "/health", maxConnections: 60, version: 1 }],
  },
  remove: { routes: [] },
});

After(async () => {
  await system?.stop();
  system = undefined;
  worker = undefined;
});

Given(
  "a system with the customers {string} with key {string} and {string} with key {string}",
  async (first: string, firstKey: string, second: string, secondKey: string) => {
    system = new SmallSystem();
    await system.start();
    const change = firstChange([customerOf(first, [firstKey]), customerOf(second, [secondKey])]);
    assert.equal((await system.change(change)).status, 200);
    worker = await system.addWorker("w-1", "s");
  },
);

When(
  "a request with the key {string} claims to be of customer {string}",
  async (key: string, customer: string) => {
    const headers = { [KEY_HEADER]: key, [CUSTOMER_HEADER]: customer };
    reply = await running().request("POST", "/private/x", headers);
  },
);
When("a request without a key is sent", async () => {
  reply = await running().request("POST", "/private/x");
});
When("a request with the key {string} is sent", async (key: string) => {
  reply = await running().request("POST", "/private/x", { [KEY_HEADER]: key });
});
When("a change with the unknown collection {string} is sent", async (name: string) => {
  reply = await running().change({ putItems: { [name]: [customerOf("gamma", ["key-g"])] } });
});

Then("the worker ran it for customer {string}", (customer: string) => {
  assert.equal(reply.status, 200);
  const heads = theWorker().requests.map(({ head }) => head);
  assert.equal(heads.length, 1);
  assert.match(heads[0] ?? "", new RegExp(`^${CUSTOMER_HEADER}: ${customer}\r?$`, "im"));
  assert.equal((heads[0] ?? "").match(new RegExp(`^${CUSTOMER_HEADER}:`, "gim"))?.length, 1);
});
Then("the worker has never seen an API key", () => {
  theWorker().requests.forEach(({ head }) => assert.doesNotMatch(head, /yewreel-credential|key-/i));
});
Then("it is answered with {int}", (status: number) => assert.equal(reply.status, status));
Then("no worker ran a request", () => assert.deepEqual(theWorker().requests, []));
Then(
  "the configuration that is read back has the customers {string} and {string} with their keys",
  async (first: string, second: string) => {
    const read = await running().callController("GET", "/plan/read");
    assert.equal(read.status, 200);
    const customers = asList(asRecord(parseJson(read.body))["customers"]);
    assert.deepEqual(customers, [customerOf(first, ["key-a"]), customerOf(second, ["key-b"])]);
  },
);
Then("the change is refused with {int} and names {string}", (status: number, name: string) => {
  assert.equal(reply.status, status);
  assert.match(reply.body, new RegExp(name));
});
