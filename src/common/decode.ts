/** Reading of untyped data without casts: each reader gives the value or throws a ShapeMishap naming the field. */
export class DecodeError extends Error {
  constructor(
    readonly field: string,
    wanted: string,
  ) {
    super(`${field} must be ${wanted}`);
  }
}

export type UnknownRecord = Readonly<Record<string, unknown>>;

export const isRecord = (value: unknown): value is UnknownRecord =>
  typeof value === "object" && value !== null && !Array.isArray(value);

export const asRecord = (value: unknown, field = "value"): UnknownRecord => {
  if (!isRecord(value)) throw new DecodeError(field, "a table");
  return value;
};

export const asList = (value: unknown, field = "value"): readonly unknown[] => {
  if (!Array.isArray(value)) throw new DecodeError(field, "a list");
  return value;
};

export const readString = (record: UnknownRecord, field: string): string => {
  const value = record[field];
  if (typeof value !== "string") throw new DecodeError(field, "text");
  return value;
};

export const readNumber = (record: UnknownRecord, field: string): number => {
  const value = record[field];
  if (typeof value !== "number" || !Number.isFinite(value))
    throw new DecodeError(field, "a number");
  return value;
};

export const readFlag = (record: UnknownRecord, field: string): boolean => record[field] === true;

export const readList = <T>(
  record: UnknownRecord,
  field: string,
  read: (value: unknown) => T,
): readonly T[] => {
  const value = record[field];
  return value === undefined ? [] : asList(value, field).map(read);
};

export const asString = (value: unknown): string => {
  if (typeof value !== "string") throw new DecodeError("entry", "text");
  return value;
};

export const asNumber = (value: unknown): number => {
  if (typeof value !== "number") throw new DecodeError("entry", "a number");
  return value;
};

export const parseJson = (body: string): unknown => {
  const value: unknown = JSON.parse(body);
  return value;
};
