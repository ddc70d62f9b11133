import assert from "node:assert/strict";
import { appendFile, readdir } from "node:fs/promises";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { KeyClaimResult } from "../../src/idempotency/key-replication.js";
import { ReplicaCluster } from "../support/replica-cluster.js";

interface Try {
  readonly name: string;
  readonly key: string;
  readonly verdict: KeyClaimResult;
}

const IDS = ["b1", "b2", "b3", "b4", "b5"];

let boxes: ReplicaCluster | undefined;
/** The history of all claims, in the order they ended. */
let history: Try[] = [];

const net = (): ReplicaCluster => {
  if (!boxes) throw new Error("no signalboxes yet");
  return boxes;
};

const beside = <T>(work: Promise<T>): Promise<T> => net().withClock(work);

const open = async (count: number, withstand: number, diskBytes = 8_000_000): Promise<void> => {
  await boxes?.removeAll();
  history = [];
  boxes = new ReplicaCluster(IDS.slice(0, count), withstand, diskBytes);
  await boxes.startAll();
  await boxes.makeVoters(boxes.ids);
  await catchUp();
};

const catchUp = async (): Promise<void> => {
  for (let round = 0; round < 3; round += 1) {
    for (const { store, keys } of net().running.values()) {
      await beside(store.read());
      await beside(keys.catchUp());
    }
  }
};

const restart = async (ids: readonly string[]): Promise<void> => {
  for (const id of ids) await net().start(id, false);
};

const claim = async (name: string, key: string, box: string): Promise<void> => {
  const result = await beside(net().member(box).keys.claim(key, name));
  history.push({ name, key, verdict: result });
};

const last = (): KeyClaimResult => {
  const entry = history[history.length - 1];
  if (!entry) throw new Error("nothing was claimed yet");
  return entry.verdict;
};

After(async () => {
  await boxes?.removeAll();
  boxes = undefined;
});

Given(
  "{int} signalboxes that must bear the loss of {int}, with a full roster",
  (count: number, withstand: number) => open(count, withstand),
);
Given(
  "{int} signalboxes that must bear the loss of {int}, with logs of {int} bytes",
  (count: number, withstand: number, bytes: number) => open(count, withstand, bytes),
);

When("try {string} claims key {string} at box {int}", (name: string, key: string, box: number) =>
  claim(name, key, `b${box}`),
);
When(
  "tries {string} and {string} claim key {string} at boxes {int} and {int} at the same moment",
  async (one: string, two: string, key: string, first: number, second: number) => {
    await Promise.all([claim(one, key, `b${first}`), claim(two, key, `b${second}`)]);
  },
);
When("try {string} takes its token back at box {int}", async (name: string, box: number) => {
  net().member(`b${box}`).keys.release("k", name);
  await net().clock.pass(10_000);
});
When(
  "both losers take their tokens back and {string} claims key {string} at box {int}",
  async (name: string, key: string, box: number) => {
    history
      .filter(({ verdict: result }) => result.kind !== "won")
      .forEach((entry) => net().member("b2").keys.release(key, entry.name));
    await net().clock.pass(10_000);
    await claim(name, key, `b${box}`);
  },
);
When(
  "try {string} keeps the answer {string} at box {int}",
  async (name: string, body: string, box: number) => {
    const kept = await beside(
      net()
        .member(`b${box}`)
        .keys.complete("k", name, {
          status: 200,
          heads: ["Yewreel-Server-Seal", "s"],
          body: Buffer.from(body),
        }),
    );
    assert.ok(kept);
  },
);
When("the claimant, box {int}, dies", (box: number) => net().kill(`b${box}`));
When("boxes {int} and {int} lose their disks and start again", async (one: number, two: number) => {
  const ids = [`b${one}`, `b${two}`];
  for (const id of ids) await net().wipe(id);
  await restart(ids);
});
When("the boxes have had time to catch up", catchUp);
When("all are killed and start again", async () => {
  await net().killAll();
  await restart(net().ids);
  await catchUp();
});
When("every log is torn at its end and every signalbox starts again", async () => {
  await net().killAll();
  for (const id of net().ids) {
    const folder = join(net().folderOf(id), "keys");
    const name = (await readdir(folder)).sort().pop() ?? "";
    await appendFile(join(folder, name), Buffer.from([0, 0, 0, 90, 1, 2, 3, 4, 5, 6]));
  }
  await restart(net().ids);
  await catchUp();
});
When("the clock moves on by {int} s", (seconds: number) => net().clock.pass(seconds * 1_000_000));
When(/^boxes (.*) are cut off$/, (told: string) =>
  told.match(/\d/g)?.forEach((box) => net().partitioned.add(`b${box}`)),
);
When(
  "box {int} is joined again and box {int} is killed",
  async (joined: number, killed: number) => {
    net().partitioned.clear();
    await net().kill(`b${killed}`);
    assert.ok(net().running.has(`b${joined}`));
  },
);
When("new keys are claimed until one is refused", async () => {
  for (let at = 0; at < 2_000; at += 1) {
    // The clock stands still: on a busy machine it would outrun the window of the key that must not
    // be forgotten.
    const result = await net().member("b1").keys.claim(`filler-${at}`, "t");
    if (result.kind === "none") return;
  }
  assert.fail("the log never filled");
});
When(
  "a purge of label {string} is acknowledged at box {int}",
  async (label: string, box: number) => {
    assert.ok(await beside(net().member(`b${box}`).keys.purge({ host: "", path: "", label })));
  },
);
When("box {int} reads the purges", async (box: number) => {
  assert.ok(await beside(net().member(`b${box}`).keys.readPurges()));
});

When("the others leave boxes 1 and 5 out of the roster while box 1 is cut off", async () => {
  net().partitioned.add("b1");
  const changed = await beside(
    net()
      .member("b2")
      .store.changeMembers(
        (members) => members.filter((id) => id !== "b1" && id !== "b5"),
        net().member("b2").keys.replicateToNewMembers,
      ),
  );
  assert.ok(changed.isOk);
  net().partitioned.delete("b1");
});
Then("a purge at box 1 is refused, and taken when it is sent again", async () => {
  const purge = { host: "", path: "", label: "t9" };
  assert.equal(await beside(net().member("b1").keys.purge(purge)), false);
  assert.equal(await beside(net().member("b1").keys.purge(purge)), true);
});
Then("the verdicts are {string}", (kinds: string) =>
  assert.equal(history.map(({ verdict: result }) => result.kind).join(", "), kinds),
);
Then("the last verdict is {string}", (kind: string) => assert.equal(last().kind, kind));
Then("the last verdict is not {string}", (kind: string) => assert.notEqual(last().kind, kind));
Then("the last verdict is {string} with {string}", (kind: string, body: string) => {
  const result = last();
  assert.equal(result.kind, kind);
  assert.equal(
    result.kind === "done" ? Buffer.from(result.answer.body ?? []).toString() : "",
    body,
  );
});
Then("at most one of them won", () =>
  assert.ok(history.filter(({ verdict: result }) => result.kind === "won").length <= 1),
);
Then("exactly one try of {string} has ever won", (key: string) => {
  assert.equal(
    history.filter((entry) => entry.key === key && entry.verdict.kind === "won").length,
    1,
  );
});
Then(
  "try {string} of key {string} at box {int} is told {string}",
  async (name: string, key: string, box: number, kind: string) => {
    await claim(name, key, `b${box}`);
    assert.equal(last().kind, kind);
  },
);
Then("box {int} knows the purge of label {string}", (box: number, label: string) => {
  const { book, learnedPurges: learned } = net().member(`b${box}`);
  assert.ok(book.purges().some((purge) => purge.label === label));
  assert.ok(learned.some((purge) => purge.label === label));
});
When("boxes {int} and {int} are killed and start again", async (one: number, two: number) => {
  const ids = [`b${one}`, `b${two}`];
  for (const id of ids) await net().kill(id);
  await restart(ids);
});
Then("box {int} takes no claims before it has caught up", (box: number) =>
  assert.equal(net().member(`b${box}`).keys.isVoting, false),
);
