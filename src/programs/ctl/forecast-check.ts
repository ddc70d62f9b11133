import { LEAST_CALLS } from "../../proxy/reassignment-forecast.js";
import {
  asRec,
  isRec,
  list,
  numberOf,
  text,
  textOf,
  whole,
  type Rec,
} from "../../common/decode.js";

export interface CheckedRow extends Rec {
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
export const checkForecast = (kept: Rec, seen: readonly Rec[]): readonly CheckedRow[] => {
  const before = new Map<string, ReadonlySet<string>>();
  list(kept, "subsets", (value) => {
    const row = asRec(value);
    before.set(
      `${text(row, "node")}\n${text(row, "service")}`,
      new Set(list(row, "subset", textOf)),
    );
  });
  const heard = new Map(
    seen.filter((row) => row["heard"] === true).map((row) => [text(row, "node"), row]),
  );
  return list(kept, "nodes", (value) => {
    const row = asRec(value);
    const [node, service, kind] = [text(row, "node"), text(row, "service"), text(row, "kind")];
    const of = list(heard.get(node) ?? {}, "services", asRec).find(
      (one) => one["service"] === service,
    );
    const calls = list(of ?? {}, "calls", (call): SeenCall => {
      const rec = asRec(call);
      return { kind: text(rec, "kind"), worker: text(rec, "worker"), count: whole(rec, "count") };
    }).filter((call) => call.kind === kind);
    const total = calls.reduce((sum, { count }) => sum + count, 0);
    const leavers = new Set(list(row, "leavers", textOf));
    const was = before.get(`${node}\n${service}`) ?? new Set<string>();
    const part = (fits: (worker: string) => boolean) =>
      total === 0
        ? 0
        : calls.filter(({ worker }) => fits(worker)).reduce((sum, { count }) => sum + count, 0) /
          total;
    const [forecastJoin, low, high] = [
      whole(row, "join"),
      whole(row, "joinLow"),
      whole(row, "joinHigh"),
    ];
    const seenJoin = part((worker) => !was.has(worker));
    const verdict =
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
      verdict,
    };
  });
};

/** A kept forecast as it stands in a file, or a sentence on what is wrong with it. */
export const readKept = (value: unknown): Rec | string => {
  if (!isRec(value) || !Array.isArray(value["nodes"]) || !Array.isArray(value["subsets"]))
    return "the file holds no kept forecast";
  try {
    list(value, "nodes", (row) =>
      [
        text(asRec(row), "node"),
        whole(asRec(row), "join"),
        whole(asRec(row), "joinLow"),
        whole(asRec(row), "joinHigh"),
      ].map(String),
    );
    list(value, "subsets", (row) => list(asRec(row), "subset", textOf));
    return value;
  } catch (mishap) {
    return mishap instanceof Error ? mishap.message : "unreadable";
  }
};

export const countsOf = (rows: readonly CheckedRow[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  rows.forEach(({ verdict }) => (counts[verdict] = numberOf(counts[verdict] ?? 0) + 1));
  return counts;
};
