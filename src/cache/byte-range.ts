/** Resolution of the `Range` header (RFC 9110, section 14) against the size of an object. */
import parseRange from "range-parser";

/**
 * The full body, the bytes `from` to `to` inclusive, or a range that starts beyond the end of the
 * body.
 */
export type RangeResult =
  | { readonly kind: "full" }
  | { readonly kind: "partial"; readonly from: number; readonly to: number }
  | { readonly kind: "unsatisfiable" };

/**
 * Resolves a range. As on workers, only a single range with an explicit first byte is honored; any
 * other yields the full body, which RFC 9110 allows.
 *
 * @param range - the value of a `Range` header
 * @param size - the size of the body in bytes
 */
export const resolveRange = (range: string | undefined, size: number): RangeResult => {
  if (range === undefined || !/^bytes=\d+-\d*$/.test(range.trim())) return { kind: "full" };
  const parsed = parseRange(size, range.trim());
  if (parsed === -1) return { kind: "unsatisfiable" };
  const first = parsed === -2 ? undefined : parsed[0];
  return first === undefined
    ? { kind: "full" }
    : { kind: "partial", from: first.start, to: first.end };
};
