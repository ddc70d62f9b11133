import { createServer, type Socket } from "node:net";
import { makeRegister } from "../../src/consensus/register.js";
import { CONSENSUS_MESSAGE_KINDS } from "../../src/consensus/messages.js";
import { asRecord, isRecord, readString } from "../../src/common/decode.js";
import { connectTo } from "../../src/transport/connect.js";
import type { Message } from "../../src/transport/message.js";
import { STATE_FOLDER, type ReplicaCluster } from "./replica-cluster.js";
import { ManualClock } from "./manual-clock.js";

export type SentMessage = readonly [to: string, message: Message];

/** Converts a value to plain JSON: bytes become base64 text, and undefined fields are omitted. */
export const toPlainJson = (value: unknown): unknown =>
  JSON.parse(
    JSON.stringify(value, (_key, inner: unknown) => {
      if (!isRecord(inner)) return inner;
      return inner["type"] === "Buffer" && Array.isArray(inner["data"])
        ? { bytes: Buffer.from(inner["data"]).toString("base64") }
        : inner;
    }),
  );

/**
 * Fields of in-memory values that were renamed after the golden data was recorded: current name and
 * former name. Used only to compare loaded values; frames, stored records and answers are compared
 * without it.
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

/** Returns the value with the in-memory field names of when the golden data was recorded. */
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

/** Inverse of {@link toPlainJson}: converts base64 text back to bytes. */
export const fromPlainJson = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(fromPlainJson);
  if (!isRecord(value)) return value;
  if (typeof value["bytes"] === "string" && Object.keys(value).length === 1)
    return Buffer.from(value["bytes"], "base64");
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [key, fromPlainJson(inner)]),
  );
};
/** Reads a message from the plain JSON of a golden file. */
export const messageOf = (value: unknown): Message => {
  const record = asRecord(fromPlainJson(value), "message");
  return { ...record, kind: readString(record, "kind") };
};

export const IDS = ["a", "b", "c", "d"];
export const WRITES = [
  makeRegister("service/pay", 1, '{"workers":1}'),
  makeRegister("route/pay", 1, JSON.stringify({ service: "pay", pad: "x".repeat(3_000) })),
];

/**
 * Runs a conversation of four controllers, started by `a` except for the catch-up of `d`, and
 * returns all messages in the order in which they were sent.
 */
export const recordConversation = async (
  cluster: ReplicaCluster,
): Promise<readonly SentMessage[]> => {
  const sent: SentMessage[] = [];
  cluster.dropsMessage = (to, message) => {
    sent.push([to, message]);
    return false;
  };
  await cluster.startAll();
  const a = cluster.member("a");
  await cluster.withClock(a.store.propose(WRITES));
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
    a.keys.responses.store("key 1", "token 1", {
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
  return sent;
};

/** Returns the answers of one controller that receives only these messages. */
export const collectAnswers = async (
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

/** Decodes frames through a real connection, and returns the messages read. */
export const decodeFrames = (frames: readonly Buffer[]): Promise<readonly Message[]> =>
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

/** Encodes messages through a real connection, and returns the bytes written. */
export const encodeMessages = (messages: readonly Message[]): Promise<Buffer> =>
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

/** Starts controllers from stored state folders, and returns the state that each loaded. */
export const startFromFiles = async (
  cluster: ReplicaCluster,
  ids: readonly string[],
  filesOf: (id: string) => ReadonlyMap<string, Uint8Array>,
): Promise<readonly unknown[]> => {
  const loadedStates: unknown[] = [];
  for (const id of ids) {
    filesOf(id).forEach((bytes, name) =>
      cluster.diskOf(id).files.set(`${STATE_FOLDER}/${name}`, bytes),
    );
    const { replica: state, store } = await cluster.start(id, false);
    loadedStates.push(
      toPlainJson({
        entries: [...state.copyOfEntries().values()],
        snapshot: state.snapshot(),
        highest: state.highestBallotNumber,
        roster: state.voterSet,
        pending: state.voterSetProposal ?? null,
        counts: store.isVoting,
        sums: state.bucketHashes(),
      }),
    );
  }
  return loadedStates;
};
