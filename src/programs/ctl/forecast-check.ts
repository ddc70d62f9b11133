import { LEAST_CALLS } from "../../proxy/reassignment-forecast.js";
import {
  asRecord,
  isRecord,
  readList,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../../common/decode.js";

export interface CheckedRow extends UnknownRecord {
  readonly node: string;
  readonly service: string;
  readonly kind: string;
  /** The calls counted after the change. */
  readonly calls: number;
  readonly forecastJoin: number;
  readonly seenJoin: number;
  /** Calls to workers that were to leave the subset and got some all the same. */
  readonly seenLeave: number;
  readonly verdict: "within" | "outside" | "too few calls" | "not heard";
}

interface SeenCall {
  readonly kind: string;
  readonly worker: string;
  readonly count: number;
}

/**
 * Sets a kept forecast beside what the nodes have seen since: the share of calls at workers that are new to the node's
 * subset, and at those that were to leave it. To be asked a window after the change, when nothing older is counted.
 */
export const checkForecast = (
  kept: UnknownRecord,
  seen: readonly UnknownRecord[],
): readonly CheckedRow[] => {
  const before = new Map<string, ReadonlySet<string>>();
  readList(kept, "subsets", (value) => {
    const row = asRecord(value);
    before.set(
      `${readString(row, "node")}\n${readString(row, "service")}`,
      new Set(readList(row, "subset", asString)),
    );
  });
  const heard = new Map(
    seen.filter((row) => row["heard"] === true).map((row) => [readString(row, "node"), row]),
  );
  return readList(kept, "nodes", (value) => {
    const row = asRecord(value);
    const [node, service, kind] = [
      readString(row, "node"),
      readString(row, "service"),
      readString(row, "kind"),
    ];
    const of = readList(heard.get(node) ?? {}, "services", asRecord).find(
      (one) => one["service"] === service,
    );
    const calls = readList(of ?? {}, "calls", (call): SeenCall => {
      const record = asRecord(call);
      return {
        kind: readString(record, "kind"),
        worker: readString(record, "worker"),
        count: readNumber(record, "count"),
      };
    }).filter((call) => call.kind === kind);
    const total = calls.reduce((sum, { count }) => sum + count, 0);
    const leavers = new Set(readList(row, "leavers", asString));
    const was = before.get(`${node}\n${service}`) ?? new Set<string>();
    const part = (fits: (worker: string) => boolean) =>
      total === 0
        ? 0
        : calls.filter(({ worker }) => fits(worker)).reduce((sum, { count }) => sum + count, 0) /
          total;
    const [forecastJoin, low, high] = [
      readNumber(row, "join"),
      readNumber(row, "joinLow"),
      readNumber(row, "joinHigh"),
    ];
    const seenJoin = part((worker) => !was.has(worker));
    const result =
      of === undefined
        ? "not heard"
        : total < LEAST_CALLS
          ? "too few calls"
          : seenJoin >= low && seenJoin <= high
            ? "within"
            : "outside";
    return {
      node,
      service,
      kind,
      calls: total,
      forecastJoin,
      low,
      high,
      seenJoin,
      seenLeave: part((worker) => leavers.has(worker)),
      verdict: result,
    };
  });
};

/** A kept forecast as it stands in a file, or a sentence on what is wrong with it. */
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

export const countsOf = (rows: readonly CheckedRow[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  rows.forEach(({ verdict: result }) => (counts[result] = asNumber(counts[result] ?? 0) + 1));
  return counts;
};
