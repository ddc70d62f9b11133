/**
 * Decisions of the health subsystem that the data plane follows. `decisions-codec.ts` defines their
 * stored and sent form.
 */
import type { UnknownRecord } from "../common/decode.js";

/** A worker that is temporarily excluded from load balancing, with the reason. */
export interface Ejection {
  readonly worker: string;
  /** One sentence for the operator. */
  readonly reason: string;
  /** The figures that the decision was based on. */
  readonly evidence: UnknownRecord;
}

/** What triggered a zonal shift. The values are part of the stored form. */
export type ShiftCause = "outlier" | "practice" | "by hand" | "window";

/** Traffic shifted away from `zone` to the other zones. */
export interface ZonalShift {
  readonly zone: string;
  readonly cause: ShiftCause;
  /** One sentence for the operator. */
  readonly reason: string;
  /** The share of safe requests that is shifted, 0 to 1; all of them if omitted. */
  readonly safeShare?: number;
  /** The share of unsafe requests that is shifted, 0 to 1; all of them if omitted. */
  readonly unsafeShare?: number;
}

/** The decisions in effect. Invariant: traffic is shifted away from at most one zone at a time. */
export interface HealthDecisions {
  /**
   * Total ejections ever decided. If it is above 0, a new leader must assume that the removal token
   * is spent.
   */
  readonly removals: number;
  readonly ejections: readonly Ejection[];
  readonly shift: ZonalShift | undefined;
}

/** The state before the first decision. */
export const NO_DECISIONS: HealthDecisions = { removals: 0, ejections: [], shift: undefined };
