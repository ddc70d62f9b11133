/** The rows of a node's `rollout` report, and what they add to an earlier one. */
import { asList, asNumber, asString } from "../common/decode.js";
import { NO_OUTCOMES, type OutcomeCounts } from "./sequential-test.js";

/** The cumulative outcomes that a node saw of one service in one stratum. */
export interface OutcomeRow {
  readonly route: string;
  readonly version: number;
  readonly service: string;
  readonly stratum: string;
  readonly counts: OutcomeCounts;
  /** Failures of the system itself or of the node's links, which count against no service. */
  readonly ownFailures: number;
}

const readCount = (value: unknown): number => {
  const count = asNumber(value);
  if (!Number.isSafeInteger(count) || count < 0) throw new TypeError(`${count} is no count`);
  return count;
};

/** @throws if the row has another form or a count is negative */
export const readOutcomeRow = (value: unknown): OutcomeRow => {
  const [route, version, service, stratum, inTime, late, lost, doubled, own] = asList(value, "row");
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
    ownFailures: readCount(own),
  };
};

/** What `row` says, apart from its counts. */
export const keyOf = (row: OutcomeRow): string =>
  `${row.route}\n${row.version}\n${row.service}\n${row.stratum}`;

/**
 * By how much the counts have risen since an earlier row; undefined if any fell: the row is older
 * or repeated.
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
