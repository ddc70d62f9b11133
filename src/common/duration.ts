import { err, ok, type Result } from "true-myth/result";

/** Spans of time are whole microseconds everywhere inside; on the wire and in settings they are text. */
export const MS = 1_000;
export const SECOND = 1_000_000;

export type SpanMishap = { readonly kind: "not-a-span"; readonly text: string };

const SPAN = /^(\d+(?:\.\d+)?)(us|ms|s)$/;
const UNIT_US: Readonly<Record<string, number>> = { us: 1, ms: MS, s: SECOND };

export const parseSpan = (text: unknown): Result<number, SpanMishap> => {
  const found = typeof text === "string" ? SPAN.exec(text) : null;
  const unitUs = UNIT_US[found?.[2] ?? ""];
  return found && unitUs
    ? ok(Math.round(Number(found[1]) * unitUs))
    : err({ kind: "not-a-span", text: String(text) });
};
