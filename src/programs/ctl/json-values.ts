/**
 * Lenient reading of the controllers' JSON responses: a value of an unexpected type is left out and
 * is never an error.
 */
import { isRecord, type UnknownRecord } from "../../common/decode.js";

/**
 * Formats a value as a table cell: strings unchanged, `undefined` as an empty cell, the rest as
 * JSON.
 */
export const formatValue = (value: unknown): string => {
  if (typeof value === "string") return value;
  return value === undefined ? "" : JSON.stringify(value);
};

/**
 * The objects of a list as rows; a single object becomes one row (`what`, `is`) for each of its
 * fields.
 */
export const toRows = (value: unknown): readonly UnknownRecord[] => {
  if (Array.isArray(value)) return value.filter(isRecord);
  return isRecord(value) ? Object.entries(value).map(([what, is]) => ({ what, is })) : [];
};

/** The elements of a list as strings, formatted like table cells. */
export const formatValues = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.map(formatValue) : [];

/** The rows of the list in the field `inner` of the object in the field `outer` of a response. */
export const nestedRows = (
  answer: UnknownRecord,
  outer: string,
  inner: string,
): readonly UnknownRecord[] => {
  const object = answer[outer];
  return isRecord(object) ? toRows(object[inner]) : [];
};
