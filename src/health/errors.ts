/** Errors of operator commands on maintenance windows and stopped rollouts. */
import { CodedError } from "../common/errors.js";

/** No worker and no node of the zone is known. */
export class UnknownZoneError extends CodedError {
  readonly code = "UNKNOWN_ZONE";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("no worker or node of that cell is known");
  }
}

/** The window would open before its zone can be drained. */
export class WindowTooSoonError extends CodedError {
  readonly code = "WINDOW_TOO_SOON";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("it opens too soon for the cell to be clear by then");
  }
}

/** The duration, or the time until the window opens, is out of range. */
export class WindowOutOfRangeError extends CodedError {
  readonly code = "WINDOW_OUT_OF_RANGE";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("its length or its distance is out of range");
  }
}

/** The window would shift traffic at the same time as another window. */
export class WindowOverlapError extends CodedError {
  readonly code = "WINDOW_OVERLAP";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("another window is too close to it: one cell at a time");
  }
}

/** The controllers of the other zones do not form a quorum. */
export class ZoneNeededForQuorumError extends CodedError {
  readonly code = "ZONE_NEEDED_FOR_QUORUM";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("the signalboxes of the other cells are no quorum without this one");
  }
}

/** No window has the given id. */
export class UnknownWindowError extends CodedError {
  readonly code = "UNKNOWN_WINDOW";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("no such window");
  }
}

/** The window has ended or is returning traffic. */
export class WindowOverError extends CodedError {
  readonly code = "WINDOW_OVER";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("that window is over");
  }
}

/** The change was not persisted, or this process is not the leader. */
export class WindowNotStoredError extends CodedError {
  readonly code = "WINDOW_NOT_STORED";

  /** The message is returned to operators as `problem`. */
  constructor() {
    super("no quorum, or no holder of the duty is reached");
  }
}

/** The route does not exist or sends all its traffic to one service. */
export class RouteNotSplitError extends CodedError {
  readonly code = "ROUTE_NOT_SPLIT";

  /** @param route - name of the route */
  constructor(route: string) {
    super(`${route} is not a route that splits its traffic`);
  }
}

/** The command names a version of the route that is not in force. */
export class StaleRouteVersionError extends CodedError {
  readonly code = "STALE_ROUTE_VERSION";

  /**
   * @param route - name of the route
   * @param version - the version named in the command
   * @param inForce - the version in force
   */
  constructor(route: string, version: number, inForce: number) {
    super(`version ${version} of ${route} is not in force; the version in force is ${inForce}`);
  }
}

/** No candidate of the route is stopped. */
export class NotStoppedError extends CodedError {
  readonly code = "NOT_STOPPED";

  /** @param route - name of the route */
  constructor(route: string) {
    super(`no candidate of ${route} is stopped`);
  }
}

/** The cleared state was not persisted. */
export class ClearNotStoredError extends CodedError {
  readonly code = "CLEAR_NOT_STORED";

  /** @param route - name of the route */
  constructor(route: string) {
    super(`the stop of ${route} was not cleared: no quorum, or a newer term`);
  }
}

/** Errors of commands on a maintenance window. */
export type WindowError =
  | UnknownZoneError
  | WindowTooSoonError
  | WindowOutOfRangeError
  | WindowOverlapError
  | ZoneNeededForQuorumError
  | UnknownWindowError
  | WindowOverError
  | WindowNotStoredError;

/** Errors of clearing a stop. */
export type ClearError =
  RouteNotSplitError | StaleRouteVersionError | NotStoppedError | ClearNotStoredError;
