import { randomUUID } from "node:crypto";
import type { Log } from "../common/logger.js";
import { flag, list, text, textOf, type Rec } from "../common/decode.js";
import { MS } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { readAnswer, readPurge, type KeptAnswer, type KeyBook, type Purge } from "./key-table.js";
import type { Ledger } from "../consensus/replicated-store.js";
import { quorumOf, readQuorumOf } from "../consensus/voter-set.js";

export type KeyVerdict =
  /** A quorum holds the token: its bearer alone may run the operation. */
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: KeptAnswer }
  /** Another try has the key, and may have run. */
  | { readonly kind: "working" }
  /** Two tries came at once and neither won: the token is to be freed, and another tried after a while. */
  | { readonly kind: "split" }
  | { readonly kind: "none" };

export interface KeysOptions {
  readonly self: string;
  readonly book: KeyBook;
  readonly ledger: Ledger;
  readonly ask: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly stands: (id: string) => boolean;
  readonly send: (message: Message) => void;
  readonly withstandMachines: number;
  readonly log: Log;
  /** Told of every purge that this copy learns. */
  readonly onPurge: (purge: Purge) => void;
}

const CLAIM_WAIT_US = 400 * MS;
const KEEP_WAIT_US = 250 * MS;
const SPREAD_WAIT_US = 1_500 * MS;
const SMALL_BYTES = 256;

const packAnswer = (answer: KeptAnswer): Rec => ({
  status: answer.status,
  heads: answer.heads,
  ...(answer.body ? { body: answer.body } : {}),
});

/**
 * Operation keys over the roster: who may run an operation, and what its run was answered with.
 * Invariant: a copy that may have lost claims accepts none until it has read so many of the others that every claim
 * once held by a quorum is among theirs; so within the window no two tokens of a key ever win.
 */
export class Keys {
  private counting = false;
  private reading = false;

  constructor(private readonly options: KeysOptions) {}

  get isCounting(): boolean {
    return this.counting;
  }

  readonly start = async (firstRun: boolean): Promise<void> => {
    const found = await this.options.book.load();
    this.options.book.purges().forEach(this.options.onPurge);
    if (found) this.counting = true;
    else if (firstRun && this.options.ledger.isMember())
      this.counting = await this.options.book.begin();
  };

  /** Reads what a lost copy needs; called until it counts. Begins only once this one is seen on the roster. */
  readonly catchUp = async (): Promise<void> => {
    const { book, ledger, log } = this.options;
    if (this.counting || this.reading || !ledger.isMember() || !ledger.isCounting) return;
    this.reading = true;
    const read = await this.refresh();
    this.reading = false;
    if (!read || !(await book.begin())) return;
    this.counting = true;
    book.purges().forEach(this.options.onPurge);
    log.info(`Caught up with ${book.size} operation keys.`);
  };

  /** Brings what a quorum of the old members holds to a quorum of the new ones; true once that is done. */
  readonly spread = async (): Promise<boolean> => {
    const { ledger } = this.options;
    const spread = await ledger.gather(
      { kind: "key-refresh" },
      (reply) => flag(reply, "kept"),
      this.refresh,
      SPREAD_WAIT_US,
    );
    return spread.isOk;
  };

  /** Reads a reading quorum's books into this one; true once all of it is safe here. */
  private readonly refresh = async (): Promise<boolean> => {
    const { book } = this.options;
    const merges: Promise<boolean>[] = [];
    const read = await this.gatherToRead({ kind: "key-book" }, (reply) => {
      if (!flag(reply, "counts")) return false;
      merges.push(book.unpack(reply));
      return true;
    });
    return (await Promise.all(merges)).every((done) => done) && read;
  };

  readonly claim = async (key: string, token: string): Promise<KeyVerdict> => {
    const { self, book, ledger, withstandMachines } = this.options;
    const known = book.answerOf(key);
    if (known?.body && book.tokenOf(key) !== token) return { kind: "done", answer: known };
    const takers = new Set<string>();
    let others = 0;
    let isDone = known !== undefined;
    const hear = (id: string, reply: Message): boolean => {
      if (reply["verdict"] === "taken") takers.add(id);
      if (reply["verdict"] === "other") others += 1;
      if (flag(reply, "done")) isDone = true;
      return reply["verdict"] === "taken";
    };
    const won = await ledger.gather(
      { kind: "key-claim", key, token },
      (reply, id) => hear(id, reply),
      async () => hear(self, await this.answerClaim(key, token)),
      CLAIM_WAIT_US,
    );
    if (won.isOk) return { kind: "won" };
    if (isDone) return this.fetch(key);
    if (others === 0) return { kind: "none" };
    // Unless the others could have won among those that did not answer, nobody has.
    const couldOthers = ledger
      .rosters()
      .every(
        (members) =>
          members.filter((id) => !takers.has(id)).length >= quorumOf(members, withstandMachines),
      );
    return couldOthers ? { kind: "working" } : { kind: "split" };
  };

  /** Takes back a token that has not run and never will. */
  readonly free = (key: string, token: string): void => {
    this.options.book.free(key, token);
    this.options.send({ kind: "key-free", key, token });
  };

  /** Keeps the answer at a quorum, whole, and tells the rest that there is one. */
  readonly keep = async (key: string, token: string, answer: KeptAnswer): Promise<boolean> => {
    const { self, book, ledger, ask, stands, withstandMachines } = this.options;
    const others = ledger
      .members()
      .filter((id) => id !== self)
      .sort((a, b) => Number(stands(b)) - Number(stands(a)));
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
      if ((await ask(id, ledger.tagged(whole), KEEP_WAIT_US))?.["kept"] === true) kept.add(id);
    };
    const isHeld = () =>
      ledger
        .rosters()
        .every(
          (members) =>
            members.filter((id) => kept.has(id)).length >= quorumOf(members, withstandMachines),
        );
    const first = isSmall
      ? others
      : others.slice(0, quorumOf(ledger.members(), withstandMachines) - 1);
    const rest = others.filter((id) => !first.includes(id));
    if (await book.keep(key, token, answer)) kept.add(self);
    await Promise.all(first.map(hold));
    if (isHeld()) {
      rest.forEach((id) => void ask(id, note, 0));
      return true;
    }
    await Promise.all(rest.map(hold));
    return isHeld();
  };

  readonly purge = async (what: Omit<Purge, "id">): Promise<boolean> => {
    const { ledger } = this.options;
    const purge: Purge = { ...what, id: randomUUID() };
    const held = await ledger.gather(
      { kind: "key-purge", ...purge },
      (reply) => flag(reply, "kept"),
      () => this.takePurge(purge),
      CLAIM_WAIT_US,
    );
    return held.isOk;
  };

  /** Learns the purges that a reading quorum holds; true if every purge acknowledged before the call is known now. */
  readonly readPurges = async (): Promise<boolean> => {
    const { book } = this.options;
    const ids = book.purges().map(({ id }) => id);
    const merges: Promise<boolean>[] = [];
    const read = await this.gatherToRead({ kind: "key-purges", ids }, (reply) => {
      if (!flag(reply, "counts")) return false;
      merges.push(...list(reply, "purges", readPurge).map(this.takePurge));
      return true;
    });
    await Promise.all(merges);
    return read;
  };

  /** Answers a colleague. */
  readonly answer = async (message: Message): Promise<Message | undefined> => {
    const { book, ledger } = this.options;
    const refusal = ledger.refusalOfOld(message);
    if (refusal) return refusal;
    switch (message.kind) {
      case "key-claim":
        return this.answerClaim(text(message, "key"), text(message, "token"));
      case "key-free":
        book.free(text(message, "key"), text(message, "token"));
        return undefined;
      case "key-done": {
        const answer = readAnswer(message["answer"]);
        const kept =
          answer !== undefined &&
          (await book.keep(text(message, "key"), text(message, "token"), answer));
        return { kind: "done", kept: kept && this.counting };
      }
      case "key-read": {
        const answer = book.answerOf(text(message, "key"));
        return { kind: "done", ...(answer ? { answer: packAnswer(answer) } : {}) };
      }
      case "key-refresh": {
        await this.catchUp();
        return { kind: "done", kept: this.counting && (await this.refresh()) };
      }
      case "key-purge":
        return { kind: "done", kept: await this.takePurge(readPurge(message)) };
      case "key-purges": {
        const known = new Set(list(message, "ids", textOf));
        return {
          kind: "done",
          counts: this.counting,
          purges: book.purges().filter(({ id }) => !known.has(id)),
        };
      }
      case "key-book":
        return { kind: "done", counts: this.counting, ...book.pack() };
      default:
        return undefined;
    }
  };

  private readonly answerClaim = async (key: string, token: string): Promise<Message> => {
    const { book } = this.options;
    if (!this.counting) return { kind: "done", verdict: "full", done: false };
    const verdict = await book.claim(key, token);
    return { kind: "done", verdict, done: book.answerOf(key) !== undefined };
  };

  private readonly takePurge = async (purge: Purge): Promise<boolean> => {
    const { book, onPurge } = this.options;
    const isNew = !book.hasPurge(purge.id);
    const kept = book.purge(purge);
    if (isNew) onPurge(purge);
    return (await kept) && this.counting;
  };

  /** The answer of a key that some copy knows to be done, from whoever has its body. */
  private readonly fetch = async (key: string): Promise<KeyVerdict> => {
    const { self, book, ledger, ask } = this.options;
    const replies = await Promise.all(
      ledger
        .members()
        .filter((id) => id !== self)
        .map((id) => ask(id, { kind: "key-read", key }, KEEP_WAIT_US)),
    );
    const found = [
      book.answerOf(key),
      ...replies.map((reply) => readAnswer(reply?.["answer"])),
    ].find((answer) => answer?.body !== undefined);
    return found ? { kind: "done", answer: found } : { kind: "working" };
  };

  /** Asks as many counting copies as share a member with every quorum. */
  private readonly gatherToRead = async (
    message: Message,
    accepts: (reply: Message) => boolean,
  ): Promise<boolean> => {
    const { self, ledger, ask, withstandMachines } = this.options;
    const sets = ledger.rosters();
    const held = new Set(this.counting ? [self] : []);
    const others = ledger.members().filter((id) => id !== self);
    if (others.length === 0 && held.size === 0) return false;
    const isEnough = () =>
      sets.every(
        (members) =>
          members.filter((id) => held.has(id)).length >= readQuorumOf(members, withstandMachines),
      );
    return new Promise((resolve) => {
      let open = others.length;
      const look = () => {
        if (isEnough()) resolve(true);
        else if (open === 0) resolve(false);
      };
      others.forEach((id) => {
        void ask(id, ledger.tagged(message), CLAIM_WAIT_US).then((reply) => {
          open -= 1;
          if (reply && accepts(reply)) held.add(id);
          look();
        });
      });
      look();
    });
  };
}
