/**
 * Wire and disk format of idempotency keys: kinds and keys of the messages between controllers, and
 * of the records of a key table. Nodes and controllers of other versions read both, so the strings
 * in this file must never change.
 */
import {
  asRecord,
  asString,
  isRecord,
  readBoolean,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** The kinds of the messages that controllers exchange and gateways send. */
export const KEY_MESSAGE = {
  claim: "key-claim",
  complete: "key-done",
  release: "key-free",
  /** Releases several tokens, and is confirmed. */
  releaseAll: "key-free-all",
  readResponse: "key-read",
  readTable: "key-book",
  /** Asks for the keys whose bodies the requester must hold, by pages. */
  listResponses: "key-index",
  /** Asks for responses with their bodies. */
  readResponses: "key-bodies",
  refresh: "key-refresh",
  addPurge: "key-purge",
  readPurges: "key-purges",
  /** The response to any of the above. */
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
 * The response of a key's first run. The body is undefined if it is stored at other replicas or was
 * too large to store.
 */
export interface StoredResponse {
  readonly status: number;
  /** Header names and values, alternating. */
  readonly heads: readonly string[];
  readonly body: Uint8Array | undefined;
}

/** A request to evict cached objects of a host: one path, or all objects with a label. */
export interface Purge {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly label: string;
}

/** A purge as one replica copies it from another. */
export interface PurgeRow {
  readonly purge: Purge;
  /** Time since it was made, in microseconds. */
  readonly ageUs: number;
}

/** A key and the token that claims it. */
export interface KeyClaim {
  readonly key: string;
  readonly token: string;
}

/**
 * The result of a claim at one replica's table: the table holds the token, it holds another token,
 * or it accepts no claims.
 */
export type TableClaimResult = "taken" | "other" | "full";

/**
 * A replica's response to a claim. `isCompleted` is true if the replica has the response of the
 * key's run.
 */
export interface ClaimResponse {
  readonly result: TableClaimResult;
  readonly isCompleted: boolean;
}

/** Reads a stored response; undefined if there is none. */
export const readStoredResponse = (value: unknown): StoredResponse | undefined => {
  if (!isRecord(value)) return undefined;
  const body = value["body"];
  return {
    status: readNumber(value, "status"),
    heads: readList(value, "heads", asString),
    body: body instanceof Uint8Array ? body : undefined,
  };
};

/** Packs a stored response; the body is omitted if there is none. */
export const packStoredResponse = ({ status, heads, body }: StoredResponse): UnknownRecord => ({
  status,
  heads,
  ...(body ? { body } : {}),
});

/** One key of a table as another replica copies it. */
export interface KeyRow extends KeyClaim {
  /** Time since the claim, in microseconds. */
  readonly ageUs: number;
  readonly answer: StoredResponse | undefined;
}

/** Where a replica stands in the changes of another one's table. */
export interface TablePosition {
  /** Identifies the sequence of changes that `after` refers to. */
  readonly feed: string;
  readonly after: number;
}

/** Position of a replica that has read nothing yet. */
export const TABLE_START: TablePosition = { feed: "", after: 0 };

/** A request for the keys whose bodies `holder` must hold. */
export interface ListResponsesRequest {
  readonly position: TablePosition;
  readonly holder: string;
  /** The members among which bodies are placed. */
  readonly members: readonly string[];
}

/** Part of a table or of an index, and where the next part begins. */
export interface PageEnd {
  readonly position: TablePosition;
  readonly isLast: boolean;
}

/** Packs a row, with the body of its response if the row has it. */
export const packKeyRow = ({ key, token, ageUs, answer }: KeyRow): UnknownRecord => ({
  key,
  token,
  ageUs,
  ...(answer ? { answer: packStoredResponse(answer) } : {}),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const readKeyRow = (value: unknown): KeyRow => {
  const fields = asRecord(value, "key row");
  return {
    ...readKeyClaim(fields),
    ageUs: readNumber(fields, "ageUs"),
    answer: readStoredResponse(fields["answer"]),
  };
};

/** Packs a position into the fields of a request or a response. */
export const packPosition = ({ feed, after }: TablePosition): UnknownRecord => ({ feed, after });

/** Reads a position; undefined if the sender, of an earlier version, gave none. */
export const readPosition = (message: Message): TablePosition | undefined =>
  message["feed"] === undefined
    ? undefined
    : { feed: readString(message, "feed"), after: readNumber(message, "after") };

/** Packs the end of a page into the fields of a response. */
export const packPageEnd = ({ position, isLast }: PageEnd): UnknownRecord => ({
  ...packPosition(position),
  last: isLast,
});

/** Reads the end of a page. A replica of an earlier version sends its table in one page. */
export const readPageEnd = (message: Message): PageEnd => {
  const position = readPosition(message);
  return position
    ? { position, isLast: readBoolean(message, "last") }
    : { position: TABLE_START, isLast: true };
};

/** Packs a request for the keys whose bodies a member must hold. */
export const packListResponses = ({
  position,
  holder,
  members,
}: ListResponsesRequest): Message => ({
  kind: KEY_MESSAGE.listResponses,
  ...packPosition(position),
  holder,
  members,
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const readListResponses = (message: Message): ListResponsesRequest => ({
  position: readPosition(message) ?? TABLE_START,
  holder: readString(message, "holder"),
  members: readList(message, "members", asString),
});

/** Reads a purge from a message, a list item or a record on disk. */
export const readPurge = (value: unknown): Purge => {
  const fields = asRecord(value, "purge");
  return {
    id: readString(fields, "id"),
    host: readString(fields, "host"),
    path: readString(fields, "path"),
    label: readString(fields, "label"),
  };
};

/** Packs a purge with its age. */
export const packPurgeRow = ({ purge, ageUs }: PurgeRow): UnknownRecord => ({ ...purge, ageUs });

/** Reads a purge with its age. Replicas of earlier versions send none: it then counts from now. */
export const readPurgeRow = (value: unknown): PurgeRow => {
  const { ageUs } = asRecord(value, "purge");
  return { purge: readPurge(value), ageUs: typeof ageUs === "number" ? ageUs : 0 };
};

/** Reads the key and the token from a message or a record on disk. */
export const readKeyClaim = (fields: UnknownRecord): KeyClaim => ({
  key: readString(fields, "key"),
  token: readString(fields, "token"),
});

/** Packs a request to release tokens. */
export const packReleaseAll = (claims: readonly KeyClaim[]): Message => ({
  kind: KEY_MESSAGE.releaseAll,
  claims: claims.map(({ key, token }) => ({ key, token })),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const readReleaseAll = (message: Message): readonly KeyClaim[] =>
  readList(message, "claims", (claim) => readKeyClaim(asRecord(claim, "claim")));

/** Packs a replica's response to a claim. */
export const packClaimResponse = ({ result, isCompleted }: ClaimResponse): Message => ({
  kind: KEY_MESSAGE.response,
  verdict: result,
  done: isCompleted,
});

/**
 * Reads a replica's response to a claim. An unknown result, sent by a later version, is treated as
 * if the replica accepted no claims.
 */
export const readClaimResponse = (message: Message): ClaimResponse => {
  const result = message["verdict"];
  return {
    result: result === "taken" || result === "other" ? result : "full",
    isCompleted: message["done"] === true,
  };
};

/** Packs whether the requested data is durable at this replica. */
export const packStored = (isStored: boolean): Message => ({
  kind: KEY_MESSAGE.response,
  kept: isStored,
});

/** Whether a response confirms that the requested data is durable at the replica. */
export const readStored = (message: Message | undefined): boolean => message?.["kept"] === true;
