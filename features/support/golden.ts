import { createServer, type Socket } from "node:net";
import { makeRegister } from "../../src/consensus/register.js";
import { LEDGER_KINDS } from "../../src/consensus/replicated-store.js";
import { isRec } from "../../src/common/decode.js";
import { dial, type Message } from "../../src/transport/connection.js";
import { STATE_FOLDER, type Copies } from "./copies.js";
import { ManualClock } from "./manual-clock.js";

export type Said = readonly [to: string, message: Message];

/** A value as JSON holds it, with bytes as text, and without what is undefined. */
export const plain = (value: unknown): unknown =>
  JSON.parse(
    JSON.stringify(value, (_key, inner: unknown) => {
      if (!isRec(inner)) return inner;
      return inner["type"] === "Buffer" && Array.isArray(inner["data"]) ? { bytes: Buffer.from(inner["data"]).toString("base64") } : inner;
    }),
  );

export const IDS = ["a", "b", "c", "d"];
export const ORDER = [makeRegister("service/pay", 1, '{"workers":1}'), makeRegister("route/pay", 1, JSON.stringify({ service: "pay", pad: "x".repeat(3_000) }))];

/** One conversation of four boxes, all of it begun by `a`, but for the catching up of `d`. What was sent, in order. */
export const converse = async (copies: Copies): Promise<readonly Said[]> => {
  const said: Said[] = [];
  copies.deaf = (to, message) => {
    said.push([to, message]);
    return false;
  };
  await copies.startAll();
  const a = copies.copy("a");
  await copies.beside(a.ledger.offer(ORDER));
  await copies.beside(a.ledger.offer([makeRegister("route/pay", 2, '{"service":"pay"}'), makeRegister("service/old", 3, "", true)]));
  await copies.beside(a.duty.answer({ kind: "succeed", namedBy: "" }));
  await copies.beside(a.ledger.decide("duty/ejections", () => '{"ejections":[]}', a.duty.heldTerm()));
  await copies.beside(a.ledger.contact());
  await copies.beside(a.keys.claim("key 1", "token 1"));
  await copies.beside(a.keys.keep("key 1", "token 1", { status: 200, heads: ["X-A", "b"], body: Buffer.from("answered") }));
  await copies.beside(a.keys.claim("key 1", "token 2"));
  a.keys.free("key 2", "token 2");
  await copies.beside(copies.copy("d").ledger.read());
  await copies.beside(copies.copy("d").ledger.read());
  await copies.beside(a.duty.answer({ kind: "join", id: "d" }));
  await copies.beside(a.ledger.read());
  return said;
};

/** What one box that hears nothing else answers to these. */
export const answersOf = async (copies: Copies, id: string, messages: readonly Message[]): Promise<readonly unknown[]> => {
  await copies.startAll();
  copies.deaf = () => true;
  const { ledger, duty, keys } = copies.copy(id);
  const answers: unknown[] = [];
  for (const message of messages) {
    if (message.kind === "settled") answers.push((ledger.hearSettled(message), null));
    else answers.push((await copies.beside(message.kind.startsWith("key-") ? keys.answer(message) : LEDGER_KINDS.has(message.kind) ? ledger.answer(message) : duty.answer(message))) ?? null);
  }
  return answers;
};

/** Sends bytes at the reader of this code, gives the messages read. */
export const throughWire = (frames: readonly Buffer[]): Promise<readonly Message[]> =>
  new Promise((resolve, reject) => {
    const server = createServer((socket: Socket) => socket.end(Buffer.concat(frames)));
    server.listen(0, "127.0.0.1", () => {
      const at = server.address();
      const read = async (): Promise<readonly Message[]> => {
        const wire = await dial("127.0.0.1", isRec(at) ? Number(at["port"]) : 0, new ManualClock(), 1_000_000, { pulseUs: 1_000_000, silenceUs: 1_000_000 });
        const messages: Message[] = [];
        if (wire) for await (const message of wire.incoming()) messages.push(message);
        return messages;
      };
      read().then(resolve, reject).finally(() => server.close());
    });
  });

/** The bytes that this code writes for messages. */
export const bytesOf = (messages: readonly Message[]): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    const server = createServer((socket: Socket) => {
      socket.on("data", (chunk: Buffer) => chunks.push(chunk));
      socket.on("end", () => {
        server.close();
        resolve(Buffer.concat(chunks));
      });
    });
    server.listen(0, "127.0.0.1", () => {
      const at = server.address();
      dial("127.0.0.1", isRec(at) ? Number(at["port"]) : 0, new ManualClock(), 1_000_000, { pulseUs: 1_000_000, silenceUs: 1_000_000 }).then((wire) => {
        messages.forEach((message) => wire?.send(message));
        return wire?.finish();
      }, reject);
    });
  });

/** Boxes that come back with a folder each as it was stored, and have caught up with each other. */
export const bringBack = async (copies: Copies, ids: readonly string[], filesOf: (id: string) => ReadonlyMap<string, Uint8Array>): Promise<readonly unknown[]> => {
  const found: unknown[] = [];
  for (const id of ids) {
    filesOf(id).forEach((bytes, name) => copies.diskOf(id).files.set(`${STATE_FOLDER}/${name}`, bytes));
    const { state, ledger } = await copies.start(id, false);
    found.push(plain({ entries: [...state.entriesNow().values()], snapshot: state.snapshot(), highest: state.highest, roster: state.roster, pending: state.pending ?? null, counts: ledger.isCounting, sums: state.bucketSums() }));
  }
  return found;
};
