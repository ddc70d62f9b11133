import { createServer, type Socket } from "node:net";
import { makeRegister } from "../../src/consensus/register.js";
import { CONSENSUS_MESSAGE_KINDS } from "../../src/consensus/messages.js";
import { asRecord, isRecord, readString } from "../../src/common/decode.js";
import { connectTo } from "../../src/transport/connect.js";
import type { Message } from "../../src/transport/message.js";
import { STATE_FOLDER, type ReplicaCluster } from "./replica-cluster.js";
import { ManualClock } from "./manual-clock.js";

export type Said = readonly [to: string, message: Message];

/** A value as JSON holds it, with bytes as text, and without what is undefined. */
export const plain = (value: unknown): unknown =>
  JSON.parse(
    JSON.stringify(value, (_key, inner: unknown) => {
      if (!isRecord(inner)) return inner;
      return inner["type"] === "Buffer" && Array.isArray(inner["data"])
        ? { bytes: Buffer.from(inner["data"]).toString("base64") }
        : inner;
    }),
  );

/**
 * Fields of values in memory that have been renamed since the golden data was written: today's
 * name, and the name then. Only for comparing what was loaded; frames, stored records and answers
 * are compared without it.
 */
const FORMER_NAMES: ReadonlyMap<string, string> = new Map([
  ["isAccepted", "isVoted"],
  ["isCommitted", "isAgreed"],
  ["proposer", "by"],
  ["zone", "cell"],
  ["gateways", "pointsmen"],
  ["zones", "cells"],
  ["caches", "depots"],
  ["zoneDistributors", "halls"],
]);

/** The value with the field names that it had in memory when the golden data was written. */
export const withFormerNames = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(withFormerNames);
  if (!isRecord(value)) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, inner]) => [
      FORMER_NAMES.get(name) ?? name,
      withFormerNames(inner),
    ]),
  );
};

/** What `plain` made of a value, with its bytes again. */
export const live = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(live);
  if (!isRecord(value)) return value;
  if (typeof value["bytes"] === "string" && Object.keys(value).length === 1)
    return Buffer.from(value["bytes"], "base64");
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, live(inner)]));
};
/** The message that a golden file holds in that form. */
export const messageOf = (value: unknown): Message => {
  const record = asRecord(live(value), "message");
  return { ...record, kind: readString(record, "kind") };
};

export const IDS = ["a", "b", "c", "d"];
export const ORDER = [
  makeRegister("service/pay", 1, '{"workers":1}'),
  makeRegister("route/pay", 1, JSON.stringify({ service: "pay", pad: "x".repeat(3_000) })),
];

/**
 * One conversation of four boxes, all of it begun by `a`, but for the catching up of `d`. What was
 * sent, in order.
 */
export const converse = async (cluster: ReplicaCluster): Promise<readonly Said[]> => {
  const said: Said[] = [];
  cluster.dropsMessage = (to, message) => {
    said.push([to, message]);
    return false;
  };
  await cluster.startAll();
  const a = cluster.member("a");
  await cluster.withClock(a.store.propose(ORDER));
  await cluster.withClock(
    a.store.propose([
      makeRegister("route/pay", 2, '{"service":"pay"}'),
      makeRegister("service/old", 3, "", true),
    ]),
  );
  await cluster.withClock(a.lease.handleRequest({ kind: "succeed", namedBy: "" }));
  await cluster.withClock(
    a.store.decide("duty/ejections", () => '{"ejections":[]}', a.lease.activeTerm()),
  );
  await cluster.withClock(a.store.confirmQuorum());
  await cluster.withClock(a.keys.claim("key 1", "token 1"));
  await cluster.withClock(
    a.keys.complete("key 1", "token 1", {
      status: 200,
      heads: ["X-A", "b"],
      body: Buffer.from("answered"),
    }),
  );
  await cluster.withClock(a.keys.claim("key 1", "token 2"));
  a.keys.release("key 2", "token 2");
  await cluster.withClock(cluster.member("d").store.read());
  await cluster.withClock(cluster.member("d").store.read());
  await cluster.withClock(a.lease.handleRequest({ kind: "join", id: "d" }));
  await cluster.withClock(a.store.read());
  return said;
};

/** What one box that hears nothing else answers to these. */
export const answersOf = async (
  cluster: ReplicaCluster,
  id: string,
  messages: readonly Message[],
): Promise<readonly unknown[]> => {
  await cluster.startAll();
  cluster.dropsMessage = () => true;
  const { store, lease, keys } = cluster.member(id);
  const answers: unknown[] = [];
  for (const message of messages) {
    if (message.kind === "settled") answers.push((store.applyCommitted(message), null));
    else
      answers.push(
        (await cluster.withClock(
          message.kind.startsWith("key-")
            ? keys.handleRequest(message)
            : CONSENSUS_MESSAGE_KINDS.has(message.kind)
              ? store.handleRequest(message)
              : lease.handleRequest(message),
        )) ?? null,
      );
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
        const connection = await connectTo(
          "127.0.0.1",
          isRecord(at) ? Number(at.port) : 0,
          new ManualClock(),
          1_000_000,
          { heartbeatUs: 1_000_000, timeoutUs: 1_000_000 },
        );
        const messages: Message[] = [];
        if (connection) for await (const message of connection.incoming()) messages.push(message);
        return messages;
      };
      read()
        .then(resolve, reject)
        .finally(() => server.close());
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
      connectTo("127.0.0.1", isRecord(at) ? Number(at.port) : 0, new ManualClock(), 1_000_000, {
        heartbeatUs: 1_000_000,
        timeoutUs: 1_000_000,
      }).then((connection) => {
        messages.forEach((message) => connection?.send(message));
        return connection?.finish();
      }, reject);
    });
  });

/** Boxes that come back with a folder each as it was stored, and have caught up with each other. */
export const bringBack = async (
  cluster: ReplicaCluster,
  ids: readonly string[],
  filesOf: (id: string) => ReadonlyMap<string, Uint8Array>,
): Promise<readonly unknown[]> => {
  const found: unknown[] = [];
  for (const id of ids) {
    filesOf(id).forEach((bytes, name) =>
      cluster.diskOf(id).files.set(`${STATE_FOLDER}/${name}`, bytes),
    );
    const { replica: state, store } = await cluster.start(id, false);
    found.push(
      plain({
        entries: [...state.copyOfEntries().values()],
        snapshot: state.snapshot(),
        highest: state.highestBallotNumber,
        roster: state.voterSet,
        pending: state.voterSetProposal ?? null,
        counts: store.isVoting,
        sums: state.bucketSums(),
      }),
    );
  }
  return found;
};
