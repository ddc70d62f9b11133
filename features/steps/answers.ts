import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { RawCaller, type Told } from "../../fuzz/raw-caller.js";
import { planOf, Rig, TRIES } from "../../fuzz/rig.js";
import { answerOf, ScriptedWorker, type Arrival, type Script } from "../../fuzz/scripted-worker.js";
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

let rig: Rig;
let workers: ScriptedWorker[] = [];
let tries = 0;
let told: Told | undefined;

const own = (arrival: Arrival, body = `ran ${arrival.tryId}`): string =>
  answerOf(
    200,
    {
      "Yewreel-Try-Id": arrival.tryId,
      "Yewreel-Server-Seal": `s.${arrival.worker}.${arrival.tryId}`,
    },
    body,
  );

const newRig = async (plan = planOf()): Promise<void> => {
  rig = new Rig({ plan });
  workers = [];
  await rig.start();
};
const join = async (worker: ScriptedWorker): Promise<ScriptedWorker> => {
  workers.push(worker);
  await rig.join(worker);
  return worker;
};
const first = (): ScriptedWorker => {
  const [worker] = workers;
  assert.ok(worker);
  return worker;
};
const arrivalsOf = (tryId: string): readonly Arrival[] =>
  workers.flatMap(({ arrivals }) => arrivals).filter((arrival) => arrival.tryId === tryId);

const ask = async (
  method: string,
  path: string,
  body = "",
  headers: Readonly<Record<string, string>> = {},
): Promise<Told | undefined> => {
  tries += 1;
  const caller = new RawCaller(rig.host, rig.port);
  caller.send(method, path, { "Yewreel-Try-Id": `t-${tries}`, ...LEFT, ...headers }, body);
  await rig.until(() => caller.told.length > 0 || caller.isClosed);
  caller.socket.destroy();
  return caller.told[0];
};

After({ tags: "not @none" }, async () => {
  if (workers.length === 0) return;
  rig.stop();
  workers.forEach((worker) => worker.stop());
  workers = [];
  await settle();
});

Given("a front and a worker that keeps its connections", async () => {
  await newRig();
  await join(
    new ScriptedWorker("w1", { onRequest: (arrival, socket) => void socket.write(own(arrival)) }),
  );
});
Given("another worker that answers well", async () => {
  await join(
    new ScriptedWorker("w2", { onRequest: (arrival, socket) => void socket.write(own(arrival)) }),
  );
});

When(
  /^on a kept connection the worker runs an order and a late (\d+)( with Not-Run)? (?:and|with) (another try's|no) id comes first$/,
  async (status: string, notRun: string | null, whose: string) => {
    for (let at = 0; at < 40 && first().arrivals.length === 0; at += 1) await ask("GET", "/safe/x");
    assert.equal(first().bytes.length, 1);
    const late = answerOf(Number(status), {
      ...(whose === "no" ? {} : { "Yewreel-Try-Id": "somebody-else" }),
      ...(notRun === null ? {} : { "Yewreel-Not-Run": "1" }),
    });
    first().script = {
      onRequest: (arrival, socket) =>
        void socket.write(arrival.method === "POST" ? late + own(arrival) : own(arrival)),
    };
    for (let at = 0; at < 40 && !first().arrivals.some(({ method }) => method === "POST"); at += 1)
      told = await ask("POST", "/unsafe/x", "an order");
    const [order] = first().arrivals.filter(({ method }) => method === "POST");
    assert.deepEqual([order?.tryId, order?.connection], [`t-${tries}`, 1]);
  },
);
Then("the order's caller is told {int}", (status: number) => assert.equal(told?.status, status));
Then("the order ran once, and no promise was given for it", () => {
  assert.equal(arrivalsOf(`t-${tries}`).length, 1);
  assert.ok(told && !PROMISES.has(told.status));
});
Then("the worker is still known", () => assert.ok(rig.pool.all().some(({ id }) => id === "w1")));

const ID = (arrival: Arrival): Readonly<Record<string, string>> => ({
  "Yewreel-Try-Id": arrival.tryId,
});
const SEALED = (arrival: Arrival): Readonly<Record<string, string>> => ({
  ...ID(arrival),
  "Yewreel-Server-Seal": `s.${arrival.worker}.${arrival.tryId}`,
});
const NOT_RUN = { "Yewreel-Not-Run": "1" };

/** How a worker's socket is to act on an order, by the words of the feature. */
const ODD: Readonly<Record<string, (arrival: Arrival, socket: Socket) => void>> = {
  "a 500 with a seal": (arrival, socket) =>
    void socket.write(answerOf(500, SEALED(arrival), "it failed")),
  "a 404 with a seal": (arrival, socket) =>
    void socket.write(answerOf(404, SEALED(arrival), "not here")),
  "a 204": (arrival, socket) =>
    void socket.write(answerOf(204, { ...SEALED(arrival), "Content-Length": undefined })),
  "a whole answer that closes": (arrival, socket) =>
    void socket.end(own(arrival).replace("Content-Length", "Connection: close\r\nContent-Length")),
  "a whole answer that closes, and more bytes": (arrival, socket) =>
    void socket.write(
      own(arrival).replace("Content-Length", "Connection: close\r\nContent-Length") +
        own(arrival, "MORE"),
    ),
  "a whole answer, and an extra one right behind it": (arrival, socket) =>
    void socket.write(own(arrival) + own({ ...arrival, tryId: "extra" }, "EXTRA")),
  "a whole answer, and an extra one a moment later": (arrival, socket) => {
    socket.write(own(arrival));
    void settle(4).then(() => socket.write(own({ ...arrival, tryId: "extra" }, "EXTRA")));
  },
  "a whole answer, and bytes of no protocol later": (arrival, socket) => {
    socket.write(own(arrival));
    void settle(4).then(() => socket.write("\u0001\u0002\r\n\r\n"));
  },
  "a 103 and then a whole answer": (arrival, socket) =>
    void socket.write(`HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${own(arrival)}`),
  "a whole answer in small pieces": (arrival, socket) => {
    const bytes = own(arrival);
    for (let at = 0; at < bytes.length; at += 7)
      setImmediate(() => socket.write(bytes.slice(at, at + 7)));
  },
  "a whole answer in chunks": (arrival, socket) =>
    void socket.write(
      `${answerOf(200, { ...SEALED(arrival), "Content-Length": undefined, "Transfer-Encoding": "chunked" })}4\r\nran \r\n${arrival.tryId.length.toString(16)}\r\n${arrival.tryId}\r\n0\r\n\r\n`,
    ),
  "a 503 with Not-Run": (arrival, socket) =>
    void socket.write(answerOf(503, { ...ID(arrival), ...NOT_RUN })),
  "a 400 with Not-Run": (arrival, socket) =>
    void socket.write(answerOf(400, { ...ID(arrival), ...NOT_RUN })),
  "a 429 with Not-Run and no length, closed": (arrival, socket) =>
    void socket.end(answerOf(429, { ...ID(arrival), ...NOT_RUN, "Content-Length": undefined })),
  "a 421": (arrival, socket) => void socket.write(answerOf(421, ID(arrival))),
  "a 503 with a seal": (arrival, socket) =>
    void socket.write(answerOf(503, SEALED(arrival), "it ran, and failed")),
  "a 429 without Not-Run": (arrival, socket) => void socket.write(answerOf(429, ID(arrival))),
  "a 408 with a seal": (arrival, socket) => void socket.write(answerOf(408, SEALED(arrival))),
  "a 200 with Not-Run": (arrival, socket) =>
    void socket.write(answerOf(200, { ...SEALED(arrival), ...NOT_RUN }, "what now")),
  "a 200 without a seal": (arrival, socket) =>
    void socket.write(answerOf(200, ID(arrival), "whose")),
  "a 200 with two ids": (arrival, socket) =>
    void socket.write(
      own(arrival).replace(
        "Yewreel-Server-Seal",
        "yewreel-try-id: somebody-else\r\nYewreel-Server-Seal",
      ),
    ),
  "a 200 with an encoding": (arrival, socket) =>
    void socket.write(answerOf(200, { ...SEALED(arrival), "Content-Encoding": "gzip" }, "x")),
  "a 500 with another id": (arrival, socket) =>
    void socket.write(answerOf(500, SEALED({ ...arrival, tryId: "somebody-else" }))),
  "a 500 cut short": (arrival, socket) =>
    void socket.end(answerOf(500, SEALED(arrival), "it failed").slice(0, -3)),
  "a 200 cut short": (arrival, socket) => void socket.end(own(arrival).slice(0, -3)),
  "a 503 with Not-Run cut short": (arrival, socket) =>
    void socket.end(answerOf(503, { ...ID(arrival), ...NOT_RUN }, "turned away").slice(0, -3)),
  "chunks cut short": (arrival, socket) =>
    void socket.end(
      `${answerOf(200, { ...SEALED(arrival), "Content-Length": undefined, "Transfer-Encoding": "chunked" })}4\r\nran \r\n`,
    ),
  "a body that ends with the connection": (arrival, socket) =>
    void socket.end(
      answerOf(
        200,
        { ...SEALED(arrival), "Content-Length": undefined, Connection: "close" },
        "all of it?",
      ),
    ),
  "an unknown transfer coding": (arrival, socket) =>
    void socket.end(
      answerOf(
        200,
        { ...SEALED(arrival), "Content-Length": undefined, "Transfer-Encoding": "gzip" },
        "all of it?",
      ),
    ),
  "two lengths": (arrival, socket) =>
    void socket.write(
      own(arrival).replace("Content-Length", "Content-Length: 3\r\nContent-Length"),
    ),
  "a 204 with a length and a body": (arrival, socket) =>
    void socket.write(answerOf(204, SEALED(arrival), "a body")),
  "a 304 with a length": (arrival, socket) =>
    void socket.write(answerOf(304, { ...SEALED(arrival), "Content-Length": "9" })),
  "a 100 that nobody asked for": (arrival, socket) =>
    void socket.write(`HTTP/1.1 100 Continue\r\n\r\n${own(arrival)}`),
  "a 101": (arrival, socket) =>
    void socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n${own(arrival)}`,
    ),
  "a head that is too large": (arrival, socket) =>
    void socket.write(
      own(arrival).replace("Content-Length", `X-Large: ${"x".repeat(70_000)}\r\nContent-Length`),
    ),
};

/** Requests are sent until the first worker gets one of the method; which worker is chosen is not the test's business. */
const untilFirstSees = async (method: string, path: string, body: string): Promise<void> => {
  const before = first().arrivals.length;
  for (
    let at = 0;
    at < 60 &&
    !first()
      .arrivals.slice(before)
      .some((arrival) => arrival.method === method);
    at += 1
  )
    told = await ask(method, path, body);
  assert.ok(
    first()
      .arrivals.slice(before)
      .some((arrival) => arrival.method === method),
    "the first worker was never asked",
  );
};
const whose = (): string => {
  const byWorker =
    told?.seal === ""
      ? arrivalsOf(told.tryId).some(({ worker }) => worker === "w1") && told.tryId !== ""
        ? "w1"
        : "front"
      : (told?.seal.split(".")[1] ?? "");
  return (
    { w1: "by the first worker", w2: "by the second worker", front: "by the front" }[byWorker] ??
    byWorker
  );
};
const sawOf = (worker: ScriptedWorker, tryId: string): boolean =>
  worker.bytes.some((bytes) => bytes.includes(`${tryId}\r\n`));
const checkTold = (): void => {
  const tryId = `t-${tries}`;
  const sawIt = workers.filter((worker) => sawOf(worker, tryId));
  const ranIt = sawIt.filter((worker) => !turnedAway.has(`${worker.id} ${tryId}`));
  assert.ok(ranIt.length <= 1, `${ranIt.length} workers may have run it`);
  if (told && PROMISES.has(told.status)) assert.deepEqual(ranIt, []);
};
/** Which worker has truly turned which try away. */
const turnedAway = new Set<string>();

When(/^the first worker answers an order with (.*)$/, async (odd: string) => {
  const act = ODD[odd];
  assert.ok(act, `no such answer: ${odd}`);
  const isAway = /Not-Run|421/.test(odd) && !/200 with|without/.test(odd);
  first().script = {
    onRequest: (arrival, socket) => {
      if (arrival.method !== "POST") return void socket.write(own(arrival));
      if (isAway) turnedAway.add(`w1 ${arrival.tryId}`);
      act(arrival, socket);
    },
  };
  await untilFirstSees("POST", "/unsafe/x", "an order");
});
Then(
  /^the order's caller is told (\d+) (by the [a-z]+(?: worker)?)$/,
  (status: string, who: string) => assert.deepEqual([told?.status, whose()], [Number(status), who]),
);
/** A reset may or may not come before the first byte leaves; either way what is told must be true. */
Then("the order's caller is told 502 or 200 by the front or the second worker", () =>
  assert.ok(whose() === (told?.status === 502 ? "by the front" : "by the second worker")),
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
    told = await ask("GET", "/safe/x");
    assert.deepEqual(
      [told?.status, told?.tryId, told?.body],
      [200, `t-${tries}`, `ran t-${tries}`],
    );
  }
});

When("the worker answers a HEAD with a body", async () => {
  first().script = { onRequest: (arrival, socket) => void socket.write(own(arrival)) };
  told = await ask("HEAD", "/safe/x");
});
Then("the HEAD is told 200 and no body", () =>
  assert.deepEqual([told?.status, told?.body, first().arrivals[0]?.method], [200, "", "HEAD"]),
);

const LONG = "x".repeat(400_000);
/** Whole requests seen once the first worker's sockets have seen this try: what "amid" and "as soon as" act on. */
const MOMENTS: Readonly<Record<string, Script>> = {
  "as soon as it is up": { onConnect: (socket) => void socket.resetAndDestroy() },
  "at the first byte": {
    onConnect: (socket) => void socket.once("data", () => socket.resetAndDestroy()),
  },
  "amid a long body": { onHead: (_head, socket) => void socket.resetAndDestroy() },
  "after the body": { onRequest: (_arrival, socket) => void socket.resetAndDestroy() },
  "amid the answer's head": {
    onRequest: (arrival, socket) => {
      socket.write(own(arrival).slice(0, 60));
      void settle(4).then(() => socket.resetAndDestroy());
    },
  },
  "amid the answer's body": {
    onRequest: (arrival, socket) => {
      socket.write(own(arrival).slice(0, -2));
      void settle(4).then(() => socket.resetAndDestroy());
    },
  },
};
When(/^the first worker's connection is reset (.*)$/, async (moment: string) => {
  const body = moment === "amid a long body" ? LONG : "an order";
  if (moment === "before it is up") {
    first().stop();
    for (let at = 0; at < 20; at += 1) {
      told = await ask("POST", "/unsafe/x", body);
      checkTold();
    }
    return;
  }
  if (moment === "while it rests") {
    await untilFirstSees("GET", "/safe/x", "");
    first().stop();
    await settle();
    await first().start();
    rig.updates.post([
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
    told = await ask("POST", "/unsafe/x", body);
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
              ? answerOf(503, { ...ID({ ...head, body: "" }), ...NOT_RUN })
              : answerOf(413, SEALED({ ...head, body: "" }), "too large"),
        ),
      onRequest: (arrival, socket) => void (arrival.method === "GET" && socket.write(own(arrival))),
    };
    tries += 1;
    caller = new RawCaller(rig.host, rig.port);
    caller.send("POST", "/unsafe/x", { "Yewreel-Try-Id": `t-${tries}`, ...LEFT }, LONG);
    await rig.until(() => caller?.told.length === 1 || caller?.isClosed === true);
    told = caller.told[0];
  },
);
let caller: RawCaller | undefined;
Then("the caller's connection serves another request", async () => {
  tries += 1;
  caller?.send("GET", "/safe/x", { "Yewreel-Try-Id": `t-${tries}`, ...LEFT });
  await rig.until(() => caller?.told.length === 2 || caller?.isClosed === true);
  assert.deepEqual([caller?.told[1]?.status, caller?.told[1]?.body], [200, `ran t-${tries}`]);
  caller?.socket.destroy();
});

When("an order comes without an id", async () => {
  caller = new RawCaller(rig.host, rig.port);
  caller.send("POST", "/unsafe/x", LEFT, "an order");
  await rig.until(() => caller?.told.length === 1 || caller?.isClosed === true);
  told = caller.told[0];
  caller.socket.destroy();
});
Then("no worker saw an order", () =>
  assert.deepEqual(
    workers.flatMap(({ bytes }) => bytes).filter((bytes) => bytes.includes("POST ")),
    [],
  ),
);
When("a caller sends a request of the method {string}", async (method: string) => {
  told = await ask(method, "/safe/x");
});
Then("the worker saw the method {string}", (method: string) =>
  assert.deepEqual(
    first().arrivals.map((arrival) => arrival.method),
    [method],
  ),
);
When("a caller sends a request with two hosts", async () => {
  caller = new RawCaller(rig.host, rig.port);
  caller.expect("GET");
  caller.write(
    "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\nYewreel-Try-Id: t-hosts\r\nYewreel-Time-Left-Ms: 2000\r\n\r\n",
  );
  await rig.until(() => caller?.told.length === 1 || caller?.isClosed === true);
  told = caller.told[0];
  caller.socket.destroy();
});
Then("no worker is shunned", () =>
  assert.deepEqual(
    rig.pool.all().filter((worker) => worker.isShunned()),
    [],
  ),
);

Given("the first worker is silent", () => {
  first().script = {};
});
When("a caller sends a read and an order behind it, and resets the connection", async () => {
  const leaver = new RawCaller(rig.host, rig.port);
  leaver.send("GET", "/safe/x", { "Yewreel-Try-Id": "t-read", ...LEFT });
  leaver.send("POST", "/unsafe/x", { "Yewreel-Try-Id": "t-order", ...LEFT }, "an order");
  await rig.until(() => first().arrivals.length > 0);
  leaver.socket.resetAndDestroy();
  await settle();
  await rig.clock.pass(100_000);
});
Then("nothing is open any more", async () => {
  await settle();
  assert.deepEqual(
    [rig.front.openRequests, ...rig.pool.all().map(({ own: calls }) => calls)],
    [0, ...rig.pool.all().map(() => 0)],
  );
});
When("a caller leaves amid a large answer", async () => {
  const body = "y".repeat(8_000_000);
  first().script = { onRequest: (arrival, socket) => void socket.write(own(arrival, body)) };
  const leaver = new RawCaller(rig.host, rig.port);
  leaver.send("GET", "/safe/x", { "Yewreel-Try-Id": "t-leaver", ...LEFT });
  await rig.until(() => leaver.held.length > 0);
  leaver.socket.pause();
  await settle();
  leaver.socket.destroy();
  await settle(30);
});
Then("the worker's connection is closed", () => assert.equal(first().openConnections, 0));

let sentBefore = 0;
const bytesSeen = (): number =>
  workers.flatMap(({ bytes }) => bytes).reduce((sum, bytes) => sum + bytes.length, 0);
When(/^the front stands still beyond the deadline (.*)$/, async (moment: string) => {
  tries += 1;
  caller = new RawCaller(rig.host, rig.port);
  const order = () =>
    caller?.send("POST", "/unsafe/x", { "Yewreel-Try-Id": `t-${tries}`, ...LEFT }, "an order");
  if (moment.includes("lies unread")) {
    await ask("GET", "/safe/x");
    await settle();
    sentBefore = bytesSeen();
    order();
    caller.socket.end();
    rig.leaping.leap(9_000_000);
  } else if (moment.includes("a connection comes up")) {
    sentBefore = bytesSeen();
    let isBegun = false;
    rig.onCall = () => {
      isBegun = true;
      rig.leaping.leap(9_000_000);
    };
    order();
    await untilTurn(() => isBegun);
  } else {
    let answer: (() => void) | undefined;
    workers.forEach((worker) => {
      worker.script = {
        onRequest: (arrival, socket) => {
          answer = () => void socket.write(answerOf(503, { ...ID(arrival), ...NOT_RUN }));
        },
      };
    });
    order();
    await untilTurn(() => answer !== undefined);
    sentBefore = bytesSeen();
    rig.leaping.leap(9_000_000);
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
  await rig.clock.pass(5_000_000);
  assert.equal(bytesSeen(), sentBefore);
});
Then("the order's caller is told {int}, or has left", (status: number) => {
  assert.ok(caller);
  if (!caller.socket.writableEnded) assert.equal(caller.told[0]?.status, status);
  caller.socket.destroy();
});

Given(
  "a front with workers that refuse, reset, are full, fail and are silent, two of each",
  async () => {
    await newRig();
    const scripts: Readonly<Record<string, Script>> = {
      refuses: {},
      resets: { onRequest: (_arrival, socket) => void socket.resetAndDestroy() },
      full: {
        onRequest: (arrival, socket) =>
          void socket.write(answerOf(503, { ...ID(arrival), ...NOT_RUN })),
      },
      fails: { onRequest: (arrival, socket) => void socket.write(answerOf(500, SEALED(arrival))) },
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
    worker.arrivals.forEach(({ tryId }) =>
      seen.set(tryId, (seen.get(tryId) ?? new Set()).add(worker.id)),
    ),
  );
  const counts = [...seen.values()].map((ids) => ids.size);
  assert.ok(Math.max(...counts) === most, `${Math.max(...counts)}`);
});

When(
  /^a keyed order's caller leaves, and then the worker('s connection is reset| turns it away)$/,
  async (what: string) => {
    let act: (() => void) | undefined;
    first().script = {
      onRequest: (arrival, socket) => {
        act = () =>
          void (what === " turns it away"
            ? socket.write(answerOf(503, { ...ID(arrival), ...NOT_RUN }))
            : socket.resetAndDestroy());
      },
    };
    const leaver = new RawCaller(rig.host, rig.port);
    tries += 1;
    leaver.send(
      "POST",
      "/keyed/x",
      { "Yewreel-Try-Id": `t-${tries}`, "Yewreel-Operation-Key": "k", ...LEFT },
      "an order",
    );
    await rig.until(() => act !== undefined);
    leaver.socket.destroy();
    await rig.clock.pass(10_000);
    act?.();
    await rig.clock.pass(10_000);
  },
);
Then("the key is free", () => assert.equal(rig.book.claims.size, 0));
Then("the key is not free", () => assert.equal(rig.book.claims.size, 1));

When("a keyed order is turned away {int} s after its key was claimed", async (seconds: number) => {
  await newRig(planOf(TRIES, (kind) => kind, 20_000_000));
  const script: Script = {
    onRequest: (arrival, socket) =>
      void rig.clock.after(seconds * 1_000_000, () =>
        socket.write(answerOf(503, { ...ID(arrival), ...NOT_RUN })),
      ),
  };
  for (const id of ["w1", "w2"]) await join(new ScriptedWorker(id, script));
  told = await ask("POST", "/keyed/x", "an order", {
    "Yewreel-Operation-Key": "k",
    "Yewreel-Time-Left-Ms": "20000",
  });
});
Then("{int} worker(s) saw it, and it is told 503", (count: number) =>
  assert.deepEqual([arrivalsOf(`t-${tries}`).length, told?.status], [count, 503]),
);

const OBJECT = "o".repeat(300_000);
const ODD_READS: Readonly<Record<string, (arrival: Arrival, socket: Socket) => void>> = {
  "a 503 with Not-Run and another's id": (_arrival, socket) =>
    void socket.write(answerOf(503, { "Yewreel-Try-Id": "somebody-else", ...NOT_RUN })),
  "a 421 with another's id": (_arrival, socket) =>
    void socket.write(answerOf(421, { "Yewreel-Try-Id": "somebody-else" })),
  "a 200 with another's id": (arrival, socket) =>
    void socket.write(own({ ...arrival, tryId: "somebody-else" })),
  "a 503 with Not-Run and no id": (_arrival, socket) => void socket.write(answerOf(503, NOT_RUN)),
  "a 421 and no id": (_arrival, socket) => void socket.write(answerOf(421, {})),
  "a large body that stalls": (arrival, socket) =>
    void socket.write(own(arrival, OBJECT).slice(0, -5)),
  "a large body cut short": (arrival, socket) => void socket.end(own(arrival, OBJECT).slice(0, -5)),
};
let goods: ObjectClient;
let read: ObjectResult | undefined;

const newReader = async (script: Script): Promise<void> => {
  await newRig();
  const { leaping: clock, pool } = rig;
  const chooser = new LoadBalancer({
    pool,
    cell: "c1",
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
    pool,
    chooser,
    rate,
    budgets,
    countFault: () => undefined,
    mostBytes: 1_000_000,
  });
  goods = new ObjectClient({
    clock,
    roomBytes: 0,
    depots: new PeerCaches(clock),
    halls: new PeerCaches(clock),
    origin,
    rate,
    isFresh: () => true,
    slackUs: 0,
  });
  await join(new ScriptedWorker("w1", script));
};
const readOnce = async (range?: string): Promise<ObjectResult> => {
  let found: ObjectResult | undefined;
  const nowUs = rig.leaping.nowUs();
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
  await rig.until(() => found !== undefined);
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
      onRequest: (arrival, socket) => void socket.write(own(arrival, OBJECT)),
    };
    if (who === "another worker") await join(new ScriptedWorker("w2", script));
    else await newReader(script);
  },
);
When("the object is read until the first worker was asked", async () => {
  for (let at = 0; at < 40 && first().arrivals.length === 0; at += 1) {
    tries += 1;
    read = await readOnce();
  }
  assert.ok(first().arrivals.length > 0, "the first worker was never asked");
  // The same object once more: whoever comes later doesn't wait on a read that came to nothing.
  read = await readOnce();
});
Then(/^the reader has the object, and the first worker is (still|not) known$/, (known: string) => {
  assert.ok(
    read?.kind === "served" && read.body.toString() === OBJECT,
    JSON.stringify(read).slice(0, 100),
  );
  assert.equal(
    rig.pool.all().some(({ id }) => id === "w1"),
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
