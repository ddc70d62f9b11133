/**
 * What the health subsystem decides for the data plane. `decisions-codec.ts` has its stored and
 * sent form.
 */
import type { UnknownRecord } from "../common/decode.js";

/** A worker that gets no requests for a while, with what led to it. */
export interface Ejection {
  readonly worker: string;
  /** One sentence for the operator. */
  readonly reason: string;
  /** The figures behind the reason, as they were at the decision. */
  readonly evidence: UnknownRecord;
}

/** What began a zonal shift. The texts are part of the stored form. */
export type ShiftCause = "outlier" | "practice" | "by hand" | "window";

/** Traffic that goes to other zones than `zone`. */
export interface ZonalShift {
  readonly zone: string;
  readonly cause: ShiftCause;
  /** One sentence for the operator. */
  readonly reason: string;
  /** The share of safe requests that goes elsewhere, 0 to 1; all of them where it is left out. */
  readonly safeShare?: number;
  /** The same for unsafe requests. */
  readonly unsafeShare?: number;
}

/** What the data plane follows. Invariant: at most one zone is shifted away from at a time. */
export interface HealthDecisions {
  /**
   * How many ejections were ever decided; it tells a new leader whether the removal token may be
   * spent.
   */
  readonly removals: number;
  readonly ejections: readonly Ejection[];
  readonly shift: ZonalShift | undefined;
}

/** Before the first decision. */
export const NO_DECISIONS: HealthDecisions = { removals: 0, ejections: [], shift: undefined };
