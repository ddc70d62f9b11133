/** Codec of maintenance windows, as stored in the register `duty/windows`. */
import {
  asRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import {
  WINDOW_STAGES,
  type MaintenanceWindow,
  type WindowStage,
  type WindowState,
} from "./maintenance-window.js";

/** Field names. They must not change: stored data and controllers of other versions use them. */
const WINDOWS = "windows";
const ZONE = "cell";
const DURATION_US = "lastsUs";
const SAFE_SHARE = "safe";
const UNSAFE_SHARE = "unsafe";

const isStage = (value: string): value is WindowStage =>
  WINDOW_STAGES.some((stage) => stage === value);

const readWindow = (value: unknown): MaintenanceWindow => {
  const record = asRecord(value);
  const stage = readString(record, "stage");
  return {
    id: readString(record, "id"),
    zone: readString(record, ZONE),
    stage: isStage(stage) ? stage : "ended",
    remainingUs: readNumber(record, "remainingUs"),
    durationUs: readNumber(record, DURATION_US),
    safeShare: readNumber(record, SAFE_SHARE),
    unsafeShare: readNumber(record, UNSAFE_SHARE),
    note: readString(record, "note"),
  };
};

const packWindow = (window: MaintenanceWindow): UnknownRecord => ({
  id: window.id,
  [ZONE]: window.zone,
  stage: window.stage,
  remainingUs: window.remainingUs,
  [DURATION_US]: window.durationUs,
  [SAFE_SHARE]: window.safeShare,
  [UNSAFE_SHARE]: window.unsafeShare,
  note: window.note,
});

/**
 * Parses the stored windows.
 *
 * @throws if the value is malformed
 */
export const readWindows = (value: unknown): WindowState =>
  readList(asRecord(value, WINDOWS), WINDOWS, readWindow);

/** Inverse of {@link readWindows}. */
export const packWindows = (windows: WindowState): UnknownRecord => ({
  [WINDOWS]: windows.map(packWindow),
});
