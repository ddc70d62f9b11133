/**
 * Replication of idempotency keys over the voter set: keys are claimed at a quorum, and responses
 * are stored at a quorum.
 */
import { asString, readBoolean, readList, readString } from "../common/decode.js";
import type { Logger } from "../common/logger.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import { quorumSize } from "../consensus/voter-set.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packClaimResponse,
  packStored,
  packStoredResponse,
  readClaimResponse,
  readKeyClaim,
  readPurge,
  readStored,
  readStoredResponse,
  type ClaimResponse,
  type Purge,
  type StoredResponse,
} from "./key-codec.js";
import type { IdempotencyKeyTable } from "./key-table.js";
import { PurgeReplication } from "./purge-replication.js";
import { ReadQuorum } from "./read-quorum.js";
import { CLAIM_TIMEOUT_US, REFRESH_TIMEOUT_US, STORE_TIMEOUT_US } from "./timeouts.js";

/** The result of a claim. Its `kind` is sent to the gateway. */
export type KeyClaimResult =
  /** A quorum holds the token: only its holder may run the operation. */
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: StoredResponse }
  /** Another attempt holds the key and may have run the operation. */
  | { readonly kind: "working" }
  /**
   * Concurrent attempts split the votes and none won: the caller must release the token and retry
   * with another one after a delay.
   */
  | { readonly kind: "split" }
  /** Too few replicas responded. */
  | { readonly kind: "none" };

/** Dependencies of {@link IdempotencyKeyReplication}. */
export interface IdempotencyKeyReplicationOptions {
  readonly self: string;
  readonly table: IdempotencyKeyTable;
  readonly store: ReplicatedStore;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly isConnected: (id: string) => boolean;
  readonly send: (message: Message) => void;
  readonly withstandMachines: number;
  readonly logger: Logger;
  /** Called for each purge that is new to this replica. */
  readonly onPurge: (purge: Purge) => void;
}

/**
 * Results by which claims are counted. `responseMissing` counts those whose key is completed but
 * whose response no replica returned, in addition to the result that was given.
 */
const CLAIM_RESULTS = ["won", "done", "working", "split", "none", "responseMissing"] as const;
/**
 * A body of at most this size is sent to all members at once, a larger one only to as many members
 * as form a quorum.
 */
const SMALL_BODY_BYTES = 256;

/**
 * Decides by quorum which attempt may run the operation of a key, and stores the response of that
 * run.
 *
 * Invariant: a replica that may have lost claims accepts none until it has read enough other
 * replicas to cover every claim ever held by a quorum. Therefore no two tokens of a key win within
 * the key window.
 */
export class IdempotencyKeyReplication {
  private voting = false;
  private isCatchingUp = false;
  private readonly claimCounts = new Map<KeyClaimResult["kind"] | "responseMissing", number>();

  /** The purges, which are stored in the same table and count under the same condition. */
  readonly purges: PurgeReplication;
  private readonly readQuorum: ReadQuorum;

  constructor(private readonly options: IdempotencyKeyReplicationOptions) {
    const isVoting = () => this.voting;
    this.readQuorum = new ReadQuorum({ ...options, isVoting });
    this.purges = new PurgeReplication({ ...options, isVoting, readQuorum: this.readQuorum });
  }

  /** Whether this replica accepts claims and counts in quorums. */
  get isVoting(): boolean {
    return this.voting;
  }

  /**
   * Loads the table. On the first start of the whole system an empty table is valid, and the
   * replica votes at once.
   */
  readonly start = async (firstRun: boolean): Promise<void> => {
    const found = await this.options.table.load();
    this.purges.publishAll();
    if (found) this.voting = true;
    else if (firstRun && this.options.store.isMember())
      this.voting = await this.options.table.markInitialized();
  };

  /**
   * Restores the table of a replica that lost it from the other replicas. Called until the replica
   * votes; does nothing before it is a member.
   */
  readonly catchUp = async (): Promise<void> => {
    const { table, store, logger } = this.options;
    if (this.voting || this.isCatchingUp || !store.isMember() || !store.isVoting) return;
    this.isCatchingUp = true;
    const isRefreshed = await this.refresh();
    this.isCatchingUp = false;
    if (!isRefreshed || !(await table.markInitialized())) return;
    this.voting = true;
    this.purges.publishAll();
    logger.info("caught up with idempotency keys", { keys: table.size });
  };

  /**
   * Makes a quorum of the new members read what a quorum of the old members stores; true if that
   * succeeded.
   */
  readonly replicateToNewMembers = async (): Promise<boolean> => {
    const { store } = this.options;
    const refreshed = await store.callQuorum(
      { kind: KEY_MESSAGE.refresh },
      readStored,
      this.refresh,
      REFRESH_TIMEOUT_US,
    );
    return refreshed.isOk;
  };

  /** Merges the tables of a read quorum into this one; true if all of the data is durable here. */
  private readonly refresh = async (): Promise<boolean> => {
    const { table } = this.options;
    const merges: Promise<boolean>[] = [];
    const read = await this.readQuorum.gather({ kind: KEY_MESSAGE.readTable }, (reply) => {
      if (!readBoolean(reply, "counts")) return false;
      merges.push(table.merge(reply));
      return true;
    });
    return (await Promise.all(merges)).every((done) => done) && read;
  };

  /** Claims made through this replica since the start of the process, by result. */
  readonly claimsByResult = (): readonly (readonly [result: string, count: number])[] =>
    CLAIM_RESULTS.map((result) => [result, this.claimCounts.get(result) ?? 0]);

  /** Claims a key for a token at a quorum. */
  readonly claim = async (key: string, token: string): Promise<KeyClaimResult> => {
    const result = await this.decideClaim(key, token);
    this.count(result.kind);
    return result;
  };

  private readonly count = (result: (typeof CLAIM_RESULTS)[number]): void => {
    this.claimCounts.set(result, (this.claimCounts.get(result) ?? 0) + 1);
  };

  private readonly decideClaim = async (key: string, token: string): Promise<KeyClaimResult> => {
    const { self, table, store, withstandMachines } = this.options;
    const known = table.findResponse(key);
    if (known?.body && table.findToken(key) !== token) return { kind: "done", answer: known };
    const claimedBy = new Set<string>();
    let otherTokenCount = 0;
    let isCompleted = known !== undefined;
    const countResponse = (id: string, response: ClaimResponse): boolean => {
      if (response.result === "taken") claimedBy.add(id);
      if (response.result === "other") otherTokenCount += 1;
      if (response.isCompleted) isCompleted = true;
      return response.result === "taken";
    };
    const won = await store.callQuorum(
      { kind: KEY_MESSAGE.claim, key, token },
      (reply, id) => countResponse(id, readClaimResponse(reply)),
      async () => countResponse(self, await this.claimLocally(key, token)),
      CLAIM_TIMEOUT_US,
    );
    if (won.isOk) return { kind: "won" };
    if (isCompleted) return this.fetchResponse(key);
    if (otherTokenCount === 0) return { kind: "none" };
    // If no other token can have reached a quorum without the members that accepted this one,
    // neither attempt has won.
    const couldOtherTokenHaveWon = store
      .quorumSets()
      .every(
        (members) =>
          members.filter((id) => !claimedBy.has(id)).length >=
          quorumSize(members, withstandMachines),
      );
    return couldOtherTokenHaveWon ? { kind: "working" } : { kind: "split" };
  };

  /** Releases a token whose operation has not run and never will. */
  readonly release = (key: string, token: string): void => {
    this.options.table.release(key, token);
    this.options.send({ kind: KEY_MESSAGE.release, key, token });
  };

  /**
   * Stores the response with its body at a quorum, and without the body at the other members; false
   * if no quorum stored it in time.
   */
  readonly complete = async (
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> => {
    const { self, table, store, request, isConnected, withstandMachines } = this.options;
    const others = store
      .members()
      .filter((id) => id !== self)
      .sort((a, b) => Number(isConnected(b)) - Number(isConnected(a)));
    const messageWith = (response: StoredResponse): Message => ({
      kind: KEY_MESSAGE.complete,
      key,
      token,
      answer: packStoredResponse(response),
    });
    const full = messageWith(answer);
    const withoutBody = messageWith({ ...answer, body: undefined });
    const isSmall = (answer.body?.length ?? 0) <= SMALL_BODY_BYTES;
    const stored = new Set<string>();
    const storeAt = async (id: string): Promise<void> => {
      if (readStored(await request(id, store.withVoterSet(full), STORE_TIMEOUT_US))) stored.add(id);
    };
    const first = isSmall
      ? others
      : others.slice(0, quorumSize(store.members(), withstandMachines) - 1);
    const rest = others.filter((id) => !first.includes(id));
    if (await table.complete(key, token, answer)) stored.add(self);
    await Promise.all(first.map(storeAt));
    if (this.isQuorum(stored)) {
      rest.forEach((id) => void request(id, withoutBody, 0));
      return true;
    }
    await Promise.all(rest.map(storeAt));
    return this.isQuorum(stored);
  };

  /**
   * Handles a message of another controller; returns undefined if it needs no response.
   *
   * @throws DecodeError if the message is malformed
   */
  readonly handleRequest = async (message: Message): Promise<Message | undefined> => {
    const rejection = this.options.store.rejectIfOutdated(message);
    if (rejection) return rejection;
    switch (message.kind) {
      case KEY_MESSAGE.claim: {
        const { key, token } = readKeyClaim(message);
        return packClaimResponse(await this.claimLocally(key, token));
      }
      case KEY_MESSAGE.release: {
        const { key, token } = readKeyClaim(message);
        this.options.table.release(key, token);
        return undefined;
      }
      case KEY_MESSAGE.complete:
        return packStored(await this.completeLocally(message));
      case KEY_MESSAGE.readResponse:
        return this.respondWithResponse(readString(message, "key"));
      case KEY_MESSAGE.refresh: {
        await this.catchUp();
        return packStored(this.voting && (await this.refresh()));
      }
      case KEY_MESSAGE.addPurge:
        return packStored(await this.purges.addLocally(readPurge(message)));
      case KEY_MESSAGE.readPurges:
        return this.purges.respond(readList(message, "ids", asString));
      case KEY_MESSAGE.readTable:
        return {
          kind: KEY_MESSAGE.response,
          counts: this.voting,
          ...this.options.table.pack(),
        };
      default:
        return undefined;
    }
  };

  private readonly respondWithResponse = (key: string): Message => {
    const answer = this.options.table.findResponse(key);
    return {
      kind: KEY_MESSAGE.response,
      ...(answer ? { answer: packStoredResponse(answer) } : {}),
    };
  };

  private readonly completeLocally = async (message: Message): Promise<boolean> => {
    const answer = readStoredResponse(message["answer"]);
    if (!answer) return false;
    const { key, token } = readKeyClaim(message);
    return (await this.options.table.complete(key, token, answer)) && this.voting;
  };

  private readonly claimLocally = async (key: string, token: string): Promise<ClaimResponse> => {
    const { table } = this.options;
    if (!this.voting) return { result: "full", isCompleted: false };
    const result = await table.claim(key, token);
    return { result, isCompleted: table.findResponse(key) !== undefined };
  };

  /** Whether these members form a quorum of each voter set in force. */
  private readonly isQuorum = (ids: ReadonlySet<string>): boolean => {
    const { store, withstandMachines } = this.options;
    return store
      .quorumSets()
      .every(
        (members) =>
          members.filter((id) => ids.has(id)).length >= quorumSize(members, withstandMachines),
      );
  };

  /**
   * Fetches the response of a key that some replica reported as completed, from any replica that
   * has its body.
   */
  private readonly fetchResponse = async (key: string): Promise<KeyClaimResult> => {
    const { self, table, store, request, logger } = this.options;
    const replies = await Promise.all(
      store
        .members()
        .filter((id) => id !== self)
        .map((id) => request(id, { kind: KEY_MESSAGE.readResponse, key }, STORE_TIMEOUT_US)),
    );
    const found = [
      table.findResponse(key),
      ...replies.map((reply) => readStoredResponse(reply?.["answer"])),
    ].find((answer) => answer?.body !== undefined);
    if (found) return { kind: "done", answer: found };
    this.count("responseMissing");
    logger.warn("no replica returned the response of a completed key", {
      asked: replies.length,
      answered: replies.filter((reply) => reply !== undefined).length,
      withoutBody: replies.filter((reply) => reply?.["answer"] !== undefined).length,
    });
    return { kind: "working" };
  };
}
