/**
 * The form of what idempotency keys put on the wire and on disk: the kinds and keys of messages
 * between controllers, and of the records of a key table. Nodes and controllers of other versions
 * read both, so no text in here ever changes.
 */
import {
  asRecord,
  asString,
  isRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** The kinds of the messages between controllers, and of those that a gateway sends. */
export const KEY_MESSAGE = {
  claim: "key-claim",
  complete: "key-done",
  release: "key-free",
  readResponse: "key-read",
  readTable: "key-book",
  refresh: "key-refresh",
  addPurge: "key-purge",
  readPurges: "key-purges",
  /** Every response to one of them. */
  response: "done",
} as const;

/** The kinds of the records of a key table on disk. */
export const KEY_RECORD = {
  claim: "claim",
  complete: "done",
  release: "free",
  purge: "purge",
  initialized: "begun",
  uninitialized: "unbegun",
} as const;

/**
 * What the first run of a key was answered with. Without a body it is stored elsewhere, or was too
 * large to store.
 */
export interface StoredResponse {
  readonly status: number;
  /** Names and values in turn. */
  readonly heads: readonly string[];
  readonly body: Uint8Array | undefined;
}

/** An order to drop cached objects of a host: one path, or all that have a label. */
export interface Purge {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly label: string;
}

/** A key with the token that claims it. */
export interface KeyClaim {
  readonly key: string;
  readonly token: string;
}

/**
 * What one replica's table makes of a claim: it has the token, it has another one, or it takes no
 * claims.
 */
export type TableClaimResult = "taken" | "other" | "full";

/**
 * A replica's response to a claim. `isCompleted` is true if it knows that the key's run has ended.
 */
export interface ClaimResponse {
  readonly result: TableClaimResult;
  readonly isCompleted: boolean;
}

/** Reads a stored response; undefined where there is none. */
export const readStoredResponse = (value: unknown): StoredResponse | undefined => {
  if (!isRecord(value)) return undefined;
  const body = value["body"];
  return {
    status: readNumber(value, "status"),
    heads: readList(value, "heads", asString),
    body: body instanceof Uint8Array ? body : undefined,
  };
};

/** Writes a stored response; the body is left out where there is none. */
export const packStoredResponse = ({ status, heads, body }: StoredResponse): UnknownRecord => ({
  status,
  heads,
  ...(body ? { body } : {}),
});

/** Reads a purge from a message, a list or a record on disk. */
export const readPurge = (value: unknown): Purge => {
  const fields = asRecord(value, "purge");
  return {
    id: readString(fields, "id"),
    host: readString(fields, "host"),
    path: readString(fields, "path"),
    label: readString(fields, "label"),
  };
};

/** Reads the key and the token of a message or of a record on disk. */
export const readKeyClaim = (fields: UnknownRecord): KeyClaim => ({
  key: readString(fields, "key"),
  token: readString(fields, "token"),
});

/** Writes a replica's response to a claim. */
export const packClaimResponse = ({ result, isCompleted }: ClaimResponse): Message => ({
  kind: KEY_MESSAGE.response,
  verdict: result,
  done: isCompleted,
});

/**
 * Reads a replica's response to a claim. A result of a later version counts as a replica that takes
 * no claims.
 */
export const readClaimResponse = (message: Message): ClaimResponse => {
  const result = message["verdict"];
  return {
    result: result === "taken" || result === "other" ? result : "full",
    isCompleted: message["done"] === true,
  };
};

/** Writes whether what was asked for is durable at this replica. */
export const packStored = (isStored: boolean): Message => ({
  kind: KEY_MESSAGE.response,
  kept: isStored,
});

/** Whether a response says that what was asked for is durable at the replica. */
export const readStored = (message: Message | undefined): boolean => message?.["kept"] === true;
