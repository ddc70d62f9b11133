/**
 * Registers: the items of the configuration, each with a version of its own, and what a write makes
 * of them.
 */
import { createHash } from "node:crypto";
import {
  asList,
  asRecord,
  readFlag,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";

/**
 * One item with a version of its own, as it was committed.
 *
 * Invariant: a version names one content for good. `past` keeps what was committed under earlier
 * numbers, so that a write that comes again long after newer ones is recognized; below `pastFrom`
 * this is no longer known.
 */
export interface Register {
  readonly key: string;
  readonly version: number;
  readonly dropped: boolean;
  /** The item as the operator wrote it, in JSON; empty for one that was removed. */
  readonly body: string;
  /** Of key, version, dropped and body. */
  readonly digest: string;
  /** Earlier numbers with the digests of their contents, rising. */
  readonly past: readonly PastVersion[];
  readonly pastFrom: number;
}

/** An earlier version with the digest of its content. */
export type PastVersion = readonly [version: number, digest: string];

/** How many earlier numbers are kept for each item. */
const MAX_PAST_VERSIONS = 256;

/** A register without earlier versions, with its digest. */
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

/** @throws DecodeError where it is no list of versions with their digests */
export const decodePastVersions = (value: unknown): readonly PastVersion[] =>
  asList(value, "past").map((row): PastVersion => [
    asNumber(asList(row, "past")[0]),
    asString(asList(row, "past")[1]),
  ]);

/** @throws DecodeError where a field is missing or of another type */
export const decodeRegister = (value: unknown): Register => {
  const record = asRecord(value, "register");
  const past = record["past"] === undefined ? [] : decodePastVersions(record["past"]);
  const pastFrom = record["pastFrom"] === undefined ? 0 : readNumber(record, "pastFrom");
  return {
    ...makeRegister(
      readString(record, "key"),
      readNumber(record, "version"),
      readString(record, "body"),
      readFlag(record, "dropped"),
    ),
    past,
    pastFrom,
  };
};

/** The form in records and messages: without the digest, which the reader computes anew. */
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

/** What a write comes to, given what is in force. */
export type WriteOutcome =
  /** `next` is to be committed. A write that is older than what is in force changes only `past`. */
  | { readonly kind: "applied"; readonly next: Register }
  /** The same write was made before. */
  | { readonly kind: "duplicate" }
  /** Another content has this version. */
  | { readonly kind: "conflict" }
  /** So old that what its version named is no longer known. */
  | { readonly kind: "forgotten" };

/** Compares a write with the register that is in force, by version and digest. */
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
