/** Aggregates the nodes' `usage` reports into increases between two evaluations of the leader. */
import type { Clock } from "../common/clock.js";
import { asList, asNumber, asString } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { readRowsReport } from "./reports-codec.js";

/**
 * Arrived, rejected and completed requests, and the total duration of the completed ones in
 * microseconds, in this order.
 */
export type LoadTotals = readonly number[];

/** Load totals of an idle service. */
export const NO_LOAD: LoadTotals = [0, 0, 0, 0];

/** Adds two sets of totals element by element. */
export const addLoad = (one: LoadTotals, other: LoadTotals): LoadTotals =>
  one.map((value, index) => value + (other[index] ?? 0));

/** Key of the load of a service in one zone of its workers or, without a zone, as a whole. */
export const loadKey = (service: string, zone = ""): string => `${service}|${zone}`;

interface NodeLoad {
  readonly incarnation: string;
  lastReportUs: number;
  readonly rows: Map<string, LoadTotals>;
}

/** A node whose last report is older than this does not count as reporting. */
const REPORT_TIMEOUT_US = 6 * SECOND_US;

const readRow = (value: unknown): { readonly key: string; readonly totals: LoadTotals } => {
  const [service, zone, ...totals] = asList(value, "row");
  return { key: loadKey(asString(service), asString(zone)), totals: totals.map(asNumber) };
};

/** Invariant: a duplicate, late or out-of-order report adds nothing. */
export class LoadWindow {
  private readonly reported = new Map<string, NodeLoad>();
  private increases = new Map<string, LoadTotals>();

  constructor(private readonly clock: Clock) {}

  /**
   * Adds a report.
   *
   * @throws if the report is malformed, in which case none of it counts
   */
  readonly receive = (message: Message): void => {
    const { node, incarnation, rows } = readRowsReport(message, readRow);
    const before = this.reported.get(node);
    const isFirstReport = before === undefined;
    const load: NodeLoad =
      before?.incarnation === incarnation
        ? before
        : { incarnation, lastReportUs: 0, rows: new Map() };
    load.lastReportUs = this.clock.nowUs();
    this.reported.set(node, load);
    rows.forEach(({ key, totals }) => {
      const last = load.rows.get(key);
      // The counts in a node's first report include load from before this leader's term, so the
      // report only sets the starting point.
      if (last || !isFirstReport)
        this.add(
          key,
          totals.map((total, index) => Math.max(0, total - (last?.[index] ?? 0))),
        );
      load.rows.set(
        key,
        totals.map((total, index) => Math.max(total, last?.[index] ?? 0)),
      );
    });
  };

  /** The increases since the last call, by `loadKey`. */
  readonly takeIncreases = (): ReadonlyMap<string, LoadTotals> => {
    const { increases } = this;
    this.increases = new Map();
    return increases;
  };

  /** The number of nodes that have reported recently. */
  readonly reportingNodes = (): number => {
    const nowUs = this.clock.nowUs();
    return [...this.reported.values()].filter(
      ({ lastReportUs }) => nowUs - lastReportUs <= REPORT_TIMEOUT_US,
    ).length;
  };

  /** Drops all reports. */
  readonly clear = (): void => {
    this.reported.clear();
    this.increases = new Map();
  };

  private readonly add = (key: string, totals: LoadTotals): void => {
    this.increases.set(key, addLoad(this.increases.get(key) ?? NO_LOAD, totals));
  };
}
