/** Codec of health decisions, as stored in the register `duty/ejections` and sent in updates. */
import { asRecord, readList, readString, type UnknownRecord } from "../common/decode.js";
import type { HealthDecisions, ShiftCause, ZonalShift } from "./health-decisions.js";

/** Field names. They must not change: stored data and nodes of other versions use them. */
const ZONE = "cell";
const CAUSE = "why";
const SAFE_SHARE = "safe";
const UNSAFE_SHARE = "unsafe";

const readCause = (value: unknown): ShiftCause =>
  value === "practice" || value === "by hand" || value === "window" ? value : "outlier";

const readShift = (value: unknown): ZonalShift | undefined => {
  if (value === undefined || value === null) return undefined;
  const record = asRecord(value, "shift");
  const { [SAFE_SHARE]: safeShare, [UNSAFE_SHARE]: unsafeShare } = record;
  return {
    zone: readString(record, ZONE),
    cause: readCause(record[CAUSE]),
    reason: readString(record, "reason"),
    ...(typeof safeShare === "number" ? { safeShare } : {}),
    ...(typeof unsafeShare === "number" ? { unsafeShare } : {}),
  };
};

const packShift = (shift: ZonalShift): UnknownRecord => ({
  [ZONE]: shift.zone,
  [CAUSE]: shift.cause,
  reason: shift.reason,
  ...(shift.safeShare === undefined ? {} : { [SAFE_SHARE]: shift.safeShare }),
  ...(shift.unsafeShare === undefined ? {} : { [UNSAFE_SHARE]: shift.unsafeShare }),
});

/**
 * Parses stored or received decisions.
 *
 * @throws if the value is malformed
 */
export const readHealthDecisions = (value: unknown): HealthDecisions => {
  const record = asRecord(value, "decisions");
  const ejections = readList(record, "ejections", asRecord).map((row) => ({
    worker: readString(row, "worker"),
    reason: readString(row, "reason"),
    evidence: asRecord(row["evidence"], "evidence"),
  }));
  return {
    removals: Number(record["removals"] ?? 0),
    ejections,
    shift: readShift(record["shift"]),
  };
};

/** Inverse of {@link readHealthDecisions}. */
export const packHealthDecisions = (decisions: HealthDecisions): UnknownRecord => ({
  removals: decisions.removals,
  ejections: decisions.ejections.map(({ worker, reason, evidence }) => ({
    worker,
    reason,
    evidence,
  })),
  shift: decisions.shift && packShift(decisions.shift),
});
