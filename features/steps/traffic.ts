import assert from "node:assert/strict";
import { request as httpRequest, type IncomingHttpHeaders } from "node:http";
import { connect } from "node:net";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { UpdateStore } from "../../src/membership/update-store.js";
import { RetryBudgets } from "../../src/proxy/retry-budget.js";
import { ProxyServer } from "../../src/proxy/proxy-server.js";
import { IdempotencyClient } from "../../src/idempotency/key-client.js";
import { CustomerDirectory } from "../../src/proxy/customer-directory.js";
import { ShardDirectory } from "../../src/proxy/shard-directory.js";
import { RouteTable } from "../../src/proxy/route-table.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import { summarize, generateLoad, type LoadReport } from "../../src/programs/loadgen/loadgen.js";
import { silentLogger } from "../../src/common/logger.js";
import { defaultLimits, type RouteKind } from "../../src/quota/retry-limits.js";
import { InMemoryKeyService } from "../../fuzz/proxy-harness.js";
import { ManualClock, settle } from "../support/manual-clock.js";
import { configurationUpdates, workerUpdate } from "../support/proxy-updates.js";
import { StubWorker, type WorkerBehavior } from "../support/stub-worker.js";

interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

const BEHAVIORS: Readonly<Record<string, WorkerBehavior>> = {
  "responds correctly": "well",
  "responds with a wrong id": "wrong id",
  "responds without a seal": "no seal",
  "responds with a truncated body": "truncated",
  "responds with non-HTTP bytes": "not HTTP",
  "resets the connection": "resets",
  "responds that it failed": "fails",
  "responds that it is full": "full",
  "responds that it is another worker": "other worker",
  "responds correctly and sends an extra response": "extra response",
  "doesn't respond": "silent",
};

const CONFIGURATION = JSON.stringify({
  putItems: {
    listeners: [
      {
        host: "a.example",
        rules: ["safe", "unsafe", "keyed", "cached"].map((kind) => ({
          name: kind,
          routeKind: kind,
          ...(kind === "cached" ? { cacheFor: "40s" } : {}),
          target_time: "800ms",
          rank: 1,
          version: 1,
          matchOn: { pathStart: `/${kind}/` },
          then: { service: "s1", giveUp: "3000ms", tries: 2 },
        })),
      },
    ],
    groups: [{ name: "s1", statusPath: "/health", maxConnections: 100, version: 1 }],
  },
});

let clock = new ManualClock();
let updates = new UpdateStore(clock);
let pool = new WorkerDirectory(clock, "n1", "c1");
let gateway: ProxyServer;
let port = 0;
/** Number of gateways so far. Each gets its own address, so that no two scenarios share one. */
let gatewayCount = 0;
let host = "";
let canaryOutcomes: string[] = [];
let isBudgetEmpty = false;
let retriesFor: (kind: RouteKind) => number = () => 0;
let workers = new Map<string, StubWorker>();
let responses: HttpResponse[] = [];
let rawResponse = "";
let attemptCount = 0;

let keyService = new InMemoryKeyService();
let releasedTokens: string[] = [];
let objectRequests: string[] = [];
let isRateLimitReached = false;
let isKeyServiceSilent = false;
let isBehind = false;

const startGateway = async (isConfigured: boolean): Promise<void> => {
  keyService = new InMemoryKeyService();
  releasedTokens = [];
  objectRequests = [];
  isRateLimitReached = false;
  isKeyServiceSilent = false;
  isBehind = false;
  clock = new ManualClock();
  updates = new UpdateStore(clock);
  pool = new WorkerDirectory(clock, "n1", "c1");
  const table = new RouteTable();
  const budgets = new RetryBudgets({
    clock,
    log: silentLogger,
    windowUs: 10_000_000,
    limits: () => defaultLimits({ ratio: isBudgetEmpty ? 0 : 100, slack: 0, windowUs: 10_000_000 }),
  });
  retriesFor = (kind) => budgets.budgetFor("s1", kind).snapshot().retries;
  gateway = new ProxyServer({
    clock,
    log: silentLogger,
    zone: "c1",
    bufferMemoryBytes: 64 * 1024,
    customers: new CustomerDirectory(),
    shards: new ShardDirectory(),
    routes: table,
    workers: pool,
    retryBudgets: budgets,
    isBehind: () => isBehind,
    connectionShare: () => 10,
    countFault: () => undefined,
    countOutcome: () => undefined,
    countCanaryOutcome: (...outcomeFields) => canaryOutcomes.push(outcomeFields[3]),
    random: Math.random,
    idempotency: new IdempotencyClient(
      clock,
      async (message) => (isKeyServiceSilent ? undefined : keyService.ask(message)),
      (message) => {
        if (message.kind === "key-free") releasedTokens.push(String(message["token"]));
        keyService.notify(message);
      },
    ),
    objects: {
      permit: async () => true,
      fetch: async (objectRequest, range) => {
        objectRequests.push(`${objectRequest.url} ${range ?? ""}`.trim());
        return isRateLimitReached
          ? { kind: "none", reason: "rate", retryAfterUs: 400_000 }
          : {
              kind: "served",
              status: 200,
              headers: ["Yewreel-Server-Seal", "s.object", "ETag", '"1"'],
              body: Buffer.from("an object"),
            };
      },
    },
  });
  updates.events.on("changed", (changes) => {
    table.applyUpdates(changes);
    pool.applyUpdates(changes);
    gateway.wake();
  });
  if (isConfigured) {
    updates.post(configurationUpdates(CONFIGURATION));
  }
  gatewayCount += 1;
  host = `127.4.${Math.floor(gatewayCount / 200)}.${(gatewayCount % 200) + 1}`;
  port = 12_000;
  await gateway.listen(`${host}:${port}`);
  await settle();
};

const addWorker = async (id: string, behavior: WorkerBehavior): Promise<StubWorker> => {
  const worker = new StubWorker(id, behavior);
  await worker.start();
  workers.set(id, worker);
  updates.post([workerUpdate(worker)]);
  await settle();
  return worker;
};

const sendRequest = (
  method: string,
  path: string,
  body = "",
  extraHeaders: Readonly<Record<string, string>> = {},
): Promise<HttpResponse> =>
  new Promise((resolve, reject) => {
    attemptCount += 1;
    const request = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          Host: "a.example",
          "Yewreel-Try-Id": `try-${attemptCount}`,
          "Yewreel-Time-Left-Ms": "2500",
          ...(body === "" ? {} : { "Content-Length": body.length }),
          ...extraHeaders,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on("error", reject);
      },
    );
    request.on("error", reject);
    request.end(body);
  });

/** Advances the clock until the response has arrived; the code under test uses no real time. */
const advanceUntilDone = async (
  work: Promise<HttpResponse>,
  stepUs = 20_000,
): Promise<HttpResponse> => {
  let done: HttpResponse | undefined;
  const finished = work.then((response) => {
    done = response;
  });
  for (let step = 0; step < 2_000 && done === undefined; step += 1) await clock.pass(stepUs);
  await finished;
  assert.ok(done);
  return done;
};

const exchangeRaw = (bytes: string, isComplete: (response: string) => boolean): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, host, () => socket.write(bytes));
    let response = "";
    socket.on("data", (chunk) => {
      response += chunk.toString();
      if (isComplete(response)) socket.destroy();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(response));
  });

const lastResponse = (): HttpResponse => {
  const response = responses[responses.length - 1];
  assert.ok(response, "no response arrived");
  return response;
};
const workerById = (id: string): StubWorker => {
  const found = workers.get(id);
  assert.ok(found);
  return found;
};

Given("the gateway lacks a configuration that was announced to it", () => {
  isBehind = true;
});
When("the gateway receives that configuration", () => {
  isBehind = false;
});

Before(() => {
  workers = new Map();
  responses = [];
  rawResponse = "";
  canaryOutcomes = [];
  isBudgetEmpty = false;
});

After({ tags: "not @none" }, () => {
  workers.forEach((worker) => worker.stop());
  pool.all().forEach((worker) => worker.connections.closeIdle());
  if (port !== 0) gateway.stopListening();
  port = 0;
});

Given(
  "a gateway with the configured routes {string} and {string}",
  async (firstRoute: string, secondRoute: string) => {
    assert.notEqual(firstRoute, secondRoute);
    await startGateway(true);
  },
);
Given("a gateway without a configuration", async () => {
  gateway.stopListening();
  await startGateway(false);
});
Given(
  /^a worker "(\w+)" that (responds .*|resets the connection|doesn't respond)$/,
  async (id: string, manner: string) => {
    const behavior = BEHAVIORS[manner];
    assert.ok(behavior, `no such behavior: ${manner}`);
    await addWorker(id, behavior);
  },
);
Given("the retry budget is empty", () => {
  isBudgetEmpty = true;
});

When("a client posts {string} to {string}", async (body: string, path: string) => {
  responses.push(await advanceUntilDone(sendRequest("POST", path, body), 2_000));
});
When("a client gets {string}", async (path: string) => {
  responses.push(await advanceUntilDone(sendRequest("GET", path), 2_000));
});
When(
  "a client gets {string} until {string} has received a request",
  async (path: string, id: string) => {
    for (let time = 0; time < 60 && workerById(id).requests.length === 0; time += 1)
      responses.push(await advanceUntilDone(sendRequest("GET", path), 1_000));
    assert.ok(workerById(id).requests.length > 0, `${id} received no request`);
  },
);
When(
  "a client posts {string} to {string} until {string} has received a request",
  async (body: string, path: string, id: string) => {
    for (let time = 0; time < 60 && workerById(id).requests.length === 0; time += 1)
      responses.push(await advanceUntilDone(sendRequest("POST", path, body), 1_000));
    assert.ok(workerById(id).requests.length > 0, `${id} received no request`);
  },
);
When("a client gets {string} {int} times in a row", async (path: string, times: number) => {
  for (let time = 0; time < times; time += 1)
    responses.push(await advanceUntilDone(sendRequest("GET", path), 1_000));
});
When(
  "a client posts {string} to {string} and its deadline passes",
  async (body: string, path: string) => {
    responses.push(await advanceUntilDone(sendRequest("POST", path, body), 200_000));
  },
);
When(
  "a client gets {string} and {string} joins before the response",
  async (path: string, id: string) => {
    const response = sendRequest("GET", path);
    for (let turn = 0; turn < 500 && workerById("w1").requests.length === 0; turn += 1)
      await clock.pass(1_000);
    await addWorker(id, "well");
    responses.push(await advanceUntilDone(response, 100_000));
  },
);
When(
  "a client pipelines {int} requests to {string} on one connection",
  async (count: number, path: string) => {
    const bytes = Array.from(
      { length: count },
      (_, at) =>
        `GET ${path} HTTP/1.1\r\nHost: a.example\r\nYewreel-Try-Id: p-${at}\r\nYewreel-Time-Left-Ms: 2000\r\n\r\n`,
    ).join("");
    rawResponse = await exchangeRaw(
      bytes,
      (response) => response.split("the bytes of the worker").length > count,
    );
  },
);
When("the gateway starts draining and a client gets {string}", async (path: string) => {
  gateway.startDraining();
  responses.push(await advanceUntilDone(sendRequest("GET", path), 1_000));
});
When("a client sends an oversized request head", async () => {
  rawResponse = await exchangeRaw(
    `GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Large: ${"x".repeat(40_000)}\r\n\r\n`,
    (response) => response.includes("\r\n\r\n"),
  );
});
When("a client sends a malformed request", async () => {
  rawResponse = await exchangeRaw("this is no request\r\n\r\n", (response) =>
    response.includes("\r\n\r\n"),
  );
});

When(
  "{string} stops without notice and a client posts {int} requests to {string}",
  async (id: string, count: number, path: string) => {
    workerById(id).stop();
    for (let at = 0; at < count; at += 1) {
      responses.push(await advanceUntilDone(sendRequest("POST", path, "an order"), 2_000));
      await clock.pass(1_100_000);
    }
  },
);
Then("no retry was counted", () =>
  assert.deepEqual([retriesFor("safe"), retriesFor("unsafe")], [0, 0]),
);

Then("the response is {int}", (status: number) => assert.equal(lastResponse().status, status));
Then("the response is {int} with Retry-After", (status: number) => {
  assert.equal(lastResponse().status, status);
  assert.ok(Number(lastResponse().headers["retry-after"]) > 0);
});
Then("the response is {int} with the worker's body, seal and X-Mark header", (status: number) => {
  assert.equal(lastResponse().status, status);
  assert.equal(lastResponse().body, "the bytes of the worker");
  assert.ok(lastResponse().headers["yewreel-server-seal"]);
  assert.equal(lastResponse().headers["x-mark"], "kept");
});
Then("the response is {int} with Connection: close", (status: number) => {
  assert.equal(lastResponse().status, status);
  assert.equal(lastResponse().headers.connection, "close");
});
Then("the raw response is {int}", (status: number) =>
  assert.match(rawResponse, new RegExp(`^HTTP/1.1 ${status} `)),
);
Then("every response was {int}", (status: number) => {
  assert.ok(responses.length > 0);
  responses.forEach((response) => assert.equal(response.status, status));
});
Then("no response contains the extra bytes", () =>
  responses.forEach((response) => assert.equal(response.body, "the bytes of the worker")),
);
Then(
  "{string} received the same method, path, query and body, its own id as the expected worker, and no more time than the client had left",
  (id: string) => {
    const [seen] = workerById(id).requests;
    assert.ok(seen);
    assert.match(seen.head, /^POST \/unsafe\/x\?y=1 HTTP\/1\.1/);
    assert.equal(seen.body, "an order");
    assert.equal(seen.expectedWorker, id);
    const left = Number(/yewreel-time-left-ms: (\d+)/i.exec(seen.head)?.[1]);
    assert.ok(left > 0 && left <= 2_500);
  },
);
Then("{string} received {int} request(s)", (id: string, count: number) =>
  assert.equal(workerById(id).requests.length, count),
);
Then("the workers received {int} request(s) in total", (count: number) => {
  assert.equal(
    [...workers.values()].reduce((sum, worker) => sum + worker.requests.length, 0),
    count,
  );
});
Then("{string} is no longer in the worker directory", (id: string) =>
  assert.ok(!pool.all().some((worker) => worker.id === id)),
);
Then("{int} responses arrive in the order of their ids", (count: number) => {
  const ids = [...rawResponse.matchAll(/Yewreel-Try-Id: (p-\d+)/gi)].map((match) => match[1]);
  assert.deepEqual(
    ids,
    Array.from({ length: count }, (_, at) => `p-${at}`),
  );
});

let loadReport: LoadReport | undefined;

When(
  "the load generator sends {int} requests per second for {int} seconds to {string}",
  async (ratePerS: number, seconds: number, path: string) => {
    const load = {
      targets: [`${host}:${port}`],
      host: "a.example",
      path,
      method: path.startsWith("/unsafe") ? "POST" : "GET",
      body: "",
      ratePerS,
      seconds,
      budgetMs: 1_500,
    };
    const work = generateLoad(load, clock).then((outcomes) => {
      loadReport = summarize(outcomes);
      return { status: 0, headers: {}, body: "" };
    });
    await advanceUntilDone(work, 20_000);
  },
);
Then("{int} outcomes of {int} are reported", (count: number, status: number) =>
  assert.deepEqual(loadReport?.outcomes, { [status]: count }),
);
Then("{int} outcomes are reported, the slowest after its whole time budget", (count: number) => {
  assert.equal(loadReport?.sent, count);
  assert.ok(loadReport.mostMs >= 1_400, `${loadReport.mostMs} ms`);
});

Given("the configuration splits {string} between two services", async (path: string) => {
  assert.equal(path, "/unsafe/");
  const weighted = CONFIGURATION.replaceAll('"version":1', '"version":2').replaceAll(
    '"service":"s1"',
    '"shares":[{"service":"s1","share":1},{"service":"s0","share":0}]',
  );
  updates.post(configurationUpdates(weighted));
  await settle();
});
When(
  "a client posts {string} to {string} and disconnects after {int} ms",
  async (body: string, path: string, disconnectsAfterMs: number) => {
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: a.example\r\nYewreel-Try-Id: leaver\r\nYewreel-Time-Left-Ms: 2500\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    for (let turn = 0; turn < 2_000 && workerById("w1").requests.length === 0; turn += 1)
      await settle();
    await clock.pass(disconnectsAfterMs * 1_000);
    socket.destroy();
    for (let turn = 0; turn < 200 && gateway.openRequests > 0; turn += 1) await settle();
  },
);
Then(/^the canary counts (doubled|nothing)$/, (counted: string) =>
  assert.deepEqual(canaryOutcomes, counted === "nothing" ? [] : [counted]),
);

When("a client posts {int} bytes to {string}", async (size: number, path: string) => {
  responses.push(await advanceUntilDone(sendRequest("POST", path, "x".repeat(size)), 2_000));
});
Given("worker {string} has a response body of {int} bytes", (id: string, size: number) => {
  workerById(id).body = "y".repeat(size);
});
Then("the response is {int} with all {int} bytes", (status: number, size: number) => {
  assert.deepEqual([lastResponse().status, lastResponse().body.length], [status, size]);
});

const postWithKey = (key: string): Promise<HttpResponse> =>
  sendRequest("POST", "/keyed/x", "a voucher", key === "" ? {} : { "Yewreel-Operation-Key": key });

When("a client posts with the key {string}", async (key: string) => {
  responses.push(await advanceUntilDone(postWithKey(key)));
});
When(
  "a client posts with the key {string} and disconnects before the worker responds",
  async (key: string) => {
    const client = connect(port, host);
    client.write(
      `POST /keyed/x HTTP/1.1\r\nHost: a.example\r\nYewreel-Try-Id: leaver\r\nYewreel-Time-Left-Ms: 2500\r\nYewreel-Operation-Key: ${key}\r\nContent-Length: 1\r\n\r\nx`,
    );
    for (
      let step = 0;
      step < 200 && [...workers.values()].every((worker) => worker.requests.length === 0);
      step += 1
    )
      await clock.pass(5_000);
    client.destroy();
    await clock.pass(50_000);
  },
);
When("the key service doesn't respond", () => {
  isKeyServiceSilent = true;
});
When("the origin's rate limit is reached", () => {
  isRateLimitReached = true;
});
When("a client gets {string} with the range {string}", async (path: string, range: string) => {
  responses.push(await advanceUntilDone(sendRequest("GET", path, "", { Range: range })));
});
Then(
  "the response is {int} with the attempt's own id and {string}",
  (status: number, body: string) => {
    assert.deepEqual(
      [lastResponse().status, lastResponse().body, lastResponse().headers["yewreel-try-id"]],
      [status, body, `try-${attemptCount}`],
    );
    assert.ok(lastResponse().headers["yewreel-server-seal"]);
  },
);
Then("all workers together received {int} request(s)", (count: number) =>
  assert.equal(
    [...workers.values()].reduce((sum, worker) => sum + worker.requests.length, 0),
    count,
  ),
);
Then("the claim was released", () =>
  assert.equal(releasedTokens.length > 0 && keyService.claims.size === 0, true),
);
Then("the claim was not released", () =>
  assert.deepEqual([releasedTokens, keyService.claims.size], [[], 1]),
);
Then("{string} was requested with the range {string}", (path: string, range: string) =>
  assert.deepEqual(objectRequests, [`${path} ${range}`]),
);
