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
  readBoolean,
  readList,
  readNumber,
  parseJson,
  readString,
  asString,
  type UnknownRecord,
} from "../../src/common/decode.js";
import type { Message } from "../../src/transport/connection.js";
import { ReplicaCluster } from "../support/replica-cluster.js";
import {
  collectAnswers,
  startFromFiles,
  encodeMessages,
  recordConversation,
  IDS,
  toPlainJson,
  decodeFrames,
  withFormerNames,
  fromPlainJson,
  messageOf,
} from "../support/golden.js";
import { ManualClock } from "../support/manual-clock.js";

const FOLDER = "features/data/before-2026-12";
const MEMBERS = IDS.slice(0, 3);

let cluster = new ReplicaCluster(IDS);
let loadedStates: readonly unknown[] = [];
let folder = "";

After(async () => {
  await cluster.removeAll();
  if (folder !== "") await rm(folder, { recursive: true, force: true });
  folder = "";
});

const ADDITIONS_FILE = "features/data/2026-12-04-key-copies/additions.json";

const readGolden = async (name: string): Promise<unknown> =>
  parseJson(await readFile(join(FOLDER, name), "utf8"));
const readGoldenRecord = async (name: string): Promise<UnknownRecord> =>
  asRecord(await readGolden(name), name);

const readFrames = async (): Promise<
  readonly { readonly bytes: Buffer; readonly message: Message; readonly deflated: boolean }[]
> =>
  asList(await readGolden("frames.json")).map((value) => {
    const row = asRecord(value);
    return {
      bytes: Buffer.from(readString(row, "frame"), "base64"),
      message: messageOf(row["message"]),
      deflated: readBoolean(row, "deflated"),
    };
  });
const copyToTempFolder = async (name: string): Promise<string> => {
  folder = await mkdtemp(join(tmpdir(), "yewreel-"));
  await cp(join(FOLDER, name), folder, { recursive: true });
  return folder;
};

Given("three replicas that start from the state stored by an earlier version", async () => {
  cluster = new ReplicaCluster(IDS);
  const files = new Map<string, Map<string, Uint8Array>>();
  for (const id of MEMBERS) {
    const stateFiles = new Map<string, Uint8Array>();
    for (const name of await readdir(join(FOLDER, `state-${id}`)))
      stateFiles.set(name, await readFile(join(FOLDER, `state-${id}`, name)));
    files.set(id, stateFiles);
  }
  loadedStates = await startFromFiles(
    cluster,
    MEMBERS,
    (id) => files.get(id) ?? new Map<string, Uint8Array>(),
  );
});

/** Whether a record is of a kind that snapshots of earlier versions did not contain. */
const isHistoryRecord = (record: unknown): boolean =>
  ["call", "earlier"].includes(String(asRecord(record)["t"]));
const snapshotOf = (state: unknown): readonly unknown[] => asList(asRecord(state)["snapshot"]);

Then("each replica holds exactly the recorded state", async () => {
  const withoutHistory = loadedStates.map((state) => ({
    ...asRecord(state),
    snapshot: snapshotOf(state).filter((record) => !isHistoryRecord(record)),
  }));
  assert.deepEqual(withFormerNames(withoutHistory), await readGolden("loaded.json"));
});

Then(
  "each replica holds the recorded history of writes proposed together and of earlier values",
  async () => {
    const history = loadedStates.map((state) => snapshotOf(state).filter(isHistoryRecord));
    assert.deepEqual(
      history,
      asList(parseJson(await readFile("features/data/2026-12-history/loaded.json", "utf8"))),
    );
  },
);

Then("the committed registers and the voter set are the recorded ones", async () => {
  const { registers, roster: voterSet } = await readGoldenRecord("state.json");
  for (const id of MEMBERS) {
    assert.ok((await cluster.withClock(cluster.member(id).store.read())).isOk);
    const byKey = (rows: readonly UnknownRecord[]) =>
      [...rows].sort((one, other) => (readString(one, "key") < readString(other, "key") ? -1 : 1));
    assert.deepEqual(
      byKey(
        asList(toPlainJson(cluster.member(id).store.committedRegisters())).map((row) =>
          asRecord(row),
        ),
      ),
      byKey(asList(registers).map((row) => asRecord(row))),
    );
    assert.deepEqual(toPlainJson(cluster.member(id).store.voterSet()), voterSet);
  }
});

Then("a new write is confirmed by a quorum", async () => {
  const register = makeRegister("route/pay", 9, '{"service":"pay","new":true}');
  assert.ok((await cluster.withClock(cluster.member("b").store.propose([register]))).isOk);
  for (const id of MEMBERS) {
    assert.ok((await cluster.withClock(cluster.member(id).store.read())).isOk);
    assert.equal(cluster.member(id).store.get("route/pay")?.digest, register.digest);
  }
});

Then("the workers stored by an earlier version are read with every value", async () => {
  const writeAheadLog = new WriteAheadLog({
    folder: await copyToTempFolder("workers"),
    fileSystem: new NodeFileSystem(),
    snapshot: () => [],
  });
  const loaded = await writeAheadLog.load();
  const { kept } = await readGoldenRecord("workers.json");
  const heartbeats = loaded.kind === "verified" ? loaded.records.map(readSharedHeartbeat) : [];
  assert.deepEqual(toPlainJson(withFormerNames(heartbeats)), kept, loaded.kind);
  assert.deepEqual(toPlainJson(heartbeats.map(packHeartbeat)), kept);
});

Then(
  "the recorded heartbeats result in the recorded worker states, shared heartbeats and updates",
  async () => {
    const { calls, beats: heartbeats, shared, facts } = await readGoldenRecord("workers.json");
    const clock = new ManualClock();
    const updates = new UpdateStore(clock);
    const registry = new WorkerRegistry(clock, updates, 1_000_000);
    asList(calls).forEach((call) =>
      registry.record(readHeartbeat(asString(asList(call)[0]), asList(call)[1])),
    );
    assert.deepEqual(
      [
        toPlainJson(withFormerNames(registry.all())),
        toPlainJson(registry.packAll()),
        toPlainJson(updates.pack(updates.all())),
      ],
      [heartbeats, shared, facts],
    );
    const read = asList(shared).map(readSharedHeartbeat);
    assert.deepEqual(toPlainJson(withFormerNames(read)), heartbeats);
    assert.deepEqual(toPlainJson(read.map(packHeartbeat)), heartbeats);
  },
);

Then("the stored idempotency keys and purges are loaded", async () => {
  const { pack, body } = await readGoldenRecord("keys.json");
  const table = new IdempotencyKeyTable({
    folder: await copyToTempFolder("keys"),
    clock: new ManualClock(),
    keyWindowUs: 60_000_000,
    diskBytes: 1_000_000,
  });
  assert.equal(await table.load(), true);
  assert.deepEqual(toPlainJson(table.pack()), pack);
  assert.equal(Buffer.from(table.findResponse("k1")?.body ?? []).toString(), body);
  const mergedTable = new IdempotencyKeyTable({
    folder: "",
    clock: new ManualClock(),
    keyWindowUs: 60_000_000,
    diskBytes: 1_000_000,
  });
  assert.equal(await mergedTable.merge(asRecord(fromPlainJson(pack))), true);
  assert.deepEqual(toPlainJson(mergedTable.pack()), pack);
});

Then("every recorded frame is decoded to the recorded message", async () => {
  const frames = await readFrames();
  assert.ok(frames.some(({ deflated }) => deflated));
  const read = await decodeFrames(frames.map(({ bytes }) => bytes));
  assert.deepEqual(toPlainJson(read), toPlainJson(frames.map(({ message }) => message)));
});

Then("every recorded message is encoded to the recorded frame", async () => {
  // Deflated bytes may differ between zlib versions, so these frames are compared by content.
  const frames = await readFrames();
  for (const { bytes, message, deflated } of frames) {
    const [read] = await decodeFrames([bytes]);
    assert.ok(read);
    const written = await encodeMessages([read]);
    if (!deflated) assert.deepEqual(written, bytes, message.kind);
    assert.equal((written.readUInt32BE(0) & 0x4000_0000) !== 0, deflated, message.kind);
    assert.deepEqual(toPlainJson(await decodeFrames([written])), toPlainJson([message]));
  }
});

/**
 * The recorded values, with the fields that messages have gained since. Controllers of earlier
 * versions ignore these; everything else must be as it was recorded.
 */
const withAdditions = async (
  recorded: readonly unknown[],
  what: "conversation" | "answers",
  add: (value: unknown, fields: UnknownRecord) => unknown,
): Promise<readonly unknown[]> => {
  const additions = asRecord(parseJson(await readFile(ADDITIONS_FILE, "utf8")));
  const fieldsByIndex = new Map(
    asList(additions[what]).map((row) => {
      const addition = asRecord(row);
      return [readNumber(addition, "at"), asRecord(addition["fields"])];
    }),
  );
  return recorded.map((value, at) => {
    const fields = fieldsByIndex.get(at);
    return fields ? add(value, fields) : value;
  });
};

Then("a conversation of four controllers is identical to the recorded one", async () => {
  cluster = new ReplicaCluster(IDS);
  const recorded = asList(await readGolden("conversation.json"));
  assert.deepEqual(
    toPlainJson(await recordConversation(cluster)),
    await withAdditions(recorded, "conversation", (value, fields) => {
      const [to, message] = asList(value);
      return [to, { ...asRecord(message), ...fields }];
    }),
  );
});

Then("the controller's answers are identical to the recorded ones", async () => {
  cluster = new ReplicaCluster(IDS);
  const requests = asList(await readGolden("asked-of-b.json")).map(messageOf);
  const answers = toPlainJson(await collectAnswers(cluster, "b", requests));
  const recorded = asList(await readGolden("answers-of-b.json"));
  const expected = await withAdditions(recorded, "answers", (value, fields) => ({
    ...asRecord(value),
    ...fields,
  }));
  asList(answers).forEach((answer, at) =>
    assert.deepEqual(answer, expected[at], `answer to ${requests[at]?.kind ?? ""}, message ${at}`),
  );
  assert.equal(asList(answers).length, expected.length);
});

Then(
  "cluster sizes, updates, sessions and heartbeats are read from the recorded messages as they were sent",
  async () => {
    const readCounts = { crew: 0, news: 0, sessions: 0, beats: 0 };
    for (const { message } of await readFrames()) {
      const clock = new ManualClock();
      const updates = new UpdateStore(clock);
      if (message.kind === "crew") {
        const size = readClusterSize(message);
        assert.deepEqual({ kind: "crew", ...asRecord(withFormerNames(size)) }, message);
        assert.deepEqual(packClusterSize(size), message);
        readCounts.crew += 1;
      } else if (message.kind === "news") {
        updates.merge(asList(message["facts"]));
        assert.deepEqual(toPlainJson(updates.pack(updates.all())), toPlainJson(message["facts"]));
        readCounts.news += 1;
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
        assert.deepEqual(
          toPlainJson(sessions.nodes().map(packNode)),
          toPlainJson(message["nodes"]),
        );
        readCounts.sessions += 1;
      } else if (message.kind === "beats") {
        readList(message, "beats", (value) => {
          const { ageUs, ...heartbeat } = asRecord(value);
          assert.ok(ageUs === undefined || typeof ageUs === "number");
          assert.deepEqual(withFormerNames(readSharedHeartbeat(value)), heartbeat);
          assert.deepEqual(packHeartbeat(readSharedHeartbeat(value)), heartbeat);
        });
        readCounts.beats += 1;
      }
    }
    assert.ok(
      Object.values(readCounts).every((count) => count > 0),
      JSON.stringify(readCounts),
    );
  },
);
