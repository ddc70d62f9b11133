/**
 * The form of calls of several items, on disk and between controllers. Older versions neither write
 * nor read it.
 */
import { asList, asNumber, asString, readList, type UnknownRecord } from "../common/decode.js";
import { decodeBallot, encodeBallot } from "./ballot.js";
import { decodePast } from "./register.js";
import type { ItemStamp, ProposedCall } from "./proposal-history.js";

const encodeStamp = ([key, stamp]: readonly [string, ItemStamp | undefined]): readonly unknown[] =>
  stamp ? [key, stamp.version, stamp.digest, stamp.past] : [key];

const decodeStamp = (value: unknown): readonly [string, ItemStamp | undefined] => {
  const [key, version, digest, past] = asList(value, "item");
  return [
    asString(key),
    version === undefined
      ? undefined
      : { version: asNumber(version), digest: asString(digest), past: decodePast(past) },
  ];
};

/** The form in records and messages. */
export const encodeCall = ({ ballot, items }: ProposedCall): UnknownRecord => ({
  at: encodeBallot(ballot),
  items: [...items].map(encodeStamp),
});

/** @throws DecodeError where a field is missing or of another type */
export const decodeCall = (record: UnknownRecord): ProposedCall => ({
  ballot: decodeBallot(record["at"]),
  items: new Map(readList(record, "items", decodeStamp)),
});
