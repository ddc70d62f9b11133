import { join } from "node:path";
import { GRANT_LASTS_US, RateOffice } from "../../quota/rate-limiter.js";
import type { Duty } from "../../consensus/leader-lease.js";
import { KeyBook, readAnswer } from "../../idempotency/key-table.js";
import { Keys } from "../../idempotency/key-replication.js";
import { STORE_WAIT_US, type Ledger } from "../../consensus/replicated-store.js";
import { PURGE_PREFIX, type Board } from "../../membership/update-store.js";
import type { Colleagues } from "../../membership/peers.js";
import type { Feeder } from "../../membership/update-publisher.js";
import type { Clock } from "../../common/clock.js";
import { logFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { text, whole, type Rec } from "../../common/decode.js";
import { MS, SECOND } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

export interface ContentOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly colleagues: Colleagues;
  readonly board: Board;
  readonly feeder: Feeder;
  readonly duty: Duty;
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
const READ_US = 300 * MS;

/** What a signalbox of a content deployment has besides: operation keys, purges, and shares of the rates. */
export const openContent = ({
  settings,
  clock,
  ledger,
  colleagues,
  board,
  feeder,
  duty,
}: ContentOptions): Content => {
  const book = new KeyBook({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "keys"),
    clock,
    keyWindowUs: settings.keyWindowUs,
    diskBytes: settings.diskMb * MB,
  });
  const keys = new Keys({
    self: settings.control,
    book,
    ledger,
    ask: colleagues.ask,
    stands: colleagues.stands,
    send: colleagues.send,
    withstandMachines: settings.withstandMachines,
    log: logFor("keys"),
    onPurge: ({ id, host, path, label }) =>
      board.post([{ key: PURGE_PREFIX + id, version: 1, tie: "", body: { host, path, label } }]),
  });
  const office = new RateOffice(clock);
  const depots = new Map<string, Rec>();

  /** Only by a holder that a majority has just heard of: one that was cut off or frozen may have a successor. */
  const giveHere = async (message: Message): Promise<Message> =>
    (await duty.confirm())
      ? {
          kind: "rate",
          share: office.give(text(message, "life"), text(message, "who"), whole(message, "held")),
          lastsUs: GRANT_LASTS_US,
        }
      : { kind: "rate" };
  const giveRate = async (message: Message): Promise<Message> =>
    duty.isHolder()
      ? giveHere(message)
      : ((await colleagues.ask(duty.holder(), message, STORE_WAIT_US)) ?? { kind: "rate" });

  /** Learns the purges of a reading quorum, and tells the nodes as of when they know them all. */
  let reading = false;
  const read = async (): Promise<void> => {
    if (reading) return;
    reading = true;
    const beganUs = clock.nowUs();
    if ((await keys.readPurges()) && keys.isCounting) feeder.setFresh(clock.nowUs() - beganUs);
    reading = false;
  };
  const reader = clock.every(READ_US, () => {
    if (!duty.isHolder()) office.lose();
    void keys.catchUp();
    void read();
  });
  const sweeper = clock.every(SECOND, () =>
    board.forget(book.sweep().map((id) => PURGE_PREFIX + id)),
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
          const verdict = await keys.claim(text(message, "key"), text(message, "token"));
          return {
            kind: "claim",
            verdict: verdict.kind,
            ...(verdict.kind === "done" ? { answer: verdict.answer } : {}),
          };
        }
        case "key-done": {
          const answer = readAnswer(message["answer"]);
          return {
            kind: "claim",
            kept:
              answer !== undefined &&
              (await keys.keep(text(message, "key"), text(message, "token"), answer)),
          };
        }
        case "rate-ask":
          return giveRate(message);
        default:
          return undefined;
      }
    },
    answerColleague: async (message) =>
      message.kind === "rate-ask" ? giveHere(message) : keys.answer(message),
    hear: (message) => {
      if (message.kind === "key-free") keys.free(text(message, "key"), text(message, "token"));
      if (message.kind === "goods") depots.set(text(message, "node"), { ...message });
    },
    spread: keys.spread,
    purge: keys.purge,
    tellers: {
      keys: () => ({
        keys: book.size,
        bytes: book.heldBytes,
        purges: book.purges().length,
        counting: keys.isCounting,
      }),
      goods: () => [...depots.values()],
    },
  };
};
