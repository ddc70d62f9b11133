/** What the checks of a soak run share. */
import { BOUNDS } from "./bounds.js";
import type { FaultRecord, History } from "./history.js";

/** Result of one {@link Check}. */
export interface CheckResult {
  readonly violations: readonly string[];
  /** Number of observations that were evaluated. */
  readonly judged: number;
  /** Number of observations left out because the host machine was delayed at that time. */
  readonly skipped: number;
}

/** Evaluates one invariant over a recorded history. */
export type Check = (history: History) => CheckResult;

/** Formats a time in microseconds as seconds. */
export const formatSeconds = (us: number): string => `${(us / 1_000_000).toFixed(3)} s`;

/** Judges each item; `findProblem` describes a violation, if there is one. */
export const checkEach = <T>(
  items: readonly T[],
  findProblem: (item: T) => string | undefined,
): CheckResult => ({
  violations: items.flatMap((item) => findProblem(item) ?? []),
  judged: items.length,
  skipped: 0,
});

/** Whether a span shares a moment with a period. */
export const overlaps = (
  span: { readonly fromUs: number; readonly toUs: number },
  fromUs: number,
  toUs: number,
): boolean => span.fromUs <= toUs && span.toUs >= fromUs;

/**
 * Whether the gateway is expected to have been in contact with the controllers during the request:
 * no fault affected it or any controller from `contactUs` before the request until its end.
 */
export const hadControllerContact = (
  faults: readonly FaultRecord[],
  gateway: string,
  { sentUs, endedUs }: { readonly sentUs: number; readonly endedUs: number },
): boolean =>
  !faults.some(
    (fault) =>
      (fault.process === gateway || fault.process.startsWith("controller")) &&
      overlaps(fault, sentUs - BOUNDS.contactUs, endedUs),
  );
