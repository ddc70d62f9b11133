/** What `main.ts` holds of the program that it has started. */
import type { Settings } from "../common/settings.js";
import type { Figure } from "./metrics-server.js";

/** A program that runs on one machine until it is stopped in order. */
export interface RunningProgram {
  /** Shuts the program down; resolves once it no longer serves anybody. */
  readonly stop: () => Promise<void>;
  /** Applies what a settings file that was read again says of other machines: the seed nodes. */
  readonly applySettings: (settings: Settings) => void;
  /** What the program tells of itself to those who watch it. */
  readonly figures: readonly Figure[];
}
