/**
 * Codec of the nodes' count reports: `faults`, `rollout` and `usage`. A node sends them without its
 * name; the session adds it.
 */
import { asList, asNumber, asString, readList, readString } from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** Field names. They must not change: nodes of other versions use them. */
const INCARNATION = "life";
const FAULTS = "workers";
const ROWS = "rows";

/** The reporting node. Counts never decrease within an incarnation. */
interface ReportSource {
  readonly node: string;
  readonly incarnation: string;
}

/** Cumulative faults of the workers whose count has changed. */
export interface FaultReport extends ReportSource {
  readonly faults: readonly (readonly [worker: string, faults: number])[];
}

/** A report of rows, whose columns depend on the kind of message. */
export interface RowsReport<Row> extends ReportSource {
  readonly rows: readonly Row[];
}

const readSource = (message: Message): ReportSource => ({
  node: readString(message, "node"),
  incarnation: readString(message, INCARNATION),
});

/**
 * Parses a fault report.
 *
 * @throws if the message is malformed
 */
export const readFaultReport = (message: Message): FaultReport => ({
  ...readSource(message),
  faults: asList(message[FAULTS], FAULTS).map((value) => {
    const [worker, faults] = asList(value, "row");
    return [asString(worker), asNumber(faults)];
  }),
});

/** Builds a node's `faults` message; see {@link FaultReport}. */
export const packFaultReport = (
  incarnation: string,
  faults: readonly (readonly [worker: string, faults: number])[],
): Message => ({ kind: "faults", [INCARNATION]: incarnation, [FAULTS]: faults });

/**
 * Parses a report of rows.
 *
 * @throws if the message or one of its rows is malformed
 */
export const readRowsReport = <Row>(
  message: Message,
  readRow: (value: unknown) => Row,
): RowsReport<Row> => ({ ...readSource(message), rows: readList(message, ROWS, readRow) });

/** Builds a node's `rollout` or `usage` message; see {@link RowsReport}. */
export const packRowsReport = (
  kind: "rollout" | "usage",
  incarnation: string,
  rows: readonly (readonly (string | number)[])[],
): Message => ({ kind, [INCARNATION]: incarnation, [ROWS]: rows });
