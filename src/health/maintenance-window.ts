/** A planned maintenance window of a zone: its states, times and settings. */
import { SECOND_US } from "../common/duration.js";
import type { ZonalShift } from "./health-decisions.js";

/**
 * The stages in their order; a cancelled window goes to returning, or to ended before anything
 * moved.
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
 * A window as it is stored. Invariants: stages only go forward, and `remainingUs` is the time left
 * until the window opens (announced, moving, clear) or closes (open), as of when this version was
 * written.
 */
export interface MaintenanceWindow {
  readonly id: string;
  readonly zone: string;
  readonly stage: WindowStage;
  readonly remainingUs: number;
  readonly durationUs: number;
  /** The share of safe requests that goes to other zones, 0 to 1. */
  readonly safeShare: number;
  /** The same for unsafe requests. */
  readonly unsafeShare: number;
  /** For the operator, such as `cancelled`. */
  readonly note: string;
}

/** All windows that are stored, oldest first. */
export type WindowState = readonly MaintenanceWindow[];

/** The times and limits of windows. */
export interface WindowSettings {
  /** Safe requests leave, and come back, in so many steps. */
  readonly steps: number;
  readonly stepUs: number;
  /**
   * How long the last unsafe request must be gone before the zone counts as clear, beyond the
   * longest deadline.
   */
  readonly marginUs: number;
  readonly minDurationUs: number;
  readonly maxDurationUs: number;
  readonly maxOpensInUs: number;
  /**
   * How often the remaining time is stored; after the loss of every process as much is taken off
   * it.
   */
  readonly saveIntervalUs: number;
  /** Beyond this share of the other zones' slots the operator is warned. */
  readonly maxUtilization: number;
}

/** What the controllers use. */
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

/** A window that an operator asks for. */
export interface WindowRequest {
  readonly zone: string;
  readonly opensInUs: number;
  readonly durationUs: number;
}

const REASON = "A planned window.";

/** Whether requests of the zone go elsewhere because of the window. */
export const isMoving = ({ stage }: MaintenanceWindow): boolean =>
  stage !== "ended" && stage !== "announced";

/** The zonal shift that the window wants; undefined once it has ended. */
export const shiftFor = (window: MaintenanceWindow): ZonalShift | undefined =>
  window.stage === "ended"
    ? undefined
    : {
        zone: window.zone,
        cause: "window",
        reason: REASON,
        safeShare: window.safeShare,
        unsafeShare: window.unsafeShare,
      };

/**
 * How long before its opening a window begins to move requests.
 *
 * @param longestDeadlineUs - the longest time that any request may be in flight
 */
export const leadTimeUs = (settings: WindowSettings, longestDeadlineUs: number): number =>
  settings.steps * settings.stepUs + longestDeadlineUs + settings.marginUs;

/** Whether a window and a request for another one would move requests at the same time. */
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
