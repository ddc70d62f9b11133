import assert from "node:assert/strict";
import { cp, mkdtemp, readdir, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then } from "@cucumber/cucumber";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { NodeFileSystem } from "../../src/storage/file-system.js";
import { IdempotencyKeyTable } from "../../src/idempotency/key-table.js";
import { makeRegister } from "../../src/consensus/register.js";
import { UpdateStore } from "../../src/membership/update-store.js";
import { UpdatePublisher } from "../../src/membership/update-publisher.js";
import {
  packClusterSize,
  packHeartbeat,
  packNode,
  readClusterSize,
  readHeartbeat,
  readSharedHeartbeat,
} from "../../src/membership/messages.js";
import { WorkerRegistry } from "../../src/membership/worker-registry.js";
import { NodeSessions } from "../../src/membership/node-sessions.js";
import { silentLogger } from "../../src/common/logger.js";
import {
  asList,
  asRecord,
  readFlag,
  readList,
  parseJson,
  readString,
  asString,
  type UnknownRecord,
} from "../../src/common/decode.js";
import type { Message } from "../../src/transport/connection.js";
import { ReplicaCluster } from "../support/replica-cluster.js";
import {
  answersOf,
  bringBack,
  bytesOf,
  converse,
  IDS,
  plain,
  throughWire,
  withFormerNames,
  live,
  messageOf,
} from "../support/golden.js";
import { ManualClock } from "../support/manual-clock.js";

const FOLDER = "features/data/before-2026-12";
const MEMBERS = IDS.slice(0, 3);

let cluster = new ReplicaCluster(IDS);
let found: readonly unknown[] = [];
let folder = "";

After(async () => {
  await cluster.removeAll();
  if (folder !== "") await rm(folder, { recursive: true, force: true });
  folder = "";
});

const golden = async (name: string): Promise<unknown> =>
  parseJson(await readFile(join(FOLDER, name), "utf8"));
const goldenRec = async (name: string): Promise<UnknownRecord> =>
  asRecord(await golden(name), name);

const framesOf = async (): Promise<
  readonly { readonly bytes: Buffer; readonly message: Message; readonly deflated: boolean }[]
> =>
  asList(await golden("frames.json")).map((value) => {
    const row = asRecord(value);
    return {
      bytes: Buffer.from(readString(row, "frame"), "base64"),
      message: messageOf(row["message"]),
      deflated: readFlag(row, "deflated"),
    };
  });
const aside = async (name: string): Promise<string> => {
  folder = await mkdtemp(join(tmpdir(), "yewreel-"));
  await cp(join(FOLDER, name), folder, { recursive: true });
  return folder;
};

Given("three copies that start from the control state stored before", async () => {
  cluster = new ReplicaCluster(IDS);
  const files = new Map<string, Map<string, Uint8Array>>();
  for (const id of MEMBERS) {
    const held = new Map<string, Uint8Array>();
    for (const name of await readdir(join(FOLDER, `state-${id}`)))
      held.set(name, await readFile(join(FOLDER, `state-${id}`, name)));
    files.set(id, held);
  }
  found = await bringBack(cluster, MEMBERS, (id) => files.get(id) ?? new Map<string, Uint8Array>());
});

/** Records that today's snapshots have beside those of before. */
const isOfHistory = (record: unknown): boolean =>
  ["call", "earlier"].includes(String(asRecord(record)["t"]));
const snapshotOf = (state: unknown): readonly unknown[] => asList(asRecord(state)["snapshot"]);

Then("each holds exactly what it held", async () => {
  const withoutHistory = found.map((state) => ({
    ...asRecord(state),
    snapshot: snapshotOf(state).filter((record) => !isOfHistory(record)),
  }));
  assert.deepEqual(withFormerNames(withoutHistory), await golden("loaded.json"));
});

Then("each knows which of it was proposed together, and what was there before", async () => {
  const history = found.map((state) => snapshotOf(state).filter(isOfHistory));
  assert.deepEqual(
    history,
    asList(parseJson(await readFile("features/data/2026-12-history/loaded.json", "utf8"))),
  );
});

Then("what is in force is what was in force", async () => {
  const { registers, roster: voterSet } = await goldenRec("state.json");
  for (const id of MEMBERS) {
    assert.ok((await cluster.withClock(cluster.member(id).store.read())).isOk);
    const byKey = (rows: readonly UnknownRecord[]) =>
      [...rows].sort((one, other) => (readString(one, "key") < readString(other, "key") ? -1 : 1));
    assert.deepEqual(
      byKey(
        asList(plain(cluster.member(id).store.committedRegisters())).map((row) => asRecord(row)),
      ),
      byKey(asList(registers).map((row) => asRecord(row))),
    );
    assert.deepEqual(plain(cluster.member(id).store.voterSet()), voterSet);
  }
});

Then("a new order is confirmed by a quorum", async () => {
  const order = makeRegister("route/pay", 9, '{"service":"pay","new":true}');
  assert.ok((await cluster.withClock(cluster.member("b").store.propose([order]))).isOk);
  for (const id of MEMBERS) {
    assert.ok((await cluster.withClock(cluster.member(id).store.read())).isOk);
    assert.equal(cluster.member(id).store.get("route/pay")?.digest, order.digest);
  }
});

Then("the workers remembered before are read as they were", async () => {
  const archive = new WriteAheadLog({
    folder: await aside("workers"),
    fileSystem: new NodeFileSystem(),
    snapshot: () => [],
  });
  const loaded = await archive.load();
  const { kept } = await goldenRec("workers.json");
  const heartbeats = loaded.kind === "verified" ? loaded.records.map(readSharedHeartbeat) : [];
  assert.deepEqual(plain(withFormerNames(heartbeats)), kept, loaded.kind);
  assert.deepEqual(plain(heartbeats.map(packHeartbeat)), kept);
});

Then(
  "the heartbeats of before give the beats, the shared beats and the facts of before",
  async () => {
    const { calls, beats: heartbeats, shared, facts } = await goldenRec("workers.json");
    const clock = new ManualClock();
    const updates = new UpdateStore(clock);
    const registry = new WorkerRegistry(clock, updates, 1_000_000);
    asList(calls).forEach((call) =>
      registry.record(readHeartbeat(asString(asList(call)[0]), asList(call)[1])),
    );
    assert.deepEqual(
      [
        plain(withFormerNames(registry.all())),
        plain(registry.packAll()),
        plain(updates.pack(updates.all())),
      ],
      [heartbeats, shared, facts],
    );
    const read = asList(shared).map(readSharedHeartbeat);
    assert.deepEqual(plain(withFormerNames(read)), heartbeats);
    assert.deepEqual(plain(read.map(packHeartbeat)), heartbeats);
  },
);

Then("the operation keys and purges of before are held", async () => {
  const { pack, body } = await goldenRec("keys.json");
  const book = new IdempotencyKeyTable({
    folder: await aside("keys"),
    clock: new ManualClock(),
    keyWindowUs: 60_000_000,
    diskBytes: 1_000_000,
  });
  assert.equal(await book.load(), true);
  assert.deepEqual(plain(book.pack()), pack);
  assert.equal(Buffer.from(book.findResponse("k1")?.body ?? []).toString(), body);
  const other = new IdempotencyKeyTable({
    folder: "",
    clock: new ManualClock(),
    keyWindowUs: 60_000_000,
    diskBytes: 1_000_000,
  });
  assert.equal(await other.merge(asRecord(live(pack))), true);
  assert.deepEqual(plain(other.pack()), pack);
});

Then("every frame of before is read as the message that it was", async () => {
  const frames = await framesOf();
  assert.ok(frames.some(({ deflated }) => deflated));
  const read = await throughWire(frames.map(({ bytes }) => bytes));
  assert.deepEqual(plain(read), plain(frames.map(({ message }) => message)));
});

Then("every message of before is written as the frame that it was", async () => {
  // What deflates may give other bytes with another zlib, so these are compared as what they hold.
  const frames = await framesOf();
  for (const { bytes, message, deflated } of frames) {
    const [read] = await throughWire([bytes]);
    assert.ok(read);
    const written = await bytesOf([read]);
    if (!deflated) assert.deepEqual(written, bytes, message.kind);
    assert.equal((written.readUInt32BE(0) & 0x4000_0000) !== 0, deflated, message.kind);
    assert.deepEqual(plain(await throughWire([written])), plain([message]));
  }
});

Then("a conversation of four boxes is word for word that of before", async () => {
  cluster = new ReplicaCluster(IDS);
  assert.deepEqual(plain(await converse(cluster)), await golden("conversation.json"));
});

Then("the member's answers are word for word those of before", async () => {
  cluster = new ReplicaCluster(IDS);
  const asked = asList(await golden("asked-of-b.json")).map(messageOf);
  const answers = plain(await answersOf(cluster, "b", asked));
  const expected = asList(await golden("answers-of-b.json"));
  asList(answers).forEach((answer, at) =>
    assert.deepEqual(answer, expected[at], `the answer to ${asked[at]?.kind ?? ""}, message ${at}`),
  );
  assert.equal(asList(answers).length, expected.length);
});

Then(
  "what is taken from the crew, the news, the sessions and the beats of before is what was sent",
  async () => {
    const taken = { crew: 0, news: 0, sessions: 0, beats: 0 };
    for (const { message } of await framesOf()) {
      const clock = new ManualClock();
      const updates = new UpdateStore(clock);
      if (message.kind === "crew") {
        const size = readClusterSize(message);
        assert.deepEqual({ kind: "crew", ...asRecord(withFormerNames(size)) }, message);
        assert.deepEqual(packClusterSize(size), message);
        taken.crew += 1;
      } else if (message.kind === "news") {
        updates.merge(asList(message["facts"]));
        assert.deepEqual(plain(updates.pack(updates.all())), plain(message["facts"]));
        taken.news += 1;
      } else if (message.kind === "sessions") {
        const sessions = new NodeSessions({
          clock,
          publisher: new UpdatePublisher(clock, updates, () => true),
          log: silentLogger,
          mayServe: async () => true,
          drainedZone: () => "",
          zone: "",
          controllers: () => [],
          answer: async (question) => question,
        });
        sessions.applyPeerSessions("a", message);
        assert.deepEqual(plain(sessions.nodes().map(packNode)), plain(message["nodes"]));
        taken.sessions += 1;
      } else if (message.kind === "beats") {
        readList(message, "beats", (value) => {
          const { ageUs, ...heartbeat } = asRecord(value);
          assert.ok(ageUs === undefined || typeof ageUs === "number");
          assert.deepEqual(withFormerNames(readSharedHeartbeat(value)), heartbeat);
          assert.deepEqual(packHeartbeat(readSharedHeartbeat(value)), heartbeat);
        });
        taken.beats += 1;
      }
    }
    assert.ok(
      Object.values(taken).every((count) => count > 0),
      JSON.stringify(taken),
    );
  },
);
