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

/** How a forecast compares with the counts. */
export type CheckResult = "within" | "outside" | "too few calls" | "not heard";

/** One node, service and kind of request. Printed as JSON, so the names of the fields stay. */
export interface CheckedRow extends UnknownRecord {
  readonly node: string;
  readonly service: string;
  readonly kind: string;
  /** The requests counted after the change. */
  readonly calls: number;
  /** The forecast share of requests at workers new to the node's subset. */
  readonly forecastJoin: number;
  /** The same share as counted. */
  readonly seenJoin: number;
  /** The share of requests at workers that were to leave the subset. */
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
  readonly isHeard: boolean;
  readonly calls: number;
  readonly seenJoin: number;
  readonly low: number;
  readonly high: number;
}): CheckResult => {
  if (!row.isHeard) return "not heard";
  if (row.calls < MIN_REQUESTS) return "too few calls";
  return row.seenJoin >= row.low && row.seenJoin <= row.high ? "within" : "outside";
};

/**
 * Compares by node, service and kind. To be asked one counting window after the change, when
 * nothing older is counted.
 *
 * @param forecast - as `readKept` accepts it
 * @param seen - rows of `/backends/seen`, one for each node that was asked
 */
export const checkForecast = (
  forecast: UnknownRecord,
  seen: readonly UnknownRecord[],
): readonly CheckedRow[] => {
  const formerSubsets = readFormerSubsets(forecast);
  const heard = new Map(
    seen.filter((row) => row["heard"] === true).map((row) => [readString(row, "node"), row]),
  );
  return readList(forecast, "nodes", (value) => {
    const row = asRecord(value);
    const node = readString(row, "node");
    const service = readString(row, "service");
    const kind = readString(row, "kind");
    const ofService = readList(heard.get(node) ?? {}, "services", asRecord).find(
      (one) => one["service"] === service,
    );
    const counts = readList(ofService ?? {}, "calls", readWorkerCount).filter(
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
    const isHeard = ofService !== undefined;
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
      verdict: compare({ isHeard, calls, seenJoin, low, high }),
    };
  });
};

/** The forecast that a file holds, or a sentence on what is wrong with it. */
export const readKept = (value: unknown): UnknownRecord | string => {
  if (!isRecord(value) || !Array.isArray(value["nodes"]) || !Array.isArray(value["subsets"]))
    return "the file holds no kept forecast";
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

/** How many rows there are of each result. */
export const countsOf = (rows: readonly CheckedRow[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  rows.forEach(({ verdict: result }) => (counts[result] = asNumber(counts[result] ?? 0) + 1));
  return counts;
};
