/**
 * Replication of idempotency keys over the voter set: keys are claimed at a quorum, and responses
 * are stored at a quorum.
 */
import { asString, readBoolean, readList } from "../common/decode.js";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import { quorumSize } from "../consensus/voter-set.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packClaimResponse,
  packPosition,
  packReleaseAll,
  packStored,
  readClaimResponse,
  readKeyClaim,
  readPageEnd,
  readPurgeRow,
  readReleaseAll,
  readStored,
  TABLE_START,
  type ClaimResponse,
  type KeyClaim,
  type Purge,
  type StoredResponse,
  type TablePosition,
} from "./key-codec.js";
import { KeyTableSource } from "./key-table-source.js";
import type { IdempotencyKeyTable } from "./key-table.js";
import { PurgeReplication } from "./purge-replication.js";
import { ReadQuorum } from "./read-quorum.js";
import { ResponseRepair } from "./response-repair.js";
import { ResponseReplication } from "./response-replication.js";
import { CLAIM_TIMEOUT_US, REFRESH_TIMEOUT_US, REPAIR_TIMEOUT_US } from "./timeouts.js";

/** The result of a claim. Its `kind` is sent to the gateway. */
export type KeyClaimResult =
  /** A quorum holds the token: only its holder may run the operation. */
  | { readonly kind: "won" }
  | { readonly kind: "done"; readonly answer: StoredResponse }
  /** The operation has completed, but no replica returned its response in time. */
  | { readonly kind: "unavailable" }
  /** Another attempt holds the key and may have run the operation. */
  | { readonly kind: "working" }
  /**
   * Concurrent attempts split the votes and none won: the caller must release the token and retry
   * with another one after a delay.
   */
  | { readonly kind: "split" }
  /** Too few replicas responded. */
  | { readonly kind: "none" };

/** Handles a message of another controller; returns undefined if it needs no response. */
type KeyRequestHandler = (message: Message) => Promise<Message | undefined> | Message | undefined;

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
  readonly clock: Clock;
  /** Rate of this machine's link; 0 if unknown. */
  readonly linkMbps: number;
}

/** All results of a claim, in the order in which they are reported. */
const CLAIM_RESULTS = ["won", "done", "unavailable", "working", "split", "none"] as const;

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
  /** How far the tables of other members have been copied for a refresh that is not complete. */
  private readonly copiedUpTo = new Map<string, TablePosition>();
  private readonly claimCounts = new Map<KeyClaimResult["kind"], number>();

  /** The purges, which are stored in the same table and count under the same condition. */
  readonly purges: PurgeReplication;
  readonly responses: ResponseReplication;
  readonly repair: ResponseRepair;
  private readonly handlers: ReadonlyMap<string, KeyRequestHandler>;
  private readonly readQuorum: ReadQuorum;

  constructor(private readonly options: IdempotencyKeyReplicationOptions) {
    const isVoting = () => this.voting;
    this.readQuorum = new ReadQuorum({ ...options, isVoting });
    this.responses = new ResponseReplication({ ...options, isVoting });
    this.repair = new ResponseRepair(options);
    this.purges = new PurgeReplication({ ...options, isVoting, readQuorum: this.readQuorum });
    const source = new KeyTableSource({ ...options, isVoting });
    this.handlers = new Map<string, KeyRequestHandler>([
      [KEY_MESSAGE.claim, this.handleClaim],
      [KEY_MESSAGE.release, this.handleRelease],
      [
        KEY_MESSAGE.releaseAll,
        async (message) => packStored(await this.releaseLocally(readReleaseAll(message))),
      ],
      [KEY_MESSAGE.complete, this.responses.handleStore],
      [KEY_MESSAGE.readResponse, this.responses.handleFetch],
      [KEY_MESSAGE.refresh, this.handleRefresh],
      [
        KEY_MESSAGE.addPurge,
        async (message) => packStored(await this.purges.addLocally(readPurgeRow(message))),
      ],
      [
        KEY_MESSAGE.readPurges,
        (message) => this.purges.respond(readList(message, "ids", asString)),
      ],
      [KEY_MESSAGE.readTable, source.readTable],
      [KEY_MESSAGE.listResponses, source.listResponses],
      [KEY_MESSAGE.readResponses, source.readResponses],
    ]);
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
      this.refreshWithBodies,
      REFRESH_TIMEOUT_US,
    );
    return refreshed.isOk;
  };

  /**
   * Copies the tables of a read quorum, and the bodies held by members that leave the voter set;
   * true if all of that is durable here.
   */
  private readonly refreshWithBodies = async (): Promise<boolean> => {
    const { store, isConnected } = this.options;
    if (!(await this.refresh())) return false;
    const { from, members } = store.voterSet();
    const leaving = from.filter((id) => !members.includes(id) && isConnected(id));
    if (leaving.length === 0) return true;
    const copied = await this.repair.run();
    return leaving.every((id) => copied.has(id));
  };

  /** Copies the tables of a read quorum into this one; true if all of the data is durable here. */
  private readonly refresh = async (): Promise<boolean> => {
    const isCopied = await this.readQuorum.gather(this.copyTableOf);
    if (isCopied) this.copiedUpTo.clear();
    return isCopied;
  };

  /**
   * Copies the table of a member page by page; false if it does not respond or does not vote. A
   * further call for the same refresh goes on behind the last page that was copied.
   */
  private readonly copyTableOf = async (id: string): Promise<boolean> => {
    const { table, store, request } = this.options;
    for (;;) {
      const position = this.copiedUpTo.get(id) ?? TABLE_START;
      const message = { kind: KEY_MESSAGE.readTable, ...packPosition(position) };
      const reply = await request(id, store.withVoterSet(message), REPAIR_TIMEOUT_US);
      if (!reply || !readBoolean(reply, "counts")) return false;
      if (!(await table.merge(reply))) return false;
      const end = readPageEnd(reply);
      this.copiedUpTo.set(id, end.position);
      if (end.isLast) return true;
    }
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

  private readonly count = (result: KeyClaimResult["kind"]): void => {
    this.claimCounts.set(result, (this.claimCounts.get(result) ?? 0) + 1);
  };

  private readonly decideClaim = async (key: string, token: string): Promise<KeyClaimResult> => {
    const { self, table, store, withstandMachines } = this.options;
    const known = table.findResponse(key);
    if (known && table.findToken(key) !== token) return this.answerRepeat(key, true);
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
    if (isCompleted) return this.answerRepeat(key, true);
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
    return couldOtherTokenHaveWon ? this.answerRepeat(key, false) : { kind: "split" };
  };

  /** Releases a token whose operation has not run and never will, without confirmation. */
  readonly release = (key: string, token: string): void => {
    void this.options.table.release(key, token);
    this.options.send({ kind: KEY_MESSAGE.release, key, token });
  };

  /**
   * Releases tokens whose operations have not run and never will; true once every member has done
   * so. Otherwise a member that was down still holds them, and the caller must repeat the call.
   */
  readonly releaseAll = async (claims: readonly KeyClaim[]): Promise<boolean> => {
    const { self, store, request } = this.options;
    const message = packReleaseAll(claims);
    const released = await Promise.all(
      store
        .members()
        .map(async (id) =>
          id === self
            ? this.releaseLocally(claims)
            : readStored(await request(id, message, CLAIM_TIMEOUT_US)),
        ),
    );
    return released.length > 0 && released.every(Boolean);
  };

  /**
   * Handles a message of another controller; returns undefined if it needs no response.
   *
   * @throws DecodeError if the message is malformed
   */
  readonly handleRequest = async (message: Message): Promise<Message | undefined> => {
    const rejection = this.options.store.rejectIfOutdated(message);
    return rejection ?? this.handlers.get(message.kind)?.(message);
  };

  private readonly handleClaim = async (message: Message): Promise<Message> => {
    const { key, token } = readKeyClaim(message);
    return packClaimResponse(await this.claimLocally(key, token));
  };

  private readonly handleRelease = (message: Message): undefined => {
    const { key, token } = readKeyClaim(message);
    void this.options.table.release(key, token);
  };

  private readonly releaseLocally = async (claims: readonly KeyClaim[]): Promise<boolean> => {
    const { table } = this.options;
    const released = await Promise.all(claims.map(({ key, token }) => table.release(key, token)));
    return released.every(Boolean);
  };

  private readonly handleRefresh = async (): Promise<Message> => {
    await this.catchUp();
    return packStored(this.voting && (await this.refreshWithBodies()));
  };

  private readonly claimLocally = async (key: string, token: string): Promise<ClaimResponse> => {
    const { table } = this.options;
    if (!this.voting) return { result: "full", isCompleted: false };
    const result = await table.claim(key, token);
    return { result, isCompleted: table.findResponse(key) !== undefined };
  };

  /**
   * The result for a key that another attempt holds. Where no replica that took part in the claim
   * knew of a response, the others are asked: one that has just lost its disk may have known it.
   */
  private readonly answerRepeat = async (
    key: string,
    isCompleted: boolean,
  ): Promise<KeyClaimResult> => {
    const found = await this.responses.find(key, isCompleted);
    switch (found.kind) {
      case "stored":
        return { kind: "done", answer: found.answer };
      case "unavailable":
        return { kind: "unavailable" };
      case "unknown":
        return { kind: "working" };
    }
  };
}
