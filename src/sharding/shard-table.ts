/**
 * The table of a sharded service: which worker may run requests for which keys. Range ownership as
 * in Bigtable's tablets (Chang et al. 2006) and Slicer (Adya et al. 2016): one row a range, with a
 * fencing token that only rises. Values are immutable.
 */
import { asList, asNumber, asString, parseJson } from "../common/decode.js";

/** Keys are whole numbers from 0 to this one. */
export const MAX_SHARD_KEY = 65_535;

/** A range of keys, both ends included, and its owner. */
export interface ShardRow {
  readonly from: number;
  readonly to: number;
  /** The worker that may hold the keys. */
  readonly worker: string;
  /** Fencing token; rises with each change of the owner. */
  readonly fence: number;
  /** Token of the previous owner's state; empty if there is none. */
  readonly handover: string;
  /**
   * Whether the owner has to release the keys. Its lease is not renewed, and once it has released
   * them or the lease has expired, the range gets another owner.
   */
  readonly isReleasing: boolean;
  /** The worker that gets the range next; empty if the least loaded one gets it. */
  readonly next: string;
  /** The owner's call count when it became the owner; a release with a lower one is outdated. */
  readonly assignedAtCall: number;
}

/** The rows of a service in ascending order. Invariant: they cover every key exactly once. */
export type ShardTable = readonly ShardRow[];

/** The number of keys of a range. */
export const sizeOf = ({ from, to }: Pick<ShardRow, "from" | "to">): number => to - from + 1;

/** Encodes a table for its register. */
export const encodeTable = (table: ShardTable): string =>
  JSON.stringify(
    table.map((row) => [
      row.from,
      row.to,
      row.worker,
      row.fence,
      row.handover,
      row.isReleasing ? 1 : 0,
      row.next,
      row.assignedAtCall,
    ]),
  );

/** @throws DecodeError if the text is not an encoded table */
export const decodeTable = (text: string): ShardTable =>
  asList(parseJson(text), "table").map((value): ShardRow => {
    const [from, to, worker, fence, handover, isReleasing, next, assignedAtCall] = asList(
      value,
      "row",
    );
    return {
      from: asNumber(from),
      to: asNumber(to),
      worker: asString(worker),
      fence: asNumber(fence),
      handover: asString(handover),
      isReleasing: isReleasing === 1,
      next: asString(next),
      assignedAtCall: asNumber(assignedAtCall),
    };
  });

/** Returns the row of the range that contains the key, by binary search. */
export const findRow = <Row extends Pick<ShardRow, "from">>(
  rows: readonly Row[],
  key: number,
): Row | undefined => {
  let low = 0;
  let high = rows.length - 1;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if ((rows[middle]?.from ?? 0) <= key) low = middle;
    else high = middle - 1;
  }
  return rows[low];
};
