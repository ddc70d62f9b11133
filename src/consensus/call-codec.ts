/**
 * Encoding of calls with several items, on disk and between controllers. Older versions neither
 * write nor read it.
 */
import { asList, asNumber, asString, readList, type UnknownRecord } from "../common/decode.js";
import { decodeBallot, encodeBallot } from "./ballot.js";
import { decodePastVersions } from "./register.js";
import type { ItemSummary, ProposedCall } from "./proposal-history.js";

const encodeRow = ([key, item]: readonly [string, ItemSummary | undefined]): readonly unknown[] =>
  item ? [key, item.version, item.digest, item.past] : [key];

const decodeRow = (value: unknown): readonly [string, ItemSummary | undefined] => {
  const [key, version, digest, past] = asList(value, "item");
  return [
    asString(key),
    version === undefined
      ? undefined
      : { version: asNumber(version), digest: asString(digest), past: decodePastVersions(past) },
  ];
};

/** Encodes a call for records and messages. */
export const encodeCall = ({ ballot, items }: ProposedCall): UnknownRecord => ({
  at: encodeBallot(ballot),
  items: [...items].map(encodeRow),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeCall = (record: UnknownRecord): ProposedCall => ({
  ballot: decodeBallot(record["at"]),
  items: new Map(readList(record, "items", decodeRow)),
});
