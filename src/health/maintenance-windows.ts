/**
 * Maintenance windows on the leader: advances each window through its stages, persists every step
 * before shifting traffic, and executes the operator's commands. The state machine is in
 * `window-stages.ts`.
 */
import { err, ok, type Result } from "true-myth/result";
import type { Clock, Timer } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { LogFields, Logger } from "../common/logger.js";
import {
  UnknownWindowError,
  UnknownZoneError,
  WindowNotStoredError,
  WindowOutOfRangeError,
  WindowOverError,
  WindowOverlapError,
  WindowTooSoonError,
  ZoneNeededForQuorumError,
  type WindowError,
} from "./errors.js";
import type { ZonalShift } from "./health-decisions.js";
import {
  isTrafficShifted,
  leadTimeUs,
  overlaps,
  shiftFor,
  type MaintenanceWindow,
  type WindowRequest,
  type WindowSettings,
  type WindowState,
} from "./maintenance-window.js";
import {
  capacityWarnings,
  explainWindow,
  toSeconds,
  type ZoneWorker,
} from "./window-explanations.js";
import { nextActions, type WindowView } from "./window-stages.js";
import { WindowTimeTable, type WindowTimes } from "./window-times.js";

/** Dependencies of {@link MaintenanceWindows}. */
export interface MaintenanceWindowsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: WindowSettings;
  readonly isLeader: () => boolean;
  readonly state: () => WindowState;
  /**
   * How long ago this process learned the current version of the state; undefined if it was loaded
   * from disk at start-up.
   */
  readonly stateAgeUs: () => number | undefined;
  /** Persists the state under the leader's term; false on a newer term or a lost quorum. */
  readonly publish: (state: WindowState) => Promise<boolean>;
  readonly shift: () => ZonalShift | undefined;
  readonly setShift: (shift: ZonalShift | undefined) => Promise<boolean>;
  /** The zones of all workers and nodes. */
  readonly zones: () => readonly string[];
  readonly workers: () => readonly ZoneWorker[];
  /** The longest deadline of any request. */
  readonly longestDeadlineUs: () => number;
  /** Whether the controllers of the other zones form a quorum. */
  readonly hasQuorumWithout: (zone: string) => boolean;
  /** Requests in flight, by service. */
  readonly inFlight: () => ReadonlyMap<string, number>;
  /** Transfers leadership to a controller in another zone, if this one is in the given zone. */
  readonly moveLeadershipOutOf: (zone: string) => Promise<void>;
}

const TICK_US = SECOND_US / 2;
/** Once this many windows are stored, adding another one drops those that have ended. */
const MAX_STORED = 20;

/** Invariant: at most one window shifts traffic at a time. */
export class MaintenanceWindows {
  private readonly times: WindowTimeTable;
  private timer: Timer | undefined;
  private isTicking = false;
  private wasLeader = false;

  constructor(private readonly options: MaintenanceWindowsOptions) {
    this.times = new WindowTimeTable(options.clock);
  }

  /** Starts advancing the windows periodically. */
  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  /** Stops advancing the windows; the next leader continues an active one. */
  readonly stop = (): void => this.timer?.stop();

  /** Adds a window under a new id. Capacity warnings are returned but do not reject it. */
  readonly add = async (
    request: WindowRequest,
    id: string,
  ): Promise<Result<readonly string[], WindowError>> => {
    const { state, publish, log } = this.options;
    const current = this.current();
    const error = this.validateRequest(request, current);
    if (error) return err(error);
    const window: MaintenanceWindow = {
      id,
      zone: request.zone,
      stage: "announced",
      remainingUs: request.opensInUs,
      durationUs: request.durationUs,
      safeShare: 0,
      unsafeShare: 0,
      note: "",
    };
    const kept = current.filter(({ stage }) => stage !== "ended" || current.length < MAX_STORED);
    if (!(await publish([...kept, window]))) return err(new WindowNotStoredError());
    this.times.track(window, 0);
    log.info("maintenance window added", {
      window: id,
      zone: request.zone,
      opensInS: toSeconds(request.opensInUs),
      durationS: toSeconds(request.durationUs),
    });
    return state().some((stored) => stored.id === id)
      ? ok(this.warnings(request.zone))
      : err(new WindowNotStoredError());
  };

  /** Cancels a window and returns its shifted traffic. Undefined on success. */
  readonly cancel = (id: string): Promise<WindowError | undefined> =>
    this.updateWindow(id, (window) => ({
      ...window,
      stage: window.stage === "announced" ? "ended" : "returning",
      note: "cancelled",
    }));

  /** Extends a window that is not yet returning traffic. Undefined on success. */
  readonly extend = async (id: string, byUs: number): Promise<WindowError | undefined> => {
    const current = this.current();
    const found = current.find((window) => window.id === id);
    const error = found && this.validateExtension(found, byUs, current);
    if (error) return error;
    return this.updateWindow(id, (window) => {
      if (window.stage === "returning") return undefined;
      const times = this.times.get(id);
      if (times) times.closesUs += byUs;
      return {
        ...window,
        durationUs: window.durationUs + byUs,
        ...(window.stage === "open" ? { remainingUs: window.remainingUs + byUs } : {}),
      };
    });
  };

  /** Every window with its stage, in the form returned to operators. */
  readonly explain = (): UnknownRecord => ({
    windows: this.current().map((window) => explainWindow(window, this.warnings)),
  });

  /** Advances the windows once on the leader; skipped while a tick is running. */
  readonly tick = async (): Promise<void> => {
    if (this.isTicking) return;
    this.isTicking = true;
    try {
      const { isLeader, state, stateAgeUs, settings } = this.options;
      if (!isLeader()) {
        this.wasLeader = false;
        this.times.clear();
        return;
      }
      if (!this.wasLeader) {
        // Subtracts the time since the state was stored. After a restart of all processes that time is
        // unknown, and one save interval is assumed.
        state().forEach((window) =>
          this.times.track(window, stateAgeUs() ?? settings.saveIntervalUs),
        );
        this.wasLeader = true;
      }
      const next = this.current().find(isTrafficShifted) ?? this.nextAnnounced();
      if (next) await this.advance(next);
      await this.reconcile();
    } finally {
      this.isTicking = false;
    }
  };

  private readonly leadUs = (): number =>
    leadTimeUs(this.options.settings, this.options.longestDeadlineUs());

  /** The windows with their remaining time updated to now. */
  private readonly current = (): WindowState => this.options.state().map(this.times.update);

  private readonly nextAnnounced = (): MaintenanceWindow | undefined =>
    [...this.current()]
      .filter(({ stage }) => stage === "announced")
      .sort((a, b) => a.remainingUs - b.remainingUs)[0];

  private readonly validateRequest = (
    request: WindowRequest,
    current: WindowState,
  ): WindowError | undefined => {
    const { settings, zones, hasQuorumWithout, isLeader } = this.options;
    const { zone, opensInUs, durationUs } = request;
    if (!isLeader()) return new WindowNotStoredError();
    if (!zones().includes(zone)) return new UnknownZoneError();
    const isInRange =
      durationUs >= settings.minDurationUs &&
      durationUs <= settings.maxDurationUs &&
      opensInUs >= 0 &&
      opensInUs <= settings.maxOpensInUs;
    if (!isInRange) return new WindowOutOfRangeError();
    if (opensInUs < this.leadUs()) return new WindowTooSoonError();
    if (!hasQuorumWithout(zone)) return new ZoneNeededForQuorumError();
    return this.hasOverlap(request, current) ? new WindowOverlapError() : undefined;
  };

  private readonly validateExtension = (
    window: MaintenanceWindow,
    byUs: number,
    current: WindowState,
  ): WindowError | undefined => {
    const durationUs = window.durationUs + byUs;
    if (!(byUs > 0 && durationUs <= this.options.settings.maxDurationUs))
      return new WindowOutOfRangeError();
    const opensInUs = window.stage === "open" ? 0 : window.remainingUs;
    const others = current.filter(({ id }) => id !== window.id);
    return this.hasOverlap({ zone: window.zone, opensInUs, durationUs }, others)
      ? new WindowOverlapError()
      : undefined;
  };

  private readonly hasOverlap = (request: WindowRequest, windows: WindowState): boolean =>
    windows.some((window) => overlaps(window, request, this.options.settings, this.leadUs()));

  private readonly updateWindow = async (
    id: string,
    change: (window: MaintenanceWindow) => MaintenanceWindow | undefined,
  ): Promise<WindowError | undefined> => {
    if (!this.options.isLeader()) return new WindowNotStoredError();
    const found = this.current().find((window) => window.id === id);
    if (!found) return new UnknownWindowError();
    const changed = found.stage === "ended" ? undefined : change(found);
    if (!changed) return new WindowOverError();
    await this.store(changed);
    const isStored = this.options
      .state()
      .some(
        (window) =>
          window.id === id &&
          window.stage === changed.stage &&
          window.durationUs === changed.durationUs,
      );
    return isStored ? undefined : new WindowNotStoredError();
  };

  private readonly advance = async (window: MaintenanceWindow): Promise<void> => {
    const times = this.times.get(window.id);
    if (!times) {
      this.times.track(window, 0);
      return;
    }
    for (const action of nextActions(this.viewOf(window, times))) {
      if (action.kind === "store") await this.store(action.window);
      else if (action.kind === "moveLeadership")
        await this.options.moveLeadershipOutOf(window.zone);
      else if (action.kind === "noteDark") times.wasZoneUnready = true;
      else if (action.isLoggedOnce) this.warnOnce(times, action.message, action.fields);
      else this.options.log.warn(action.message, action.fields);
    }
  };

  private readonly viewOf = (window: MaintenanceWindow, times: WindowTimes): WindowView => {
    const { clock, settings, longestDeadlineUs, shift, workers } = this.options;
    const nowUs = clock.nowUs();
    return {
      window,
      settings,
      timeInStageUs: nowUs - times.stageSinceUs,
      closesInUs: times.closesUs - nowUs,
      leadUs: this.leadUs(),
      longestDeadlineUs: longestDeadlineUs(),
      shift,
      isZoneReady: () => workers().some((worker) => worker.zone === window.zone && worker.isReady),
      wasZoneUnready: times.wasZoneUnready,
      warnings: () => this.warnings(window.zone),
    };
  };

  /**
   * Persists the window before applying its shift; if the leader fails in between, the next one
   * applies the shift.
   */
  private readonly store = async (window: MaintenanceWindow): Promise<void> => {
    const { publish, clock, log, setShift } = this.options;
    const before = this.current();
    const former = before.find(({ id }) => id === window.id);
    if (!(await publish(before.map((other) => (other.id === window.id ? window : other))))) return;
    const times = this.times.get(window.id);
    if (times && former?.stage !== window.stage) {
      times.stageSinceUs = clock.nowUs();
      log.info("maintenance window changed stage", {
        window: window.id,
        zone: window.zone,
        stage: window.stage,
      });
    }
    if (times) times.savedUs = clock.nowUs();
    await setShift(shiftFor(window));
  };

  /** Corrects a shift that differs from the required one and periodically saves remaining times. */
  private readonly reconcile = async (): Promise<void> => {
    const { clock, settings, publish, setShift } = this.options;
    const nowUs = clock.nowUs();
    const all = this.current();
    const correction = this.correctionOf(all);
    if (correction) await setShift(correction.shift);
    const live = all.filter(({ stage }) => stage !== "ended");
    const isDue = live.some(
      ({ id }) => nowUs - (this.times.get(id)?.savedUs ?? nowUs) >= settings.saveIntervalUs,
    );
    if (!isDue || !(await publish(all))) return;
    live.forEach(({ id }) => {
      const times = this.times.get(id);
      if (times) times.savedUs = nowUs;
    });
  };

  /** The required shift, if it differs from the one in effect. */
  private readonly correctionOf = (
    windows: WindowState,
  ): { readonly shift: ZonalShift | undefined } | undefined => {
    const now = this.options.shift();
    const activeWindow = windows.find(isTrafficShifted);
    if (!activeWindow) return now?.cause === "window" ? { shift: undefined } : undefined;
    const isAsWanted =
      now?.cause === "window" &&
      now.zone === activeWindow.zone &&
      now.safeShare === activeWindow.safeShare &&
      now.unsafeShare === activeWindow.unsafeShare;
    return isAsWanted ? undefined : { shift: shiftFor(activeWindow) };
  };

  private readonly warnings = (zone: string): readonly string[] => {
    const { workers, inFlight, settings } = this.options;
    return capacityWarnings(zone, workers(), inFlight(), settings.maxUtilization);
  };

  /** Logs a warning, unless it equals the window's last one apart from numbers. */
  private readonly warnOnce = (times: WindowTimes, message: string, fields: LogFields): void => {
    const line = `${message} ${JSON.stringify(fields)}`.replace(/\d+/g, "");
    if (times.lastWarning === line) return;
    times.lastWarning = line;
    this.options.log.warn(message, fields);
  };
}
