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

const LEFT = { "Yewreel-Time-Left-Ms": "2500" };
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

let harness: ProxyHarness;
let workers: ScriptedWorker[] = [];
let tries = 0;
let response: ClientResponse | undefined;

const own = (request: WorkerRequest, body = `ran ${request.attemptId}`): string =>
  responseBytes(
    200,
    {
      "Yewreel-Try-Id": request.attemptId,
      "Yewreel-Server-Seal": `s.${request.worker}.${request.attemptId}`,
    },
    body,
  );

const newRig = async (plan = configurationOf()): Promise<void> => {
  harness = new ProxyHarness({ configuration: plan });
  workers = [];
  await harness.start();
};
const join = async (worker: ScriptedWorker): Promise<ScriptedWorker> => {
  workers.push(worker);
  await harness.join(worker);
  return worker;
};
const first = (): ScriptedWorker => {
  const [worker] = workers;
  assert.ok(worker);
  return worker;
};
const arrivalsOf = (attemptId: string): readonly WorkerRequest[] =>
  workers
    .flatMap(({ requests: arrivals }) => arrivals)
    .filter((request) => request.attemptId === attemptId);

const ask = async (
  method: string,
  path: string,
  body = "",
  headers: Readonly<Record<string, string>> = {},
): Promise<ClientResponse | undefined> => {
  tries += 1;
  const client = new RawClient(harness.host, harness.port);
  client.send(method, path, { "Yewreel-Try-Id": `t-${tries}`, ...LEFT, ...headers }, body);
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

Given("a gateway and a worker that keeps its connections", async () => {
  await newRig();
  await join(
    new ScriptedWorker("w1", { onRequest: (request, socket) => void socket.write(own(request)) }),
  );
});
Given("another worker that answers well", async () => {
  await join(
    new ScriptedWorker("w2", { onRequest: (request, socket) => void socket.write(own(request)) }),
  );
});

When(
  /^on a kept connection the worker runs an order and a late (\d+)( with Not-Run)? (?:and|with) (another try's|no) id comes first$/,
  async (status: string, notRun: string | null, whose: string) => {
    for (let at = 0; at < 40 && first().requests.length === 0; at += 1) await ask("GET", "/safe/x");
    assert.equal(first().bytes.length, 1);
    const late = responseBytes(Number(status), {
      ...(whose === "no" ? {} : { "Yewreel-Try-Id": "somebody-else" }),
      ...(notRun === null ? {} : { "Yewreel-Not-Run": "1" }),
    });
    first().script = {
      onRequest: (request, socket) =>
        void socket.write(request.method === "POST" ? late + own(request) : own(request)),
    };
    for (let at = 0; at < 40 && !first().requests.some(({ method }) => method === "POST"); at += 1)
      response = await ask("POST", "/unsafe/x", "an order");
    const [order] = first().requests.filter(({ method }) => method === "POST");
    assert.deepEqual([order?.attemptId, order?.connection], [`t-${tries}`, 1]);
  },
);
Then("the order's client is told {int}", (status: number) =>
  assert.equal(response?.status, status),
);
Then("the order ran once, and no promise was given for it", () => {
  assert.equal(arrivalsOf(`t-${tries}`).length, 1);
  assert.ok(response && !PROMISES.has(response.status));
});
Then("the worker is still known", () =>
  assert.ok(harness.pool.all().some(({ id }) => id === "w1")),
);

const ID = (request: WorkerRequest): Readonly<Record<string, string>> => ({
  "Yewreel-Try-Id": request.attemptId,
});
const SEALED = (request: WorkerRequest): Readonly<Record<string, string>> => ({
  ...ID(request),
  "Yewreel-Server-Seal": `s.${request.worker}.${request.attemptId}`,
});
const NOT_RUN = { "Yewreel-Not-Run": "1" };

/** How a worker's socket is to act on an order, by the words of the feature. */
const ODD: Readonly<Record<string, (arrival: WorkerRequest, socket: Socket) => void>> = {
  "a 500 with a seal": (request, socket) =>
    void socket.write(responseBytes(500, SEALED(request), "it failed")),
  "a 404 with a seal": (request, socket) =>
    void socket.write(responseBytes(404, SEALED(request), "not here")),
  "a 204": (request, socket) =>
    void socket.write(responseBytes(204, { ...SEALED(request), "Content-Length": undefined })),
  "a whole answer that closes": (request, socket) =>
    void socket.end(own(request).replace("Content-Length", "Connection: close\r\nContent-Length")),
  "a whole answer that closes, and more bytes": (request, socket) =>
    void socket.write(
      own(request).replace("Content-Length", "Connection: close\r\nContent-Length") +
        own(request, "MORE"),
    ),
  "a whole answer, and an extra one right behind it": (request, socket) =>
    void socket.write(own(request) + own({ ...request, attemptId: "extra" }, "EXTRA")),
  "a whole answer, and an extra one a moment later": (request, socket) => {
    socket.write(own(request));
    void settle(4).then(() => socket.write(own({ ...request, attemptId: "extra" }, "EXTRA")));
  },
  "a whole answer, and bytes of no protocol later": (request, socket) => {
    socket.write(own(request));
    void settle(4).then(() => socket.write("\u0001\u0002\r\n\r\n"));
  },
  "a 103 and then a whole answer": (request, socket) =>
    void socket.write(`HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${own(request)}`),
  "a whole answer in small pieces": (request, socket) => {
    const bytes = own(request);
    for (let at = 0; at < bytes.length; at += 7)
      setImmediate(() => socket.write(bytes.slice(at, at + 7)));
  },
  "a whole answer in chunks": (request, socket) =>
    void socket.write(
      `${responseBytes(200, { ...SEALED(request), "Content-Length": undefined, "Transfer-Encoding": "chunked" })}4\r\nran \r\n${request.attemptId.length.toString(16)}\r\n${request.attemptId}\r\n0\r\n\r\n`,
    ),
  "a 503 with Not-Run": (request, socket) =>
    void socket.write(responseBytes(503, { ...ID(request), ...NOT_RUN })),
  "a 400 with Not-Run": (request, socket) =>
    void socket.write(responseBytes(400, { ...ID(request), ...NOT_RUN })),
  "a 429 with Not-Run and no length, closed": (request, socket) =>
    void socket.end(
      responseBytes(429, { ...ID(request), ...NOT_RUN, "Content-Length": undefined }),
    ),
  "a 421": (request, socket) => void socket.write(responseBytes(421, ID(request))),
  "a 503 with a seal": (request, socket) =>
    void socket.write(responseBytes(503, SEALED(request), "it ran, and failed")),
  "a 429 without Not-Run": (request, socket) => void socket.write(responseBytes(429, ID(request))),
  "a 408 with a seal": (request, socket) => void socket.write(responseBytes(408, SEALED(request))),
  "a 200 with Not-Run": (request, socket) =>
    void socket.write(responseBytes(200, { ...SEALED(request), ...NOT_RUN }, "what now")),
  "a 200 without a seal": (request, socket) =>
    void socket.write(responseBytes(200, ID(request), "whose")),
  "a 200 with two ids": (request, socket) =>
    void socket.write(
      own(request).replace(
        "Yewreel-Server-Seal",
        "yewreel-try-id: somebody-else\r\nYewreel-Server-Seal",
      ),
    ),
  "a 200 with an encoding": (request, socket) =>
    void socket.write(responseBytes(200, { ...SEALED(request), "Content-Encoding": "gzip" }, "x")),
  "a 500 with another id": (request, socket) =>
    void socket.write(responseBytes(500, SEALED({ ...request, attemptId: "somebody-else" }))),
  "a 500 cut short": (request, socket) =>
    void socket.end(responseBytes(500, SEALED(request), "it failed").slice(0, -3)),
  "a 200 cut short": (request, socket) => void socket.end(own(request).slice(0, -3)),
  "a 503 with Not-Run cut short": (request, socket) =>
    void socket.end(responseBytes(503, { ...ID(request), ...NOT_RUN }, "turned away").slice(0, -3)),
  "chunks cut short": (request, socket) =>
    void socket.end(
      `${responseBytes(200, { ...SEALED(request), "Content-Length": undefined, "Transfer-Encoding": "chunked" })}4\r\nran \r\n`,
    ),
  "a body that ends with the connection": (request, socket) =>
    void socket.end(
      responseBytes(
        200,
        { ...SEALED(request), "Content-Length": undefined, Connection: "close" },
        "all of it?",
      ),
    ),
  "an unknown transfer coding": (request, socket) =>
    void socket.end(
      responseBytes(
        200,
        { ...SEALED(request), "Content-Length": undefined, "Transfer-Encoding": "gzip" },
        "all of it?",
      ),
    ),
  "two lengths": (request, socket) =>
    void socket.write(
      own(request).replace("Content-Length", "Content-Length: 3\r\nContent-Length"),
    ),
  "a 204 with a length and a body": (request, socket) =>
    void socket.write(responseBytes(204, SEALED(request), "a body")),
  "a 304 with a length": (request, socket) =>
    void socket.write(responseBytes(304, { ...SEALED(request), "Content-Length": "9" })),
  "a 100 that nobody asked for": (request, socket) =>
    void socket.write(`HTTP/1.1 100 Continue\r\n\r\n${own(request)}`),
  "a 101": (request, socket) =>
    void socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n${own(request)}`,
    ),
  "a head that is too large": (request, socket) =>
    void socket.write(
      own(request).replace("Content-Length", `X-Large: ${"x".repeat(70_000)}\r\nContent-Length`),
    ),
};

/**
 * Requests are sent until the first worker gets one of the method; which worker is chosen is not
 * the test's business.
 */
const untilFirstSees = async (method: string, path: string, body: string): Promise<void> => {
  const before = first().requests.length;
  for (
    let at = 0;
    at < 60 &&
    !first()
      .requests.slice(before)
      .some((request) => request.method === method);
    at += 1
  )
    response = await ask(method, path, body);
  assert.ok(
    first()
      .requests.slice(before)
      .some((request) => request.method === method),
    "the first worker was never asked",
  );
};
const whose = (): string => {
  const byWorker =
    response?.seal === ""
      ? arrivalsOf(response.attemptId).some(({ worker }) => worker === "w1") &&
        response.attemptId !== ""
        ? "w1"
        : "gateway"
      : (response?.seal.split(".")[1] ?? "");
  return (
    { w1: "by the first worker", w2: "by the second worker", gateway: "by the gateway" }[
      byWorker
    ] ?? byWorker
  );
};
const sawOf = (worker: ScriptedWorker, attemptId: string): boolean =>
  worker.bytes.some((bytes) => bytes.includes(`${attemptId}\r\n`));
const checkTold = (): void => {
  const attemptId = `t-${tries}`;
  const sawIt = workers.filter((worker) => sawOf(worker, attemptId));
  const ranIt = sawIt.filter((worker) => !turnedAway.has(`${worker.id} ${attemptId}`));
  assert.ok(ranIt.length <= 1, `${ranIt.length} workers may have run it`);
  if (response && PROMISES.has(response.status)) assert.deepEqual(ranIt, []);
};
/** Which worker has truly turned which try away. */
const turnedAway = new Set<string>();

When(/^the first worker answers an order with (.*)$/, async (odd: string) => {
  const act = ODD[odd];
  assert.ok(act, `no such answer: ${odd}`);
  const isAway = /Not-Run|421/.test(odd) && !/200 with|without/.test(odd);
  first().script = {
    onRequest: (request, socket) => {
      if (request.method !== "POST") return void socket.write(own(request));
      if (isAway) turnedAway.add(`w1 ${request.attemptId}`);
      act(request, socket);
    },
  };
  await untilFirstSees("POST", "/unsafe/x", "an order");
});
Then(
  /^the order's client is told (\d+) (by the [a-z]+(?: worker)?)$/,
  (status: string, who: string) =>
    assert.deepEqual([response?.status, whose()], [Number(status), who]),
);
/**
 * A reset may or may not come before the first byte leaves; either way what is told must be true.
 */
Then("the order's client is told 502 or 200 by the gateway or the second worker", () =>
  assert.ok(whose() === (response?.status === 502 ? "by the gateway" : "by the second worker")),
);
Then(
  /^the order was sent (once|to both), and what is told is true of what the workers saw$/,
  (sent: string) => {
    assert.equal(arrivalsOf(`t-${tries}`).length, sent === "once" ? 1 : 2);
    checkTold();
  },
);
Then("what is told is true of what the workers saw", checkTold);
Then("the next requests get their own answers, whole", async () => {
  for (let at = 0; at < 6; at += 1) {
    response = await ask("GET", "/safe/x");
    assert.deepEqual(
      [response?.status, response?.attemptId, response?.body],
      [200, `t-${tries}`, `ran t-${tries}`],
    );
  }
});

When("the worker answers a HEAD with a body", async () => {
  first().script = { onRequest: (request, socket) => void socket.write(own(request)) };
  response = await ask("HEAD", "/safe/x");
});
Then("the HEAD is told 200 and no body", () =>
  assert.deepEqual(
    [response?.status, response?.body, first().requests[0]?.method],
    [200, "", "HEAD"],
  ),
);

const LONG = "x".repeat(400_000);
/**
 * Whole requests seen once the first worker's sockets have seen this try: what "amid" and "as soon
 * as" act on.
 */
const MOMENTS: Readonly<Record<string, Script>> = {
  "as soon as it is up": { onConnect: (socket) => void socket.resetAndDestroy() },
  "at the first byte": {
    onConnect: (socket) => void socket.once("data", () => socket.resetAndDestroy()),
  },
  "amid a long body": { onHead: (_head, socket) => void socket.resetAndDestroy() },
  "after the body": { onRequest: (_arrival, socket) => void socket.resetAndDestroy() },
  "amid the answer's head": {
    onRequest: (request, socket) => {
      socket.write(own(request).slice(0, 60));
      void settle(4).then(() => socket.resetAndDestroy());
    },
  },
  "amid the answer's body": {
    onRequest: (request, socket) => {
      socket.write(own(request).slice(0, -2));
      void settle(4).then(() => socket.resetAndDestroy());
    },
  },
};
When(/^the first worker's connection is reset (.*)$/, async (moment: string) => {
  const body = moment === "amid a long body" ? LONG : "an order";
  if (moment === "before it is up") {
    first().stop();
    for (let at = 0; at < 20; at += 1) {
      response = await ask("POST", "/unsafe/x", body);
      checkTold();
    }
    return;
  }
  if (moment === "while it rests") {
    await untilFirstSees("GET", "/safe/x", "");
    first().stop();
    await settle();
    await first().start();
    harness.updates.post([
      {
        key: `${WORKER_PREFIX}w1`,
        version: 2,
        tie: "",
        body: {
          service: "s1",
          address: first().address,
          cell: "c1",
          capacity: 3,
          state: "ready",
          warmUs: 0,
        },
      },
    ]);
    await settle();
    return untilFirstSees("POST", "/unsafe/x", body);
  }
  const script = MOMENTS[moment];
  assert.ok(script, `no such moment: ${moment}`);
  let connections = 0;
  first().script = {
    ...script,
    onConnect: (socket, connection) => {
      connections += 1;
      script.onConnect?.(socket, connection);
    },
  };
  for (let at = 0; at < 60 && connections === 0; at += 1)
    response = await ask("POST", "/unsafe/x", body);
  assert.ok(connections > 0, "the first worker was never asked");
});

When(
  /^the worker answers (a 413 with a seal|a 503 with Not-Run) after the head of a long order$/,
  async (early: string) => {
    first().script = {
      onHead: (head, socket) =>
        void socket.write(
          head.method === "GET"
            ? ""
            : early === "a 503 with Not-Run"
              ? responseBytes(503, { ...ID({ ...head, body: "" }), ...NOT_RUN })
              : responseBytes(413, SEALED({ ...head, body: "" }), "too large"),
        ),
      onRequest: (request, socket) => {
        if (request.method === "GET") socket.write(own(request));
      },
    };
    tries += 1;
    client = new RawClient(harness.host, harness.port);
    client.send("POST", "/unsafe/x", { "Yewreel-Try-Id": `t-${tries}`, ...LEFT }, LONG);
    await harness.until(() => client?.responses.length === 1 || client?.isClosed === true);
    response = client.responses[0];
  },
);
let client: RawClient | undefined;
Then("the client's connection serves another request", async () => {
  tries += 1;
  client?.send("GET", "/safe/x", { "Yewreel-Try-Id": `t-${tries}`, ...LEFT });
  await harness.until(() => client?.responses.length === 2 || client?.isClosed === true);
  assert.deepEqual(
    [client?.responses[1]?.status, client?.responses[1]?.body],
    [200, `ran t-${tries}`],
  );
  client?.socket.destroy();
});

When("an order comes without an id", async () => {
  client = new RawClient(harness.host, harness.port);
  client.send("POST", "/unsafe/x", LEFT, "an order");
  await harness.until(() => client?.responses.length === 1 || client?.isClosed === true);
  response = client.responses[0];
  client.socket.destroy();
});
Then("no worker saw an order", () =>
  assert.deepEqual(
    workers.flatMap(({ bytes }) => bytes).filter((bytes) => bytes.includes("POST ")),
    [],
  ),
);
When("a client sends a request of the method {string}", async (method: string) => {
  response = await ask(method, "/safe/x");
});
Then("the worker saw the method {string}", (method: string) =>
  assert.deepEqual(
    first().requests.map((request) => request.method),
    [method],
  ),
);
When("a client sends a request with two hosts", async () => {
  client = new RawClient(harness.host, harness.port);
  client.expect("GET");
  client.write(
    "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\nYewreel-Try-Id: t-hosts\r\nYewreel-Time-Left-Ms: 2000\r\n\r\n",
  );
  await harness.until(() => client?.responses.length === 1 || client?.isClosed === true);
  response = client.responses[0];
  client.socket.destroy();
});
Then("no worker is shunned", () =>
  assert.deepEqual(
    harness.pool.all().filter((worker) => worker.isAvoided()),
    [],
  ),
);

Given("the first worker is silent", () => {
  first().script = {};
});
When("a client sends a read and an order behind it, and resets the connection", async () => {
  const leaver = new RawClient(harness.host, harness.port);
  leaver.send("GET", "/safe/x", { "Yewreel-Try-Id": "t-read", ...LEFT });
  leaver.send("POST", "/unsafe/x", { "Yewreel-Try-Id": "t-order", ...LEFT }, "an order");
  await harness.until(() => first().requests.length > 0);
  leaver.socket.resetAndDestroy();
  await settle();
  await harness.clock.pass(100_000);
});
Then("nothing is open any more", async () => {
  await settle();
  assert.deepEqual(
    [harness.proxy.openRequests, ...harness.pool.all().map(({ inFlight: calls }) => calls)],
    [0, ...harness.pool.all().map(() => 0)],
  );
});
When("a client leaves amid a large answer", async () => {
  const body = "y".repeat(8_000_000);
  first().script = { onRequest: (request, socket) => void socket.write(own(request, body)) };
  const leaver = new RawClient(harness.host, harness.port);
  leaver.send("GET", "/safe/x", { "Yewreel-Try-Id": "t-leaver", ...LEFT });
  await harness.until(() => leaver.unread.length > 0);
  leaver.socket.pause();
  await settle();
  leaver.socket.destroy();
  await settle(30);
});
Then("the worker's connection is closed", () => assert.equal(first().openConnections, 0));

let sentBefore = 0;
const bytesSeen = (): number =>
  workers.flatMap(({ bytes }) => bytes).reduce((sum, bytes) => sum + bytes.length, 0);
When(/^the gateway stands still beyond the deadline (.*)$/, async (moment: string) => {
  tries += 1;
  client = new RawClient(harness.host, harness.port);
  const order = () =>
    client?.send("POST", "/unsafe/x", { "Yewreel-Try-Id": `t-${tries}`, ...LEFT }, "an order");
  if (moment.includes("lies unread")) {
    await ask("GET", "/safe/x");
    await settle();
    sentBefore = bytesSeen();
    order();
    client.socket.end();
    harness.skippingClock.skip(9_000_000);
  } else if (moment.includes("a connection comes up")) {
    sentBefore = bytesSeen();
    let isBegun = false;
    harness.onAttempt = () => {
      isBegun = true;
      harness.skippingClock.skip(9_000_000);
    };
    order();
    await untilTurn(() => isBegun);
  } else {
    let answer: (() => void) | undefined;
    workers.forEach((worker) => {
      worker.script = {
        onRequest: (request, socket) => {
          answer = () => void socket.write(responseBytes(503, { ...ID(request), ...NOT_RUN }));
        },
      };
    });
    order();
    await untilTurn(() => answer !== undefined);
    sentBefore = bytesSeen();
    harness.skippingClock.skip(9_000_000);
    answer?.();
  }
  await settle(40);
});
/** Single turns of the loop, no time passing. */
const untilTurn = async (isSo: () => boolean): Promise<void> => {
  for (let turn = 0; turn < 2_000 && !isSo(); turn += 1) await settle(1);
  assert.ok(isSo());
};
Then("nothing is sent for the order after that", async () => {
  assert.equal(bytesSeen(), sentBefore);
  await harness.clock.pass(5_000_000);
  assert.equal(bytesSeen(), sentBefore);
});
Then("the order's client is told {int}, or has left", (status: number) => {
  assert.ok(client);
  if (!client.socket.writableEnded) assert.equal(client.responses[0]?.status, status);
  client.socket.destroy();
});

Given(
  "a gateway with workers that refuse, reset, are full, fail and are silent, two of each",
  async () => {
    await newRig();
    const scripts: Readonly<Record<string, Script>> = {
      refuses: {},
      resets: { onRequest: (_arrival, socket) => void socket.resetAndDestroy() },
      full: {
        onRequest: (request, socket) =>
          void socket.write(responseBytes(503, { ...ID(request), ...NOT_RUN })),
      },
      fails: {
        onRequest: (request, socket) => void socket.write(responseBytes(500, SEALED(request))),
      },
      silent: {},
    };
    for (const [name, script] of Object.entries(scripts)) {
      for (const number of [1, 2]) {
        const worker = await join(new ScriptedWorker(`${name}-${number}`, script));
        if (name === "refuses") worker.stop();
      }
    }
  },
);
When("{int} reads are sent, one after the other", { timeout: 60_000 }, async (count: number) => {
  for (let at = 0; at < count; at += 1) await ask("GET", "/safe/x");
});
Then("no try was seen by more than {int} workers", (most: number) => {
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
  /^a keyed order's client leaves, and then the worker('s connection is reset| turns it away)$/,
  async (what: string) => {
    let act: (() => void) | undefined;
    first().script = {
      onRequest: (request, socket) => {
        act = () => {
          if (what === " turns it away")
            socket.write(responseBytes(503, { ...ID(request), ...NOT_RUN }));
          else socket.resetAndDestroy();
        };
      },
    };
    const leaver = new RawClient(harness.host, harness.port);
    tries += 1;
    leaver.send(
      "POST",
      "/keyed/x",
      { "Yewreel-Try-Id": `t-${tries}`, "Yewreel-Operation-Key": "k", ...LEFT },
      "an order",
    );
    await harness.until(() => act !== undefined);
    leaver.socket.destroy();
    await harness.clock.pass(10_000);
    act?.();
    await harness.clock.pass(10_000);
  },
);
Then("the key is free", () => assert.equal(harness.keyService.claims.size, 0));
Then("the key is not free", () => assert.equal(harness.keyService.claims.size, 1));

When("a keyed order is turned away {int} s after its key was claimed", async (seconds: number) => {
  await newRig(configurationOf(MAX_TRIES, (kind) => kind, 20_000_000));
  const script: Script = {
    onRequest: (request, socket) =>
      void harness.clock.after(seconds * 1_000_000, () =>
        socket.write(responseBytes(503, { ...ID(request), ...NOT_RUN })),
      ),
  };
  for (const id of ["w1", "w2"]) await join(new ScriptedWorker(id, script));
  response = await ask("POST", "/keyed/x", "an order", {
    "Yewreel-Operation-Key": "k",
    "Yewreel-Time-Left-Ms": "20000",
  });
});
Then("{int} worker(s) saw it, and it is told 503", (count: number) =>
  assert.deepEqual([arrivalsOf(`t-${tries}`).length, response?.status], [count, 503]),
);

const OBJECT = "o".repeat(300_000);
const ODD_READS: Readonly<Record<string, (arrival: WorkerRequest, socket: Socket) => void>> = {
  "a 503 with Not-Run and another's id": (_arrival, socket) =>
    void socket.write(responseBytes(503, { "Yewreel-Try-Id": "somebody-else", ...NOT_RUN })),
  "a 421 with another's id": (_arrival, socket) =>
    void socket.write(responseBytes(421, { "Yewreel-Try-Id": "somebody-else" })),
  "a 200 with another's id": (request, socket) =>
    void socket.write(own({ ...request, attemptId: "somebody-else" })),
  "a 503 with Not-Run and no id": (_arrival, socket) =>
    void socket.write(responseBytes(503, NOT_RUN)),
  "a 421 and no id": (_arrival, socket) => void socket.write(responseBytes(421, {})),
  "a large body that stalls": (request, socket) =>
    void socket.write(own(request, OBJECT).slice(0, -5)),
  "a large body cut short": (request, socket) => void socket.end(own(request, OBJECT).slice(0, -5)),
};
let goods: ObjectClient;
let read: ObjectResult | undefined;

const newReader = async (script: Script): Promise<void> => {
  await newRig();
  const { skippingClock: clock, pool } = harness;
  const chooser = new LoadBalancer({
    workers: pool,
    zone: "c1",
    random: Math.random,
    connectionShare: () => 10,
  });
  const rate = new RateLimiter(clock, () => 0);
  const budgets = new RetryBudgets({
    clock,
    log: silentLogger,
    windowUs: 10_000_000,
    limits: () => defaultLimits({ ratio: 100, slack: 0, windowUs: 10_000_000 }),
  });
  const origin = new OriginFetcher({
    clock,
    workers: pool,
    loadBalancer: chooser,
    rateLimiter: rate,
    retryBudgets: budgets,
    countFault: () => undefined,
    maxObjectBytes: 1_000_000,
  });
  goods = new ObjectClient({
    clock,
    maxBytes: 0,
    sharedCaches: new PeerCaches(clock),
    zoneCaches: new PeerCaches(clock),
    origin,
    rateLimiter: rate,
    isFresh: () => true,
    staleIfErrorUs: 0,
  });
  await join(new ScriptedWorker("w1", script));
};
const readOnce = async (range?: string): Promise<ObjectResult> => {
  let found: ObjectResult | undefined;
  const nowUs = harness.skippingClock.nowUs();
  void goods
    .fetch(
      {
        service: "s1",
        host: "a.example",
        url: `/safe/${tries}`,
        cacheForUs: 40_000_000,
        maxAgeUs: 40_000_000,
        latencyTargetUs: 500_000,
        deadlineUs: nowUs + 2_000_000,
      },
      range,
    )
    .then((result) => {
      found = result;
    });
  await harness.until(() => found !== undefined);
  assert.ok(found);
  return found;
};

Given(/^a reader of objects and a worker that answers a read with (.*)$/, async (odd: string) => {
  const act = ODD_READS[odd];
  assert.ok(act, `no such answer: ${odd}`);
  await newReader({ onRequest: act });
});
Given(
  /^(a reader of objects and a worker|another worker) that has the object$/,
  async (who: string) => {
    const script: Script = {
      onRequest: (request, socket) => void socket.write(own(request, OBJECT)),
    };
    if (who === "another worker") await join(new ScriptedWorker("w2", script));
    else await newReader(script);
  },
);
When("the object is read until the first worker was asked", async () => {
  for (let at = 0; at < 40 && first().requests.length === 0; at += 1) {
    tries += 1;
    read = await readOnce();
  }
  assert.ok(first().requests.length > 0, "the first worker was never asked");
  // The same object once more: whoever comes later doesn't wait on a read that came to nothing.
  read = await readOnce();
});
Then(/^the reader has the object, and the first worker is (still|not) known$/, (known: string) => {
  assert.ok(
    read?.kind === "served" && read.body.toString() === OBJECT,
    JSON.stringify(read).slice(0, 100),
  );
  assert.equal(
    harness.pool.all().some(({ id }) => id === "w1"),
    known === "still",
  );
});
Then("no connection of a worker brought two reads", () =>
  workers
    .flatMap(({ bytes }) => bytes)
    .forEach((bytes) => assert.ok(bytes.split("GET ").length <= 2)),
);
When("a range past its end is read", async () => {
  read = await readOnce("bytes=300000-");
});
Then("the reader is told 416 without a seal", () => {
  assert.ok(read?.kind === "served");
  assert.deepEqual(
    [read.status, read.headers.some((head) => head.toLowerCase() === "yewreel-server-seal")],
    [416, false],
  );
});
