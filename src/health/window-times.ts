/** When the windows open and close on the clock of this process, which no other process shares. */
import type { Clock } from "../common/clock.js";
import type { MaintenanceWindow } from "./maintenance-window.js";

/** The times of one window, in microseconds of the process's clock. */
export interface WindowTimes {
  readonly opensUs: number;
  closesUs: number;
  stageSinceUs: number;
  /** When the remaining time was last stored. */
  savedUs: number;
  /** Whether the zone was seen without a ready worker since the window opened. */
  wasDark: boolean;
  /** The last warning about the window, without its numbers. */
  lastWarning: string;
}

/** Invariant: it has the windows that this leader has seen, and is made anew by each new leader. */
export class WindowTimeTable {
  private readonly times = new Map<string, WindowTimes>();

  constructor(private readonly clock: Clock) {}

  /**
   * Takes the remaining time of a stored window as of now, less what has passed since it was
   * stored.
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
      wasDark: false,
      lastWarning: "",
    });
  };

  /** Undefined for a window not tracked. */
  readonly get = (id: string): WindowTimes | undefined => this.times.get(id);

  /** The window with the time that remains by now. */
  readonly update = (window: MaintenanceWindow): MaintenanceWindow => {
    const times = this.times.get(window.id);
    if (!times) return window;
    const untilUs = window.stage === "open" ? times.closesUs : times.opensUs;
    return { ...window, remainingUs: untilUs - this.clock.nowUs() };
  };

  /** Forgets all windows. */
  readonly clear = (): void => this.times.clear();
}
