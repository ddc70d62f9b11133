import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { RawClient, type ClientResponse } from "../../fuzz/raw-client.js";
import { configurationOf, ProxyHarness, MAX_TRIES } from "../../fuzz/proxy-harness.js";
import {
  responseBytes,
  ScriptedWorker,
  type WorkerRequest,
  type Script,
} from "../../fuzz/scripted-worker.js";
import { PeerCaches } from "../../src/cache/peer-caches.js";
import { ObjectClient } from "../../src/cache/object-client.js";
import { OriginFetcher } from "../../src/cache/origin-fetch.js";
import { RateLimiter } from "../../src/quota/rate-limiter.js";
import { LoadBalancer } from "../../src/proxy/load-balancer.js";
import type { ObjectResult } from "../../src/proxy/object-source.js";
import { RetryBudgets } from "../../src/proxy/retry-budget.js";
import { silentLogger } from "../../src/common/logger.js";
import { defaultLimits } from "../../src/quota/retry-limits.js";
import { WORKER_PREFIX } from "../../src/membership/update-store.js";
import { settle } from "../support/manual-clock.js";

const TIME_LEFT = { "Yewreel-Time-Left-Ms": "2500" };
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

let harness: ProxyHarness;
let workers: ScriptedWorker[] = [];
let attemptCount = 0;
let response: ClientResponse | undefined;

const validResponse = (request: WorkerRequest, body = `ran ${request.attemptId}`): string =>
  responseBytes(
    200,
    {
      "Yewreel-Try-Id": request.attemptId,
      "Yewreel-Server-Seal": `s.${request.worker}.${request.attemptId}`,
    },
    body,
  );

const startHarness = async (plan = configurationOf()): Promise<void> => {
  harness = new ProxyHarness({ configuration: plan });
  workers = [];
  await harness.start();
};
const addWorker = async (worker: ScriptedWorker): Promise<ScriptedWorker> => {
  workers.push(worker);
  await harness.join(worker);
  return worker;
};
const firstWorker = (): ScriptedWorker => {
  const [worker] = workers;
  assert.ok(worker);
  return worker;
};
const requestsOf = (attemptId: string): readonly WorkerRequest[] =>
  workers.flatMap(({ requests }) => requests).filter((request) => request.attemptId === attemptId);

const sendRequest = async (
  method: string,
  path: string,
  body = "",
  headers: Readonly<Record<string, string>> = {},
): Promise<ClientResponse | undefined> => {
  attemptCount += 1;
  const client = new RawClient(harness.host, harness.port);
  client.send(
    method,
    path,
    { "Yewreel-Try-Id": `t-${attemptCount}`, ...TIME_LEFT, ...headers },
    body,
  );
  await harness.until(() => client.responses.length > 0 || client.isClosed);
  client.socket.destroy();
  return client.responses[0];
};

After({ tags: "not @none" }, async () => {
  if (workers.length === 0) return;
  harness.stop();
  workers.forEach((worker) => worker.stop());
  workers = [];
  await settle();
});

Given("a gateway and a worker with persistent connections", async () => {
  await startHarness();
  await addWorker(
    new ScriptedWorker("w1", {
      onRequest: (request, socket) => void socket.write(validResponse(request)),
    }),
  );
});
Given("a second worker that responds correctly", async () => {
  await addWorker(
    new ScriptedWorker("w2", {
      onRequest: (request, socket) => void socket.write(validResponse(request)),
    }),
  );
});

When(
  /^on a reused connection the worker runs a POST but first sends a stale (\d+)( with Not-Run)? (?:and|with) (another attempt's|no) id$/,
  async (status: string, notRun: string | null, idOwner: string) => {
    for (let at = 0; at < 40 && firstWorker().requests.length === 0; at += 1)
      await sendRequest("GET", "/safe/x");
    assert.equal(firstWorker().bytes.length, 1);
    const staleResponse = responseBytes(Number(status), {
      ...(idOwner === "no" ? {} : { "Yewreel-Try-Id": "somebody-else" }),
      ...(notRun === null ? {} : { "Yewreel-Not-Run": "1" }),
    });
    firstWorker().script = {
      onRequest: (request, socket) =>
        void socket.write(
          request.method === "POST"
            ? staleResponse + validResponse(request)
            : validResponse(request),
        ),
    };
    for (
      let at = 0;
      at < 40 && !firstWorker().requests.some(({ method }) => method === "POST");
      at += 1
    )
      response = await sendRequest("POST", "/unsafe/x", "an order");
    const [order] = firstWorker().requests.filter(({ method }) => method === "POST");
    assert.deepEqual([order?.attemptId, order?.connection], [`t-${attemptCount}`, 1]);
  },
);
Then("the client receives {int}", (status: number) => assert.equal(response?.status, status));
Then("the POST ran once, and the response doesn't guarantee that it did not run", () => {
  assert.equal(requestsOf(`t-${attemptCount}`).length, 1);
  assert.ok(response && !NOT_RUN_STATUSES.has(response.status));
});
Then("the worker is still in the worker directory", () =>
  assert.ok(harness.pool.all().some(({ id }) => id === "w1")),
);

const attemptIdHeader = (request: WorkerRequest): Readonly<Record<string, string>> => ({
  "Yewreel-Try-Id": request.attemptId,
});
const sealedHeaders = (request: WorkerRequest): Readonly<Record<string, string>> => ({
  ...attemptIdHeader(request),
  "Yewreel-Server-Seal": `s.${request.worker}.${request.attemptId}`,
});
const NOT_RUN_HEADER = { "Yewreel-Not-Run": "1" };

/** How a worker responds to a POST, by the text in the feature. */
const POST_RESPONSES: Readonly<Record<string, (request: WorkerRequest, socket: Socket) => void>> = {
  "a 500 with a seal": (request, socket) =>
    void socket.write(responseBytes(500, sealedHeaders(request), "it failed")),
  "a 404 with a seal": (request, socket) =>
    void socket.write(responseBytes(404, sealedHeaders(request), "not here")),
  "a 204": (request, socket) =>
    void socket.write(
      responseBytes(204, { ...sealedHeaders(request), "Content-Length": undefined }),
    ),
  "a complete response with Connection: close": (request, socket) =>
    void socket.end(
      validResponse(request).replace("Content-Length", "Connection: close\r\nContent-Length"),
    ),
  "a complete response with Connection: close, then bytes": (request, socket) =>
    void socket.write(
      validResponse(request).replace("Content-Length", "Connection: close\r\nContent-Length") +
        validResponse(request, "MORE"),
    ),
  "a complete response and an extra one right after it": (request, socket) =>
    void socket.write(
      validResponse(request) + validResponse({ ...request, attemptId: "extra" }, "EXTRA"),
    ),
  "a complete response and an extra one a moment later": (request, socket) => {
    socket.write(validResponse(request));
    void settle(4).then(() =>
      socket.write(validResponse({ ...request, attemptId: "extra" }, "EXTRA")),
    );
  },
  "a complete response and non-HTTP bytes a moment later": (request, socket) => {
    socket.write(validResponse(request));
    void settle(4).then(() => socket.write("\u0001\u0002\r\n\r\n"));
  },
  "a 103 and then a complete response": (request, socket) =>
    void socket.write(`HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${validResponse(request)}`),
  "a complete response in small pieces": (request, socket) => {
    const bytes = validResponse(request);
    for (let at = 0; at < bytes.length; at += 7)
      setImmediate(() => socket.write(bytes.slice(at, at + 7)));
  },
  "a complete response in chunks": (request, socket) =>
    void socket.write(
      `${responseBytes(200, { ...sealedHeaders(request), "Content-Length": undefined, "Transfer-Encoding": "chunked" })}4\r\nran \r\n${request.attemptId.length.toString(16)}\r\n${request.attemptId}\r\n0\r\n\r\n`,
    ),
  "a 503 with Not-Run": (request, socket) =>
    void socket.write(responseBytes(503, { ...attemptIdHeader(request), ...NOT_RUN_HEADER })),
  "a 400 with Not-Run": (request, socket) =>
    void socket.write(responseBytes(400, { ...attemptIdHeader(request), ...NOT_RUN_HEADER })),
  "a 429 with Not-Run and no Content-Length, closed": (request, socket) =>
    void socket.end(
      responseBytes(429, {
        ...attemptIdHeader(request),
        ...NOT_RUN_HEADER,
        "Content-Length": undefined,
      }),
    ),
  "a 421": (request, socket) => void socket.write(responseBytes(421, attemptIdHeader(request))),
  "a 503 with a seal": (request, socket) =>
    void socket.write(responseBytes(503, sealedHeaders(request), "it ran, and failed")),
  "a 429 without Not-Run": (request, socket) =>
    void socket.write(responseBytes(429, attemptIdHeader(request))),
  "a 408 with a seal": (request, socket) =>
    void socket.write(responseBytes(408, sealedHeaders(request))),
  "a 200 with Not-Run": (request, socket) =>
    void socket.write(
      responseBytes(200, { ...sealedHeaders(request), ...NOT_RUN_HEADER }, "what now"),
    ),
  "a 200 without a seal": (request, socket) =>
    void socket.write(responseBytes(200, attemptIdHeader(request), "whose")),
  "a 200 with two attempt ids": (request, socket) =>
    void socket.write(
      validResponse(request).replace(
        "Yewreel-Server-Seal",
        "yewreel-try-id: somebody-else\r\nYewreel-Server-Seal",
      ),
    ),
  "a 200 with a Content-Encoding": (request, socket) =>
    void socket.write(
      responseBytes(200, { ...sealedHeaders(request), "Content-Encoding": "gzip" }, "x"),
    ),
  "a 500 with another attempt's id": (request, socket) =>
    void socket.write(
      responseBytes(500, sealedHeaders({ ...request, attemptId: "somebody-else" })),
    ),
  "a truncated 500": (request, socket) =>
    void socket.end(responseBytes(500, sealedHeaders(request), "it failed").slice(0, -3)),
  "a truncated 200": (request, socket) => void socket.end(validResponse(request).slice(0, -3)),
  "a truncated 503 with Not-Run": (request, socket) =>
    void socket.end(
      responseBytes(503, { ...attemptIdHeader(request), ...NOT_RUN_HEADER }, "turned away").slice(
        0,
        -3,
      ),
    ),
  "a truncated chunked body": (request, socket) =>
    void socket.end(
      `${responseBytes(200, { ...sealedHeaders(request), "Content-Length": undefined, "Transfer-Encoding": "chunked" })}4\r\nran \r\n`,
    ),
  "a body delimited by the connection's end": (request, socket) =>
    void socket.end(
      responseBytes(
        200,
        { ...sealedHeaders(request), "Content-Length": undefined, Connection: "close" },
        "all of it?",
      ),
    ),
  "an unknown Transfer-Encoding": (request, socket) =>
    void socket.end(
      responseBytes(
        200,
        { ...sealedHeaders(request), "Content-Length": undefined, "Transfer-Encoding": "gzip" },
        "all of it?",
      ),
    ),
  "two Content-Length headers": (request, socket) =>
    void socket.write(
      validResponse(request).replace("Content-Length", "Content-Length: 3\r\nContent-Length"),
    ),
  "a 204 with a Content-Length and a body": (request, socket) =>
    void socket.write(responseBytes(204, sealedHeaders(request), "a body")),
  "a 304 with a Content-Length": (request, socket) =>
    void socket.write(responseBytes(304, { ...sealedHeaders(request), "Content-Length": "9" })),
  "an unsolicited 100": (request, socket) =>
    void socket.write(`HTTP/1.1 100 Continue\r\n\r\n${validResponse(request)}`),
  "a 101": (request, socket) =>
    void socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n${validResponse(request)}`,
    ),
  "an oversized head": (request, socket) =>
    void socket.write(
      validResponse(request).replace(
        "Content-Length",
        `X-Large: ${"x".repeat(70_000)}\r\nContent-Length`,
      ),
    ),
};

/**
 * Sends requests until the first worker receives one with the method, because load balancing
 * decides which worker gets a request.
 */
const sendUntilFirstReceives = async (
  method: string,
  path: string,
  body: string,
): Promise<void> => {
  const before = firstWorker().requests.length;
  for (
    let at = 0;
    at < 60 &&
    !firstWorker()
      .requests.slice(before)
      .some((request) => request.method === method);
    at += 1
  )
    response = await sendRequest(method, path, body);
  assert.ok(
    firstWorker()
      .requests.slice(before)
      .some((request) => request.method === method),
    "the first worker received no request",
  );
};
const responseSource = (): string => {
  const sender =
    response?.seal === ""
      ? requestsOf(response.attemptId).some(({ worker }) => worker === "w1") &&
        response.attemptId !== ""
        ? "w1"
        : "gateway"
      : (response?.seal.split(".")[1] ?? "");
  return (
    { w1: "from the first worker", w2: "from the second worker", gateway: "from the gateway" }[
      sender
    ] ?? sender
  );
};
const hasReceived = (worker: ScriptedWorker, attemptId: string): boolean =>
  worker.bytes.some((bytes) => bytes.includes(`${attemptId}\r\n`));
const checkResponseIsConsistent = (): void => {
  const attemptId = `t-${attemptCount}`;
  const receivers = workers.filter((worker) => hasReceived(worker, attemptId));
  const mayHaveRun = receivers.filter((worker) => !rejections.has(`${worker.id} ${attemptId}`));
  assert.ok(mayHaveRun.length <= 1, `${mayHaveRun.length} workers may have run it`);
  if (response && NOT_RUN_STATUSES.has(response.status)) assert.deepEqual(mayHaveRun, []);
};
/** The requests that a worker has rejected, as "WORKER ATTEMPT_ID". */
const rejections = new Set<string>();

When(/^the first worker responds to a POST with (.*)$/, async (kind: string) => {
  const respond = POST_RESPONSES[kind];
  assert.ok(respond, `no such response: ${kind}`);
  const isRejection = /Not-Run|421/.test(kind) && !/200 with|without/.test(kind);
  firstWorker().script = {
    onRequest: (request, socket) => {
      if (request.method !== "POST") return void socket.write(validResponse(request));
      if (isRejection) rejections.add(`w1 ${request.attemptId}`);
      respond(request, socket);
    },
  };
  await sendUntilFirstReceives("POST", "/unsafe/x", "an order");
});
Then(
  /^the client receives (\d+) (from the [a-z]+(?: worker)?)$/,
  (status: string, source: string) =>
    assert.deepEqual([response?.status, responseSource()], [Number(status), source]),
);
/** The reset may precede or follow the first byte sent; the status must fit in both cases. */
Then("the client receives 502 or 200 from the gateway or the second worker", () =>
  assert.ok(
    responseSource() === (response?.status === 502 ? "from the gateway" : "from the second worker"),
  ),
);
Then(
  /^the POST was sent (once|to both workers), and the response is consistent with what the workers received$/,
  (sent: string) => {
    assert.equal(requestsOf(`t-${attemptCount}`).length, sent === "once" ? 1 : 2);
    checkResponseIsConsistent();
  },
);
Then("the response is consistent with what the workers received", checkResponseIsConsistent);
Then("subsequent requests get their own complete responses", async () => {
  for (let at = 0; at < 6; at += 1) {
    response = await sendRequest("GET", "/safe/x");
    assert.deepEqual(
      [response?.status, response?.attemptId, response?.body],
      [200, `t-${attemptCount}`, `ran t-${attemptCount}`],
    );
  }
});

When("the worker responds to a HEAD with a body", async () => {
  firstWorker().script = {
    onRequest: (request, socket) => void socket.write(validResponse(request)),
  };
  response = await sendRequest("HEAD", "/safe/x");
});
Then("the HEAD response is 200 without a body", () =>
  assert.deepEqual(
    [response?.status, response?.body, firstWorker().requests[0]?.method],
    [200, "", "HEAD"],
  ),
);

const LONG_BODY = "x".repeat(400_000);
/** Scripts that reset the worker's connection, by the moment named in the feature. */
const RESET_SCRIPTS: Readonly<Record<string, Script>> = {
  "as soon as it is established": { onConnect: (socket) => void socket.resetAndDestroy() },
  "at the first byte": {
    onConnect: (socket) => void socket.once("data", () => socket.resetAndDestroy()),
  },
  "during a long request body": { onHead: (_head, socket) => void socket.resetAndDestroy() },
  "after the request body": { onRequest: (_request, socket) => void socket.resetAndDestroy() },
  "during the response head": {
    onRequest: (request, socket) => {
      socket.write(validResponse(request).slice(0, 60));
      void settle(4).then(() => socket.resetAndDestroy());
    },
  },
  "during the response body": {
    onRequest: (request, socket) => {
      socket.write(validResponse(request).slice(0, -2));
      void settle(4).then(() => socket.resetAndDestroy());
    },
  },
};
When(/^the first worker's connection is reset (.*)$/, async (moment: string) => {
  const body = moment === "during a long request body" ? LONG_BODY : "an order";
  if (moment === "before it is established") {
    firstWorker().stop();
    for (let at = 0; at < 20; at += 1) {
      response = await sendRequest("POST", "/unsafe/x", body);
      checkResponseIsConsistent();
    }
    return;
  }
  if (moment === "while it is idle") {
    await sendUntilFirstReceives("GET", "/safe/x", "");
    firstWorker().stop();
    await settle();
    await firstWorker().start();
    harness.updates.post([
      {
        key: `${WORKER_PREFIX}w1`,
        version: 2,
        tie: "",
        body: {
          service: "s1",
          address: firstWorker().address,
          cell: "c1",
          capacity: 3,
          state: "ready",
          warmUs: 0,
        },
      },
    ]);
    await settle();
    return sendUntilFirstReceives("POST", "/unsafe/x", body);
  }
  const script = RESET_SCRIPTS[moment];
  assert.ok(script, `no such moment: ${moment}`);
  let connections = 0;
  firstWorker().script = {
    ...script,
    onConnect: (socket, connection) => {
      connections += 1;
      script.onConnect?.(socket, connection);
    },
  };
  for (let at = 0; at < 60 && connections === 0; at += 1)
    response = await sendRequest("POST", "/unsafe/x", body);
  assert.ok(connections > 0, "the first worker received no request");
});

When(
  /^the worker responds with (a 413 with a seal|a 503 with Not-Run) after the head of a long POST$/,
  async (earlyResponse: string) => {
    firstWorker().script = {
      onHead: (head, socket) =>
        void socket.write(
          head.method === "GET"
            ? ""
            : earlyResponse === "a 503 with Not-Run"
              ? responseBytes(503, { ...attemptIdHeader({ ...head, body: "" }), ...NOT_RUN_HEADER })
              : responseBytes(413, sealedHeaders({ ...head, body: "" }), "too large"),
        ),
      onRequest: (request, socket) => {
        if (request.method === "GET") socket.write(validResponse(request));
      },
    };
    attemptCount += 1;
    client = new RawClient(harness.host, harness.port);
    client.send(
      "POST",
      "/unsafe/x",
      { "Yewreel-Try-Id": `t-${attemptCount}`, ...TIME_LEFT },
      LONG_BODY,
    );
    await harness.until(() => client?.responses.length === 1 || client?.isClosed === true);
    response = client.responses[0];
  },
);
let client: RawClient | undefined;
Then("the client's connection serves another request", async () => {
  attemptCount += 1;
  client?.send("GET", "/safe/x", { "Yewreel-Try-Id": `t-${attemptCount}`, ...TIME_LEFT });
  await harness.until(() => client?.responses.length === 2 || client?.isClosed === true);
  assert.deepEqual(
    [client?.responses[1]?.status, client?.responses[1]?.body],
    [200, `ran t-${attemptCount}`],
  );
  client?.socket.destroy();
});

When("a client sends a POST without an attempt id", async () => {
  client = new RawClient(harness.host, harness.port);
  client.send("POST", "/unsafe/x", TIME_LEFT, "an order");
  await harness.until(() => client?.responses.length === 1 || client?.isClosed === true);
  response = client.responses[0];
  client.socket.destroy();
});
Then("no worker received a POST", () =>
  assert.deepEqual(
    workers.flatMap(({ bytes }) => bytes).filter((bytes) => bytes.includes("POST ")),
    [],
  ),
);
When("a client sends a request with the method {string}", async (method: string) => {
  response = await sendRequest(method, "/safe/x");
});
Then("the worker received the method {string}", (method: string) =>
  assert.deepEqual(
    firstWorker().requests.map((request) => request.method),
    [method],
  ),
);
When("a client sends a request with two Host headers", async () => {
  client = new RawClient(harness.host, harness.port);
  client.expect("GET");
  client.write(
    "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\nYewreel-Try-Id: t-hosts\r\nYewreel-Time-Left-Ms: 2000\r\n\r\n",
  );
  await harness.until(() => client?.responses.length === 1 || client?.isClosed === true);
  response = client.responses[0];
  client.socket.destroy();
});
Then("no worker is avoided", () =>
  assert.deepEqual(
    harness.pool.all().filter((worker) => worker.isAvoided()),
    [],
  ),
);

Given("the first worker doesn't respond", () => {
  firstWorker().script = {};
});
When("a client pipelines a GET and a POST, and resets the connection", async () => {
  const disconnecting = new RawClient(harness.host, harness.port);
  disconnecting.send("GET", "/safe/x", { "Yewreel-Try-Id": "t-read", ...TIME_LEFT });
  disconnecting.send(
    "POST",
    "/unsafe/x",
    { "Yewreel-Try-Id": "t-order", ...TIME_LEFT },
    "an order",
  );
  await harness.until(() => firstWorker().requests.length > 0);
  disconnecting.socket.resetAndDestroy();
  await settle();
  await harness.clock.pass(100_000);
});
Then("no request is open or in flight", async () => {
  await settle();
  assert.deepEqual(
    [harness.proxy.openRequests, ...harness.pool.all().map(({ inFlight }) => inFlight)],
    [0, ...harness.pool.all().map(() => 0)],
  );
});
When("a client disconnects during a large response", async () => {
  const body = "y".repeat(8_000_000);
  firstWorker().script = {
    onRequest: (request, socket) => void socket.write(validResponse(request, body)),
  };
  const disconnecting = new RawClient(harness.host, harness.port);
  disconnecting.send("GET", "/safe/x", { "Yewreel-Try-Id": "t-leaver", ...TIME_LEFT });
  await settleUntil(() => disconnecting.unread.length > 0);
  disconnecting.socket.pause();
  await settle();
  disconnecting.socket.destroy();
  await settle(30);
});
Then("the worker's connection is closed", () => assert.equal(firstWorker().openConnections, 0));

let receivedBefore = 0;
const bytesReceived = (): number =>
  workers.flatMap(({ bytes }) => bytes).reduce((sum, bytes) => sum + bytes.length, 0);
When(/^the gateway stalls past the deadline (.*)$/, async (moment: string) => {
  attemptCount += 1;
  client = new RawClient(harness.host, harness.port);
  const sendPost = () =>
    client?.send(
      "POST",
      "/unsafe/x",
      { "Yewreel-Try-Id": `t-${attemptCount}`, ...TIME_LEFT },
      "an order",
    );
  if (moment.includes("is unread")) {
    await sendRequest("GET", "/safe/x");
    await settle();
    receivedBefore = bytesReceived();
    sendPost();
    client.socket.end();
    harness.skippingClock.skip(9_000_000);
  } else if (moment.includes("a connection is being established")) {
    receivedBefore = bytesReceived();
    let hasConnected = false;
    harness.onAttempt = () => {
      hasConnected = true;
      harness.skippingClock.skip(9_000_000);
    };
    sendPost();
    await settleUntil(() => hasConnected);
  } else {
    let sendRejection: (() => void) | undefined;
    workers.forEach((worker) => {
      worker.script = {
        onRequest: (request, socket) => {
          sendRejection = () =>
            void socket.write(
              responseBytes(503, { ...attemptIdHeader(request), ...NOT_RUN_HEADER }),
            );
        },
      };
    });
    sendPost();
    await settleUntil(() => sendRejection !== undefined);
    receivedBefore = bytesReceived();
    harness.skippingClock.skip(9_000_000);
    sendRejection?.();
  }
  await settle(40);
});
/** Real time for which bytes may travel between the sockets of this process on a busy machine. */
const SETTLE_LIMIT_MS = 4_000;
/** Runs turns of the event loop, without advancing the clock, until the condition holds. */
const settleUntil = async (condition: () => boolean): Promise<void> => {
  const startedMs = performance.now();
  while (!condition() && performance.now() - startedMs < SETTLE_LIMIT_MS) await settle(1);
  assert.ok(condition());
};
Then("nothing more is sent for the POST", async () => {
  assert.equal(bytesReceived(), receivedBefore);
  await harness.clock.pass(5_000_000);
  assert.equal(bytesReceived(), receivedBefore);
});
Then("the client receives {int}, or has disconnected", (status: number) => {
  assert.ok(client);
  if (!client.socket.writableEnded) assert.equal(client.responses[0]?.status, status);
  client.socket.destroy();
});

Given(
  "a gateway with workers that refuse, reset, are full, fail and don't respond, two of each",
  async () => {
    await startHarness();
    const scripts: Readonly<Record<string, Script>> = {
      refuses: {},
      resets: { onRequest: (_request, socket) => void socket.resetAndDestroy() },
      full: {
        onRequest: (request, socket) =>
          void socket.write(responseBytes(503, { ...attemptIdHeader(request), ...NOT_RUN_HEADER })),
      },
      fails: {
        onRequest: (request, socket) =>
          void socket.write(responseBytes(500, sealedHeaders(request))),
      },
      silent: {},
    };
    for (const [name, script] of Object.entries(scripts)) {
      for (const number of [1, 2]) {
        const worker = await addWorker(new ScriptedWorker(`${name}-${number}`, script));
        if (name === "refuses") worker.stop();
      }
    }
  },
);
When("{int} GETs are sent, one after the other", { timeout: 60_000 }, async (count: number) => {
  for (let at = 0; at < count; at += 1) await sendRequest("GET", "/safe/x");
});
Then("each GET reached at most {int} workers, and some reached that many", (most: number) => {
  const seen = new Map<string, Set<string>>();
  workers.forEach((worker) =>
    worker.requests.forEach(({ attemptId }) =>
      seen.set(attemptId, (seen.get(attemptId) ?? new Set()).add(worker.id)),
    ),
  );
  const counts = [...seen.values()].map((ids) => ids.size);
  assert.ok(Math.max(...counts) === most, `${Math.max(...counts)}`);
});

When(
  /^the client of a keyed POST disconnects, and then the worker('s connection is reset| rejects it)$/,
  async (what: string) => {
    let finish: (() => void) | undefined;
    firstWorker().script = {
      onRequest: (request, socket) => {
        finish = () => {
          if (what === " rejects it")
            socket.write(responseBytes(503, { ...attemptIdHeader(request), ...NOT_RUN_HEADER }));
          else socket.resetAndDestroy();
        };
      },
    };
    const disconnecting = new RawClient(harness.host, harness.port);
    attemptCount += 1;
    disconnecting.send(
      "POST",
      "/keyed/x",
      { "Yewreel-Try-Id": `t-${attemptCount}`, "Yewreel-Operation-Key": "k", ...TIME_LEFT },
      "an order",
    );
    await harness.until(() => finish !== undefined);
    disconnecting.socket.destroy();
    await harness.clock.pass(10_000);
    finish?.();
    await harness.clock.pass(10_000);
  },
);
Then("the key is released", () => assert.equal(harness.keyService.claims.size, 0));
Then("the key is still claimed", () => assert.equal(harness.keyService.claims.size, 1));

When("a keyed POST is rejected {int} s after its key was claimed", async (seconds: number) => {
  await startHarness(configurationOf(MAX_TRIES, (kind) => kind, 20_000_000));
  const script: Script = {
    onRequest: (request, socket) =>
      void harness.clock.after(seconds * 1_000_000, () =>
        socket.write(responseBytes(503, { ...attemptIdHeader(request), ...NOT_RUN_HEADER })),
      ),
  };
  for (const id of ["w1", "w2"]) await addWorker(new ScriptedWorker(id, script));
  response = await sendRequest("POST", "/keyed/x", "an order", {
    "Yewreel-Operation-Key": "k",
    "Yewreel-Time-Left-Ms": "20000",
  });
});
Then("{int} worker(s) received it, and its client receives 503", (count: number) =>
  assert.deepEqual([requestsOf(`t-${attemptCount}`).length, response?.status], [count, 503]),
);

const OBJECT = "o".repeat(300_000);
const READ_RESPONSES: Readonly<Record<string, (request: WorkerRequest, socket: Socket) => void>> = {
  "a 503 with Not-Run and another attempt's id": (_request, socket) =>
    void socket.write(responseBytes(503, { "Yewreel-Try-Id": "somebody-else", ...NOT_RUN_HEADER })),
  "a 421 with another attempt's id": (_request, socket) =>
    void socket.write(responseBytes(421, { "Yewreel-Try-Id": "somebody-else" })),
  "a 200 with another attempt's id": (request, socket) =>
    void socket.write(validResponse({ ...request, attemptId: "somebody-else" })),
  "a 503 with Not-Run and no id": (_request, socket) =>
    void socket.write(responseBytes(503, NOT_RUN_HEADER)),
  "a 421 with no id": (_request, socket) => void socket.write(responseBytes(421, {})),
  "a large body that stalls": (request, socket) =>
    void socket.write(validResponse(request, OBJECT).slice(0, -5)),
  "a truncated large body": (request, socket) =>
    void socket.end(validResponse(request, OBJECT).slice(0, -5)),
};
let objectClient: ObjectClient;
let readResult: ObjectResult | undefined;

const startObjectClient = async (script: Script): Promise<void> => {
  await startHarness();
  const { skippingClock: clock, pool } = harness;
  const loadBalancer = new LoadBalancer({
    workers: pool,
    zone: "c1",
    random: Math.random,
    connectionShare: () => 10,
  });
  const rateLimiter = new RateLimiter(clock, () => 0);
  const budgets = new RetryBudgets({
    clock,
    log: silentLogger,
    windowUs: 10_000_000,
    limits: () => defaultLimits({ ratio: 100, slack: 0, windowUs: 10_000_000 }),
  });
  const origin = new OriginFetcher({
    clock,
    workers: pool,
    loadBalancer,
    rateLimiter,
    retryBudgets: budgets,
    countFault: () => undefined,
    maxObjectBytes: 1_000_000,
  });
  objectClient = new ObjectClient({
    clock,
    maxBytes: 0,
    sharedCaches: new PeerCaches(clock),
    zoneDistributors: new PeerCaches(clock),
    origin,
    rateLimiter,
    isFresh: () => true,
    staleIfErrorUs: 0,
  });
  await addWorker(new ScriptedWorker("w1", script));
};
const readObject = async (range?: string): Promise<ObjectResult> => {
  let loaded: ObjectResult | undefined;
  const nowUs = harness.skippingClock.nowUs();
  void objectClient
    .fetch(
      {
        service: "s1",
        host: "a.example",
        url: `/safe/${attemptCount}`,
        cacheForUs: 40_000_000,
        maxAgeUs: 40_000_000,
        latencyTargetUs: 500_000,
        deadlineUs: nowUs + 2_000_000,
      },
      range,
    )
    .then((result) => {
      loaded = result;
    });
  await harness.until(() => loaded !== undefined);
  assert.ok(loaded);
  return loaded;
};

Given(/^an object client and a worker that responds to a read with (.*)$/, async (kind: string) => {
  const respond = READ_RESPONSES[kind];
  assert.ok(respond, `no such response: ${kind}`);
  await startObjectClient({ onRequest: respond });
});
Given(
  /^(an object client and a worker|another worker) that has the object$/,
  async (holder: string) => {
    const script: Script = {
      onRequest: (request, socket) => void socket.write(validResponse(request, OBJECT)),
    };
    if (holder === "another worker") await addWorker(new ScriptedWorker("w2", script));
    else await startObjectClient(script);
  },
);
When("the object is read until the first worker has received a read", async () => {
  for (let at = 0; at < 40 && firstWorker().requests.length === 0; at += 1) {
    attemptCount += 1;
    readResult = await readObject();
  }
  assert.ok(firstWorker().requests.length > 0, "the first worker received no request");
  // The same object again: a later read must not wait for one that failed.
  readResult = await readObject();
});
Then(
  /^the client has the object, and the first worker is (still|not) in the worker directory$/,
  (known: string) => {
    assert.ok(
      readResult?.kind === "served" && readResult.body.toString() === OBJECT,
      JSON.stringify(readResult).slice(0, 100),
    );
    assert.equal(
      harness.pool.all().some(({ id }) => id === "w1"),
      known === "still",
    );
  },
);
Then("no worker connection received two reads", () =>
  workers
    .flatMap(({ bytes }) => bytes)
    .forEach((bytes) => assert.ok(bytes.split("GET ").length <= 2)),
);
When("a range past the end of the object is read", async () => {
  readResult = await readObject("bytes=300000-");
});
Then("the read yields 416 without a seal", () => {
  assert.ok(readResult?.kind === "served");
  assert.deepEqual(
    [
      readResult.status,
      readResult.headers.some((head) => head.toLowerCase() === "yewreel-server-seal"),
    ],
    [416, false],
  );
});
