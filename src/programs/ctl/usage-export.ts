import { writeFile } from "node:fs/promises";
import { stringify } from "csv-stringify/sync";
import { parquetWriteBuffer } from "hyparquet-writer";
import { asRecord, readString, readNumber } from "../../common/decode.js";

/** One row for each node, route, kind, cell and outcome. Invariant: `count` is cumulative for the node's present life. */
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

export const usageAsCsv = (rows: readonly UsageRow[]): string =>
  stringify([...rows], { header: true, columns: USAGE_SCHEMA.map(({ name }) => name) });

export const usageAsParquet = (rows: readonly UsageRow[]): Uint8Array => {
  const columnData = USAGE_SCHEMA.map(({ name, type }) => ({
    name,
    type,
    data: rows.map((row) => (name === "count" ? BigInt(row.count) : row[name])),
  }));
  return new Uint8Array(parquetWriteBuffer({ columnData }));
};

/** The ending of the file's name says the form; false for any other. */
export const writeUsage = async (path: string, rows: readonly UsageRow[]): Promise<boolean> => {
  if (path.endsWith(".csv")) await writeFile(path, usageAsCsv(rows));
  else if (path.endsWith(".parquet")) await writeFile(path, usageAsParquet(rows));
  else return false;
  return true;
};
