/** Stores the responses of keyed operations at several members, and fetches them for repeats. */
import { readString } from "../common/decode.js";
import type { Logger } from "../common/logger.js";
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import { quorumSize } from "../consensus/voter-set.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packStored,
  packStoredResponse,
  readKeyClaim,
  readStored,
  readStoredResponse,
  type StoredResponse,
} from "./key-codec.js";
import type { IdempotencyKeyTable } from "./key-table.js";
import { bodyCopies, rankHolders, targetMembers } from "./response-placement.js";
import { STORE_TIMEOUT_US } from "./timeouts.js";

/** Dependencies of {@link ResponseReplication}. */
export interface ResponseReplicationOptions {
  readonly self: string;
  readonly table: IdempotencyKeyTable;
  readonly store: ReplicatedStore;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly isConnected: (id: string) => boolean;
  readonly withstandMachines: number;
  readonly logger: Logger;
  /** Whether this replica counts in quorums. */
  readonly isVoting: () => boolean;
}

/** What is known of the response of a key. */
export type FoundResponse =
  | { readonly kind: "stored"; readonly answer: StoredResponse }
  /** The operation has completed, but no member returned the body. */
  | { readonly kind: "unavailable" }
  /** No member that responded knows that the operation has completed. */
  | { readonly kind: "unknown" };

/** A body of at most this size is stored at all members. */
const SMALL_BODY_BYTES = 256;

/**
 * Replicates responses. Invariant: a response is acknowledged only after its body is durable at
 * `withstandMachines + 1` members, and the fact that its operation has completed at a quorum.
 */
export class ResponseReplication {
  constructor(private readonly options: ResponseReplicationOptions) {}

  /**
   * Stores the response of a key's run, or, without a body, that it has completed; false if too few
   * members stored it in time.
   */
  readonly store = async (key: string, token: string, answer: StoredResponse): Promise<boolean> => {
    const { store, isConnected, withstandMachines } = this.options;
    const isSmall = (answer.body?.length ?? 0) <= SMALL_BODY_BYTES;
    const targets = targetMembers(store);
    const copies = answer.body ? bodyCopies(targets, withstandMachines) : 0;
    const ranked = isSmall ? targets : rankHolders(key, targets);
    const members = [...ranked, ...store.members().filter((id) => !ranked.includes(id))];
    const preferred = [...members].sort((a, b) => Number(isConnected(b)) - Number(isConnected(a)));
    const holders = isSmall ? preferred : preferred.slice(0, copies);
    const others = preferred.slice(holders.length);
    const withBody = new Set<string>();
    const completed = new Set<string>();
    const storeAt = async (id: string, response: StoredResponse): Promise<void> => {
      if (!(await this.storeAt(id, key, token, response))) return;
      completed.add(id);
      if (response === answer) withBody.add(id);
    };
    const metadata: StoredResponse = { status: answer.status, heads: [], body: undefined };
    const othersStored = Promise.all(others.map((id) => storeAt(id, metadata)));
    await Promise.all(holders.map((id) => storeAt(id, answer)));
    if (withBody.size < copies) await Promise.all(others.map((id) => storeAt(id, answer)));
    if (!this.isQuorum(completed)) await othersStored;
    return withBody.size >= copies && this.isQuorum(completed);
  };

  /**
   * Looks for the response of a key at all members; resolves as soon as one returns its body.
   *
   * @param isCompleted - whether the operation is already known to have completed
   */
  readonly find = async (key: string, isCompleted: boolean): Promise<FoundResponse> => {
    const { self, table, store, request, logger } = this.options;
    const local = table.findResponse(key);
    if (local?.body) return { kind: "stored", answer: local };
    const others = store.members().filter((id) => id !== self);
    let answeredCount = 0;
    let withoutBodyCount = 0;
    const answer = await firstDefined(
      others.map(async (id) => {
        const reply = await request(id, { kind: KEY_MESSAGE.readResponse, key }, STORE_TIMEOUT_US);
        const found = readStoredResponse(reply?.["answer"]);
        if (reply) answeredCount += 1;
        if (found && !found.body) withoutBodyCount += 1;
        return found?.body ? found : undefined;
      }),
    );
    if (answer) return { kind: "stored", answer };
    if (!isCompleted && withoutBodyCount === 0) return { kind: "unknown" };
    logger.warn("no replica returned the response of a completed key", {
      asked: others.length,
      answered: answeredCount,
      withoutBody: withoutBodyCount,
    });
    return { kind: "unavailable" };
  };

  /**
   * Handles a member's request to store a response.
   *
   * @throws DecodeError if the message is malformed
   */
  readonly handleStore = async (message: Message): Promise<Message> => {
    const answer = readStoredResponse(message["answer"]);
    const { key, token } = readKeyClaim(message);
    return packStored(answer !== undefined && (await this.storeLocally(key, token, answer)));
  };

  /** Handles a member's request for a response. */
  readonly handleFetch = (message: Message): Message => {
    const answer = this.options.table.findResponse(readString(message, "key"));
    return {
      kind: KEY_MESSAGE.response,
      ...(answer ? { answer: packStoredResponse(answer) } : {}),
    };
  };

  private readonly storeAt = async (
    id: string,
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> => {
    const { self, store, request } = this.options;
    if (id === self) return this.storeLocally(key, token, answer);
    const message = store.withVoterSet({
      kind: KEY_MESSAGE.complete,
      key,
      token,
      answer: packStoredResponse(answer),
    });
    return readStored(await request(id, message, STORE_TIMEOUT_US));
  };

  private readonly storeLocally = async (
    key: string,
    token: string,
    answer: StoredResponse,
  ): Promise<boolean> =>
    (await this.options.table.complete(key, token, answer)) && this.options.isVoting();

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
}

/** Resolves to the first defined value, or to undefined once all have resolved without one. */
const firstDefined = <T>(promises: readonly Promise<T | undefined>[]): Promise<T | undefined> =>
  new Promise((resolve) => {
    promises.forEach((promise) => {
      void promise.then((value) => {
        if (value !== undefined) resolve(value);
      });
    });
    void Promise.all(promises).then(() => resolve(undefined));
  });
