import { randomUUID } from "node:crypto";
import type { Logger } from "../common/logger.js";
import { readFlag, readList, readString, asString, type UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import {
  readStoredResponse,
  readPurge,
  type StoredResponse,
  type IdempotencyKeyTable,
  type Purge,
} from "./key-table.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import { quorumSize, readQuorumSize } from "../consensus/voter-set.js";

export type KeyClaimResult =
  /** A quorum holds the token: its bearer alone may run the operation. */
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: StoredResponse }
  /** Another try has the key, and may have run. */
  | { readonly kind: "working" }
  /** Two tries came at once and neither won: the token is to be freed, and another tried after a while. */
  | { readonly kind: "split" }
  | { readonly kind: "none" };

export interface IdempotencyKeyReplicationOptions {
  readonly self: string;
  readonly table: IdempotencyKeyTable;
  readonly store: ReplicatedStore;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly isConnected: (id: string) => boolean;
  readonly send: (message: Message) => void;
  readonly withstandMachines: number;
  readonly logger: Logger;
  /** Told of every purge that this copy learns. */
  readonly onPurge: (purge: Purge) => void;
}

const CLAIM_WAIT_US = 400 * MILLISECOND_US;
const KEEP_WAIT_US = 250 * MILLISECOND_US;
const SPREAD_WAIT_US = 1_500 * MILLISECOND_US;
const SMALL_BYTES = 256;

const packAnswer = (answer: StoredResponse): UnknownRecord => ({
  status: answer.status,
  heads: answer.heads,
  ...(answer.body ? { body: answer.body } : {}),
});

/**
 * Operation keys over the roster: who may run an operation, and what its run was answered with.
 * Invariant: a copy that may have lost claims accepts none until it has read so many of the others that every claim
 * once held by a quorum is among theirs; so within the window no two tokens of a key ever win.
 */
export class IdempotencyKeyReplication {
  private counting = false;
  private reading = false;

  constructor(private readonly options: IdempotencyKeyReplicationOptions) {}

  get isVoting(): boolean {
    return this.counting;
  }

  readonly start = async (firstRun: boolean): Promise<void> => {
    const found = await this.options.table.load();
    this.options.table.purges().forEach(this.options.onPurge);
    if (found) this.counting = true;
    else if (firstRun && this.options.store.isMember())
      this.counting = await this.options.table.markInitialized();
  };

  /** Reads what a lost copy needs; called until it counts. Begins only once this one is seen on the roster. */
  readonly catchUp = async (): Promise<void> => {
    const { table: keyTable, store, logger } = this.options;
    if (this.counting || this.reading || !store.isMember() || !store.isVoting) return;
    this.reading = true;
    const read = await this.refresh();
    this.reading = false;
    if (!read || !(await keyTable.markInitialized())) return;
    this.counting = true;
    keyTable.purges().forEach(this.options.onPurge);
    logger.info(`Caught up with ${keyTable.size} operation keys.`);
  };

  /** Brings what a quorum of the old members holds to a quorum of the new ones; true once that is done. */
  readonly replicateToNewMembers = async (): Promise<boolean> => {
    const { store } = this.options;
    const spread = await store.callQuorum(
      { kind: "key-refresh" },
      (reply) => readFlag(reply, "kept"),
      this.refresh,
      SPREAD_WAIT_US,
    );
    return spread.isOk;
  };

  /** Reads a reading quorum's books into this one; true once all of it is safe here. */
  private readonly refresh = async (): Promise<boolean> => {
    const { table: keyTable } = this.options;
    const merges: Promise<boolean>[] = [];
    const read = await this.gatherToRead({ kind: "key-book" }, (reply) => {
      if (!readFlag(reply, "counts")) return false;
      merges.push(keyTable.merge(reply));
      return true;
    });
    return (await Promise.all(merges)).every((done) => done) && read;
  };

  readonly claim = async (key: string, token: string): Promise<KeyClaimResult> => {
    const { self, table: keyTable, store, withstandMachines } = this.options;
    const known = keyTable.findResponse(key);
    if (known?.body && keyTable.findToken(key) !== token) return { kind: "done", answer: known };
    const takers = new Set<string>();
    let others = 0;
    let isDone = known !== undefined;
    const hear = (id: string, reply: Message): boolean => {
      if (reply["verdict"] === "taken") takers.add(id);
      if (reply["verdict"] === "other") others += 1;
      if (readFlag(reply, "done")) isDone = true;
      return reply["verdict"] === "taken";
    };
    const won = await store.callQuorum(
      { kind: "key-claim", key, token },
      (reply, id) => hear(id, reply),
      async () => hear(self, await this.answerClaim(key, token)),
      CLAIM_WAIT_US,
    );
    if (won.isOk) return { kind: "won" };
    if (isDone) return this.fetch(key);
    if (others === 0) return { kind: "none" };
    // Unless the others could have won among those that did not answer, nobody has.
    const couldOthers = store
      .quorumSets()
      .every(
        (members) =>
          members.filter((id) => !takers.has(id)).length >= quorumSize(members, withstandMachines),
      );
    return couldOthers ? { kind: "working" } : { kind: "split" };
  };

  /** Takes back a token that has not run and never will. */
  readonly release = (key: string, token: string): void => {
    this.options.table.release(key, token);
    this.options.send({ kind: "key-free", key, token });
  };

  /** Keeps the answer at a quorum, whole, and tells the rest that there is one. */
  readonly complete = async (
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> => {
    const { self, table: keyTable, store, request, isConnected, withstandMachines } = this.options;
    const others = store
      .members()
      .filter((id) => id !== self)
      .sort((a, b) => Number(isConnected(b)) - Number(isConnected(a)));
    const whole: Message = { kind: "key-done", key, token, answer: packAnswer(answer) };
    const isSmall = (answer.body?.length ?? 0) <= SMALL_BYTES;
    const note: Message = {
      kind: "key-done",
      key,
      token,
      answer: packAnswer({ ...answer, body: undefined }),
    };
    const kept = new Set<string>();
    const hold = async (id: string): Promise<void> => {
      if ((await request(id, store.withVoterSet(whole), KEEP_WAIT_US))?.["kept"] === true)
        kept.add(id);
    };
    const isHeld = () =>
      store
        .quorumSets()
        .every(
          (members) =>
            members.filter((id) => kept.has(id)).length >= quorumSize(members, withstandMachines),
        );
    const first = isSmall
      ? others
      : others.slice(0, quorumSize(store.members(), withstandMachines) - 1);
    const rest = others.filter((id) => !first.includes(id));
    if (await keyTable.complete(key, token, answer)) kept.add(self);
    await Promise.all(first.map(hold));
    if (isHeld()) {
      rest.forEach((id) => void request(id, note, 0));
      return true;
    }
    await Promise.all(rest.map(hold));
    return isHeld();
  };

  readonly purge = async (what: Omit<Purge, "id">): Promise<boolean> => {
    const { store } = this.options;
    const purge: Purge = { ...what, id: randomUUID() };
    const held = await store.callQuorum(
      { kind: "key-purge", ...purge },
      (reply) => readFlag(reply, "kept"),
      () => this.takePurge(purge),
      CLAIM_WAIT_US,
    );
    return held.isOk;
  };

  /** Learns the purges that a reading quorum holds; true if every purge acknowledged before the call is known now. */
  readonly readPurges = async (): Promise<boolean> => {
    const { table: keyTable } = this.options;
    const ids = keyTable.purges().map(({ id }) => id);
    const merges: Promise<boolean>[] = [];
    const read = await this.gatherToRead({ kind: "key-purges", ids }, (reply) => {
      if (!readFlag(reply, "counts")) return false;
      merges.push(...readList(reply, "purges", readPurge).map(this.takePurge));
      return true;
    });
    await Promise.all(merges);
    return read;
  };

  /** Answers a colleague. */
  readonly handleRequest = async (message: Message): Promise<Message | undefined> => {
    const { table: keyTable, store } = this.options;
    const refusal = store.rejectIfOutdated(message);
    if (refusal) return refusal;
    switch (message.kind) {
      case "key-claim":
        return this.answerClaim(readString(message, "key"), readString(message, "token"));
      case "key-free":
        keyTable.release(readString(message, "key"), readString(message, "token"));
        return undefined;
      case "key-done": {
        const answer = readStoredResponse(message["answer"]);
        const kept =
          answer !== undefined &&
          (await keyTable.complete(
            readString(message, "key"),
            readString(message, "token"),
            answer,
          ));
        return { kind: "done", kept: kept && this.counting };
      }
      case "key-read": {
        const answer = keyTable.findResponse(readString(message, "key"));
        return { kind: "done", ...(answer ? { answer: packAnswer(answer) } : {}) };
      }
      case "key-refresh": {
        await this.catchUp();
        return { kind: "done", kept: this.counting && (await this.refresh()) };
      }
      case "key-purge":
        return { kind: "done", kept: await this.takePurge(readPurge(message)) };
      case "key-purges": {
        const known = new Set(readList(message, "ids", asString));
        return {
          kind: "done",
          counts: this.counting,
          purges: keyTable.purges().filter(({ id }) => !known.has(id)),
        };
      }
      case "key-book":
        return { kind: "done", counts: this.counting, ...keyTable.pack() };
      default:
        return undefined;
    }
  };

  private readonly answerClaim = async (key: string, token: string): Promise<Message> => {
    const { table: keyTable } = this.options;
    if (!this.counting) return { kind: "done", verdict: "full", done: false };
    const result = await keyTable.claim(key, token);
    return { kind: "done", verdict: result, done: keyTable.findResponse(key) !== undefined };
  };

  private readonly takePurge = async (purge: Purge): Promise<boolean> => {
    const { table: keyTable, onPurge } = this.options;
    const isNew = !keyTable.hasPurge(purge.id);
    const kept = keyTable.addPurge(purge);
    if (isNew) onPurge(purge);
    return (await kept) && this.counting;
  };

  /** The answer of a key that some copy knows to be done, from whoever has its body. */
  private readonly fetch = async (key: string): Promise<KeyClaimResult> => {
    const { self, table: keyTable, store, request } = this.options;
    const replies = await Promise.all(
      store
        .members()
        .filter((id) => id !== self)
        .map((id) => request(id, { kind: "key-read", key }, KEEP_WAIT_US)),
    );
    const found = [
      keyTable.findResponse(key),
      ...replies.map((reply) => readStoredResponse(reply?.["answer"])),
    ].find((answer) => answer?.body !== undefined);
    return found ? { kind: "done", answer: found } : { kind: "working" };
  };

  /** Asks as many counting copies as share a member with every quorum. */
  private readonly gatherToRead = async (
    message: Message,
    accepts: (reply: Message) => boolean,
  ): Promise<boolean> => {
    const { self, store, request, withstandMachines } = this.options;
    const sets = store.quorumSets();
    const held = new Set(this.counting ? [self] : []);
    const others = store.members().filter((id) => id !== self);
    if (others.length === 0 && held.size === 0) return false;
    const isEnough = () =>
      sets.every(
        (members) =>
          members.filter((id) => held.has(id)).length >= readQuorumSize(members, withstandMachines),
      );
    return new Promise((resolve) => {
      let open = others.length;
      const look = () => {
        if (isEnough()) resolve(true);
        else if (open === 0) resolve(false);
      };
      others.forEach((id) => {
        void request(id, store.withVoterSet(message), CLAIM_WAIT_US).then((reply) => {
          open -= 1;
          if (reply && accepts(reply)) held.add(id);
          look();
        });
      });
      look();
    });
  };
}
