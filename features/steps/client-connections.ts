import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { ProxyHarness } from "../../fuzz/proxy-harness.js";
import { RawClient } from "../../fuzz/raw-client.js";
import { responseBytes, ScriptedWorker, type WorkerRequest } from "../../fuzz/scripted-worker.js";
import { settle } from "../support/manual-clock.js";

/** More than a gateway buffers of a response before it sends the head. */
const LARGE_BODY_BYTES = 600_000;
/** Responses after which a client that is never told to stop gives up. */
const MAX_RESPONSES = 30;

interface PendingRequest {
  readonly request: WorkerRequest;
  readonly socket: Socket;
  /** Bytes of its response that are not sent yet. */
  unsent: string;
}

let harness: ProxyHarness;
let worker: ScriptedWorker;
let client: RawClient;
let pending: PendingRequest[] = [];
let sentCount = 0;
let bodyBytes = 2;

const isClosing = (head: string): boolean => /^connection: *close$/im.test(head);

const responseTo = ({ attemptId }: WorkerRequest): string =>
  responseBytes(
    200,
    { "Yewreel-Try-Id": attemptId, "Yewreel-Server-Seal": `s.${attemptId}` },
    "y".repeat(bodyBytes),
  );

const sendNext = (): void => {
  sentCount += 1;
  client.send("GET", "/safe/x", {
    "Yewreel-Try-Id": `t-${sentCount}`,
    "Yewreel-Time-Left-Ms": "2500",
  });
};

/** Waits for real sockets without advancing the gateway's clock. */
const waitFor = async (condition: () => boolean): Promise<void> => {
  for (let turn = 0; turn < 5_000 && !condition(); turn += 1) await settle(1);
};

After({ tags: "not @none" }, async () => {
  if (sentCount === 0) return;
  sentCount = 0;
  client.socket.destroy();
  harness.stop();
  worker.stop();
  await settle();
});

Given("a gateway whose worker responds one request at a time", async () => {
  pending = [];
  bodyBytes = 2;
  harness = new ProxyHarness();
  await harness.start();
  worker = new ScriptedWorker("w1", {
    onRequest: (request, socket) => pending.push({ request, socket, unsent: responseTo(request) }),
  });
  await harness.join(worker);
});
Given(
  /^a client that keeps (\d+) safe requests? open on one connection$/,
  async (depth: string) => {
    client = new RawClient(harness.host, harness.port);
    for (let at = 0; at < Number(depth); at += 1) sendNext();
    await waitFor(() => pending.length === Number(depth));
    assert.equal(pending.length, Number(depth));
  },
);

When("the gateway starts draining", () => harness.proxy.startDraining());
When("the gateway's zone drains", () => harness.proxy.setZoneDrained(true));
When("the worker sends half of a large response", async () => {
  bodyBytes = LARGE_BODY_BYTES;
  const [first] = pending;
  assert.ok(first);
  const bytes = responseTo(first.request);
  first.socket.write(bytes.slice(0, bytes.length / 2));
  first.unsent = bytes.slice(bytes.length / 2);
  await waitFor(() => client.unread.length > 0);
  assert.ok(client.unread.length > 0);
  bodyBytes = 2;
});
When("the worker responds to whatever it receives", async () => {
  const depth = sentCount;
  while (client.responses.length < MAX_RESPONSES && !client.isClosed) {
    const answeredBefore = client.responses.length;
    const next = pending.shift();
    next?.socket.write(next.unsent);
    await waitFor(() => client.responses.length > answeredBefore || client.isClosed);
    while (!client.isClosed && sentCount < client.responses.length + depth) sendNext();
    await waitFor(() => pending.length > 0 || client.isClosed);
  }
});

Then(
  "the client got {int} responses in order, of which only the last closes the connection",
  (count: number) => {
    assert.deepEqual(
      client.responses.map(({ attemptId, head }) => [attemptId, isClosing(head)]),
      Array.from({ length: count }, (_, at) => [`t-${at + 1}`, at + 1 === count]),
    );
    assert.ok(client.isClosed);
  },
);
Then("the worker received only {int} requests", (count: number) =>
  assert.equal(worker.requests.length, count),
);
