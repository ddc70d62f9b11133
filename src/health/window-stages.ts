/**
 * State machine of a maintenance window. It reads no clock and stores nothing, so that any leader can
 * continue from the stored stage.
 */
import type { LogFields } from "../common/logger.js";
import { SECOND_US } from "../common/duration.js";
import type { ZonalShift } from "./health-decisions.js";
import type { MaintenanceWindow, WindowSettings } from "./maintenance-window.js";

/** Input of the state machine: a window and the current situation of its zone. */
export interface WindowView {
  /** The window with its remaining time updated to now. */
  readonly window: MaintenanceWindow;
  readonly settings: WindowSettings;
  /** Time since this process first observed the window in its current stage. */
  readonly timeInStageUs: number;
  /** Time until the window closes. */
  readonly closesInUs: number;
  readonly leadUs: number;
  /** The longest deadline of any request. */
  readonly longestDeadlineUs: number;
  /** The zonal shift in effect. */
  readonly shift: () => ZonalShift | undefined;
  /** Whether the zone has a ready worker. */
  readonly isZoneReady: () => boolean;
  /** Whether the zone had no ready worker at some time since the window opened. */
  readonly wasZoneUnready: boolean;
  /** Services that the other zones cannot carry; see `capacityWarnings`. */
  readonly warnings: () => readonly string[];
}

/** An action to execute, in the order yielded. */
export type WindowAction =
  | { readonly kind: "store"; readonly window: MaintenanceWindow }
  | { readonly kind: "moveLeadership" }
  | { readonly kind: "noteDark" }
  /**
   * Logs a warning for the operator. With `isLoggedOnce`, it is yielded on every tick but only its
   * first occurrence is logged.
   */
  | {
      readonly kind: "warn";
      readonly message: string;
      readonly fields: LogFields;
      readonly isLoggedOnce: boolean;
    };

const store = (
  window: MaintenanceWindow,
  safeShare: number,
  unsafeShare: number,
): WindowAction => ({ kind: "store", window: { ...window, safeShare, unsafeShare } });

function* whileAnnounced(view: WindowView): Generator<WindowAction, void> {
  const { window, settings } = view;
  const { id, zone } = window;
  if (window.remainingUs > view.leadUs) return;
  const shift = view.shift();
  if (shift && shift.cause !== "practice" && shift.zone !== zone) {
    yield {
      kind: "warn",
      message: "maintenance window waits: another zone is shifted away from",
      fields: { window: id, zone, shiftedZone: shift.zone },
      isLoggedOnce: true,
    };
    return;
  }
  for (const warning of view.warnings())
    yield {
      kind: "warn",
      message: "maintenance window starts to shift traffic despite a warning",
      fields: { window: id, zone, warning },
      isLoggedOnce: false,
    };
  yield store({ ...window, stage: "moving" }, 1 / settings.steps, 0);
}

function* whileMoving(view: WindowView): Generator<WindowAction, void> {
  const { window, settings, timeInStageUs } = view;
  const step = 1 + Math.floor(timeInStageUs / settings.stepUs);
  const safeShare = Math.min(1, step / settings.steps);
  const unsafeShare = step > settings.steps ? 1 : 0;
  if (safeShare > window.safeShare || unsafeShare > window.unsafeShare) {
    yield store(
      window,
      Math.max(safeShare, window.safeShare),
      Math.max(unsafeShare, window.unsafeShare),
    );
    return;
  }
  if (window.unsafeShare < 1) return;
  yield { kind: "moveLeadership" };
  // The longest deadline counts from the time at which the last unsafe request may have been sent
  // to the zone.
  const clearAfterUs =
    settings.steps * settings.stepUs + view.longestDeadlineUs + settings.marginUs / 2;
  if (timeInStageUs >= clearAfterUs) yield store({ ...window, stage: "clear" }, 1, 1);
}

function* whileClear({ window, closesInUs }: WindowView): Generator<WindowAction, void> {
  if (window.remainingUs > 0) return;
  yield store({ ...window, stage: "open", remainingUs: closesInUs }, 1, 1);
}

function* whileOpen(view: WindowView): Generator<WindowAction, void> {
  const { window } = view;
  const { id, zone } = window;
  const isZoneReady = view.isZoneReady();
  if (!isZoneReady) yield { kind: "noteDark" };
  if (isZoneReady && view.wasZoneUnready && window.remainingUs > 0)
    yield {
      kind: "warn",
      message: "zone has a ready worker before its window closes: cancel the window to use it",
      fields: { window: id, zone, closesInS: Math.round(window.remainingUs / SECOND_US) },
      isLoggedOnce: true,
    };
  if (window.remainingUs > 0) return;
  // Traffic stays shifted away from a zone that has no ready worker when its window closes.
  if (!isZoneReady) {
    yield {
      kind: "warn",
      message: "zone is still dark after its window: its requests stay elsewhere",
      fields: { window: id, zone },
      isLoggedOnce: true,
    };
    return;
  }
  yield store({ ...window, stage: "returning" }, 1, 1);
}

function* whileReturning(view: WindowView): Generator<WindowAction, void> {
  const { window, settings, timeInStageUs } = view;
  const step = Math.min(settings.steps, Math.floor(timeInStageUs / settings.stepUs));
  const safeShare = 1 - step / settings.steps;
  if (safeShare <= 0) {
    yield store({ ...window, stage: "ended" }, 0, 0);
    return;
  }
  if (safeShare < window.safeShare || window.unsafeShare > 0)
    yield store(window, Math.min(window.safeShare, safeShare), 0);
}

function* whileEnded(): Generator<WindowAction, void> {
  // Final stage: no actions.
}

const STAGES: Readonly<
  Record<MaintenanceWindow["stage"], (view: WindowView) => Generator<WindowAction, void>>
> = {
  announced: whileAnnounced,
  moving: whileMoving,
  clear: whileClear,
  open: whileOpen,
  returning: whileReturning,
  ended: whileEnded,
};

/** The actions to execute for the window now. */
export const nextActions = (view: WindowView): Generator<WindowAction, void> =>
  STAGES[view.window.stage](view);
