/** Reading of untyped data without casts: each reader gives the value or throws a ShapeMishap naming the field. */
export class ShapeMishap extends Error {
  constructor(
    readonly field: string,
    wanted: string,
  ) {
    super(`${field} must be ${wanted}`);
  }
}

export type Rec = Readonly<Record<string, unknown>>;

export const isRec = (value: unknown): value is Rec =>
  typeof value === "object" && value !== null && !Array.isArray(value);

export const asRec = (value: unknown, field = "value"): Rec => {
  if (!isRec(value)) throw new ShapeMishap(field, "a table");
  return value;
};

export const asList = (value: unknown, field = "value"): readonly unknown[] => {
  if (!Array.isArray(value)) throw new ShapeMishap(field, "a list");
  return value;
};

export const text = (rec: Rec, field: string): string => {
  const value = rec[field];
  if (typeof value !== "string") throw new ShapeMishap(field, "text");
  return value;
};

export const whole = (rec: Rec, field: string): number => {
  const value = rec[field];
  if (typeof value !== "number" || !Number.isFinite(value))
    throw new ShapeMishap(field, "a number");
  return value;
};

export const flag = (rec: Rec, field: string): boolean => rec[field] === true;

export const list = <T>(rec: Rec, field: string, read: (value: unknown) => T): readonly T[] => {
  const value = rec[field];
  return value === undefined ? [] : asList(value, field).map(read);
};

export const textOf = (value: unknown): string => {
  if (typeof value !== "string") throw new ShapeMishap("entry", "text");
  return value;
};

export const numberOf = (value: unknown): number => {
  if (typeof value !== "number") throw new ShapeMishap("entry", "a number");
  return value;
};

export const parseJson = (body: string): unknown => {
  const value: unknown = JSON.parse(body);
  return value;
};
