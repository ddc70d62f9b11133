import assert from "node:assert/strict";
import { request as httpRequest, type IncomingHttpHeaders } from "node:http";
import { connect } from "node:net";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { UpdateStore } from "../../src/membership/update-store.js";
import { RetryBudgets } from "../../src/proxy/retry-budget.js";
import { ProxyServer } from "../../src/proxy/proxy-server.js";
import { IdempotencyClient } from "../../src/idempotency/key-client.js";
import { RouteTable } from "../../src/proxy/route-table.js";
import { WorkerDirectory } from "../../src/proxy/worker-directory.js";
import { summarize, generateLoad, type LoadReport } from "../../src/programs/loadgen/loadgen.js";
import { silentLogger } from "../../src/common/logger.js";
import { defaultLimits, type RouteKind } from "../../src/quota/retry-limits.js";
import { InMemoryKeyService } from "../../fuzz/proxy-harness.js";
import { ManualClock, settle } from "../support/manual-clock.js";
import { configurationUpdates, workerUpdate } from "../support/proxy-updates.js";
import { StandIn, type Manner } from "../support/stand-in.js";

interface Got {
  readonly status: number;
  readonly heads: IncomingHttpHeaders;
  readonly body: string;
}

const MANNERS: Readonly<Record<string, Manner>> = {
  "answers well": "well",
  "answers with a wrong id": "wrong id",
  "answers without a seal": "no seal",
  "answers and breaks off": "breaks off",
  "answers with no bytes of the protocol": "no bytes of the protocol",
  "answers with a reset": "resets",
  "answers that it failed": "fails",
  "answers that it is full": "full",
  "answers that it is another": "other",
  "answers well and sends an extra answer": "an extra answer",
  "stays silent": "silent",
};

const PLAN = JSON.stringify({
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
/** Every gateway gets an address of its own, so that no two scenarios share a port. */
let gateways = 0;
let host = "";
let rolloutCounts: string[] = [];
let isBudgetEmpty = false;
let retriesOf: (kind: RouteKind) => number = () => 0;
let workers = new Map<string, StandIn>();
let got: Got[] = [];
let raw = "";
let lastTry = 0;

let keyService = new InMemoryKeyService();
let freed: string[] = [];
let wants: string[] = [];
let isRateSpent = false;
let isKeyServiceSilent = false;
let isBehind = false;

const build = async (withPlan: boolean): Promise<void> => {
  keyService = new InMemoryKeyService();
  freed = [];
  wants = [];
  isRateSpent = false;
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
  retriesOf = (kind) => budgets.of("s1", kind).snapshot().retries;
  gateway = new ProxyServer({
    clock,
    log: silentLogger,
    zone: "c1",
    bufferMemoryBytes: 64 * 1024,
    routes: table,
    pool,
    retryBudgets: budgets,
    isBehind: () => isBehind,
    connectionShare: () => 10,
    countFault: () => undefined,
    countOutcome: () => undefined,
    countCanaryOutcome: (...counted) => rolloutCounts.push(counted[3]),
    random: Math.random,
    idempotency: new IdempotencyClient(
      clock,
      async (message) => (isKeyServiceSilent ? undefined : keyService.ask(message)),
      (message) => {
        if (message.kind === "key-free") freed.push(String(message["token"]));
        keyService.notify(message);
      },
    ),
    objects: {
      permit: async () => true,
      fetch: async (want, range) => {
        wants.push(`${want.url} ${range ?? ""}`.trim());
        return isRateSpent
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
  updates.events.on("changed", (facts) => {
    table.applyUpdates(facts);
    pool.applyUpdates(facts);
    gateway.wake();
  });
  if (withPlan) {
    updates.post(configurationUpdates(PLAN));
  }
  gateways += 1;
  host = `127.4.${Math.floor(gateways / 200)}.${(gateways % 200) + 1}`;
  port = 12_000;
  await gateway.listen(`${host}:${port}`);
  await settle();
};

const join = async (id: string, manner: Manner): Promise<StandIn> => {
  const worker = new StandIn(id, manner);
  await worker.start();
  workers.set(id, worker);
  updates.post([workerUpdate(worker)]);
  await settle();
  return worker;
};

const send = (
  method: string,
  path: string,
  body = "",
  more: Readonly<Record<string, string>> = {},
): Promise<Got> =>
  new Promise((resolve, reject) => {
    lastTry += 1;
    const request = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          Host: "a.example",
          "Yewreel-Try-Id": `try-${lastTry}`,
          "Yewreel-Time-Left-Ms": "2500",
          ...(body === "" ? {} : { "Content-Length": body.length }),
          ...more,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            heads: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on("error", reject);
      },
    );
    request.on("error", reject);
    request.end(body);
  });

/** Moves the clock on until the answer is there; what is under test never waits for real time. */
const during = async (work: Promise<Got>, stepUs = 20_000): Promise<Got> => {
  let done: Got | undefined;
  const finished = work.then((answer) => {
    done = answer;
  });
  for (let step = 0; step < 2_000 && done === undefined; step += 1) await clock.pass(stepUs);
  await finished;
  assert.ok(done);
  return done;
};

const converse = (bytes: string, enough: (answer: string) => boolean): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, host, () => socket.write(bytes));
    let answer = "";
    socket.on("data", (chunk) => {
      answer += chunk.toString();
      if (enough(answer)) socket.destroy();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(answer));
  });

const last = (): Got => {
  const answer = got[got.length - 1];
  assert.ok(answer, "no answer came");
  return answer;
};
const worker = (id: string): StandIn => {
  const found = workers.get(id);
  assert.ok(found);
  return found;
};

Given("the gateway lacks a configuration that it was told of", () => {
  isBehind = true;
});
When("the gateway gets that configuration", () => {
  isBehind = false;
});

Before(() => {
  workers = new Map();
  got = [];
  raw = "";
  rolloutCounts = [];
  isBudgetEmpty = false;
});

After({ tags: "not @none" }, () => {
  workers.forEach((one) => one.stop());
  pool.all().forEach((one) => one.connections.closeIdle());
  if (port !== 0) gateway.stopListening();
  port = 0;
});

Given(
  "a gateway with the plan's routes {string} and {string}",
  async (one: string, other: string) => {
    assert.notEqual(one, other);
    await build(true);
  },
);
Given("a gateway without a plan", async () => {
  gateway.stopListening();
  await build(false);
});
Given(/^a worker "(\w+)" that (answers .*|stays silent)$/, async (id: string, manner: string) => {
  const known = MANNERS[manner];
  assert.ok(known, `no such manner: ${manner}`);
  await join(id, known);
});
Given("the retry budget is empty", () => {
  isBudgetEmpty = true;
});

When("a client posts {string} to {string}", async (body: string, path: string) => {
  got.push(await during(send("POST", path, body), 2_000));
});
When("a client gets {string}", async (path: string) => {
  got.push(await during(send("GET", path), 2_000));
});
When("a client gets {string} until {string} has been asked", async (path: string, id: string) => {
  for (let time = 0; time < 60 && worker(id).seen.length === 0; time += 1)
    got.push(await during(send("GET", path), 1_000));
  assert.ok(worker(id).seen.length > 0, `${id} was never asked`);
});
When(
  "a client posts {string} to {string} until {string} has been asked",
  async (body: string, path: string, id: string) => {
    for (let time = 0; time < 60 && worker(id).seen.length === 0; time += 1)
      got.push(await during(send("POST", path, body), 1_000));
    assert.ok(worker(id).seen.length > 0, `${id} was never asked`);
  },
);
When("a client gets {string} {int} times in a row", async (path: string, times: number) => {
  for (let time = 0; time < times; time += 1) got.push(await during(send("GET", path), 1_000));
});
When(
  "a client posts {string} to {string} and its time runs out",
  async (body: string, path: string) => {
    got.push(await during(send("POST", path, body), 200_000));
  },
);
When(
  "a client gets {string} while {string} joins and a second passes",
  async (path: string, id: string) => {
    const answer = send("GET", path);
    for (let turn = 0; turn < 500 && worker("w1").seen.length === 0; turn += 1)
      await clock.pass(1_000);
    await join(id, "well");
    got.push(await during(answer, 100_000));
  },
);
When(
  "a client sends {int} requests to {string} at once on one connection",
  async (count: number, path: string) => {
    const bytes = Array.from(
      { length: count },
      (_, at) =>
        `GET ${path} HTTP/1.1\r\nHost: a.example\r\nYewreel-Try-Id: p-${at}\r\nYewreel-Time-Left-Ms: 2000\r\n\r\n`,
    ).join("");
    raw = await converse(bytes, (answer) => answer.split("the bytes of the worker").length > count);
  },
);
When("the gateway begins to leave and a client gets {string}", async (path: string) => {
  gateway.startDraining();
  got.push(await during(send("GET", path), 1_000));
});
When("a client sends a head that is too large", async () => {
  raw = await converse(
    `GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Large: ${"x".repeat(40_000)}\r\n\r\n`,
    (answer) => answer.includes("\r\n\r\n"),
  );
});
When("a client sends what is no request", async () => {
  raw = await converse("this is no request\r\n\r\n", (answer) => answer.includes("\r\n\r\n"));
});

When(
  "{string} is gone without a word and a client posts {int} orders to {string}",
  async (id: string, count: number, path: string) => {
    worker(id).stop();
    for (let at = 0; at < count; at += 1) {
      got.push(await during(send("POST", path, "an order"), 2_000));
      await clock.pass(1_100_000);
    }
  },
);
Then("no retry was counted", () =>
  assert.deepEqual([retriesOf("safe"), retriesOf("unsafe")], [0, 0]),
);

Then("the answer is {int}", (status: number) => assert.equal(last().status, status));
Then("the answer is {int} with Retry-After", (status: number) => {
  assert.equal(last().status, status);
  assert.ok(Number(last().heads["retry-after"]) > 0);
});
Then("the answer is {int} with the worker's body, seal and mark", (status: number) => {
  assert.equal(last().status, status);
  assert.equal(last().body, "the bytes of the worker");
  assert.ok(last().heads["yewreel-server-seal"]);
  assert.equal(last().heads["x-mark"], "kept");
});
Then("the answer is {int} and says that the connection closes", (status: number) => {
  assert.equal(last().status, status);
  assert.equal(last().heads.connection, "close");
});
Then("the raw answer is {int}", (status: number) =>
  assert.match(raw, new RegExp(`^HTTP/1.1 ${status} `)),
);
Then("every answer was {int}", (status: number) => {
  assert.ok(got.length > 0);
  got.forEach((answer) => assert.equal(answer.status, status));
});
Then("no answer holds the extra bytes", () =>
  got.forEach((answer) => assert.equal(answer.body, "the bytes of the worker")),
);
Then(
  "{string} saw the same method, path, query and body, its own id expected, and less time left",
  (id: string) => {
    const [seen] = worker(id).seen;
    assert.ok(seen);
    assert.match(seen.head, /^POST \/unsafe\/x\?y=1 HTTP\/1\.1/);
    assert.equal(seen.body, "an order");
    assert.equal(seen.expected, id);
    const left = Number(/yewreel-time-left-ms: (\d+)/i.exec(seen.head)?.[1]);
    assert.ok(left > 0 && left <= 2_500);
  },
);
Then("{string} saw {int} request(s)", (id: string, count: number) =>
  assert.equal(worker(id).seen.length, count),
);
Then("the workers saw {int} request(s) in all", (count: number) => {
  assert.equal(
    [...workers.values()].reduce((sum, one) => sum + one.seen.length, 0),
    count,
  );
});
Then("{string} is no longer known", (id: string) =>
  assert.ok(!pool.all().some((one) => one.id === id)),
);
Then("{int} answers come back in the order of their ids", (count: number) => {
  const ids = [...raw.matchAll(/Yewreel-Try-Id: (p-\d+)/gi)].map((match) => match[1]);
  assert.deepEqual(
    ids,
    Array.from({ length: count }, (_, at) => `p-${at}`),
  );
});

let shuntReport: LoadReport | undefined;

When(
  "the load generator sends {int} requests a second for {int} seconds to {string}",
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
    const work = generateLoad(load, clock).then((shunted) => {
      shuntReport = summarize(shunted);
      return { status: 0, heads: {}, body: "" };
    });
    await during(work, 20_000);
  },
);
Then("{int} outcomes of {int} are reported", (count: number, status: number) =>
  assert.deepEqual(shuntReport?.outcomes, { [status]: count }),
);
Then("{int} outcomes are reported, the slowest after its whole budget", (count: number) => {
  assert.equal(shuntReport?.sent, count);
  assert.ok(shuntReport.mostMs >= 1_400, `${shuntReport.mostMs} ms`);
});

Given("the plan splits {string} over two services", async (path: string) => {
  assert.equal(path, "/unsafe/");
  const weighted = PLAN.replaceAll('"version":1', '"version":2').replaceAll(
    '"service":"s1"',
    '"shares":[{"service":"s1","share":1},{"service":"s0","share":0}]',
  );
  updates.post(configurationUpdates(weighted));
  await settle();
});
When(
  "a client posts {string} to {string} and leaves after {int} ms",
  async (body: string, path: string, leavesAfterMs: number) => {
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: a.example\r\nYewreel-Try-Id: leaver\r\nYewreel-Time-Left-Ms: 2500\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    for (let turn = 0; turn < 2_000 && worker("w1").seen.length === 0; turn += 1) await settle();
    await clock.pass(leavesAfterMs * 1_000);
    socket.destroy();
    for (let turn = 0; turn < 200 && gateway.openRequests > 0; turn += 1) await settle();
  },
);
Then(/^the rollout counts (doubled|nothing)$/, (counted: string) =>
  assert.deepEqual(rolloutCounts, counted === "nothing" ? [] : [counted]),
);

When("a client posts {int} bytes to {string}", async (size: number, path: string) => {
  got.push(await during(send("POST", path, "x".repeat(size)), 2_000));
});
Given("worker {string} has {int} bytes to answer with", (id: string, size: number) => {
  worker(id).body = "y".repeat(size);
});
Then("the answer is {int} with all {int} bytes", (status: number, size: number) => {
  assert.deepEqual([last().status, last().body.length], [status, size]);
});

const redeem = (key: string): Promise<Got> =>
  send("POST", "/keyed/x", "a voucher", key === "" ? {} : { "Yewreel-Operation-Key": key });

When("key {string} is redeemed", async (key: string) => {
  got.push(await during(redeem(key)));
});
When(
  "key {string} is redeemed and its client leaves while the worker is silent",
  async (key: string) => {
    const client = connect(port, host);
    client.write(
      `POST /keyed/x HTTP/1.1\r\nHost: a.example\r\nYewreel-Try-Id: leaver\r\nYewreel-Time-Left-Ms: 2500\r\nYewreel-Operation-Key: ${key}\r\nContent-Length: 1\r\n\r\nx`,
    );
    for (
      let step = 0;
      step < 200 && [...workers.values()].every((worker) => worker.seen.length === 0);
      step += 1
    )
      await clock.pass(5_000);
    client.destroy();
    await clock.pass(50_000);
  },
);
When("nobody answers at the desk", () => {
  isKeyServiceSilent = true;
});
When("the origin's rate is spent", () => {
  isRateSpent = true;
});
When("a client gets {string} with the range {string}", async (path: string, range: string) => {
  got.push(await during(send("GET", path, "", { Range: range })));
});
Then("the answer is {int} with the try's own id and {string}", (status: number, body: string) => {
  assert.deepEqual(
    [last().status, last().body, last().heads["yewreel-try-id"]],
    [status, body, `try-${lastTry}`],
  );
  assert.ok(last().heads["yewreel-server-seal"]);
});
Then("all workers together saw {int} request(s)", (count: number) =>
  assert.equal(
    [...workers.values()].reduce((sum, worker) => sum + worker.seen.length, 0),
    count,
  ),
);
Then("its token was taken back", () =>
  assert.equal(freed.length > 0 && keyService.claims.size === 0, true),
);
Then("its token was not taken back", () =>
  assert.deepEqual([freed, keyService.claims.size], [[], 1]),
);
Then("{string} was asked for with the range {string}", (path: string, range: string) =>
  assert.deepEqual(wants, [`${path} ${range}`]),
);
