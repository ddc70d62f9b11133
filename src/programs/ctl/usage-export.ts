/** The file formats of `ctl usage`: CSV and Parquet. */
import { writeFile } from "node:fs/promises";
import { stringify } from "csv-stringify/sync";
import { parquetWriteBuffer } from "hyparquet-writer";
import { asRecord, readString, readNumber } from "../../common/decode.js";

/**
 * One row for each node, route, kind, zone and outcome; `cell` is the column's and the answer's
 * name of the zone. Invariant: `count` is cumulative for the node's present incarnation.
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

/** CSV with a heading. */
export const usageAsCsv = (rows: readonly UsageRow[]): string =>
  stringify([...rows], { header: true, columns: USAGE_SCHEMA.map(({ name }) => name) });

/** A Parquet file with the columns of `USAGE_SCHEMA`. */
export const usageAsParquet = (rows: readonly UsageRow[]): Uint8Array => {
  const columnData = USAGE_SCHEMA.map(({ name, type }) => ({
    name,
    type,
    data: rows.map((row) => (name === "count" ? BigInt(row.count) : row[name])),
  }));
  return new Uint8Array(parquetWriteBuffer({ columnData }));
};

/**
 * Writes the format that the file's extension names; false, and nothing written, for any other
 * extension.
 */
export const writeUsage = async (path: string, rows: readonly UsageRow[]): Promise<boolean> => {
  if (path.endsWith(".csv")) await writeFile(path, usageAsCsv(rows));
  else if (path.endsWith(".parquet")) await writeFile(path, usageAsParquet(rows));
  else return false;
  return true;
};
