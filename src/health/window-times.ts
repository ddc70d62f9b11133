/** Opening and closing times of windows on the local clock, which no other process shares. */
import type { Clock } from "../common/clock.js";
import type { MaintenanceWindow } from "./maintenance-window.js";

/** Times of one window, in microseconds of the local clock. */
export interface WindowTimes {
  readonly opensUs: number;
  closesUs: number;
  stageSinceUs: number;
  /** When the remaining time was last stored. */
  savedUs: number;
  /** Whether the zone was observed without a ready worker since the window opened. */
  wasZoneUnready: boolean;
  /** The last warning logged for the window, with numbers removed. */
  lastWarning: string;
}

/** Invariant: contains the windows that this leader has observed; each new leader rebuilds it. */
export class WindowTimeTable {
  private readonly times = new Map<string, WindowTimes>();

  constructor(private readonly clock: Clock) {}

  /**
   * Starts tracking a stored window.
   *
   * @param passedUs - time since the window was stored, subtracted from its remaining time
   */
  readonly track = (window: MaintenanceWindow, passedUs: number): void => {
    const nowUs = this.clock.nowUs();
    const remainingUs = window.remainingUs - passedUs;
    const isOpen = window.stage === "open";
    const opensUs = nowUs + (isOpen ? 0 : remainingUs);
    this.times.set(window.id, {
      opensUs,
      closesUs: isOpen ? nowUs + remainingUs : opensUs + window.durationUs,
      stageSinceUs: nowUs,
      savedUs: nowUs,
      wasZoneUnready: false,
      lastWarning: "",
    });
  };

  /** The times of a window; undefined if it is not tracked. */
  readonly get = (id: string): WindowTimes | undefined => this.times.get(id);

  /** The window with its remaining time updated to now. */
  readonly update = (window: MaintenanceWindow): MaintenanceWindow => {
    const times = this.times.get(window.id);
    if (!times) return window;
    const untilUs = window.stage === "open" ? times.closesUs : times.opensUs;
    return { ...window, remainingUs: untilUs - this.clock.nowUs() };
  };

  /** Drops all windows. */
  readonly clear = (): void => this.times.clear();
}
