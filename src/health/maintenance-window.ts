/** Planned maintenance window of a zone: stages, times and settings. */
import { SECOND_US } from "../common/duration.js";
import type { ZonalShift } from "./health-decisions.js";

/**
 * The stages in order. A cancelled window goes to `returning`, or directly to `ended` if no traffic
 * was shifted yet.
 */
export const WINDOW_STAGES = [
  "announced",
  "moving",
  "clear",
  "open",
  "returning",
  "ended",
] as const;
/** One of `WINDOW_STAGES`. */
export type WindowStage = (typeof WINDOW_STAGES)[number];

/**
 * A window in its stored form. Invariants: stages only advance; `remainingUs` is the time until the
 * window opens (announced, moving, clear) or closes (open), as of when this version was written.
 */
export interface MaintenanceWindow {
  readonly id: string;
  readonly zone: string;
  readonly stage: WindowStage;
  readonly remainingUs: number;
  readonly durationUs: number;
  /** The share of safe requests that is shifted to other zones, 0 to 1. */
  readonly safeShare: number;
  /** The share of unsafe requests that is shifted to other zones, 0 to 1. */
  readonly unsafeShare: number;
  /** Remark for the operator, such as `cancelled`. */
  readonly note: string;
}

/** All stored windows, oldest first. */
export type WindowState = readonly MaintenanceWindow[];

/** Timing and limits of maintenance windows. */
export interface WindowSettings {
  /** The number of steps in which safe requests are shifted away and returned. */
  readonly steps: number;
  readonly stepUs: number;
  /**
   * Safety margin on top of the longest deadline, so that the last unsafe request has completed. The
   * zone counts as clear after half of it.
   */
  readonly marginUs: number;
  readonly minDurationUs: number;
  readonly maxDurationUs: number;
  readonly maxOpensInUs: number;
  /**
   * How often the remaining time is stored. After a restart of all processes, this much is subtracted
   * from it.
   */
  readonly saveIntervalUs: number;
  /** The operator is warned if requests in flight exceed this share of the other zones' slots. */
  readonly maxUtilization: number;
}

/** Default settings, used by the controllers. */
export const WINDOW_SETTINGS: WindowSettings = {
  steps: 4,
  stepUs: 3 * SECOND_US,
  marginUs: 3 * SECOND_US,
  minDurationUs: 10 * SECOND_US,
  maxDurationUs: 24 * 3600 * SECOND_US,
  maxOpensInUs: 30 * 24 * 3600 * SECOND_US,
  saveIntervalUs: 30 * SECOND_US,
  maxUtilization: 0.8,
};

/** An operator's request for a window. */
export interface WindowRequest {
  readonly zone: string;
  readonly opensInUs: number;
  readonly durationUs: number;
}

const SHIFT_REASON = "A planned window.";

/** Whether the window is in a stage in which traffic of its zone is shifted. */
export const isTrafficShifted = ({ stage }: MaintenanceWindow): boolean =>
  stage !== "ended" && stage !== "announced";

/** The zonal shift that the window requires; undefined once it has ended. */
export const shiftFor = (window: MaintenanceWindow): ZonalShift | undefined =>
  window.stage === "ended"
    ? undefined
    : {
        zone: window.zone,
        cause: "window",
        reason: SHIFT_REASON,
        safeShare: window.safeShare,
        unsafeShare: window.unsafeShare,
      };

/**
 * The time before its opening at which a window starts to shift traffic.
 *
 * @param longestDeadlineUs - the longest deadline of any request
 */
export const leadTimeUs = (settings: WindowSettings, longestDeadlineUs: number): number =>
  settings.steps * settings.stepUs + longestDeadlineUs + settings.marginUs;

/** Whether an existing window and a requested one would shift traffic at the same time. */
export const overlaps = (
  window: MaintenanceWindow,
  request: WindowRequest,
  settings: WindowSettings,
  leadUs: number,
): boolean => {
  if (window.stage === "ended") return false;
  const returnUs = (settings.steps + 1) * settings.stepUs;
  const beginUs = (opensInUs: number) => opensInUs - leadUs;
  const endUs = (opensInUs: number, durationUs: number) => opensInUs + durationUs + returnUs;
  const opensInUs =
    window.stage === "open" ? window.remainingUs - window.durationUs : window.remainingUs;
  return (
    beginUs(request.opensInUs) < endUs(opensInUs, window.durationUs) &&
    beginUs(opensInUs) < endUs(request.opensInUs, request.durationUs)
  );
};
