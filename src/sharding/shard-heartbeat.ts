/** The part of a heartbeat by which workers of sharded services hold and release keys. */
import { asList, asNumber, asString, readList, type UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { ShardRow } from "./shard-table.js";

/** A range of keys, both ends included. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/** A range that a worker has let go, with the token for its next owner. */
export interface ReleasedRange extends KeyRange {
  readonly handover: string;
}

/** What a worker says of its keys. */
export interface ShardReport {
  readonly service: string;
  readonly worker: string;
  readonly callCount: number;
  /** The ranges that it holds or still works on. */
  readonly holds: readonly KeyRange[];
  /** The ranges that it has let go since its last acknowledged heartbeat. */
  readonly released: readonly ReleasedRange[];
}

const readRange = (value: unknown): ReleasedRange => {
  const [from, to, third] = asList(value, "range");
  return {
    from: asNumber(from),
    to: asNumber(to),
    handover: typeof third === "string" ? third : "",
  };
};

/** @throws DecodeError if `holds` or `released` is not a list of ranges */
export const readRanges = (record: UnknownRecord): Pick<ShardReport, "holds" | "released"> => ({
  holds: readList(record, "holds", readRange),
  released: readList(record, "released", readRange),
});

/** Builds the part of the answer that states all that the worker is to hold, and for how long. */
export const packGrants = (rows: readonly ShardRow[], holdUs: number): UnknownRecord => ({
  holds: rows.map(({ from, to, fence, handover }) => [from, to, fence, handover]),
  hold: `${Math.floor(holdUs / MILLISECOND_US)}ms`,
});

/** Builds the message that passes a report on to the leader. */
export const packShardReport = ({ holds, released, ...report }: ShardReport): UnknownRecord => ({
  ...report,
  holds: holds.map(({ from, to }) => [from, to]),
  released: released.map(({ from, to, handover }) => [from, to, handover]),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const readShardReport = (message: UnknownRecord): ShardReport => ({
  service: asString(message["service"]),
  worker: asString(message["worker"]),
  callCount: asNumber(message["callCount"]),
  ...readRanges(message),
});

/** Whether two ranges share a key. */
export const overlaps = (one: KeyRange, other: KeyRange): boolean =>
  one.from <= other.to && other.from <= one.to;

/** Whether the ranges cover all keys of another one. */
export const coversAll = (ranges: readonly KeyRange[], wanted: KeyRange): boolean => {
  let next = wanted.from;
  [...ranges]
    .sort((one, other) => one.from - other.from)
    .forEach(({ from, to }) => {
      if (from <= next && to >= next) next = to + 1;
    });
  return next > wanted.to;
};
