/**
 * What a simulated run consists of: the size of the deployment, the changes that operators send,
 * and the faults that are injected, each at its moment. Plain data, so that a failing schedule can
 * be shrunk and shown.
 */
import { SECOND_US } from "../src/common/duration.js";
import type { DiskFault } from "./simulated-disk.js";
import type { NetworkNoise } from "./simulated-network.js";

export interface Deployment {
  readonly controllers: number;
  readonly seeds: number;
  /** How many machines may be lost at once. */
  readonly withstandMachines: number;
}

export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  small: { controllers: 3, seeds: 3, withstandMachines: 1 },
  grown: { controllers: 5, seeds: 3, withstandMachines: 2 },
  large: { controllers: 7, seeds: 3, withstandMachines: 2 },
};

/** The deployment of this name; throws if there is none. */
export const deploymentOf = (name: string): Deployment => {
  const deployment = DEPLOYMENTS[name];
  if (!deployment) throw new Error(`${name} is none of ${Object.keys(DEPLOYMENTS).join(", ")}`);
  return deployment;
};

/** One item of a change: its key, version and body; an empty body deletes the item. */
export interface Item {
  readonly key: string;
  readonly version: number;
  readonly body: string;
}

/** Which messages of a machine a partition stops: those it sends, those it receives, or both. */
export type Direction = "both" | "from" | "to";

/**
 * How a process ends: killed, with its power (unsynced data may go), with its disk, or with one
 * corrupt byte on disk.
 */
export type StopMode = "kill" | "power-loss" | "wipe" | "corrupt";

/**
 * What happens besides the system's own work. `slot` is a machine's index in the deployment;
 * `others` are slots too.
 */
export type Event = { readonly atUs: number } & (
  | {
      readonly kind: "change";
      readonly id: number;
      readonly slot: number;
      readonly items: readonly Item[];
      /** An item that must exist for the change to be valid; empty if none. */
      readonly requires: string;
      /** Probability that the answer does not reach the operator. */
      readonly answerLossProbability: number;
    }
  | { readonly kind: "resend"; readonly id: number; readonly slot: number }
  | { readonly kind: "read"; readonly slot: number }
  | { readonly kind: StopMode; readonly slot: number; readonly downUs: number }
  | { readonly kind: "freeze"; readonly slot: number; readonly durationUs: number }
  | {
      readonly kind: "partition";
      readonly slot: number;
      readonly others: readonly number[];
      readonly direction: Direction;
      readonly durationUs: number;
    }
  | {
      readonly kind: "disk-fault";
      readonly slot: number;
      readonly fault: DiskFault;
      readonly durationUs: number;
    }
  /** The machine is lost for good, and an empty one comes a second later at another address. */
  | { readonly kind: "replace"; readonly slot: number }
  /** The new machine comes first, and the old one shuts down gracefully. */
  | { readonly kind: "planned-replace"; readonly slot: number }
  | {
      readonly kind: "stop-all";
      readonly byPower: boolean;
      readonly wiped: readonly number[];
      readonly corrupted: readonly number[];
      readonly downUs: readonly number[];
    }
  | { readonly kind: "noise"; readonly noise: NetworkNoise; readonly durationUs: number }
);

export interface Schedule {
  readonly seed: number;
  readonly deployment: string;
  /**
   * Whether more may be lost at once than the deployment withstands; then availability is not
   * checked.
   */
  readonly exceedsTolerance: boolean;
  readonly events: readonly Event[];
  /** Blanks after each body; with many, reads are paged and snapshots are due often. */
  readonly paddingBytes: number;
  /** When the last fault is over. */
  readonly faultsEndUs: number;
}

/** What may be chosen of a schedule besides its seed and its deployment. */
export interface ScheduleOptions {
  readonly exceedsTolerance: boolean;
  /** The kind of fault that comes most often; left out, the seed picks it. */
  readonly frequentFault?: FaultKind;
}

/** For so long after its return a machine still counts as lost. */
export const CATCH_UP_US = 4 * SECOND_US;
/** A graceful shutdown takes no longer. */
export const SHUTDOWN_TIMEOUT_US = 6 * SECOND_US;
/** After a machine was lost for good, its replacement comes so much later. */
export const REPLACEMENT_DELAY_US = 1 * SECOND_US;
/** A planned replacement is up for so long before the old machine is told to shut down. */
export const REPLACEMENT_OVERLAP_US = 5 * SECOND_US;

/** An item that never exists, so that changes that require it are never valid. */
export const MISSING_ITEM = "service/never";

/** The kinds of faults, as often as their weight in the draw. */
export const FAULT_KINDS = [
  "kill",
  "kill",
  "power-loss",
  "power-loss",
  "wipe",
  "wipe",
  "corrupt",
  "corrupt",
  "freeze",
  "freeze",
  "partition",
  "partition",
  "disk-fault",
  "replace",
  "replace",
  "planned-replace",
  "stop-all",
  "noise",
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

export const faultKindOf = (name: string): FaultKind | undefined =>
  FAULT_KINDS.find((kind) => kind === name);
