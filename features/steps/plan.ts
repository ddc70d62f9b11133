import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { toConfigDocument, parseChange, findUnknownService } from "../../src/config/validation.js";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { Replica as State } from "../../src/consensus/replica.js";
import { makeRegister, type Register } from "../../src/consensus/register.js";
import type { ReplicatedStoreError } from "../../src/consensus/errors.js";
import { asRecord, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { Copies, STATE_FOLDER, type Copy } from "../support/copies.js";
import { settle } from "../support/manual-clock.js";

const BOXES = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"];
/** Those that come later, in place of others. */
const SPARE = ["10.0.0.5:80", "10.0.0.6:80", "10.0.0.7:80"];
const box = (number: number): string => [...BOXES, ...SPARE][number - 1] ?? "";
const key = (name: string): string => `route/${name}`;

let copies = new Copies([]);
let acknowledged = false;
let first = "";
const acks = new Map<string, number>();
/** What became of each order, in the order they were sent. */
const outcomes: { readonly body: string; readonly outcome: Outcome }[] = [];

type Outcome = "taken" | ReplicatedStoreError["code"];

const offer = async (
  name: string,
  version: number,
  through: string,
  body = `{"v":${version},"name":"${name}"}`,
  dropped = false,
): Promise<Outcome> => {
  const done = await copies.beside(
    copies
      .copy(through)
      .store.propose([makeRegister(key(name), version, dropped ? "" : body, dropped)]),
  );
  return done.isOk ? "taken" : done.error.code;
};

const put = async (
  name: string,
  version: number,
  through: string,
  body?: string,
  dropped = false,
): Promise<boolean> => (await offer(name, version, through, body, dropped)) === "taken";

const readThrough = async (id: string, name: string): Promise<Register | undefined> => {
  const { store } = copies.copy(id);
  const read = await copies.beside(store.read());
  assert.ok(read.isOk, `reading through ${id} failed: ${JSON.stringify(read)}`);
  return store.get(key(name));
};

After(async () => {
  await copies.clean();
  copies = new Copies([]);
});

Given("{int} signalboxes of which 3 are seeds", async (count: number) => {
  copies = new Copies([...BOXES.slice(0, count), ...SPARE]);
  acks.clear();
  outcomes.length = 0;
  first = "";
  for (const id of BOXES.slice(0, count)) await copies.start(id, true);
});

Given("every box is on the roster", async () => {
  await copies.enrol(BOXES);
});

Given("box {int} is cut off", (number: number) => {
  copies.cut.add(box(number));
});

When("box {int} is joined again", (number: number) => {
  copies.cut.delete(box(number));
});

When(
  "the operator puts route {string} at version {int} through box {int}",
  async (name: string, version: number, number: number) => {
    if (first === "") first = `{"v":${version},"name":"${name}"}`;
    acknowledged = await put(name, version, box(number));
  },
);

When(
  "the operator puts another route {string} at version {int} through box {int}",
  async (name: string, version: number, number: number) => {
    await put(name, version, box(number), `{"another":"~~~${name}"}`);
  },
);

When(
  "the operator drops route {string} at version {int} through box {int}",
  async (name: string, version: number, number: number) => {
    assert.ok(await put(name, version, box(number), "", true));
  },
);

When(
  "two operators put different routes {string} at version {int} through boxes {int} and {int} at once",
  async (name: string, version: number, one: number, other: number) => {
    const bodies = ['{"by":"one"}', '{"by":"other"}'];
    const both = await Promise.all(
      bodies.map((body, at) => offer(name, version, box(at === 0 ? one : other), body)),
    );
    both.forEach((outcome, at) => outcomes.push({ body: bodies[at] ?? "", outcome }));
  },
);

When(
  "both send the same again through box {int}, {int} times",
  async (number: number, times: number) => {
    for (let time = 0; time < times; time += 1) {
      for (const { body } of outcomes.slice(0, 2))
        outcomes.push({ body, outcome: await offer("r1", 4, box(number), body) });
    }
  },
);

Then("exactly one of the two was ever confirmed, and never refused", () => {
  const confirmed = new Set(
    outcomes.filter(({ outcome }) => outcome === "taken").map(({ body }) => body),
  );
  const refused = new Set(
    outcomes.filter(({ outcome }) => outcome === "VERSION_CONFLICT").map(({ body }) => body),
  );
  assert.equal(confirmed.size, 1, JSON.stringify(outcomes));
  assert.ok(
    [...confirmed].every((body) => !refused.has(body)),
    JSON.stringify(outcomes),
  );
  first = [...confirmed][0] ?? "";
});

When(
  "the operator puts routes {string} and {string} at version {int} through box {int}",
  async (one: string, other: string, version: number, number: number) => {
    const call = [one, other].map((name) =>
      makeRegister(key(name), version, `{"together":"${name}"}`),
    );
    const done = await copies.beside(copies.copy(box(number)).store.propose(call));
    outcomes.push({ body: "", outcome: done.isOk ? "taken" : done.error.code });
  },
);

When(
  "the operator puts route {string} twice and route {string} at version {int} through box {int}, and {string} is found wrong",
  async (one: string, other: string, version: number, number: number, wrong: string) => {
    const call = [one, one, other].map((name) =>
      makeRegister(key(name), version, `{"together":"${name}"}`),
    );
    const done = await copies.beside(
      copies.copy(box(number)).store.propose(call, () => `${wrong} names an unknown service`),
    );
    outcomes.push({ body: "", outcome: done.isOk ? "taken" : done.error.code });
  },
);

Then("the last order is {string}", (outcome: string) =>
  assert.equal(outcomes.at(-1)?.outcome, outcome),
);

Then(
  "the change to route {string} at version {int} is acknowledged again through box {int}",
  async (name: string, version: number, number: number) => {
    assert.equal(await offer(name, version, box(number)), "taken");
  },
);

When(
  "only box {int} has accepted route {string} at version {int}, offered through box {int}",
  async (only: number, name: string, version: number, through: number) => {
    copies.deaf = (to, message) => message.kind === "accept" && to !== box(only);
    outcomes.push({ body: "", outcome: await offer(name, version, box(through), '{"half":true}') });
    copies.deaf = () => false;
  },
);

When(
  "only box 1 has accepted routes {string} and {string} at version {int}",
  async (one: string, other: string, version: number) => {
    copies.deaf = (to, message) => message.kind === "accept" && to !== box(1);
    const call = [one, other].map((name) =>
      makeRegister(key(name), version, `{"of":"the first order"}`),
    );
    const done = await copies.beside(copies.copy(box(1)).store.propose(call));
    copies.deaf = () => false;
    assert.ok(
      done.isErr && done.error.code !== "VERSION_CONFLICT" && done.error.code !== "INVALID_WRITE",
    );
  },
);

When(
  "a rival of route {string} at version {int} is taken while box 1 is cut off",
  async (name: string, version: number) => {
    copies.cut.add(box(1));
    assert.equal(await offer(name, version, box(2), '{"of":"the rival"}'), "taken");
    copies.cut.delete(box(1));
  },
);

When("every box has read", async () => {
  await copies.readAll();
  await copies.readAll();
});

Then(
  "neither or both of routes {string} and {string} stand as that order had them",
  (one: string, other: string) => {
    const { store } = copies.copy(box(2));
    const stands = [one, other].map(
      (name) => store.get(key(name))?.body === '{"of":"the first order"}',
    );
    assert.equal(stands[0], stands[1], `${one}: ${stands[0]}, ${other}: ${stands[1]}`);
  },
);

Then("no box has ever shown route {string}", (name: string) => {
  copies.running.forEach(({ store }) => assert.equal(store.get(key(name)), undefined));
});

When("one byte of the newest file of box {int} is spoiled", async (number: number) => {
  await copies.kill(box(number));
  const { files } = copies.diskOf(box(number));
  const numberOf = (name: string) => Number(/(\d+)\.bin$/.exec(name)?.[1]);
  const newest =
    [...files.keys()]
      .filter((name) => name.endsWith(".bin"))
      .sort((a, b) => numberOf(b) - numberOf(a))[0] ?? "";
  const bytes = Uint8Array.from(files.get(newest) ?? []);
  bytes[bytes.length - 5] = (bytes[bytes.length - 5] ?? 0) ^ 1;
  files.set(newest, bytes);
});

When("box {int} is started again cut off from all others", async (number: number) => {
  copies.cut.add(box(number));
  await copies.start(box(number), false);
});

When(
  "box {int} is gone for good and box {int} comes in its place",
  async (gone: number, fresh: number) => {
    await copies.wipe(box(gone));
    const copy = await copies.start(box(fresh), false);
    copy.duty.start();
    await pass(6);
  },
);

Then("the roster has boxes {string}", (numbers: string) => {
  const wanted = numbers
    .split(",")
    .map((number) => box(Number(number)))
    .sort();
  copies.running.forEach((copy) =>
    assert.deepEqual(copy.store.voterSet().members, wanted, copy.id),
  );
});

When(
  "the operator puts route {string} at version {int} through a running box",
  async (name: string, version: number) => {
    if (first === "") first = `{"v":${version},"name":"${name}"}`;
    acknowledged = await put(
      name,
      version,
      [...copies.running.keys()].find((id) => !copies.cut.has(id)) ?? "",
    );
  },
);

Then(
  "reading through a running box gives route {string} as it was put first",
  async (name: string) => {
    assert.equal(
      (await readThrough([...copies.running.keys()].find((id) => !copies.cut.has(id)) ?? "", name))
        ?.body,
      first,
    );
  },
);

When("box {int} loses its disk and every box is started again", async (number: number) => {
  await settle(20);
  await copies.wipe(box(number));
  await copies.killAll();
  for (const id of BOXES) await copies.start(id, false);
  await copies.readAll();
});

When(
  "box {int} loses its disk and starts again cut off from all others",
  async (number: number) => {
    await copies.wipe(box(number));
    copies.cut.add(box(number));
    await copies.start(box(number), false);
  },
);

When("someone reads through box {int}", async (number: number) => {
  assert.ok((await copies.beside(copies.copy(box(number)).store.read())).isOk);
});

When("every box is started again", async () => {
  for (const id of BOXES) await copies.start(id, false);
});

const nextOf = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
};

When(
  "{int} random steps of changes, cuts, kills and disk losses are played with seed {int}",
  async (steps: number, seed: number) => {
    const next = nextOf(seed);
    const pick = (): string => box(1 + Math.floor(next() * BOXES.length));
    let hurt = "";
    for (let step = 1; step <= steps; step += 1) {
      const kind = next();
      const id = pick();
      if (kind < 0.6) {
        const name = `r${Math.floor(next() * 5)}`;
        if (copies.running.has(id) && (await put(name, step, id))) acks.set(name, step);
      } else if (kind < 0.7 && hurt === "") {
        hurt = id;
        copies.cut.add(id);
      } else if (kind < 0.78 && hurt === "") {
        hurt = id;
        await settle(20);
        await copies.kill(id);
      } else if (kind < 0.84 && hurt === "") {
        hurt = id;
        await settle(20);
        await copies.wipe(id);
      } else if (kind < 0.9) {
        await settle(20);
        await copies.killAll();
        for (const other of BOXES) if (other !== hurt) await copies.start(other, false);
        await copies.readAll();
      } else if (hurt !== "") {
        copies.cut.delete(hurt);
        if (!copies.running.has(hurt)) await copies.start(hurt, false);
        await copies.readAll();
        hurt = "";
      }
    }
    copies.cut.clear();
    for (const id of BOXES) if (!copies.running.has(id)) await copies.start(id, false);
    await copies.readAll();
  },
);

Then("every acknowledged version is read back, or a higher one", async () => {
  assert.ok(acks.size >= 3, "the history acknowledged too little to tell anything");
  for (const id of BOXES) {
    for (const [name, version] of acks)
      assert.ok(
        ((await readThrough(id, name))?.version ?? 0) >= version,
        `${name} at ${version} was lost`,
      );
  }
});

Then("the change is acknowledged", () => assert.ok(acknowledged));
Then("the change is not acknowledged", () => assert.ok(!acknowledged));

Then(
  "at least {int} copies hold route {string} at version {int} on their disks",
  async (count: number, name: string, version: number) => {
    await settle(20);
    const loaded = await Promise.all(
      BOXES.map((id) =>
        new WriteAheadLog({
          folder: STATE_FOLDER,
          fileSystem: copies.diskOf(id),
          snapshot: () => [],
        }).load(),
      ),
    );
    const holding = loaded.filter((found) => {
      const state = new State();
      if (found.kind !== "empty") found.records.forEach(state.replay);
      return found.kind === "verified" && state.entry(key(name)).register?.version === version;
    });
    assert.ok(holding.length >= count, `${holding.length} copies hold it`);
  },
);

Then(
  "reading through box {int} gives route {string} as it was put first",
  async (number: number, name: string) => {
    assert.equal((await readThrough(box(number), name))?.body, first);
  },
);

Then(
  "reading through box {int} gives route {string} at version {int}",
  async (number: number, name: string, version: number) => {
    assert.equal((await readThrough(box(number), name))?.version, version);
  },
);

Then("reading through box {int} gives no route {string}", async (number: number, name: string) => {
  assert.equal((await readThrough(box(number), name))?.dropped, true);
});

Then("reading through each box gives the same route {string}", async (name: string) => {
  const bodies = new Set<string>();
  for (const id of BOXES) bodies.add((await readThrough(id, name))?.body ?? "none");
  assert.equal(bodies.size, 1);
  assert.ok(!bodies.has("none"));
});

Given("box {int} has read a quorum and has written all it knows", async (number: number) => {
  await readThrough(box(number), "r1");
  assert.ok((await copies.copy(box(number)).archive.writeVerifiedSnapshot()).isOk);
});

Then(
  "the listeners of box {int} were told of route {string}",
  async (number: number, name: string) => {
    await settle();
    assert.ok(copies.copy(box(number)).told.has(key(name)));
  },
);

When("every box is killed", async () => {
  await settle(20);
  await copies.killAll();
});

When("box {int} comes with an empty disk", async (number: number) => {
  (await copies.start(box(number), false)).duty.start();
});

Then(
  "the roster has box {int} and not box {int} on the boxes in reach",
  (there: number, gone: number) => {
    [...copies.running.values()]
      .filter(({ id }) => !copies.cut.has(id))
      .forEach(({ store, id }) => {
        assert.ok(
          store.members().includes(box(there)) && !store.members().includes(box(gone)),
          `${id}: ${store.members().join()}`,
        );
      });
  },
);

Then("reading through each box gives the same route {string}, or none", async (name: string) => {
  const bodies = new Set<string>();
  for (const id of BOXES) bodies.add((await readThrough(id, name))?.body ?? "none");
  assert.equal(bodies.size, 1);
});

Then("box {int} is not counting", (number: number) =>
  assert.equal(copies.copy(box(number)).store.isVoting, false),
);

Then("reading through box {int} fails", async (number: number) => {
  assert.ok((await copies.beside(copies.copy(box(number)).store.read())).isErr);
});

Then(
  "the copy of box {int} holds route {string} at version {int}",
  (number: number, name: string, version: number) => {
    assert.equal(copies.copy(box(number)).store.get(key(name))?.version, version);
  },
);

// --- duty -----------------------------------------------------------------------------------------------------------

let oldHolder: Copy | undefined;
let oldTerm = 0;
const holdersByTerm = new Map<number, Set<string>>();

const holders = (): readonly Copy[] =>
  [...copies.running.values()].filter((copy) => copy.duty.isHolder());
const reachableHolder = (): Copy | undefined => holders().find((copy) => !copies.cut.has(copy.id));
const note = (): void =>
  holders().forEach((copy) => {
    const term = copy.duty.term();
    holdersByTerm.set(term, (holdersByTerm.get(term) ?? new Set()).add(copy.id));
  });

const pass = async (seconds: number): Promise<void> => {
  for (let step = 0; step < seconds * 4; step += 1) {
    await copies.clock.pass(250_000);
    for (const copy of copies.running.values()) void copy.store.read();
    await settle(8);
    note();
  }
};

Given("their duties are started", () => {
  holdersByTerm.clear();
  copies.running.forEach((copy) => copy.duty.start());
});

When("{int} seconds pass", async (seconds: number) => pass(seconds));

const remember = (): Copy => {
  const holder = reachableHolder();
  assert.ok(holder, "nobody holds the duty");
  oldHolder = holder;
  oldTerm = holder.duty.term();
  return holder;
};

When("the holder is cut off", () => {
  copies.cut.add(remember().id);
});

When("the holder hands over", async () => {
  await copies.beside(remember().duty.stepDown());
  await pass(1);
});

When("box {int} is killed", async (number: number) => copies.kill(box(number)));

When("the holder is cut off and joined again {int} times", async (times: number) => {
  await pass(3);
  for (let time = 0; time < times; time += 1) {
    copies.cut.add(remember().id);
    await pass(5);
    copies.cut.clear();
    await pass(1);
  }
});

When(
  "a box that is not the holder is cut off for {int} seconds and joined again",
  async (seconds: number) => {
    const holder = remember();
    const other = BOXES.find((id) => id !== holder.id) ?? "";
    copies.cut.add(other);
    await pass(seconds);
    copies.cut.clear();
    await pass(3);
  },
);
Then("the same box holds the duty with the same term", () => {
  const holder = reachableHolder();
  assert.deepEqual([holder?.id, holder?.duty.term()], [oldHolder?.id, oldTerm]);
});

Then("exactly {int} box holds the duty", (count: number) => assert.equal(holders().length, count));

Then("the roster has {int} members everywhere", (count: number) => {
  copies.running.forEach((copy) => assert.equal(copy.store.members().length, count, copy.id));
});

Then("the roster has {int} members on the running boxes", (count: number) => {
  copies.running.forEach((copy) => assert.equal(copy.store.members().length, count, copy.id));
});

Then("another box holds the duty with a higher term", () => {
  const holder = reachableHolder();
  assert.ok(holder && holder.id !== oldHolder?.id);
  assert.ok(holder.duty.term() > oldTerm);
});

Then("what the old holder writes under its term is refused", async () => {
  copies.cut.clear();
  const { store, id } = oldHolder ?? assert.fail("no holder is remembered");
  const written = await copies.beside(
    store.decide("duty/ejections", () => "{}", {
      number: oldTerm,
      holder: id,
      incarnation: store.incarnation,
    }),
  );
  assert.ok(written.isErr);
});

Then("no term was ever held by two boxes", () => {
  assert.ok(holdersByTerm.size >= 4);
  holdersByTerm.forEach((ids) => assert.equal(ids.size, 1));
});

// --- calls ----------------------------------------------------------------------------------------------------------

const rule = (changes: UnknownRecord = {}, then: UnknownRecord = {}): UnknownRecord => ({
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
const callOf = (oneRule: UnknownRecord, host = "a.example"): UnknownRecord => ({
  putItems: { limits, listeners: [{ host, rules: [oneRule] }], groups: [group] },
  remove: { routes: [] },
});

const FLAWS: Readonly<Record<string, () => string>> = {
  "is cut short": () => JSON.stringify(callOf(rule())).slice(0, -20),
  "is a list": () => "[]",
  "has a route with an empty host": () => JSON.stringify(callOf(rule(), "")),
  "has a path without a leading slash": () =>
    JSON.stringify(callOf(rule({ matchOn: { pathStart: "a/" } }))),
  "gives up after eleven minutes": () => JSON.stringify(callOf(rule({}, { giveUp: "660s" }))),
  "has a route without a version": () => JSON.stringify(callOf(rule({ version: undefined }))),
  "has shares of 0": () =>
    JSON.stringify(callOf(rule({}, { service: undefined, shares: [{ service: "s1", share: 0 }] }))),
  "has a route of an unknown kind": () => JSON.stringify(callOf(rule({ routeKind: "maybe" }))),
  "names a service nobody knows": () => JSON.stringify(callOf(rule({}, { service: "nobody" }))),
  "is right": () => JSON.stringify(callOf(rule())),
};

let call: ReturnType<typeof parseChange> | undefined;

When(/^a call is read that (.*)$/, (flaw: string) => {
  const make = FLAWS[flaw];
  assert.ok(make, `no such flaw: ${flaw}`);
  call = parseChange(make());
});

Then("it is refused as {string}", (kind: string) => {
  assert.ok(call?.isErr);
  assert.equal(call.error.kind, kind);
  assert.ok(call.error.sentence.length > 5);
});

Then("the unknown service is {string}", (name: string) => {
  assert.ok(call?.isOk);
  assert.equal(
    findUnknownService(call.value, () => undefined),
    name,
  );
});

Then("no service is unknown", () => {
  assert.ok(call?.isOk);
  assert.equal(
    findUnknownService(call.value, () => undefined),
    undefined,
  );
});

Then("laying its items out gives the call's items again", () => {
  assert.ok(call?.isOk);
  const sent = asRecord(asRecord(parseJson(FLAWS["is right"]?.() ?? ""))["putItems"]);
  assert.deepEqual(toConfigDocument(call.value), sent);
});
