/** File formats of `ctl usage`: CSV and Parquet. */
import { writeFile } from "node:fs/promises";
import { stringify } from "csv-stringify/sync";
import { parquetWriteBuffer } from "hyparquet-writer";
import { asRecord, readString, readNumber } from "../../common/decode.js";

/**
 * One row for each node, route, kind, zone and outcome. The zone is named `cell` in the file and in
 * the gateway's response. Invariant: `count` is cumulative for the node's current incarnation.
 */
export interface UsageRow {
  readonly node: string;
  readonly route: string;
  readonly kind: string;
  readonly cell: string;
  readonly outcome: string;
  readonly count: number;
}

/** The schema of the export, in the order of its columns. */
export const USAGE_SCHEMA = [
  { name: "node", type: "STRING" },
  { name: "route", type: "STRING" },
  { name: "kind", type: "STRING" },
  { name: "cell", type: "STRING" },
  { name: "outcome", type: "STRING" },
  { name: "count", type: "INT64" },
] as const;

/**
 * Reads one row of a gateway's `/tell/counts`.
 *
 * @param node - the gateway's address
 * @throws if a field is missing or of another type
 */
export const readUsageRow = (node: string, value: unknown): UsageRow => {
  const record = asRecord(value, "row");
  return {
    node,
    route: readString(record, "route"),
    kind: readString(record, "kind"),
    cell: readString(record, "cell"),
    outcome: readString(record, "outcome"),
    count: readNumber(record, "count"),
  };
};

/** Encodes rows as CSV with a header. */
export const usageAsCsv = (rows: readonly UsageRow[]): string =>
  stringify([...rows], { header: true, columns: USAGE_SCHEMA.map(({ name }) => name) });

/** Encodes rows as a Parquet file with the columns of `USAGE_SCHEMA`. */
export const usageAsParquet = (rows: readonly UsageRow[]): Uint8Array => {
  const columnData = USAGE_SCHEMA.map(({ name, type }) => ({
    name,
    type,
    data: rows.map((row) => (name === "count" ? BigInt(row.count) : row[name])),
  }));
  return new Uint8Array(parquetWriteBuffer({ columnData }));
};

/**
 * Writes a file in the format of its extension. Returns false and writes nothing if the extension
 * is neither .csv nor .parquet.
 */
export const writeUsage = async (path: string, rows: readonly UsageRow[]): Promise<boolean> => {
  if (path.endsWith(".csv")) await writeFile(path, usageAsCsv(rows));
  else if (path.endsWith(".parquet")) await writeFile(path, usageAsParquet(rows));
  else return false;
  return true;
};
