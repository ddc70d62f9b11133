import assert from "node:assert/strict";
import { appendFile, readdir } from "node:fs/promises";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { readList } from "../../src/common/decode.js";
import { IdempotencyClient } from "../../src/idempotency/key-client.js";
import {
  KEY_MESSAGE,
  packPosition,
  packStored,
  readKeyClaim,
  readKeyRow,
  readPageEnd,
  readReleaseAll,
  readStoredResponse,
  TABLE_START,
} from "../../src/idempotency/key-codec.js";
import type { KeyClaimResult } from "../../src/idempotency/key-replication.js";
import { DiskLossRun } from "../support/disk-loss-run.js";
import type { Message } from "../../src/transport/connection.js";
import { ReplicaCluster, type ClusterMember } from "../support/replica-cluster.js";

interface Attempt {
  readonly name: string;
  readonly key: string;
  readonly result: KeyClaimResult;
}

/** Ends a run of many seeds that hangs; far above what one takes beside load. */
const HANG_TIMEOUT_MS = 240_000;
const IDS = ["b1", "b2", "b3", "b4", "b5"];

let cluster: ReplicaCluster | undefined;
/** All claims, in the order in which they completed. */
let history: Attempt[] = [];
/** The bodies of the responses that were acknowledged as stored, by key. */
const storedBodies = new Map<string, Buffer>();
const seedsWithViolations: string[] = [];

const current = (): ReplicaCluster => {
  if (!cluster) throw new Error("no controllers were started");
  return cluster;
};

const withClock = <T>(work: Promise<T>): Promise<T> => current().withClock(work);

const startCluster = async (
  count: number,
  withstand: number,
  diskBytes = 8_000_000,
): Promise<void> => {
  await cluster?.removeAll();
  history = [];
  cluster = new ReplicaCluster(IDS.slice(0, count), withstand, diskBytes);
  await cluster.startAll();
  await cluster.makeVoters(cluster.ids);
  await catchUp();
};

const catchUp = async (): Promise<void> => {
  for (let round = 0; round < 3; round += 1) {
    for (const { store, keys } of current().running.values()) {
      await withClock(store.read());
      await withClock(keys.catchUp());
    }
  }
};

const restart = async (ids: readonly string[]): Promise<void> => {
  for (const id of ids) await current().start(id, false);
};

const claim = async (name: string, key: string, controllerId: string): Promise<void> => {
  const result = await withClock(current().member(controllerId).keys.claim(key, name));
  history.push({ name, key, result });
};

const lastResult = (): KeyClaimResult => {
  const entry = history[history.length - 1];
  if (!entry) throw new Error("no key has been claimed yet");
  return entry.result;
};

After(async () => {
  await cluster?.removeAll();
  cluster = undefined;
  storedBodies.clear();
  seedsWithViolations.length = 0;
});

Given(
  "{int} controllers that must withstand the loss of {int}, all of them voters",
  (count: number, withstand: number) => startCluster(count, withstand),
);
Given(
  "{int} controllers that must withstand the loss of {int}, with logs of {int} bytes",
  (count: number, withstand: number, bytes: number) => startCluster(count, withstand, bytes),
);

When(
  "attempt {string} claims key {string} through controller {int}",
  (name: string, key: string, number: number) => claim(name, key, `b${number}`),
);
When(
  "attempts {string} and {string} claim key {string} through controllers {int} and {int} at the same time",
  async (one: string, two: string, key: string, first: number, second: number) => {
    await Promise.all([claim(one, key, `b${first}`), claim(two, key, `b${second}`)]);
  },
);
When(
  "attempt {string} releases its token through controller {int}",
  async (name: string, number: number) => {
    current().member(`b${number}`).keys.release("k", name);
    await current().clock.pass(10_000);
  },
);
When(
  "the attempts that did not win release their tokens and {string} claims key {string} through controller {int}",
  async (name: string, key: string, number: number) => {
    history
      .filter(({ result }) => result.kind !== "won")
      .forEach((entry) => current().member("b2").keys.release(key, entry.name));
    await current().clock.pass(10_000);
    await claim(name, key, `b${number}`);
  },
);
When(
  "attempt {string} stores the response {string} through controller {int}",
  async (name: string, body: string, number: number) => {
    const isStored = await withClock(
      current()
        .member(`b${number}`)
        .keys.responses.store("k", name, {
          status: 200,
          heads: ["Yewreel-Server-Seal", "s"],
          body: Buffer.from(body),
        }),
    );
    assert.ok(isStored);
  },
);
When("controller {int}, which claimed the key, is killed", (number: number) =>
  current().kill(`b${number}`),
);
When(
  "controllers {int} and {int} lose their disks and restart",
  async (one: number, two: number) => {
    const ids = [`b${one}`, `b${two}`];
    for (const id of ids) await current().wipe(id);
    await restart(ids);
  },
);
When("{int} keys get responses of {int} bytes", async (count: number, bytes: number) => {
  for (let at = 0; at < count; at += 1) {
    const key = `key-${at}`;
    const { keys } = current().member(current().ids[at % current().ids.length] ?? "");
    assert.equal((await withClock(keys.claim(key, "first"))).kind, "won");
    const body = Buffer.alloc(bytes, key);
    assert.ok(
      await withClock(keys.responses.store(key, "first", { status: 200, heads: [], body })),
    );
    storedBodies.set(key, body);
  }
});
When("controller {int} loses its disk and restarts", async (number: number) => {
  await current().wipe(`b${number}`);
  await restart([`b${number}`]);
});
When("{int} s pass, in which the controllers do their periodic work", (seconds: number) =>
  current().runBackground(seconds * 1_000_000),
);
When(
  "controller {int} holds {int} keys without responses",
  async (number: number, count: number) => {
    const { keyTable } = current().member(`b${number}`);
    const claims = Array.from({ length: count }, (_, at) => keyTable.claim(`key-${at}`, "first"));
    assert.ok((await Promise.all(claims)).every((result) => result === "taken"));
  },
);
When("controllers 1 and 2 hold {int} keys without responses", async (count: number) => {
  for (const id of ["b1", "b2"])
    await Promise.all(
      Array.from({ length: count }, (_, at) =>
        current().member(id).keyTable.claim(`key-${at}`, "first"),
      ),
    );
});
When("every second request to a controller for a page of a table is lost", () => {
  const counts = new Map<string, number>();
  current().dropsMessage = (to, { kind }) => {
    if (kind !== KEY_MESSAGE.readTable) return false;
    const count = (counts.get(to) ?? 0) + 1;
    counts.set(to, count);
    return count % 2 === 0;
  };
});
Then("controller {int} votes on claims and holds {int} keys", (number: number, count: number) => {
  const { keys, keyTable } = current().member(`b${number}`);
  assert.deepEqual([keys.isVoting, keyTable.size], [true, count]);
});
/** All keys that the rows of a response name. */
const keysOf = (response: Message | undefined): readonly string[] =>
  readList(response ?? { kind: "" }, "keys", (row) => readKeyRow(row).key);
Then(
  "controller {int} sends its {int} keys in {int} pages, and in one message to an earlier version",
  async (number: number, count: number, pageCount: number) => {
    const { keys } = current().member(`b${number}`);
    const request = { kind: KEY_MESSAGE.readTable };
    const received = new Set<string>();
    let position = TABLE_START;
    let pages = 0;
    for (let isLast = false; !isLast; pages += 1) {
      const page = await keys.handleRequest({ ...request, ...packPosition(position) });
      keysOf(page).forEach((key) => received.add(key));
      ({ isLast, position } = readPageEnd(page ?? request));
    }
    assert.deepEqual([received.size, pages], [count, pageCount]);
    assert.equal(new Set(keysOf(await keys.handleRequest(request))).size, count);
  },
);
Then(
  "controller {int} copies no response, refuses new keys and knows that {int} bodies are missing",
  async (number: number, count: number) => {
    const { keys, keyTable } = current().member(`b${number}`);
    assert.deepEqual(
      [keys.repair.copiedCount, keys.repair.missingCount, keyTable.isNearlyFull],
      [0, count, true],
    );
    assert.equal(await keyTable.claim("new", "token"), "full");
  },
);
When("the log of controller {int} is filled with keys", async (number: number) => {
  const { keyTable } = current().member(`b${number}`);
  for (let at = 0; !keyTable.isNearlyFull; at += 1) await keyTable.claim(`filler-${at}`, "t");
});
Then("every controller returns the response of every key", async () => {
  for (const [key, body] of storedBodies)
    for (const id of current().ids) {
      const result = await withClock(current().member(id).keys.claim(key, `repeat at ${id}`));
      if (result.kind !== "done") assert.fail(`${key} at ${id}: ${result.kind}`);
      assert.deepEqual(Buffer.from(result.answer.body ?? []), body);
    }
});
When(
  "{int} seeds of disks lost in turn are run {word} the repair",
  { timeout: HANG_TIMEOUT_MS },
  async (count: number, withOrWithout: string) => {
    for (let seed = 1; seed <= count; seed += 1) {
      const { violations } = await new DiskLossRun(seed, withOrWithout === "with").run();
      seedsWithViolations.push(...(violations.length > 0 ? [`${seed}: ${violations[0]}`] : []));
    }
  },
);
Then("no acknowledged state is lost", () => assert.deepEqual(seedsWithViolations, []));
Then("acknowledged state is lost", () => assert.notDeepEqual(seedsWithViolations, []));
/** A gateway with a session at controller 1, whenever that one runs. */
const openGateway = (handleClaim: (session: ClusterMember, message: Message) => Promise<void>) =>
  new IdempotencyClient(
    current().clock,
    async (message) => {
      const session = current().running.get("b1");
      if (!session) return undefined;
      if (message.kind === KEY_MESSAGE.releaseAll)
        return packStored(await session.keys.releaseAll(readReleaseAll(message)));
      if (message.kind === KEY_MESSAGE.complete) {
        const answer = readStoredResponse(message["answer"]);
        const { key, token } = readKeyClaim(message);
        return packStored(
          answer !== undefined && (await session.keys.responses.store(key, token, answer)),
        );
      }
      await handleClaim(session, message);
      return undefined;
    },
    (message) => current().running.get("b1")?.keys.release("k", String(message["token"])),
  );

When(
  "a gateway's claim of key {string} succeeds while all controllers are killed, and it gives up the token {string}",
  async (key: string, token: string) => {
    const gateway = openGateway(async (session) => {
      await session.keys.claim(key, token);
      await current().killAll();
    });
    assert.equal((await withClock(gateway.claim(key, token))).kind, "none");
    gateway.release(key, token);
    await current().clock.pass(1_000_000);
  },
);
When(
  "all controllers are killed before a gateway stores the response {string} of token {string} for key {string}",
  async (body: string, token: string, key: string) => {
    await current().killAll();
    const gateway = openGateway(async () => undefined);
    const answer = { status: 200, heads: [], body: Buffer.from(body) };
    const waitUs = 300_000;
    assert.equal(await withClock(gateway.complete(key, token, answer, waitUs)), false);
  },
);
When(
  "every controller is told that attempt {string} has completed key {string}, without the body",
  async (token: string, key: string) => {
    const answer = { status: 200, heads: [], body: undefined };
    for (const { keyTable } of current().running.values())
      assert.ok(await keyTable.complete(key, token, answer));
  },
);
When(
  "controllers {int} and {int} take the token {string} for key {string}, which is never released",
  async (one: number, two: number, token: string, key: string) => {
    for (const number of [one, two])
      assert.equal(await current().member(`b${number}`).keyTable.claim(key, token), "taken");
  },
);
Then(
  "every controller knows that key {string} belongs to {string} and has completed",
  (key: string, token: string) =>
    current().running.forEach(({ keyTable }) =>
      assert.deepEqual([keyTable.findToken(key), keyTable.findResponse(key)?.status], [token, 200]),
    ),
);
When("all controllers are started again", async () => {
  await restart(current().ids);
  await current().runBackground(6_000_000);
});
When("the controllers have had time to catch up", catchUp);
When("all controllers are killed and restarted", async () => {
  await current().killAll();
  await restart(current().ids);
  await catchUp();
});
When(
  "the log of every controller ends in a torn record and every controller restarts",
  async () => {
    await current().killAll();
    for (const id of current().ids) {
      const folder = join(current().folderOf(id), "keys");
      const name = (await readdir(folder)).sort().pop() ?? "";
      await appendFile(join(folder, name), Buffer.from([0, 0, 0, 90, 1, 2, 3, 4, 5, 6]));
    }
    await restart(current().ids);
    await catchUp();
  },
);
When("the clock advances by {int} s", (seconds: number) =>
  current().clock.pass(seconds * 1_000_000),
);
When(/^controllers (.*) are partitioned$/, (list: string) =>
  list.match(/\d/g)?.forEach((number) => current().partitioned.add(`b${number}`)),
);
When("controllers 4 and 5 are reconnected", () => current().partitioned.clear());
When("claims do not reach controller {int}", (number: number) => {
  current().dropsMessage = (to, { kind }) => to === `b${number}` && kind === KEY_MESSAGE.claim;
});
When(
  "controller {int} is reconnected and controller {int} is killed",
  async (reconnected: number, killed: number) => {
    current().partitioned.clear();
    await current().kill(`b${killed}`);
    assert.ok(current().running.has(`b${reconnected}`));
  },
);
When("new keys are claimed until one is rejected", async () => {
  for (let at = 0; at < 2_000; at += 1) {
    // The clock is not advanced here: on a busy machine it would pass the window of the key that
    // must not be forgotten.
    const result = await current().member("b1").keys.claim(`filler-${at}`, "t");
    if (result.kind === "none") return;
  }
  assert.fail("the log did not fill up");
});
When(
  "a purge of label {string} is acknowledged by controller {int}",
  async (label: string, number: number) => {
    assert.ok(
      await withClock(
        current().member(`b${number}`).keys.purges.add({ host: "", path: "", label }),
      ),
    );
  },
);
When("controller {int} reads the purges", async (number: number) => {
  assert.ok(await withClock(current().member(`b${number}`).keys.purges.read()));
});

When(
  "the others remove controllers 1 and 5 from the voter set while controller 1 is partitioned",
  async () => {
    current().partitioned.add("b1");
    const changed = await withClock(
      current()
        .member("b2")
        .store.changeMembers(
          (members) => members.filter((id) => id !== "b1" && id !== "b5"),
          current().member("b2").keys.replicateToNewMembers,
        ),
    );
    assert.ok(changed.isOk);
    current().partitioned.delete("b1");
  },
);
Then("a purge through controller 1 is rejected, and accepted when it is sent again", async () => {
  const purge = { host: "", path: "", label: "t9" };
  assert.equal(await withClock(current().member("b1").keys.purges.add(purge)), false);
  assert.equal(await withClock(current().member("b1").keys.purges.add(purge)), true);
});
Then("the results are {string}", (kinds: string) =>
  assert.equal(history.map(({ result }) => result.kind).join(", "), kinds),
);
Then("the last result is {string}", (kind: string) => assert.equal(lastResult().kind, kind));
Then("the last result is not {string}", (kind: string) => assert.notEqual(lastResult().kind, kind));
Then("the last result is {string} with {string}", (kind: string, body: string) => {
  const result = lastResult();
  assert.equal(result.kind, kind);
  assert.equal(
    result.kind === "done" ? Buffer.from(result.answer.body ?? []).toString() : "",
    body,
  );
});
Then("at most one of them won", () =>
  assert.ok(history.filter(({ result }) => result.kind === "won").length <= 1),
);
Then("exactly one attempt for {string} has ever won", (key: string) => {
  assert.equal(
    history.filter((entry) => entry.key === key && entry.result.kind === "won").length,
    1,
  );
});
Then(
  "attempt {string} for key {string} through controller {int} gets the result {string}",
  async (name: string, key: string, number: number, kind: string) => {
    await claim(name, key, `b${number}`);
    assert.equal(lastResult().kind, kind);
  },
);
When(
  "{int} s pass, in which the controllers read purges and remove expired ones in turn",
  async (seconds: number) => {
    for (let second = 0; second < seconds; second += 1)
      for (const { keys, keyTable } of current().running.values()) {
        keyTable.removeExpired();
        await withClock(keys.purges.read());
        await current().clock.pass(1_000_000 / current().running.size);
      }
  },
);
Then("no controller knows a purge", () =>
  current().running.forEach(({ keyTable }) => assert.deepEqual(keyTable.purges(), [])),
);
Then("controller {int} knows the purge of label {string}", (number: number, label: string) => {
  const { keyTable, learnedPurges } = current().member(`b${number}`);
  assert.ok(keyTable.purges().some((purge) => purge.label === label));
  assert.ok(learnedPurges.some((purge) => purge.label === label));
});
When("controllers {int} and {int} are killed and restarted", async (one: number, two: number) => {
  const ids = [`b${one}`, `b${two}`];
  for (const id of ids) await current().kill(id);
  await restart(ids);
});
Then("controller {int} does not vote on claims before it has caught up", (number: number) =>
  assert.equal(current().member(`b${number}`).keys.isVoting, false),
);
