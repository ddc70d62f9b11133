/** Rows of a node's `rollout` report and their increase over an earlier report. */
import { asList, asNumber, asString } from "../common/decode.js";
import { NO_OUTCOMES, type OutcomeCounts } from "./sequential-test.js";

/** Cumulative outcomes of one service in one stratum, as observed by one node. */
export interface OutcomeRow {
  readonly route: string;
  readonly version: number;
  readonly service: string;
  readonly stratum: string;
  readonly counts: OutcomeCounts;
  /** Failures of the system itself or of the node's links, attributed to no service. */
  readonly unattributedFailures: number;
}

const readCount = (value: unknown): number => {
  const count = asNumber(value);
  if (!Number.isSafeInteger(count) || count < 0)
    throw new TypeError(`expected a non-negative integer count, got ${count}`);
  return count;
};

/**
 * Parses a row.
 *
 * @throws if the row is malformed or a count is not a non-negative integer
 */
export const readOutcomeRow = (value: unknown): OutcomeRow => {
  const [route, version, service, stratum, inTime, late, lost, doubled, unattributed] = asList(
    value,
    "row",
  );
  return {
    route: asString(route),
    version: readCount(version),
    service: asString(service),
    stratum: asString(stratum),
    counts: {
      inTime: readCount(inTime),
      late: readCount(late),
      lost: readCount(lost),
      doubled: readCount(doubled),
    },
    unattributedFailures: readCount(unattributed),
  };
};

/** Identifies a row by everything except its counts. */
export const outcomeRowKey = (row: OutcomeRow): string =>
  `${row.route}\n${row.version}\n${row.service}\n${row.stratum}`;

/**
 * The increase of the counts over an earlier row; undefined if any count decreased, which means that
 * the row is out of date.
 */
export const increaseOf = (
  row: OutcomeRow,
  earlier: OutcomeRow | undefined,
): OutcomeCounts | undefined => {
  const before = earlier?.counts ?? NO_OUTCOMES;
  const counts = {
    inTime: row.counts.inTime - before.inTime,
    late: row.counts.late - before.late,
    lost: row.counts.lost - before.lost,
    doubled: row.counts.doubled - before.doubled,
  };
  return Object.values(counts).every((count) => count >= 0) ? counts : undefined;
};
