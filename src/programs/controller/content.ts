import { join } from "node:path";
import { RATE_LEASE_US, RateAllocator } from "../../quota/rate-limiter.js";
import type { LeaderLease } from "../../consensus/leader-lease.js";
import { IdempotencyKeyTable, readStoredResponse } from "../../idempotency/key-table.js";
import { IdempotencyKeyReplication } from "../../idempotency/key-replication.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { PURGE_PREFIX, type UpdateStore } from "../../membership/update-store.js";
import type { Peers } from "../../membership/peers.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { readString, readNumber, type UnknownRecord } from "../../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

export interface ContentOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly peers: Peers;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
  readonly lease: LeaderLease;
}

export interface Content {
  readonly start: () => Promise<void>;
  readonly stop: () => void;
  /** Answers what a node asks over its session. */
  readonly answerNode: (message: Message, node: string) => Promise<Message | undefined>;
  readonly answerColleague: (message: Message) => Promise<Message | undefined>;
  /** Hears what nodes report. */
  readonly hear: (message: Message) => void;
  /** Brings what the old members hold to the new ones; true once it is done. */
  readonly spread: () => Promise<boolean>;
  readonly purge: (what: {
    readonly host: string;
    readonly path: string;
    readonly label: string;
  }) => Promise<boolean>;
  readonly tellers: Readonly<Record<string, () => unknown>>;
}

const MB = 1024 * 1024;
const READ_US = 300 * MILLISECOND_US;

/** What a signalbox of a content deployment has besides: operation keys, purges, and shares of the rates. */
export const openContent = ({
  settings,
  clock,
  store,
  peers,
  updates,
  publisher,
  lease,
}: ContentOptions): Content => {
  const keyTable = new IdempotencyKeyTable({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "keys"),
    clock,
    keyWindowUs: settings.keyWindowUs,
    diskBytes: settings.diskMb * MB,
  });
  const keys = new IdempotencyKeyReplication({
    self: settings.control,
    table: keyTable,
    store,
    request: peers.ask,
    isConnected: peers.isConnected,
    send: peers.send,
    withstandMachines: settings.withstandMachines,
    logger: loggerFor("keys"),
    onPurge: ({ id, host, path, label }) =>
      updates.post([{ key: PURGE_PREFIX + id, version: 1, tie: "", body: { host, path, label } }]),
  });
  const allocator = new RateAllocator(clock);
  const depots = new Map<string, UnknownRecord>();

  /** Only by a holder that a majority has just heard of: one that was cut off or frozen may have a successor. */
  const giveHere = async (message: Message): Promise<Message> =>
    (await lease.confirm())
      ? {
          kind: "rate",
          share: allocator.allocate(
            readString(message, "life"),
            readString(message, "who"),
            readNumber(message, "held"),
          ),
          lastsUs: RATE_LEASE_US,
        }
      : { kind: "rate" };
  const giveRate = async (message: Message): Promise<Message> =>
    lease.isHolder()
      ? giveHere(message)
      : ((await peers.ask(lease.holder(), message, WRITE_TIMEOUT_US)) ?? { kind: "rate" });

  /** Learns the purges of a reading quorum, and tells the nodes as of when they know them all. */
  let reading = false;
  const read = async (): Promise<void> => {
    if (reading) return;
    reading = true;
    const beganUs = clock.nowUs();
    if ((await keys.readPurges()) && keys.isVoting)
      publisher.sendFreshness(clock.nowUs() - beganUs);
    reading = false;
  };
  const reader = clock.every(READ_US, () => {
    if (!lease.isHolder()) allocator.reset();
    void keys.catchUp();
    void read();
  });
  const sweeper = clock.every(SECOND_US, () =>
    updates.forget(keyTable.removeExpired().map((id) => PURGE_PREFIX + id)),
  );

  return {
    start: () => keys.start(settings.firstRun),
    stop: () => {
      reader.stop();
      sweeper.stop();
    },
    answerNode: async (message) => {
      switch (message.kind) {
        case "key-claim": {
          const result = await keys.claim(readString(message, "key"), readString(message, "token"));
          return {
            kind: "claim",
            verdict: result.kind,
            ...(result.kind === "done" ? { answer: result.answer } : {}),
          };
        }
        case "key-done": {
          const answer = readStoredResponse(message["answer"]);
          return {
            kind: "claim",
            kept:
              answer !== undefined &&
              (await keys.complete(
                readString(message, "key"),
                readString(message, "token"),
                answer,
              )),
          };
        }
        case "rate-ask":
          return giveRate(message);
        default:
          return undefined;
      }
    },
    answerColleague: async (message) =>
      message.kind === "rate-ask" ? giveHere(message) : keys.handleRequest(message),
    hear: (message) => {
      if (message.kind === "key-free")
        keys.release(readString(message, "key"), readString(message, "token"));
      if (message.kind === "goods") depots.set(readString(message, "node"), { ...message });
    },
    spread: keys.replicateToNewMembers,
    purge: keys.purge,
    tellers: {
      keys: () => ({
        keys: keyTable.size,
        bytes: keyTable.sizeBytes,
        purges: keyTable.purges().length,
        counting: keys.isVoting,
      }),
      goods: () => [...depots.values()],
    },
  };
};
