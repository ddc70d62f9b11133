/**
 * The messages in which nodes report what they counted: `faults`, `rollout` and `usage`. A node
 * sends them without its name, which its session adds.
 */
import { asList, asNumber, asString, readList, readString } from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** Names of the fields. Nodes of other versions have them: they never change. */
const INCARNATION = "life";
const FAULTS = "workers";
const ROWS = "rows";

/** Who reports; counts only rise within an incarnation. */
interface ReportSource {
  readonly node: string;
  readonly incarnation: string;
}

/** The faults of workers: cumulative, and only of those whose count has changed. */
export interface FaultReport extends ReportSource {
  readonly faults: readonly (readonly [worker: string, faults: number])[];
}

/** Rows whose columns the receiver knows. */
export interface RowsReport<Row> extends ReportSource {
  readonly rows: readonly Row[];
}

const readSource = (message: Message): ReportSource => ({
  node: readString(message, "node"),
  incarnation: readString(message, INCARNATION),
});

/** @throws if the message has another form */
export const readFaultReport = (message: Message): FaultReport => ({
  ...readSource(message),
  faults: asList(message[FAULTS], FAULTS).map((value) => {
    const [worker, faults] = asList(value, "row");
    return [asString(worker), asNumber(faults)];
  }),
});

/** The message of one node; see `FaultReport`. */
export const packFaultReport = (
  incarnation: string,
  faults: readonly (readonly [worker: string, faults: number])[],
): Message => ({ kind: "faults", [INCARNATION]: incarnation, [FAULTS]: faults });

/** @throws if the message or one of its rows has another form */
export const readRowsReport = <Row>(
  message: Message,
  readRow: (value: unknown) => Row,
): RowsReport<Row> => ({ ...readSource(message), rows: readList(message, ROWS, readRow) });

/** The message of one node. */
export const packRowsReport = (
  kind: "rollout" | "usage",
  incarnation: string,
  rows: readonly (readonly (string | number)[])[],
): Message => ({ kind, [INCARNATION]: incarnation, [ROWS]: rows });
