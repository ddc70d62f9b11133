/**
 * Registers: the items of the configuration, each with its own version, and the rules by which
 * writes change them.
 */
import { createHash } from "node:crypto";
import {
  asList,
  asRecord,
  readBoolean,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";

/**
 * One item with its own version, as it was committed.
 *
 * Invariant: a version permanently identifies one content. `past` keeps the digests committed under
 * earlier versions, so that a write repeated long after newer ones is recognized. Versions below
 * `pastFrom` are no longer known.
 */
export interface Register {
  readonly key: string;
  readonly version: number;
  readonly dropped: boolean;
  /** The item as JSON, as written by the operator; empty if the item was removed. */
  readonly body: string;
  /** Digest of key, version, dropped and body. */
  readonly digest: string;
  /** Earlier versions with the digests of their contents, in ascending order. */
  readonly past: readonly PastVersion[];
  readonly pastFrom: number;
}

/** An earlier version with the digest of its content. */
export type PastVersion = readonly [version: number, digest: string];

/** How many earlier versions are kept for each item. */
const MAX_PAST_VERSIONS = 256;

/** Creates a register without earlier versions and computes its digest. */
export const makeRegister = (
  key: string,
  version: number,
  body: string,
  dropped = false,
): Register => ({
  key,
  version,
  dropped,
  body,
  digest: createHash("sha1")
    .update(`${key}\n${version}\n${dropped ? 1 : 0}\n${body}`)
    .digest("base64")
    .slice(0, 16),
  past: [],
  pastFrom: 0,
});

/** @throws DecodeError if the value is not a list of versions with their digests */
export const decodePastVersions = (value: unknown): readonly PastVersion[] =>
  asList(value, "past").map((row): PastVersion => [
    asNumber(asList(row, "past")[0]),
    asString(asList(row, "past")[1]),
  ]);

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeRegister = (value: unknown): Register => {
  const record = asRecord(value, "register");
  const past = record["past"] === undefined ? [] : decodePastVersions(record["past"]);
  const pastFrom = record["pastFrom"] === undefined ? 0 : readNumber(record, "pastFrom");
  return {
    ...makeRegister(
      readString(record, "key"),
      readNumber(record, "version"),
      readString(record, "body"),
      readBoolean(record, "dropped"),
    ),
    past,
    pastFrom,
  };
};

/** Encodes a register for records and messages, without the digest, which the reader recomputes. */
export const encodeRegister = ({
  key,
  version,
  body,
  dropped,
  past,
  pastFrom,
}: Register): UnknownRecord => ({
  key,
  version,
  body,
  dropped,
  ...(past.length > 0 ? { past } : {}),
  ...(pastFrom > 0 ? { pastFrom } : {}),
});

const withPast = (register: Register, past: readonly PastVersion[], pastFrom: number): Register => {
  const ascending = [...past].sort(([a], [b]) => a - b);
  const kept = ascending.slice(-MAX_PAST_VERSIONS);
  return {
    ...register,
    past: kept,
    pastFrom: kept.length < ascending.length ? (kept[0]?.[0] ?? pastFrom) : pastFrom,
  };
};

/** Result of applying a write to the register in force. */
export type WriteOutcome =
  /** `next` is to be committed. A write older than the register in force changes only `past`. */
  | { readonly kind: "applied"; readonly next: Register }
  /** The same write was made before. */
  | { readonly kind: "duplicate" }
  /** The version has different content. */
  | { readonly kind: "conflict" }
  /** The write is so old that the content of its version is no longer known. */
  | { readonly kind: "forgotten" };

/** Compares a write with the register in force, by version and digest. */
export const applyWrite = (current: Register | undefined, write: Register): WriteOutcome => {
  if (!current) return { kind: "applied", next: write };
  const committedDigest =
    write.version === current.version
      ? current.digest
      : current.past.find(([version]) => version === write.version)?.[1];
  if (committedDigest !== undefined)
    return { kind: committedDigest === write.digest ? "duplicate" : "conflict" };
  if (write.version < current.pastFrom) return { kind: "forgotten" };
  if (write.version < current.version)
    return {
      kind: "applied",
      next: withPast(current, [...current.past, [write.version, write.digest]], current.pastFrom),
    };
  return {
    kind: "applied",
    next: withPast(write, [...current.past, [current.version, current.digest]], current.pastFrom),
  };
};
