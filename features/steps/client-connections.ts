import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { ProxyHarness } from "../../fuzz/proxy-harness.js";
import { RawClient } from "../../fuzz/raw-client.js";
import {
  responseBytes,
  ScriptedWorker,
  type Script,
  type WorkerRequest,
} from "../../fuzz/scripted-worker.js";
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
let isRunning = false;
/** The error of the client's socket, if any. */
let socketError = "";

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

/** Sends requests until so many are open. */
const keepOpen = (depth: number): void => {
  while (!client.isClosed && sentCount < client.responses.length + depth) sendNext();
};

/** Waits for real sockets without advancing the gateway's clock. */
const waitFor = async (condition: () => boolean): Promise<void> => {
  for (let turn = 0; turn < 5_000 && !condition(); turn += 1) await settle(1);
};

After({ tags: "not @none" }, async () => {
  if (!isRunning) return;
  isRunning = false;
  sentCount = 0;
  client.socket.destroy();
  harness.stop();
  worker.stop();
  await settle();
});

const startGateway = async (script: Script): Promise<void> => {
  pending = [];
  bodyBytes = 2;
  socketError = "";
  harness = new ProxyHarness();
  isRunning = true;
  await harness.start();
  worker = new ScriptedWorker("w1", script);
  await harness.join(worker);
};
const connectClient = (): void => {
  client = new RawClient(harness.host, harness.port);
  client.socket.on("error", (error) => {
    socketError = error.message;
  });
};

Given("a gateway whose worker responds one request at a time", () =>
  startGateway({
    onRequest: (request, socket) => pending.push({ request, socket, unsent: responseTo(request) }),
  }),
);
Given("a gateway whose worker responds with {int} bytes", async (size: number) => {
  await startGateway({ onRequest: (request, socket) => void socket.write(responseTo(request)) });
  bodyBytes = size;
});
Given(
  /^a client that keeps (\d+) safe requests? open on one connection( and never closes it)?$/,
  async (depth: string, staysOpen: string | null) => {
    connectClient();
    client.socket.allowHalfOpen = staysOpen !== null;
    for (let at = 0; at < Number(depth); at += 1) sendNext();
    await waitFor(() => pending.length === Number(depth));
    assert.equal(pending.length, Number(depth));
  },
);
Given(
  "a client that requests {int} such responses on one connection and doesn't read them",
  async (count: number) => {
    connectClient();
    client.socket.pause();
    for (let at = 0; at < count; at += 1) sendNext();
    await waitFor(() => worker.requests.length === count);
    assert.equal(worker.requests.length, count);
  },
);

When("the gateway starts draining", () => harness.proxy.startDraining());
When("the gateway drains and stops listening", async () => {
  harness.proxy.startDraining();
  harness.proxy.stopListening();
  await settle();
});
When("the grace period ends", async () => {
  harness.proxy.cutConnections();
  await waitFor(() => client.isClosed);
});
When("the gateway's zone drains", () => harness.proxy.setZoneDrained(true));
When("the client reads", async () => {
  client.socket.resume();
  await waitFor(() => client.isClosed);
});
When("the client sends bytes that are no request", async () => {
  client.write("this is no request\r\n\r\n");
  await settle();
});
When("the worker responds to the open request", async () => {
  const [open] = pending.splice(0);
  open?.socket.write(open.unsent);
  await waitFor(() => client.responses.length === 1 && client.socket.readableEnded);
});
When("the client goes on sending for {int} ms", async (durationMs: number) => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    sendNext();
    await harness.clock.pass(100_000);
  }
});
When("the client still sends {int} ms later", async (durationMs: number) => {
  await harness.clock.pass(durationMs * 1_000);
  await waitFor(() => harness.proxy.openConnections === 0);
});
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
    keepOpen(depth);
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
Then("the client got {int} complete responses and a regular end", (count: number) => {
  assert.deepEqual(
    client.responses.map(({ status, attemptId, body }) => [status, attemptId, body.length]),
    Array.from({ length: count }, (_, at) => [200, `t-${at + 1}`, bodyBytes]),
  );
  assert.deepEqual([client.isClosed, client.unread, socketError], [true, "", ""]);
});
Then("the client got its response and no reset", () => {
  assert.deepEqual([client.responses.length, client.isClosed, socketError], [1, false, ""]);
});
Then("the connection is closed and counted as cut for {string}", (reason: string) => {
  assert.equal(harness.proxy.openConnections, 0);
  assert.deepEqual(
    [...harness.proxy.cutCounts].filter(([, count]) => count > 0),
    [[reason, 1]],
  );
});
Then(/^the worker received only (\d+) requests?$/, (count: string) =>
  assert.equal(worker.requests.length, Number(count)),
);
