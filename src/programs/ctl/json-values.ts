/**
 * Reading the controllers' JSON answers leniently: what has another form is left out, never an
 * error.
 */
import { isRecord, type UnknownRecord } from "../../common/decode.js";

/** A value as one cell of a table: text as it is, nothing for `undefined`, JSON for the rest. */
export const textOf = (value: unknown): string => {
  if (typeof value === "string") return value;
  return value === undefined ? "" : JSON.stringify(value);
};

/** The objects of a list; an object becomes one row (`what`, `is`) for each of its fields. */
export const rowsOf = (value: unknown): readonly UnknownRecord[] => {
  if (Array.isArray(value)) return value.filter(isRecord);
  return isRecord(value) ? Object.entries(value).map(([what, is]) => ({ what, is })) : [];
};

/** The elements of a list as texts. */
export const textsOf = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.map(textOf) : [];

/** The list `inner` of the object `outer`, both fields of an answer. */
export const nestedRows = (
  answer: UnknownRecord,
  outer: string,
  inner: string,
): readonly UnknownRecord[] => {
  const object = answer[outer];
  return isRecord(object) ? rowsOf(object[inner]) : [];
};
