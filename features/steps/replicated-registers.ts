import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { parseChange } from "../../src/config/change-request.js";
import { findUnknownService, toConfigDocument } from "../../src/config/config-document.js";
import { ITEM_FIELDS } from "../../src/config/item-schema.js";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { Replica } from "../../src/consensus/replica.js";
import { makeRegister, type Register } from "../../src/consensus/register.js";
import type { ReplicatedStoreError } from "../../src/consensus/errors.js";
import { asList, asRecord, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { ReplicaCluster, STATE_FOLDER, type ClusterMember } from "../support/replica-cluster.js";
import { settle } from "../support/manual-clock.js";

const CONTROLLERS = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"];
/** Controllers that are started later, as replacements for others. */
const SPARE_CONTROLLERS = ["10.0.0.5:80", "10.0.0.6:80", "10.0.0.7:80"];
const controllerId = (number: number): string =>
  [...CONTROLLERS, ...SPARE_CONTROLLERS][number - 1] ?? "";
const key = (name: string): string => `route/${name}`;

let cluster = new ReplicaCluster([]);
let acknowledged = false;
let originalBody = "";
const acknowledgedVersions = new Map<string, number>();
/** Outcome of each write, in the order in which the writes were sent. */
const outcomes: { readonly body: string; readonly outcome: Outcome }[] = [];

type Outcome = "confirmed" | ReplicatedStoreError["code"];

const write = async (
  name: string,
  version: number,
  through: string,
  body = `{"v":${version},"name":"${name}"}`,
  dropped = false,
): Promise<Outcome> => {
  const result = await cluster.withClock(
    cluster
      .member(through)
      .store.propose([makeRegister(key(name), version, dropped ? "" : body, dropped)]),
  );
  return result.isOk ? "confirmed" : result.error.code;
};

const put = async (
  name: string,
  version: number,
  through: string,
  body?: string,
  dropped = false,
): Promise<boolean> => (await write(name, version, through, body, dropped)) === "confirmed";

const readThrough = async (id: string, name: string): Promise<Register | undefined> => {
  const { store } = cluster.member(id);
  const read = await cluster.withClock(store.read());
  assert.ok(read.isOk, `reading through ${id} failed: ${JSON.stringify(read)}`);
  return store.get(key(name));
};

After(async () => {
  await cluster.removeAll();
  cluster = new ReplicaCluster([]);
});

Given("{int} controllers of which 3 are seeds", async (count: number) => {
  cluster = new ReplicaCluster([...CONTROLLERS.slice(0, count), ...SPARE_CONTROLLERS]);
  acknowledgedVersions.clear();
  outcomes.length = 0;
  originalBody = "";
  for (const id of CONTROLLERS.slice(0, count)) await cluster.start(id, true);
});

Given("every controller is a voter", async () => {
  await cluster.makeVoters(CONTROLLERS);
});

Given("controller {int} is partitioned", (number: number) => {
  cluster.partitioned.add(controllerId(number));
});

When("controller {int} is reconnected", (number: number) => {
  cluster.partitioned.delete(controllerId(number));
});

When(
  "the operator puts route {string} at version {int} through controller {int}",
  async (name: string, version: number, number: number) => {
    if (originalBody === "") originalBody = `{"v":${version},"name":"${name}"}`;
    acknowledged = await put(name, version, controllerId(number));
  },
);

When(
  "the operator puts different content for route {string} at version {int} through controller {int}",
  async (name: string, version: number, number: number) => {
    await put(name, version, controllerId(number), `{"another":"~~~${name}"}`);
  },
);

When(
  "the operator removes route {string} at version {int} through controller {int}",
  async (name: string, version: number, number: number) => {
    assert.ok(await put(name, version, controllerId(number), "", true));
  },
);

When(
  "two operators put different routes {string} at version {int} through controllers {int} and {int} at once",
  async (name: string, version: number, one: number, other: number) => {
    const bodies = ['{"by":"one"}', '{"by":"other"}'];
    const both = await Promise.all(
      bodies.map((body, at) => write(name, version, controllerId(at === 0 ? one : other), body)),
    );
    both.forEach((outcome, at) => outcomes.push({ body: bodies[at] ?? "", outcome }));
  },
);

When(
  "both resend the same writes through controller {int}, {int} times",
  async (number: number, times: number) => {
    for (let time = 0; time < times; time += 1) {
      for (const { body } of outcomes.slice(0, 2))
        outcomes.push({ body, outcome: await write("r1", 4, controllerId(number), body) });
    }
  },
);

Then("exactly one of the two writes was ever confirmed, and that one was never rejected", () => {
  const confirmed = new Set(
    outcomes.filter(({ outcome }) => outcome === "confirmed").map(({ body }) => body),
  );
  const rejected = new Set(
    outcomes.filter(({ outcome }) => outcome === "VERSION_CONFLICT").map(({ body }) => body),
  );
  assert.equal(confirmed.size, 1, JSON.stringify(outcomes));
  assert.ok(
    [...confirmed].every((body) => !rejected.has(body)),
    JSON.stringify(outcomes),
  );
  originalBody = [...confirmed][0] ?? "";
});

When(
  "the operator puts routes {string} and {string} at version {int} through controller {int}",
  async (one: string, other: string, version: number, number: number) => {
    const registers = [one, other].map((name) =>
      makeRegister(key(name), version, `{"together":"${name}"}`),
    );
    const result = await cluster.withClock(
      cluster.member(controllerId(number)).store.propose(registers),
    );
    outcomes.push({ body: "", outcome: result.isOk ? "confirmed" : result.error.code });
  },
);

When(
  "the operator puts route {string} twice and route {string} at version {int} through controller {int}, and {string} fails validation",
  async (one: string, other: string, version: number, number: number, invalidName: string) => {
    const registers = [one, one, other].map((name) =>
      makeRegister(key(name), version, `{"together":"${name}"}`),
    );
    const result = await cluster.withClock(
      cluster.member(controllerId(number)).store.propose(registers, {
        findProblem: () => `${invalidName} names an unknown service`,
      }),
    );
    outcomes.push({ body: "", outcome: result.isOk ? "confirmed" : result.error.code });
  },
);

Then("the outcome of the last write is {string}", (outcome: string) =>
  assert.equal(outcomes.at(-1)?.outcome, outcome),
);

Then(
  "the write of route {string} at version {int} is acknowledged again through controller {int}",
  async (name: string, version: number, number: number) => {
    assert.equal(await write(name, version, controllerId(number)), "confirmed");
  },
);

When(
  "only controller {int} has accepted route {string} at version {int}, proposed through controller {int}",
  async (only: number, name: string, version: number, through: number) => {
    cluster.dropsMessage = (to, message) => message.kind === "accept" && to !== controllerId(only);
    outcomes.push({
      body: "",
      outcome: await write(name, version, controllerId(through), '{"half":true}'),
    });
    cluster.dropsMessage = () => false;
  },
);

When(
  "only controller 1 has accepted routes {string} and {string} at version {int}",
  async (one: string, other: string, version: number) => {
    cluster.dropsMessage = (to, message) => message.kind === "accept" && to !== controllerId(1);
    const registers = [one, other].map((name) =>
      makeRegister(key(name), version, `{"of":"the first order"}`),
    );
    const result = await cluster.withClock(
      cluster.member(controllerId(1)).store.propose(registers),
    );
    cluster.dropsMessage = () => false;
    assert.ok(
      result.isErr &&
        result.error.code !== "VERSION_CONFLICT" &&
        result.error.code !== "INVALID_WRITE",
    );
  },
);

When(
  "a conflicting write of route {string} at version {int} is confirmed while controller 1 is partitioned",
  async (name: string, version: number) => {
    cluster.partitioned.add(controllerId(1));
    assert.equal(await write(name, version, controllerId(2), '{"of":"the rival"}'), "confirmed");
    cluster.partitioned.delete(controllerId(1));
  },
);

When("controller {int} is killed and restarted from its disk", async (number: number) => {
  await cluster.kill(controllerId(number));
  await cluster.start(controllerId(number), false);
});

Then(
  "reading through each controller returns route {string} at version {int}",
  async (name: string, version: number) => {
    for (const id of cluster.running.keys())
      assert.equal((await readThrough(id, name))?.version, version, id);
  },
);

Then(
  "a replica loaded from the snapshot of controller {int} produces the same snapshot, which lists {string} and {string} as proposed together and an earlier {string}",
  (number: number, one: string, other: string, earlierName: string) => {
    const snapshot = cluster.member(controllerId(number)).replica.snapshot();
    const loaded = new Replica();
    snapshot.forEach(loaded.replay);
    assert.deepEqual(loaded.snapshot(), snapshot);
    const call = snapshot.find((record) => record["t"] === "call");
    assert.deepEqual(
      asList(call?.["items"]).map((item) => asList(item)[0]),
      [key(one), key(other)],
    );
    const earlier = snapshot.find((record) => record["t"] === "earlier");
    assert.deepEqual(
      asList(earlier?.["rows"]).map((row) => asList(row)[0]),
      [key(earlierName)],
    );
  },
);

When("every controller has read a quorum", async () => {
  await cluster.readAll();
  await cluster.readAll();
});

Then(
  "either both or neither of routes {string} and {string} have the content of that write",
  (one: string, other: string) => {
    const { store } = cluster.member(controllerId(2));
    const hasContent = [one, other].map(
      (name) => store.get(key(name))?.body === '{"of":"the first order"}',
    );
    assert.equal(
      hasContent[0],
      hasContent[1],
      `${one}: ${hasContent[0]}, ${other}: ${hasContent[1]}`,
    );
  },
);

Then("no controller shows route {string}", (name: string) => {
  cluster.running.forEach(({ store }) => assert.equal(store.get(key(name)), undefined));
});

When("one byte of the newest file of controller {int} is corrupted", async (number: number) => {
  await cluster.kill(controllerId(number));
  const { files } = cluster.diskOf(controllerId(number));
  const numberOf = (name: string) => Number(/(\d+)\.bin$/.exec(name)?.[1]);
  const newest =
    [...files.keys()]
      .filter((name) => name.endsWith(".bin"))
      .sort((a, b) => numberOf(b) - numberOf(a))[0] ?? "";
  const bytes = Uint8Array.from(files.get(newest) ?? []);
  bytes[bytes.length - 5] = (bytes[bytes.length - 5] ?? 0) ^ 1;
  files.set(newest, bytes);
});

When("controller {int} is restarted without a connection to the others", async (number: number) => {
  cluster.partitioned.add(controllerId(number));
  await cluster.start(controllerId(number), false);
});

When(
  "controller {int} is permanently lost and controller {int} replaces it",
  async (lost: number, replacement: number) => {
    await cluster.wipe(controllerId(lost));
    const member = await cluster.start(controllerId(replacement), false);
    member.lease.start();
    await advance(6);
  },
);

Then("the voter set has controllers {string}", (numbers: string) => {
  const wanted = numbers
    .split(",")
    .map((number) => controllerId(Number(number)))
    .sort();
  cluster.running.forEach((member) =>
    assert.deepEqual(member.store.voterSet().members, wanted, member.id),
  );
});

When(
  "the operator puts route {string} at version {int} through a running controller",
  async (name: string, version: number) => {
    if (originalBody === "") originalBody = `{"v":${version},"name":"${name}"}`;
    acknowledged = await put(
      name,
      version,
      [...cluster.running.keys()].find((id) => !cluster.partitioned.has(id)) ?? "",
    );
  },
);

Then(
  "reading through a running controller returns route {string} with its original content",
  async (name: string) => {
    assert.equal(
      (
        await readThrough(
          [...cluster.running.keys()].find((id) => !cluster.partitioned.has(id)) ?? "",
          name,
        )
      )?.body,
      originalBody,
    );
  },
);

When(
  "controller {int} loses its disk and every controller is restarted",
  async (number: number) => {
    await settle(20);
    await cluster.wipe(controllerId(number));
    await cluster.killAll();
    for (const id of CONTROLLERS) await cluster.start(id, false);
    await cluster.readAll();
  },
);

When(
  "controller {int} loses its disk and restarts without a connection to the others",
  async (number: number) => {
    await cluster.wipe(controllerId(number));
    cluster.partitioned.add(controllerId(number));
    await cluster.start(controllerId(number), false);
  },
);

When("a quorum is read through controller {int}", async (number: number) => {
  assert.ok((await cluster.withClock(cluster.member(controllerId(number)).store.read())).isOk);
});

When("every controller is restarted", async () => {
  for (const id of CONTROLLERS) await cluster.start(id, false);
});

const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
};

When(
  "{int} random steps of writes, partitions, kills and disk losses are run with seed {int}",
  async (steps: number, seed: number) => {
    const random = createRandom(seed);
    const pick = (): string => controllerId(1 + Math.floor(random() * CONTROLLERS.length));
    let faultyId = "";
    for (let step = 1; step <= steps; step += 1) {
      const kind = random();
      const id = pick();
      if (kind < 0.6) {
        const name = `r${Math.floor(random() * 5)}`;
        if (cluster.running.has(id) && (await put(name, step, id)))
          acknowledgedVersions.set(name, step);
      } else if (kind < 0.7 && faultyId === "") {
        faultyId = id;
        cluster.partitioned.add(id);
      } else if (kind < 0.78 && faultyId === "") {
        faultyId = id;
        await settle(20);
        await cluster.kill(id);
      } else if (kind < 0.84 && faultyId === "") {
        faultyId = id;
        await settle(20);
        await cluster.wipe(id);
      } else if (kind < 0.9) {
        await settle(20);
        await cluster.killAll();
        for (const other of CONTROLLERS) if (other !== faultyId) await cluster.start(other, false);
        await cluster.readAll();
      } else if (faultyId !== "") {
        cluster.partitioned.delete(faultyId);
        if (!cluster.running.has(faultyId)) await cluster.start(faultyId, false);
        await cluster.readAll();
        faultyId = "";
      }
    }
    cluster.partitioned.clear();
    for (const id of CONTROLLERS) if (!cluster.running.has(id)) await cluster.start(id, false);
    await cluster.readAll();
  },
);

Then("every acknowledged version is read back, or a higher one", async () => {
  assert.ok(
    acknowledgedVersions.size >= 3,
    "too few writes were acknowledged for a meaningful check",
  );
  for (const id of CONTROLLERS) {
    for (const [name, version] of acknowledgedVersions)
      assert.ok(
        ((await readThrough(id, name))?.version ?? 0) >= version,
        `${name} at version ${version} was lost`,
      );
  }
});

Then("the write is acknowledged", () => assert.ok(acknowledged));
Then("the write is not acknowledged", () => assert.ok(!acknowledged));

Then(
  "at least {int} replicas hold route {string} at version {int} on their disks",
  async (count: number, name: string, version: number) => {
    await settle(20);
    const loaded = await Promise.all(
      CONTROLLERS.map((id) =>
        new WriteAheadLog({
          folder: STATE_FOLDER,
          fileSystem: cluster.diskOf(id),
          snapshot: () => [],
        }).load(),
      ),
    );
    const holding = loaded.filter((found) => {
      const state = new Replica();
      if (found.kind !== "empty") found.records.forEach(state.replay);
      return found.kind === "verified" && state.entry(key(name)).register?.version === version;
    });
    assert.ok(holding.length >= count, `only ${holding.length} replicas hold it`);
  },
);

Then(
  "reading through controller {int} returns route {string} with its original content",
  async (number: number, name: string) => {
    assert.equal((await readThrough(controllerId(number), name))?.body, originalBody);
  },
);

Then(
  "reading through controller {int} returns route {string} at version {int}",
  async (number: number, name: string, version: number) => {
    assert.equal((await readThrough(controllerId(number), name))?.version, version);
  },
);

Then(
  "reading through controller {int} shows that route {string} is removed",
  async (number: number, name: string) => {
    assert.equal((await readThrough(controllerId(number), name))?.dropped, true);
  },
);

Then("reading through each controller returns the same route {string}", async (name: string) => {
  const bodies = new Set<string>();
  for (const id of CONTROLLERS) bodies.add((await readThrough(id, name))?.body ?? "none");
  assert.equal(bodies.size, 1);
  assert.ok(!bodies.has("none"));
});

Given("controller {int} has read a quorum and has written a snapshot", async (number: number) => {
  await readThrough(controllerId(number), "r1");
  assert.ok(
    (await cluster.member(controllerId(number)).writeAheadLog.writeVerifiedSnapshot()).isOk,
  );
});

Then(
  "the listeners of controller {int} were notified of route {string}",
  async (number: number, name: string) => {
    await settle();
    assert.ok(cluster.member(controllerId(number)).notifiedKeys.has(key(name)));
  },
);

When("every controller is killed", async () => {
  await settle(20);
  await cluster.killAll();
});

When("controller {int} starts with an empty disk", async (number: number) => {
  (await cluster.start(controllerId(number), false)).lease.start();
});

Then(
  "the voter set has controller {int} and not controller {int} on the connected controllers",
  (included: number, excluded: number) => {
    [...cluster.running.values()]
      .filter(({ id }) => !cluster.partitioned.has(id))
      .forEach(({ store, id }) => {
        assert.ok(
          store.members().includes(controllerId(included)) &&
            !store.members().includes(controllerId(excluded)),
          `${id}: ${store.members().join()}`,
        );
      });
  },
);

Then(
  "reading through each controller returns the same route {string}, or none",
  async (name: string) => {
    const bodies = new Set<string>();
    for (const id of CONTROLLERS) bodies.add((await readThrough(id, name))?.body ?? "none");
    assert.equal(bodies.size, 1);
  },
);

Then("controller {int} is not voting", (number: number) =>
  assert.equal(cluster.member(controllerId(number)).store.isVoting, false),
);

Then("reading through controller {int} fails", async (number: number) => {
  assert.ok((await cluster.withClock(cluster.member(controllerId(number)).store.read())).isErr);
});

Then(
  "the replica of controller {int} holds route {string} at version {int}",
  (number: number, name: string, version: number) => {
    assert.equal(cluster.member(controllerId(number)).store.get(key(name))?.version, version);
  },
);

// --- Leader lease

let oldHolder: ClusterMember | undefined;
let oldTerm = 0;
const holdersByTerm = new Map<number, Set<string>>();

const holders = (): readonly ClusterMember[] =>
  [...cluster.running.values()].filter((member) => member.lease.isHolder());
const reachableHolder = (): ClusterMember | undefined =>
  holders().find((member) => !cluster.partitioned.has(member.id));
const recordHolders = (): void =>
  holders().forEach((member) => {
    const term = member.lease.term();
    holdersByTerm.set(term, (holdersByTerm.get(term) ?? new Set()).add(member.id));
  });

const advance = async (seconds: number): Promise<void> => {
  for (let step = 0; step < seconds * 4; step += 1) {
    await cluster.clock.pass(250_000);
    for (const member of cluster.running.values()) void member.store.read();
    await settle(8);
    recordHolders();
  }
};

Given("their leader leases are started", () => {
  holdersByTerm.clear();
  cluster.running.forEach((member) => member.lease.start());
});

When("{int} seconds pass", async (seconds: number) => advance(seconds));

const rememberHolder = (): ClusterMember => {
  const holder = reachableHolder();
  assert.ok(holder, "no connected controller holds the leader lease");
  oldHolder = holder;
  oldTerm = holder.lease.term();
  return holder;
};

When("the holder is partitioned", () => {
  cluster.partitioned.add(rememberHolder().id);
});

When("the holder steps down", async () => {
  await cluster.withClock(rememberHolder().lease.stepDown());
  await advance(1);
});

When("controller {int} is killed", async (number: number) => cluster.kill(controllerId(number)));

When("the holder is partitioned and reconnected {int} times", async (times: number) => {
  await advance(3);
  for (let time = 0; time < times; time += 1) {
    cluster.partitioned.add(rememberHolder().id);
    await advance(5);
    cluster.partitioned.clear();
    await advance(1);
  }
});

When(
  "a controller that is not the holder is partitioned for {int} seconds and reconnected",
  async (seconds: number) => {
    const holder = rememberHolder();
    const other = CONTROLLERS.find((id) => id !== holder.id) ?? "";
    cluster.partitioned.add(other);
    await advance(seconds);
    cluster.partitioned.clear();
    await advance(3);
  },
);
Then("the same controller holds the leader lease with the same term", () => {
  const holder = reachableHolder();
  assert.deepEqual([holder?.id, holder?.lease.term()], [oldHolder?.id, oldTerm]);
});

Then("exactly {int} controller holds the leader lease", (count: number) =>
  assert.equal(holders().length, count),
);

Then("the voter set has {int} members on every running controller", (count: number) => {
  cluster.running.forEach((member) =>
    assert.equal(member.store.members().length, count, member.id),
  );
});

Then("every running controller still has {int} members in its voter set", (count: number) => {
  cluster.running.forEach((member) =>
    assert.equal(member.store.members().length, count, member.id),
  );
});

Then("another controller holds the leader lease with a higher term", () => {
  const holder = reachableHolder();
  assert.ok(holder && holder.id !== oldHolder?.id);
  assert.ok(holder.lease.term() > oldTerm);
});

Then("a write of the former holder under its old term is rejected", async () => {
  cluster.partitioned.clear();
  const { store, id } = oldHolder ?? assert.fail("no former holder was recorded");
  const written = await cluster.withClock(
    store.decide("duty/ejections", () => "{}", {
      number: oldTerm,
      holder: id,
      incarnation: store.incarnation,
    }),
  );
  assert.ok(written.isErr);
});

Then("no term was ever held by two controllers", () => {
  assert.ok(holdersByTerm.size >= 4);
  holdersByTerm.forEach((ids) => assert.equal(ids.size, 1));
});

// --- API calls of operators

const routeOf = (changes: UnknownRecord = {}, then: UnknownRecord = {}): UnknownRecord => ({
  name: "r1",
  routeKind: "safe",
  target_time: "200ms",
  rank: 1,
  version: 3,
  matchOn: { pathStart: "/a/" },
  then: { service: "s1", giveUp: "1200ms", tries: 2, ...then },
  ...changes,
});
const group = {
  name: "s1",
  statusPath: "/health",
  maxConnections: 10,
  protocol: "h1",
  encrypted: false,
  version: 3,
};
const limits = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 1000,
  headerWait: "3000ms",
  idle: "15000ms",
  version: 1,
};
const callOf = (
  route: UnknownRecord,
  host = "a.example",
  service: UnknownRecord = group,
): UnknownRecord => ({
  putItems: { limits, listeners: [{ host, rules: [route] }], groups: [service] },
  remove: { routes: [] },
});

const FLAWS: Readonly<Record<string, () => string>> = {
  "is truncated": () => JSON.stringify(callOf(routeOf())).slice(0, -20),
  "is a list": () => "[]",
  "has a route with an empty host": () => JSON.stringify(callOf(routeOf(), "")),
  "has a path without a leading slash": () =>
    JSON.stringify(callOf(routeOf({ matchOn: { pathStart: "a/" } }))),
  "has a timeout of eleven minutes": () => JSON.stringify(callOf(routeOf({}, { giveUp: "660s" }))),
  "has a route without a version": () => JSON.stringify(callOf(routeOf({ version: undefined }))),
  "has shares of 0": () =>
    JSON.stringify(
      callOf(routeOf({}, { service: undefined, shares: [{ service: "s1", share: 0 }] })),
    ),
  "has a route of an unknown kind": () => JSON.stringify(callOf(routeOf({ routeKind: "maybe" }))),
  "has a warm-up that is no duration": () =>
    JSON.stringify(callOf(routeOf(), "a.example", { ...group, warmUp: "soon" })),
  "has a limit during warm-up that is text": () =>
    JSON.stringify(callOf(routeOf(), "a.example", { ...group, coldRateS: "2.7" })),
  "refers to an unknown service": () => JSON.stringify(callOf(routeOf({}, { service: "nobody" }))),
  "is valid": () => JSON.stringify(callOf(routeOf())),
};

let parsed: ReturnType<typeof parseChange> | undefined;

When(/^a call is read that (.*)$/, (flaw: string) => {
  const make = FLAWS[flaw];
  assert.ok(make, `unknown flaw: ${flaw}`);
  parsed = parseChange(make());
});

const ERROR_CODES: Readonly<Record<string, string>> = {
  malformed: "UNREADABLE_CHANGE",
  invalid: "INVALID_CHANGE",
};
Then("it is rejected as {string}", (kind: string) => {
  assert.ok(parsed?.isErr);
  assert.equal(parsed.error.code, ERROR_CODES[kind]);
  assert.ok(parsed.error.message.length > 5);
});

Then("the unknown service is {string}", (name: string) => {
  assert.ok(parsed?.isOk);
  assert.equal(
    findUnknownService(parsed.value, () => undefined),
    name,
  );
});

Then("no service is unknown", () => {
  assert.ok(parsed?.isOk);
  assert.equal(
    findUnknownService(parsed.value, () => undefined),
    undefined,
  );
});

Then("formatting its items returns the items that were sent", () => {
  assert.ok(parsed?.isOk);
  const sent = asRecord(asRecord(parseJson(FLAWS["is valid"]?.() ?? ""))["putItems"]);
  assert.deepEqual(toConfigDocument(parsed.value), sent);
});

/** Fields that are accepted and that nobody needs, with the reason. */
const FIELDS_WITHOUT_READER: Readonly<Record<string, string>> = {
  protocol: "only HTTP/1.1 is accepted",
  encrypted: "only unencrypted connections are accepted",
  grants: "a sharded service has the only one that is supported",
  dropsRepeats: "an unsafe request is never repeated, whatever its worker would do",
};
const CHECKS: readonly string[] = ["src/config/item-schema.ts", "src/config/validation.ts"];

const sourceFiles = (folder: string): readonly string[] =>
  readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name))
    .filter((path) => !CHECKS.includes(path));

const unreadOf = (fields: readonly string[]): readonly string[] => {
  const sources = sourceFiles("src").map((path) => readFileSync(path, "utf8"));
  return fields.filter(
    (field) =>
      FIELDS_WITHOUT_READER[field] === undefined &&
      !sources.some((source) => source.includes(`["${field}"]`) || source.includes(`, "${field}"`)),
  );
};

Then("every field of an item is read outside of the schema and its checks", () =>
  assert.deepEqual(unreadOf(Object.values(ITEM_FIELDS).flat()), []),
);
Then("a field {string} would be found to be read by nobody", (field: string) =>
  assert.deepEqual(unreadOf([...Object.values(ITEM_FIELDS).flat(), field]), [field]),
);
