/**
 * Reading of untyped data without casts: each reader gives the value or throws a DecodeError naming
 * the field.
 */
export class DecodeError extends Error {
  constructor(
    readonly field: string,
    wanted: string,
  ) {
    super(`${field} must be ${wanted}`);
  }
}

/** A decoded object whose fields have not been checked yet. */
export type UnknownRecord = Readonly<Record<string, unknown>>;

/** Whether the value is an object with named fields: neither null nor an array. */
export const isRecord = (value: unknown): value is UnknownRecord =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** The value as a record; throws a DecodeError that names `field` if it is none. */
export const asRecord = (value: unknown, field = "value"): UnknownRecord => {
  if (!isRecord(value)) throw new DecodeError(field, "a table");
  return value;
};

/** The value as an array; throws a DecodeError that names `field` if it is none. */
export const asList = (value: unknown, field = "value"): readonly unknown[] => {
  if (!Array.isArray(value)) throw new DecodeError(field, "a list");
  return value;
};

/** A field that must be a string; throws a DecodeError otherwise. */
export const readString = (record: UnknownRecord, field: string): string => {
  const value = record[field];
  if (typeof value !== "string") throw new DecodeError(field, "text");
  return value;
};

/** A field that must be a finite number; throws a DecodeError otherwise. */
export const readNumber = (record: UnknownRecord, field: string): number => {
  const value = record[field];
  if (typeof value !== "number" || !Number.isFinite(value))
    throw new DecodeError(field, "a number");
  return value;
};

/** A boolean field; anything but `true`, a missing field included, is false. */
export const readFlag = (record: UnknownRecord, field: string): boolean => record[field] === true;

/**
 * A field that is a list, each entry read by `read`; empty if the field is missing. Throws a
 * DecodeError if it is something else.
 */
export const readList = <T>(
  record: UnknownRecord,
  field: string,
  read: (value: unknown) => T,
): readonly T[] => {
  const value = record[field];
  return value === undefined ? [] : asList(value, field).map(read);
};

/** The value as a string, for entries of a list; throws a DecodeError otherwise. */
export const asString = (value: unknown): string => {
  if (typeof value !== "string") throw new DecodeError("entry", "text");
  return value;
};

/** The value as a number, for entries of a list; throws a DecodeError otherwise. */
export const asNumber = (value: unknown): number => {
  if (typeof value !== "number") throw new DecodeError("entry", "a number");
  return value;
};

/** Parses JSON without giving it a type; throws a SyntaxError on malformed text. */
export const parseJson = (body: string): unknown => {
  const value: unknown = JSON.parse(body);
  return value;
};
