import type { Clock, Timer } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import {
  asRecord,
  readList,
  readString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { ZonalShift } from "./outlier-detector.js";

/** The stages in their order; a cancelled window goes straight to returning, or to ended before anything moved. */
export const WINDOW_STAGES = [
  "announced",
  "moving",
  "clear",
  "open",
  "returning",
  "ended",
] as const;
export type WindowStage = (typeof WINDOW_STAGES)[number];

/**
 * A planned window of a cell. Invariants: stages only go forward, and `remainingUs` is the time left until the window
 * opens (announced, moving, clear) or closes (open), as of when this version was written.
 */
export interface MaintenanceWindow {
  readonly id: string;
  readonly cell: string;
  readonly stage: WindowStage;
  readonly remainingUs: number;
  readonly lastsUs: number;
  /** The parts of safe and of unsafe requests that go elsewhere. */
  readonly safe: number;
  readonly unsafe: number;
  readonly note: string;
}

export type WindowState = readonly MaintenanceWindow[];

export interface WindowSettings {
  /** How the safe requests leave, and come back: in so many steps of so long. */
  readonly steps: number;
  readonly stepUs: number;
  /** How long the new unsafe ones are gone before the cell counts as clear, beyond the longest budget. */
  readonly marginUs: number;
  readonly minDurationUs: number;
  readonly maxDurationUs: number;
  readonly maxOpensInUs: number;
  /** How often the remaining time is written down; after the loss of every process as much is taken off it. */
  readonly saveIntervalUs: number;
  /** Beyond this part of the other cells' slots the operator is warned. */
  readonly maxUtilization: number;
}

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

export type WindowError =
  | "unknownCell"
  | "tooLate"
  | "wrongLength"
  | "overlap"
  | "noQuorumWithout"
  | "unknownWindow"
  | "windowOver"
  | "noQuorum";

export const WINDOW_SENTENCES: Readonly<Record<WindowError, string>> = {
  unknownCell: "no worker or node of that cell is known",
  tooLate: "it opens too soon for the cell to be clear by then",
  wrongLength: "its length or its distance is out of range",
  overlap: "another window is too close to it: one cell at a time",
  noQuorumWithout: "the signalboxes of the other cells are no quorum without this one",
  unknownWindow: "no such window",
  windowOver: "that window is over",
  noQuorum: "no quorum, or no holder of the duty is reached",
};

const isStage = (value: string): value is WindowStage =>
  WINDOW_STAGES.some((stage) => stage === value);

export const readWindows = (value: unknown): WindowState =>
  readList(asRecord(value, "windows"), "windows", asRecord).map((record) => {
    const stage = readString(record, "stage");
    return {
      id: readString(record, "id"),
      cell: readString(record, "cell"),
      stage: isStage(stage) ? stage : "ended",
      remainingUs: readNumber(record, "remainingUs"),
      lastsUs: readNumber(record, "lastsUs"),
      safe: readNumber(record, "safe"),
      unsafe: readNumber(record, "unsafe"),
      note: readString(record, "note"),
    };
  });

export interface WindowRequest {
  readonly zone: string;
  readonly opensInUs: number;
  readonly durationUs: number;
}

export interface ZoneWorker {
  readonly zone: string;
  readonly service: string;
  readonly capacity: number;
  readonly isReady: boolean;
}

export interface MaintenanceWindowsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: WindowSettings;
  readonly isLeader: () => boolean;
  readonly state: () => WindowState;
  /** For how long this process has known the present version of the state; undefined after a start from disk. */
  readonly stateAgeUs: () => number | undefined;
  readonly publish: (state: WindowState) => Promise<boolean>;
  readonly shift: () => ZonalShift | undefined;
  readonly setShift: (shift: ZonalShift | undefined) => Promise<boolean>;
  readonly zones: () => readonly string[];
  readonly workers: () => readonly ZoneWorker[];
  readonly longestDeadlineUs: () => number;
  /** Whether the signalboxes of other cells make a quorum alone. */
  readonly hasQuorumWithout: (zone: string) => boolean;
  readonly inFlight: () => ReadonlyMap<string, number>;
  /** Gives the duty to a signalbox outside the cell, if this one is inside. */
  readonly moveLeadershipOutOf: (cell: string) => Promise<void>;
}

const TICK_US = SECOND_US / 2;
const REASON = "A planned window.";

/** Planned windows of cells: the holder of the duty takes each through its stages, by the same mechanism as a shift. */
export class MaintenanceWindows {
  private timer: Timer | undefined;
  private busy = false;
  /** Invariant: `opensUs` and `closesUs` of the windows not ended, on this process's clock; made anew with each holding. */
  private readonly marks = new Map<
    string,
    {
      opensUs: number;
      closesUs: number;
      stageSinceUs: number;
      notedUs: number;
      sawGone: boolean;
      said: string;
    }
  >();
  private wasHolder = false;

  constructor(private readonly options: MaintenanceWindowsOptions) {}

  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  readonly stop = (): void => this.timer?.stop();

  /** How long before its opening a window begins to move the cell's requests. */
  readonly leadUs = (): number => {
    const { steps, stepUs, marginUs } = this.options.settings;
    return steps * stepUs + this.options.longestDeadlineUs() + marginUs;
  };

  /** Takes a window; warnings don't refuse it. */
  readonly add = async (
    order: WindowRequest,
    id: string,
  ): Promise<WindowError | readonly string[]> => {
    const {
      settings: terms,
      zones,
      hasQuorumWithout: isBorne,
      state,
      publish,
      isLeader: isHolder,
    } = this.options;
    if (!isHolder()) return "noQuorum";
    if (!zones().includes(order.zone)) return "unknownCell";
    if (
      !(order.durationUs >= terms.minDurationUs && order.durationUs <= terms.maxDurationUs) ||
      !(order.opensInUs >= 0 && order.opensInUs <= terms.maxOpensInUs)
    )
      return "wrongLength";
    if (order.opensInUs < this.leadUs()) return "tooLate";
    if (!isBorne(order.zone)) return "noQuorumWithout";
    const now = this.current();
    if (now.some((window) => this.meets(window, order))) return "overlap";
    const window: MaintenanceWindow = {
      id,
      cell: order.zone,
      stage: "announced",
      remainingUs: order.opensInUs,
      lastsUs: order.durationUs,
      safe: 0,
      unsafe: 0,
      note: "",
    };
    const kept = now.filter(({ stage }) => stage !== "ended" || now.length < MOST_KEPT);
    if (!(await publish([...kept, window]))) return "noQuorum";
    this.mark(window, 0);
    this.options.log.info(
      `Window ${id} of ${order.zone} opens in ${seconds(order.opensInUs)} s for ${seconds(order.durationUs)} s.`,
    );
    return state().some((held) => held.id === id) ? this.warnings(order.zone) : "noQuorum";
  };

  readonly cancel = (id: string): Promise<WindowError | undefined> =>
    this.change(id, (window) =>
      window.stage === "announced"
        ? { ...window, stage: "ended", note: "cancelled" }
        : { ...window, stage: "returning", note: "cancelled" },
    );

  /** Makes an opened or coming window longer. */
  readonly extend = async (id: string, byUs: number): Promise<WindowError | undefined> => {
    const { settings: terms } = this.options;
    const found = this.current().find((window) => window.id === id);
    if (found && !(byUs > 0 && found.lastsUs + byUs <= terms.maxDurationUs)) return "wrongLength";
    if (
      found &&
      this.current().some(
        (other) =>
          other.id !== id &&
          this.meets(other, {
            zone: found.cell,
            opensInUs: found.stage === "open" ? 0 : found.remainingUs,
            durationUs: found.lastsUs + byUs,
          }),
      )
    )
      return "overlap";
    return this.change(id, (window) => {
      if (window.stage === "returning") return undefined;
      const mark = this.marks.get(id);
      if (mark) mark.closesUs += byUs;
      return {
        ...window,
        lastsUs: window.lastsUs + byUs,
        ...(window.stage === "open" ? { remainingUs: window.remainingUs + byUs } : {}),
      };
    });
  };

  readonly explain = (): UnknownRecord => ({
    windows: this.current().map(
      ({ id, cell: zone, stage, remainingUs, lastsUs, safe, unsafe, note }) => ({
        id,
        cell: zone,
        stage,
        [stage === "open" ? "closesInS" : "opensInS"]: Math.max(0, seconds(remainingUs)),
        lastsS: seconds(lastsUs),
        safeMoved: safe,
        unsafeMoved: unsafe,
        note,
        warnings: stage === "ended" || stage === "returning" ? [] : this.warnings(zone),
      }),
    ),
  });

  readonly tick = async (): Promise<void> => {
    if (this.busy) return;
    this.busy = true;
    try {
      const { isLeader: isHolder, state, stateAgeUs: knownUs } = this.options;
      if (!isHolder()) {
        this.wasHolder = false;
        this.marks.clear();
        return;
      }
      if (!this.wasHolder) {
        // How long every process was gone isn't known: what may have passed since the last note is taken off.
        state().forEach((window) =>
          this.mark(window, knownUs() ?? this.options.settings.saveIntervalUs),
        );
        this.wasHolder = true;
      }
      const next =
        this.current().find(({ stage }) => stage !== "ended" && stage !== "announced") ??
        this.nextAnnounced();
      if (next) await this.step(next);
      await this.note();
    } finally {
      this.busy = false;
    }
  };

  /** The windows with the time that remains by now. */
  private readonly current = (): WindowState => {
    const nowUs = this.options.clock.nowUs();
    return this.options.state().map((window) => {
      const mark = this.marks.get(window.id);
      if (!mark) return window;
      return {
        ...window,
        remainingUs: (window.stage === "open" ? mark.closesUs : mark.opensUs) - nowUs,
      };
    });
  };

  private readonly mark = (window: MaintenanceWindow, passedUs: number): void => {
    const nowUs = this.options.clock.nowUs();
    const remainingUs = window.remainingUs - passedUs;
    const opensUs = nowUs + (window.stage === "open" ? 0 : remainingUs);
    const closesUs = window.stage === "open" ? nowUs + remainingUs : opensUs + window.lastsUs;
    this.marks.set(window.id, {
      opensUs,
      closesUs,
      stageSinceUs: nowUs,
      notedUs: nowUs,
      sawGone: false,
      said: "",
    });
  };

  private readonly nextAnnounced = (): MaintenanceWindow | undefined =>
    [...this.current()]
      .filter(({ stage }) => stage === "announced")
      .sort((a, b) => a.remainingUs - b.remainingUs)[0];

  private readonly step = async (window: MaintenanceWindow): Promise<void> => {
    const {
      clock,
      settings: terms,
      longestDeadlineUs: longestBudgetUs,
      log,
      shift,
      moveLeadershipOutOf: leaveDuty,
    } = this.options;
    const mark = this.marks.get(window.id);
    if (!mark) return this.mark(window, 0);
    const nowUs = clock.nowUs();
    const sinceUs = nowUs - mark.stageSinceUs;
    const parts = (safe: number, unsafe: number): MaintenanceWindow => ({
      ...window,
      safe,
      unsafe,
    });
    switch (window.stage) {
      case "announced": {
        if (window.remainingUs > this.leadUs()) return;
        const other = shift();
        if (other && other.why !== "practice" && other.cell !== window.cell) {
          return this.say(
            window.id,
            `Window ${window.id} of ${window.cell} waits: ${other.cell} is shifted away from, and one cell goes at a time.`,
          );
        }
        this.warnings(window.cell).forEach((warning) =>
          log.warn(`Window ${window.id} of ${window.cell} begins to move all the same: ${warning}`),
        );
        return this.go({ ...parts(1 / terms.steps, 0), stage: "moving" });
      }
      case "moving": {
        const step = 1 + Math.floor(sinceUs / terms.stepUs);
        const safe = Math.min(1, step / terms.steps);
        const unsafe = step > terms.steps ? 1 : 0;
        if (safe > window.safe || unsafe > window.unsafe)
          return this.go(parts(Math.max(safe, window.safe), Math.max(unsafe, window.unsafe)));
        if (window.unsafe < 1) return;
        await leaveDuty(window.cell);
        // The longest budget counts from when the last unsafe request may have been sent there.
        if (sinceUs < terms.steps * terms.stepUs + longestBudgetUs() + terms.marginUs / 2) return;
        return this.go({ ...parts(1, 1), stage: "clear" });
      }
      case "clear":
        if (window.remainingUs > 0) return;
        return this.go({ ...parts(1, 1), stage: "open", remainingUs: mark.closesUs - nowUs });
      case "open": {
        this.watchCell(window, mark);
        if (window.remainingUs > 0 || !this.isBack(window)) return;
        return this.go({ ...parts(1, 1), stage: "returning" });
      }
      case "returning": {
        const step = Math.min(terms.steps, Math.floor(sinceUs / terms.stepUs));
        const safe = 1 - step / terms.steps;
        if (safe > 0) {
          if (safe < window.safe || window.unsafe > 0)
            await this.go(parts(Math.min(window.safe, safe), 0));
          return;
        }
        await this.go({ ...parts(0, 0), stage: "ended" });
      }
    }
  };

  /** Makes the new state durable first, then shifts by it; if the holder dies between, the next one shifts by it. */
  private readonly go = async (window: MaintenanceWindow): Promise<void> => {
    const { publish, clock, log, setShift } = this.options;
    const before = this.current();
    const was = before.find(({ id }) => id === window.id);
    if (!(await publish(before.map((other) => (other.id === window.id ? window : other))))) return;
    const mark = this.marks.get(window.id);
    if (mark && was?.stage !== window.stage) {
      mark.stageSinceUs = clock.nowUs();
      log.info(`Window ${window.id} of ${window.cell} is ${window.stage}.`);
    }
    if (mark) mark.notedUs = clock.nowUs();
    await setShift(
      window.stage === "ended"
        ? undefined
        : {
            cell: window.cell,
            why: "window",
            reason: REASON,
            safe: window.safe,
            unsafe: window.unsafe,
          },
    );
  };

  /** Writes the remaining time down now and then, and mends a shift that isn't as the stage wants it. */
  private readonly note = async (): Promise<void> => {
    const { clock, settings: terms, publish, shift, setShift } = this.options;
    const nowUs = clock.nowUs();
    const all = this.current();
    const moved = all.find(({ stage }) => stage !== "ended" && stage !== "announced");
    const now = shift();
    if (
      moved &&
      (now?.why !== "window" ||
        now.cell !== moved.cell ||
        now.safe !== moved.safe ||
        now.unsafe !== moved.unsafe)
    ) {
      await setShift({
        cell: moved.cell,
        why: "window",
        reason: REASON,
        safe: moved.safe,
        unsafe: moved.unsafe,
      });
    } else if (!moved && now?.why === "window") await setShift(undefined);
    const live = all.filter(({ stage }) => stage !== "ended");
    if (
      live.length === 0 ||
      live.every(({ id }) => nowUs - (this.marks.get(id)?.notedUs ?? nowUs) < terms.saveIntervalUs)
    )
      return;
    if (await publish(all)) live.forEach(({ id }) => this.renote(id, nowUs));
  };

  private readonly renote = (id: string, nowUs: number): void => {
    const mark = this.marks.get(id);
    if (mark) mark.notedUs = nowUs;
  };

  private readonly readyIn = (zone: string): number =>
    this.options.workers().filter((worker) => worker.zone === zone && worker.isReady).length;

  private readonly watchCell = (window: MaintenanceWindow, mark: { sawGone: boolean }): void => {
    const ready = this.readyIn(window.cell);
    if (ready === 0) mark.sawGone = true;
    else if (mark.sawGone && window.remainingUs > 0)
      this.say(
        window.id,
        `${window.cell} is back ${seconds(window.remainingUs)} s before its window closes: cancel the window to use it.`,
      );
  };

  /** A cell that is still dark at its window's end stays shifted away from, and the operator is told. */
  private readonly isBack = (window: MaintenanceWindow): boolean => {
    if (this.readyIn(window.cell) > 0) return true;
    this.say(
      window.id,
      `${window.cell} is still dark though its window is over: its requests stay elsewhere.`,
    );
    return false;
  };

  private readonly warnings = (zone: string): readonly string[] => {
    const { workers, inFlight, settings: terms } = this.options;
    const slots = new Map<string, number>();
    workers()
      .filter((worker) => worker.zone !== zone && worker.isReady)
      .forEach(({ service, capacity }) => slots.set(service, (slots.get(service) ?? 0) + capacity));
    return [...inFlight()].flatMap(([service, usage]) => {
      const others = slots.get(service) ?? 0;
      return usage > others * terms.maxUtilization
        ? [
            `${service} has ${usage.toFixed(1)} calls in flight, and the other cells have ${others} slots.`,
          ]
        : [];
    });
  };

  private readonly meets = (window: MaintenanceWindow, order: WindowRequest): boolean => {
    if (window.stage === "ended") return false;
    const { steps, stepUs } = this.options.settings;
    const beginUs = (opensUs: number) => opensUs - this.leadUs();
    const endUs = (opensUs: number, lastsUs: number) => opensUs + lastsUs + (steps + 1) * stepUs;
    const opensUs =
      window.stage === "open" ? window.remainingUs - window.lastsUs : window.remainingUs;
    return (
      beginUs(order.opensInUs) < endUs(opensUs, window.lastsUs) &&
      beginUs(opensUs) < endUs(order.opensInUs, order.durationUs)
    );
  };

  private readonly change = async (
    id: string,
    change: (window: MaintenanceWindow) => MaintenanceWindow | undefined,
  ): Promise<WindowError | undefined> => {
    if (!this.options.isLeader()) return "noQuorum";
    const found = this.current().find((window) => window.id === id);
    if (!found) return "unknownWindow";
    const changed = found.stage === "ended" ? undefined : change(found);
    if (!changed) return "windowOver";
    await this.go(changed);
    return this.options
      .state()
      .some(
        (window) =>
          window.id === id && window.stage === changed.stage && window.lastsUs === changed.lastsUs,
      )
      ? undefined
      : "noQuorum";
  };

  private readonly say = (id: string, sentence: string): void => {
    const mark = this.marks.get(id);
    if (!mark || mark.said === sentence.replace(/\d+/g, "")) return;
    mark.said = sentence.replace(/\d+/g, "");
    this.options.log.warn(sentence);
  };
}

const MOST_KEPT = 20;
const seconds = (us: number): number => Math.round(us / SECOND_US);
