/** The interface between `main.ts` and the program that it starts. */
import type { Settings } from "../common/settings.js";
import type { Metric } from "./metrics-server.js";

/** A running program. */
export interface RunningProgram {
  /** Shuts the program down; resolves once it serves no more requests. */
  readonly stop: () => Promise<void>;
  /** Applies reloaded settings. Only the seed nodes take effect at runtime. */
  readonly applySettings: (settings: Settings) => void;
  /** The metrics of the program, in addition to those of the process. */
  readonly metrics: readonly Metric[];
}
