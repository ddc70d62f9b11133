/**
 * The form of calls of several items, on disk and between controllers. Older versions neither write
 * nor read it.
 */
import { asList, asNumber, asString, readList, type UnknownRecord } from "../common/decode.js";
import { decodeBallot, encodeBallot } from "./ballot.js";
import { decodePastVersions } from "./register.js";
import type { ItemSummary, ProposedCall } from "./proposal-history.js";

const encodeItemSummary = ([key, summary]: readonly [
  string,
  ItemSummary | undefined,
]): readonly unknown[] => (summary ? [key, summary.version, summary.digest, summary.past] : [key]);

const decodeItemSummary = (value: unknown): readonly [string, ItemSummary | undefined] => {
  const [key, version, digest, past] = asList(value, "item");
  return [
    asString(key),
    version === undefined
      ? undefined
      : { version: asNumber(version), digest: asString(digest), past: decodePastVersions(past) },
  ];
};

/** The form in records and messages. */
export const encodeCall = ({ ballot, items }: ProposedCall): UnknownRecord => ({
  at: encodeBallot(ballot),
  items: [...items].map(encodeItemSummary),
});

/** @throws DecodeError where a field is missing or of another type */
export const decodeCall = (record: UnknownRecord): ProposedCall => ({
  ballot: decodeBallot(record["at"]),
  items: new Map(readList(record, "items", decodeItemSummary)),
});
