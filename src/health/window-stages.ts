/**
 * The state machine of a maintenance window: what is to be done for a window now. It reads no clock
 * and stores nothing, so that any leader can go on from the stored stage.
 */
import type { LogFields } from "../common/logger.js";
import { SECOND_US } from "../common/duration.js";
import type { ZonalShift } from "./health-decisions.js";
import type { MaintenanceWindow, WindowSettings } from "./maintenance-window.js";

/** What the state machine knows of a window and its zone. */
export interface WindowView {
  /** With the time that remains by now. */
  readonly window: MaintenanceWindow;
  readonly settings: WindowSettings;
  /** The time since the window entered its stage, as this process knows it. */
  readonly inStageUs: number;
  /** The time until the window closes. */
  readonly closesInUs: number;
  readonly leadUs: number;
  /** The longest time that any request may be in flight. */
  readonly longestDeadlineUs: number;
  /** The shift in force. */
  readonly shift: () => ZonalShift | undefined;
  /** Whether the zone has a ready worker. */
  readonly isZoneReady: () => boolean;
  /** Whether it had none at some time since the window opened. */
  readonly wasZoneDark: boolean;
  /** What other zones cannot carry; see `capacityWarnings`. */
  readonly warnings: () => readonly string[];
}

/** What is to be done, in order. */
export type WindowAction =
  | { readonly kind: "store"; readonly window: MaintenanceWindow }
  | { readonly kind: "moveLeadership" }
  | { readonly kind: "noteDark" }
  /**
   * A line for the operator; `isRepeated`: it comes with every look, and only its first one is
   * written.
   */
  | {
      readonly kind: "warn";
      readonly message: string;
      readonly fields: LogFields;
      readonly isRepeated: boolean;
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
      isRepeated: true,
    };
    return;
  }
  for (const warning of view.warnings())
    yield {
      kind: "warn",
      message: "maintenance window begins to move in spite of a warning",
      fields: { window: id, zone, warning },
      isRepeated: false,
    };
  yield store({ ...window, stage: "moving" }, 1 / settings.steps, 0);
}

function* whileMoving(view: WindowView): Generator<WindowAction, void> {
  const { window, settings, inStageUs } = view;
  const step = 1 + Math.floor(inStageUs / settings.stepUs);
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
  // The longest deadline counts from when the last unsafe request may have been sent there.
  const clearAfterUs =
    settings.steps * settings.stepUs + view.longestDeadlineUs + settings.marginUs / 2;
  if (inStageUs >= clearAfterUs) yield store({ ...window, stage: "clear" }, 1, 1);
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
  if (isZoneReady && view.wasZoneDark && window.remainingUs > 0)
    yield {
      kind: "warn",
      message: "zone is back before its window closes: cancel the window to use it",
      fields: { window: id, zone, closesInS: Math.round(window.remainingUs / SECOND_US) },
      isRepeated: true,
    };
  if (window.remainingUs > 0) return;
  // A zone that is still dark at its window's end stays shifted away from.
  if (!isZoneReady) {
    yield {
      kind: "warn",
      message: "zone is still dark after its window: its requests stay elsewhere",
      fields: { window: id, zone },
      isRepeated: true,
    };
    return;
  }
  yield store({ ...window, stage: "returning" }, 1, 1);
}

function* whileReturning(view: WindowView): Generator<WindowAction, void> {
  const { window, settings, inStageUs } = view;
  const step = Math.min(settings.steps, Math.floor(inStageUs / settings.stepUs));
  const safeShare = 1 - step / settings.steps;
  if (safeShare <= 0) {
    yield store({ ...window, stage: "ended" }, 0, 0);
    return;
  }
  if (safeShare < window.safeShare || window.unsafeShare > 0)
    yield store(window, Math.min(window.safeShare, safeShare), 0);
}

function* whileEnded(): Generator<WindowAction, void> {
  // The last stage: nothing is to be done.
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

/** What is to be done for the window now. */
export const nextActions = (view: WindowView): Generator<WindowAction, void> =>
  STAGES[view.window.stage](view);
