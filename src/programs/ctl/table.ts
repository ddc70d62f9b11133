/** Tables on the terminal. */
import type { UnknownRecord } from "../../common/decode.js";
import { textOf } from "./json-values.js";

/**
 * Rows below a heading, with every column that any of them has, in the order of first appearance;
 * `none` without rows.
 */
export const formatTable = (rows: readonly UnknownRecord[]): string => {
  if (rows.length === 0) return "none";
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => textOf(row[column]).length)),
  );
  const formatLine = (values: readonly string[]) =>
    values
      .map((value, at) => value.padEnd(widths[at] ?? 0))
      .join("  ")
      .trimEnd();
  const lines = rows.map((row) => formatLine(columns.map((column) => textOf(row[column]))));
  return [formatLine(columns), ...lines].join("\n");
};
