import { err, ok, type Result } from "true-myth/result";

/**
 * A millisecond in microseconds. Durations are whole microseconds internally; on the wire and in
 * settings they are text such as `1500ms`.
 */
export const MILLISECOND_US = 1_000;
/** A second in microseconds. */
export const SECOND_US = 1_000_000;

/** Error for a text that is not a valid duration; `text` is the input. */
export interface DurationError {
  readonly kind: "not-a-span";
  readonly text: string;
}

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(us|ms|s)$/;
const UNIT_US: Readonly<Record<string, number>> = { us: 1, ms: MILLISECOND_US, s: SECOND_US };

/** Parses a duration such as `1500ms`, `20us` or `1.5s` into whole microseconds. */
export const parseDuration = (text: unknown): Result<number, DurationError> => {
  const found = typeof text === "string" ? DURATION_PATTERN.exec(text) : null;
  const unitUs = UNIT_US[found?.[2] ?? ""];
  return found && unitUs
    ? ok(Math.round(Number(found[1]) * unitUs))
    : err({ kind: "not-a-span", text: String(text) });
};
