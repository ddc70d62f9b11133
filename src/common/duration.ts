import { err, ok, type Result } from "true-myth/result";

/**
 * Spans of time are whole microseconds everywhere inside; on the wire and in settings they are
 * text.
 */
export const MILLISECOND_US = 1_000;
/** A second in microseconds. */
export const SECOND_US = 1_000_000;

/** A text that is no duration, as it was given. */
export interface DurationError {
  readonly kind: "not-a-span";
  readonly text: string;
}

const DURATION = /^(\d+(?:\.\d+)?)(us|ms|s)$/;
const UNIT_US: Readonly<Record<string, number>> = { us: 1, ms: MILLISECOND_US, s: SECOND_US };

/** Reads a duration such as `1500ms`, `20us` or `1.5s`, in whole microseconds. */
export const parseDuration = (text: unknown): Result<number, DurationError> => {
  const found = typeof text === "string" ? DURATION.exec(text) : null;
  const unitUs = UNIT_US[found?.[2] ?? ""];
  return found && unitUs
    ? ok(Math.round(Number(found[1]) * unitUs))
    : err({ kind: "not-a-span", text: String(text) });
};
