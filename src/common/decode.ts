/**
 * Reads untyped data without casts. Each reader returns the value or throws a DecodeError that
 * names the field.
 */
export class DecodeError extends Error {
  constructor(
    readonly field: string,
    expected: string,
  ) {
    super(`${field} must be ${expected}`);
  }
}

/** A decoded object whose fields have not been checked yet. */
export type UnknownRecord = Readonly<Record<string, unknown>>;

/** Whether the value is an object with named fields: neither null nor an array. */
export const isRecord = (value: unknown): value is UnknownRecord =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** Returns the value as a record; throws a DecodeError that names `field` if it is not one. */
export const asRecord = (value: unknown, field = "value"): UnknownRecord => {
  if (!isRecord(value)) throw new DecodeError(field, "a table");
  return value;
};

/** Returns the value as an array; throws a DecodeError that names `field` if it is not one. */
export const asList = (value: unknown, field = "value"): readonly unknown[] => {
  if (!Array.isArray(value)) throw new DecodeError(field, "a list");
  return value;
};

/** Reads a string field; throws a DecodeError if it is anything else. */
export const readString = (record: UnknownRecord, field: string): string => {
  const value = record[field];
  if (typeof value !== "string") throw new DecodeError(field, "text");
  return value;
};

/** Reads a finite number field; throws a DecodeError if it is anything else. */
export const readNumber = (record: UnknownRecord, field: string): number => {
  const value = record[field];
  if (typeof value !== "number" || !Number.isFinite(value))
    throw new DecodeError(field, "a number");
  return value;
};

/** Reads a boolean field; anything but `true`, including a missing field, is false. */
export const readBoolean = (record: UnknownRecord, field: string): boolean =>
  record[field] === true;

/**
 * Reads a list field and decodes each element with `read`; empty if the field is missing. Throws a
 * DecodeError if it is not a list.
 */
export const readList = <T>(
  record: UnknownRecord,
  field: string,
  read: (value: unknown) => T,
): readonly T[] => {
  const value = record[field];
  return value === undefined ? [] : asList(value, field).map(read);
};

/** Decodes a list element as a string; throws a DecodeError if it is anything else. */
export const asString = (value: unknown): string => {
  if (typeof value !== "string") throw new DecodeError("entry", "text");
  return value;
};

/** Decodes a list element as a number; throws a DecodeError if it is anything else. */
export const asNumber = (value: unknown): number => {
  if (typeof value !== "number") throw new DecodeError("entry", "a number");
  return value;
};

/** Parses JSON as `unknown`; throws a SyntaxError on malformed text. */
export const parseJson = (body: string): unknown => {
  const value: unknown = JSON.parse(body);
  return value;
};
