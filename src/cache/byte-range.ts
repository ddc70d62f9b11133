import parseRange from "range-parser";

export type ByteRange =
  | { readonly kind: "whole" }
  | { readonly kind: "part"; readonly from: number; readonly to: number }
  | { readonly kind: "past" };

/** What of a body is wanted: only a single range that gives its first byte is cut, as workers do. */
export const resolveRange = (range: string | undefined, size: number): ByteRange => {
  if (range === undefined || !/^bytes=\d+-\d*$/.test(range.trim())) return { kind: "whole" };
  const parsed = parseRange(size, range.trim());
  if (parsed === -1) return { kind: "past" };
  const first = parsed === -2 ? undefined : parsed[0];
  return first === undefined
    ? { kind: "whole" }
    : { kind: "part", from: first.start, to: first.end };
};
