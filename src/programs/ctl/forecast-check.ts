/**
 * Compares a saved forecast of `ctl backends forecast` with what the nodes counted after the
 * change.
 */
import { MIN_REQUESTS } from "../../proxy/reassignment-forecast.js";
import {
  asNumber,
  asRecord,
  asString,
  isRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../../common/decode.js";

/** Result of comparing a forecast with the counts. */
export type CheckResult = "within" | "outside" | "too few calls" | "not heard";

/**
 * One row for each node, service and kind of request. Printed as JSON, so the field names must not
 * change.
 */
export interface CheckedRow extends UnknownRecord {
  readonly node: string;
  readonly service: string;
  readonly kind: string;
  /** The requests counted after the change. */
  readonly calls: number;
  /** The forecast share of requests to workers that are new in the node's subset. */
  readonly forecastJoin: number;
  /** The same share as counted. */
  readonly seenJoin: number;
  /** The share of requests to workers that the forecast expected to leave the subset. */
  readonly seenLeave: number;
  readonly verdict: CheckResult;
}

interface WorkerCount {
  readonly kind: string;
  readonly worker: string;
  readonly count: number;
}

const subsetKey = (node: string, service: string): string => `${node}\n${service}`;

/** The subset of each node and service when the forecast was made. */
const readFormerSubsets = (forecast: UnknownRecord): ReadonlyMap<string, ReadonlySet<string>> =>
  new Map(
    readList(forecast, "subsets", (value) => {
      const row = asRecord(value);
      const key = subsetKey(readString(row, "node"), readString(row, "service"));
      return [key, new Set(readList(row, "subset", asString))] as const;
    }),
  );

const readWorkerCount = (value: unknown): WorkerCount => {
  const record = asRecord(value);
  return {
    kind: readString(record, "kind"),
    worker: readString(record, "worker"),
    count: readNumber(record, "count"),
  };
};

const sumCounts = (counts: readonly WorkerCount[]): number =>
  counts.reduce((sum, { count }) => sum + count, 0);

const shareAt = (
  counts: readonly WorkerCount[],
  isIncluded: (worker: string) => boolean,
): number => {
  const total = sumCounts(counts);
  return total === 0 ? 0 : sumCounts(counts.filter(({ worker }) => isIncluded(worker))) / total;
};

const compare = (row: {
  readonly hasAnswer: boolean;
  readonly calls: number;
  readonly seenJoin: number;
  readonly low: number;
  readonly high: number;
}): CheckResult => {
  if (!row.hasAnswer) return "not heard";
  if (row.calls < MIN_REQUESTS) return "too few calls";
  return row.seenJoin >= row.low && row.seenJoin <= row.high ? "within" : "outside";
};

/**
 * Compares a forecast with the counts by node, service and kind. The counts must be queried one
 * counting window after the change, when they include nothing older.
 *
 * @param forecast - a saved forecast that {@link readSavedForecast} has accepted
 * @param seenAnswers - rows of `/backends/seen`, one for each node that was queried
 */
export const checkForecast = (
  forecast: UnknownRecord,
  seenAnswers: readonly UnknownRecord[],
): readonly CheckedRow[] => {
  const formerSubsets = readFormerSubsets(forecast);
  const answersByNode = new Map(
    seenAnswers.filter((row) => row["heard"] === true).map((row) => [readString(row, "node"), row]),
  );
  return readList(forecast, "nodes", (value) => {
    const row = asRecord(value);
    const node = readString(row, "node");
    const service = readString(row, "service");
    const kind = readString(row, "kind");
    const serviceCounts = readList(answersByNode.get(node) ?? {}, "services", asRecord).find(
      (one) => one["service"] === service,
    );
    const counts = readList(serviceCounts ?? {}, "calls", readWorkerCount).filter(
      (count) => count.kind === kind,
    );
    const leavers = new Set(readList(row, "leavers", asString));
    const former = formerSubsets.get(subsetKey(node, service)) ?? new Set<string>();
    const forecastJoin = readNumber(row, "join");
    const low = readNumber(row, "joinLow");
    const high = readNumber(row, "joinHigh");
    const calls = sumCounts(counts);
    const seenJoin = shareAt(counts, (worker) => !former.has(worker));
    const seenLeave = shareAt(counts, (worker) => leavers.has(worker));
    const hasAnswer = serviceCounts !== undefined;
    return {
      node,
      service,
      kind,
      calls,
      forecastJoin,
      low,
      high,
      seenJoin,
      seenLeave,
      verdict: compare({ hasAnswer, calls, seenJoin, low, high }),
    };
  });
};

/**
 * Validates the content of a forecast file. Returns the forecast, or a message that says what is
 * wrong with it.
 */
export const readSavedForecast = (value: unknown): UnknownRecord | string => {
  if (!isRecord(value) || !Array.isArray(value["nodes"]) || !Array.isArray(value["subsets"]))
    return "the file does not contain a saved forecast";
  try {
    readList(value, "nodes", (row) =>
      [
        readString(asRecord(row), "node"),
        readNumber(asRecord(row), "join"),
        readNumber(asRecord(row), "joinLow"),
        readNumber(asRecord(row), "joinHigh"),
      ].map(String),
    );
    readList(value, "subsets", (row) => readList(asRecord(row), "subset", asString));
    return value;
  } catch (error) {
    return error instanceof Error ? error.message : "unreadable";
  }
};

/** The number of rows with each result. */
export const countResults = (rows: readonly CheckedRow[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  rows.forEach(({ verdict: result }) => (counts[result] = asNumber(counts[result] ?? 0) + 1));
  return counts;
};
