/** Formatting of tables for the terminal. */
import type { UnknownRecord } from "../../common/decode.js";
import { formatValue } from "./json-values.js";

/**
 * Formats rows below a header, with every column that any row has, in the order of first
 * appearance. Without rows the result is `none`.
 */
export const formatTable = (rows: readonly UnknownRecord[]): string => {
  if (rows.length === 0) return "none";
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => formatValue(row[column]).length)),
  );
  const formatLine = (values: readonly string[]) =>
    values
      .map((value, index) => value.padEnd(widths[index] ?? 0))
      .join("  ")
      .trimEnd();
  const lines = rows.map((row) => formatLine(columns.map((column) => formatValue(row[column]))));
  return [formatLine(columns), ...lines].join("\n");
};
