/** Encoding in which replicas report their entries, and the history of these, to each other. */
import { asList, asRecord, asString, readList, type UnknownRecord } from "../common/decode.js";
import { decodeBallot, encodeBallot } from "./ballot.js";
import { decodeCall, encodeCall } from "./call-codec.js";
import type { EntryReport, HistoryReport } from "./message-types.js";
import { decodeContent } from "./record-codec.js";
import { encodeRegister } from "./register.js";

/** Encodes an entry for a response. A register that the requester already holds is omitted. */
export const encodeEntryReport = (entry: EntryReport): readonly unknown[] => [
  entry.key,
  encodeBallot(entry.ballot),
  entry.isAccepted,
  entry.isCommitted,
  ...(entry.register === "unchanged"
    ? []
    : [entry.register ? encodeRegister(entry.register) : null]),
];

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeEntryReport = (value: unknown): EntryReport => {
  const row = asList(value, "entry");
  return {
    key: asString(row[0]),
    ballot: decodeBallot(row[1]),
    isAccepted: row[2] === true,
    isCommitted: row[3] === true,
    register: row.length > 4 ? decodeContent(row[4]) : "unchanged",
  };
};

/** Encodes the history that a replica keeps besides its entries. */
export const encodeHistory = ({ calls, earlier, forgottenKeys }: HistoryReport): UnknownRecord => ({
  calls: calls.map(encodeCall),
  earlier: earlier.map(encodeEntryReport),
  forgotten: forgottenKeys,
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeHistory = (record: UnknownRecord): HistoryReport => ({
  calls: readList(record, "calls", (value) => decodeCall(asRecord(value, "call"))),
  earlier: readList(record, "earlier", decodeEntryReport),
  forgottenKeys: readList(record, "forgotten", asString),
});
