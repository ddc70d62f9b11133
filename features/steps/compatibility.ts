import assert from "node:assert/strict";
import { cp, mkdtemp, readdir, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then } from "@cucumber/cucumber";
import { Archive } from "../../src/storage/write-ahead-log.js";
import { FileDisk } from "../../src/storage/file-system.js";
import { KeyBook } from "../../src/idempotency/key-table.js";
import { makeRegister } from "../../src/consensus/register.js";
import { Board } from "../../src/membership/update-store.js";
import { Feeder } from "../../src/membership/update-publisher.js";
import { readBeat, readSharedBeat, Registry } from "../../src/membership/worker-registry.js";
import { readCrew, Sessions } from "../../src/membership/node-sessions.js";
import { silentLog } from "../../src/common/logger.js";
import { asList, asRec, flag, isRec, list, parseJson, text, textOf, type Rec } from "../../src/common/decode.js";
import type { Message } from "../../src/transport/connection.js";
import { Copies } from "../support/copies.js";
import { answersOf, bringBack, bytesOf, converse, IDS, plain, throughWire } from "../support/golden.js";
import { ManualClock } from "../support/manual-clock.js";

const FOLDER = "features/data/before-2026-12";
const MEMBERS = IDS.slice(0, 3);

let copies = new Copies(IDS);
let found: readonly unknown[] = [];
let folder = "";

After(async () => {
  await copies.clean();
  if (folder !== "") await rm(folder, { recursive: true, force: true });
  folder = "";
});

const golden = async (name: string): Promise<unknown> => parseJson(await readFile(join(FOLDER, name), "utf8"));
const goldenRec = async (name: string): Promise<Rec> => asRec(await golden(name), name);

/** What `plain` made of a value, with its bytes again. */
const live = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(live);
  if (!isRec(value)) return value;
  if (typeof value["bytes"] === "string" && Object.keys(value).length === 1) return Buffer.from(value["bytes"], "base64");
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, live(inner)]));
};
const messageOf = (value: unknown): Message => {
  const rec = asRec(live(value), "message");
  return { ...rec, kind: text(rec, "kind") };
};
const framesOf = async (): Promise<readonly { readonly bytes: Buffer; readonly message: Message; readonly deflated: boolean }[]> =>
  asList(await golden("frames.json")).map((value) => {
    const row = asRec(value);
    return { bytes: Buffer.from(text(row, "frame"), "base64"), message: messageOf(row["message"]), deflated: flag(row, "deflated") };
  });
const aside = async (name: string): Promise<string> => {
  folder = await mkdtemp(join(tmpdir(), "yewreel-"));
  await cp(join(FOLDER, name), folder, { recursive: true });
  return folder;
};

Given("three copies that start from the control state stored before", async () => {
  copies = new Copies(IDS);
  const files = new Map<string, Map<string, Uint8Array>>();
  for (const id of MEMBERS) {
    const held = new Map<string, Uint8Array>();
    for (const name of await readdir(join(FOLDER, `state-${id}`))) held.set(name, await readFile(join(FOLDER, `state-${id}`, name)));
    files.set(id, held);
  }
  found = await bringBack(copies, MEMBERS, (id) => files.get(id) ?? new Map<string, Uint8Array>());
});

Then("each holds exactly what it held", async () => assert.deepEqual(found, await golden("loaded.json")));

Then("what is in force is what was in force", async () => {
  const { registers, roster } = await goldenRec("state.json");
  for (const id of MEMBERS) {
    assert.ok((await copies.beside(copies.copy(id).ledger.read())).isOk);
    const byKey = (rows: readonly Rec[]) => [...rows].sort((one, other) => (text(one, "key") < text(other, "key") ? -1 : 1));
    assert.deepEqual(byKey(asList(plain(copies.copy(id).ledger.all())).map((row) => asRec(row))), byKey(asList(registers).map((row) => asRec(row))));
    assert.deepEqual(plain(copies.copy(id).ledger.roster()), roster);
  }
});

Then("a new order is confirmed by a quorum", async () => {
  const order = makeRegister("route/pay", 9, '{"service":"pay","new":true}');
  assert.ok((await copies.beside(copies.copy("b").ledger.offer([order]))).isOk);
  for (const id of MEMBERS) {
    assert.ok((await copies.beside(copies.copy(id).ledger.read())).isOk);
    assert.equal(copies.copy(id).ledger.get("route/pay")?.digest, order.digest);
  }
});

Then("the workers remembered before are read as they were", async () => {
  const archive = new Archive({ folder: await aside("workers"), disk: new FileDisk(), snapshot: () => [] });
  const loaded = await archive.load();
  const { kept } = await goldenRec("workers.json");
  assert.deepEqual(plain(loaded.kind === "whole" ? loaded.records.map(readSharedBeat) : loaded.kind), kept);
});

Then("the heartbeats of before give the beats, the shared beats and the facts of before", async () => {
  const { calls, beats, shared, facts } = await goldenRec("workers.json");
  const clock = new ManualClock();
  const board = new Board(clock);
  const registry = new Registry(clock, board, 1_000_000);
  asList(calls).forEach((call) => registry.take(readBeat(textOf(asList(call)[0]), asList(call)[1])));
  assert.deepEqual([plain(registry.all()), plain(registry.packAll()), plain(board.pack(board.all()))], [beats, shared, facts]);
  assert.deepEqual(plain(asList(shared).map(readSharedBeat)), beats);
});

Then("the operation keys and purges of before are held", async () => {
  const { pack, body } = await goldenRec("keys.json");
  const book = new KeyBook({ folder: await aside("keys"), clock: new ManualClock(), keyWindowUs: 60_000_000, diskBytes: 1_000_000 });
  assert.equal(await book.load(), true);
  assert.deepEqual(plain(book.pack()), pack);
  assert.equal(Buffer.from(book.answerOf("k1")?.body ?? []).toString(), body);
  const other = new KeyBook({ folder: "", clock: new ManualClock(), keyWindowUs: 60_000_000, diskBytes: 1_000_000 });
  assert.equal(await other.unpack(asRec(live(pack))), true);
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
  copies = new Copies(IDS);
  assert.deepEqual(plain(await converse(copies)), await golden("conversation.json"));
});

Then("the member's answers are word for word those of before", async () => {
  copies = new Copies(IDS);
  const asked = asList(await golden("asked-of-b.json")).map(messageOf);
  const answers = plain(await answersOf(copies, "b", asked));
  const expected = asList(await golden("answers-of-b.json"));
  asList(answers).forEach((answer, at) => assert.deepEqual(answer, expected[at], `the answer to ${asked[at]?.kind ?? ""}, message ${at}`));
  assert.equal(asList(answers).length, expected.length);
});

Then("what is taken from the crew, the news, the sessions and the beats of before is what was sent", async () => {
  const taken = { crew: 0, news: 0, sessions: 0, beats: 0 };
  for (const { message } of await framesOf()) {
    const clock = new ManualClock();
    const board = new Board(clock);
    if (message.kind === "crew") {
      assert.deepEqual({ kind: "crew", ...readCrew(message) }, message);
      taken.crew += 1;
    } else if (message.kind === "news") {
      board.take(asList(message["facts"]));
      assert.deepEqual(plain(board.pack(board.all())), plain(message["facts"]));
      taken.news += 1;
    } else if (message.kind === "sessions") {
      const sessions = new Sessions({ clock, feeder: new Feeder(clock, board, () => true), log: silentLog, isFit: async () => true, emptiedCell: () => "", cell: "", boxes: () => [], answer: async (question) => question });
      sessions.hear("a", message);
      assert.deepEqual(plain(sessions.nodes()), plain(message["nodes"]));
      taken.sessions += 1;
    } else if (message.kind === "beats") {
      list(message, "beats", (value) => {
        const { ageUs, ...beat } = asRec(value);
        assert.ok(ageUs === undefined || typeof ageUs === "number");
        assert.deepEqual(readSharedBeat(value), beat);
      });
      taken.beats += 1;
    }
  }
  assert.ok(Object.values(taken).every((count) => count > 0), JSON.stringify(taken));
});
