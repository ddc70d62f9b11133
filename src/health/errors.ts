/** Why an operator's command on a maintenance window or a stopped rollout is not carried out. */
import { CodedError } from "../common/errors.js";

/** The zone has neither a worker nor a node. */
export class UnknownZoneError extends CodedError {
  readonly code = "UNKNOWN_ZONE";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("no worker or node of that cell is known");
  }
}

/** The window would open before its zone can be clear. */
export class WindowTooSoonError extends CodedError {
  readonly code = "WINDOW_TOO_SOON";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("it opens too soon for the cell to be clear by then");
  }
}

/** The duration, or the time until the window opens, is out of range. */
export class WindowOutOfRangeError extends CodedError {
  readonly code = "WINDOW_OUT_OF_RANGE";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("its length or its distance is out of range");
  }
}

/** Another window would move requests at the same time. */
export class WindowOverlapError extends CodedError {
  readonly code = "WINDOW_OVERLAP";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("another window is too close to it: one cell at a time");
  }
}

/** Without the zone's controllers there would be no quorum. */
export class ZoneNeededForQuorumError extends CodedError {
  readonly code = "ZONE_NEEDED_FOR_QUORUM";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("the signalboxes of the other cells are no quorum without this one");
  }
}

/** There is no window of that id. */
export class UnknownWindowError extends CodedError {
  readonly code = "UNKNOWN_WINDOW";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("no such window");
  }
}

/** The window has ended, or is ending. */
export class WindowOverError extends CodedError {
  readonly code = "WINDOW_OVER";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("that window is over");
  }
}

/** The change was not made durable, or this process is not the leader. */
export class WindowNotStoredError extends CodedError {
  readonly code = "WINDOW_NOT_STORED";

  /** The message is the sentence that operators are answered. */
  constructor() {
    super("no quorum, or no holder of the duty is reached");
  }
}

/** The route does not exist, or sends all its traffic to one service. */
export class RouteNotSplitError extends CodedError {
  readonly code = "ROUTE_NOT_SPLIT";

  /** @param route - its name */
  constructor(route: string) {
    super(`${route} is no route that splits its traffic`);
  }
}

/** The operator means a version of the route that is not in force. */
export class StaleRouteVersionError extends CodedError {
  readonly code = "STALE_ROUTE_VERSION";

  /**
   * @param route - its name
   * @param version - the one that the operator means
   * @param inForce - the one in force
   */
  constructor(route: string, version: number, inForce: number) {
    super(`version ${version} of ${route} is not in force: ${inForce} is`);
  }
}

/** No candidate of the route is stopped. */
export class NotStoppedError extends CodedError {
  readonly code = "NOT_STOPPED";

  /** @param route - its name */
  constructor(route: string) {
    super(`no candidate of ${route} is stopped`);
  }
}

/** The change was not made durable. */
export class ClearNotStoredError extends CodedError {
  readonly code = "CLEAR_NOT_STORED";

  /** @param route - its name */
  constructor(route: string) {
    super(`the clearing of ${route} was not stored: no quorum, or a newer term`);
  }
}

/** Why a command on a maintenance window is not carried out. */
export type WindowError =
  | UnknownZoneError
  | WindowTooSoonError
  | WindowOutOfRangeError
  | WindowOverlapError
  | ZoneNeededForQuorumError
  | UnknownWindowError
  | WindowOverError
  | WindowNotStoredError;

/** Why a stop is not cleared. */
export type ClearError =
  RouteNotSplitError | StaleRouteVersionError | NotStoppedError | ClearNotStoredError;
