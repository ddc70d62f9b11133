import type { Settings } from "../common/settings.js";

/** A program that runs on one machine, as long as it is not told to end in order. */
export interface RunningProgram {
  readonly stop: () => Promise<void>;
  /** Takes what a settings file that was read again says of other machines: the seeds. */
  readonly renew: (settings: Settings) => void;
}
