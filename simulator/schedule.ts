/**
 * The schedule of a simulated run: the size of the deployment, the requests of operators and the
 * injected faults, each with its time. Schedules are plain data, so that a failing one can be
 * shrunk and printed.
 */
import { SECOND_US } from "../src/common/duration.js";
import type { DiskFault } from "./simulated-disk.js";
import type { NetworkNoise } from "./simulated-network.js";

/** The size and fault tolerance of a simulated deployment. */
export interface Deployment {
  readonly controllers: number;
  readonly seeds: number;
  /** How many machines may be lost at the same time. */
  readonly withstandMachines: number;
}

export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  small: { controllers: 3, seeds: 3, withstandMachines: 1 },
  grown: { controllers: 5, seeds: 3, withstandMachines: 2 },
  large: { controllers: 7, seeds: 3, withstandMachines: 2 },
};

/** Returns the deployment of this name; throws if there is none. */
export const deploymentOf = (name: string): Deployment => {
  const deployment = DEPLOYMENTS[name];
  if (!deployment)
    throw new Error(
      `unknown deployment ${name}; expected one of ${Object.keys(DEPLOYMENTS).join(", ")}`,
    );
  return deployment;
};

/** An item of a configuration change. An empty body deletes the item. */
export interface Item {
  readonly key: string;
  readonly version: number;
  readonly body: string;
}

/** Which messages of a machine a partition blocks: those it sends, those it receives, or both. */
export type Direction = "both" | "from" | "to";

/**
 * How a process is stopped: by a kill, by a power loss (unsynced data may be lost), with its disk
 * wiped, or with one corrupted byte on its disk.
 */
export type StopMode = "kill" | "power-loss" | "wipe" | "corrupt";

/**
 * A request of an operator or an injected fault. `slot` is the index of a machine in the
 * deployment; `others` contains slots too.
 */
export type Event = { readonly atUs: number } & (
  | {
      readonly kind: "change";
      readonly id: number;
      readonly slot: number;
      readonly items: readonly Item[];
      /** An item that must exist for the change to be valid; empty if none. */
      readonly requires: string;
      /** Probability that the response does not reach the operator. */
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
  /** The machine is lost permanently; an empty one at another address replaces it after 1 s. */
  | { readonly kind: "replace"; readonly slot: number }
  /** The new machine starts first, then the old one shuts down gracefully. */
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

/** The input of a simulated run. */
export interface Schedule {
  readonly seed: number;
  readonly deployment: string;
  /**
   * Whether the faults may exceed the fault tolerance of the deployment; availability is then not
   * checked.
   */
  readonly exceedsTolerance: boolean;
  readonly events: readonly Event[];
  /** Spaces appended to each body. Large bodies cause paged reads and frequent snapshots. */
  readonly paddingBytes: number;
  /** When the last fault ends. */
  readonly faultsEndUs: number;
}

/** Options of a schedule besides its seed and its deployment. */
export interface ScheduleOptions {
  readonly exceedsTolerance: boolean;
  /** The most frequent kind of fault; if omitted, it is drawn from the seed. */
  readonly frequentFault?: FaultKind;
}

/** How long a machine still counts as lost after it is back. */
export const CATCH_UP_US = 4 * SECOND_US;
/** The maximum duration of a graceful shutdown. */
export const SHUTDOWN_TIMEOUT_US = 6 * SECOND_US;
/** The time between the permanent loss of a machine and the start of its replacement. */
export const REPLACEMENT_DELAY_US = 1 * SECOND_US;
/** How long a planned replacement runs before the old machine is told to shut down. */
export const REPLACEMENT_OVERLAP_US = 5 * SECOND_US;

/** An item that never exists: changes that require it are never valid. */
export const MISSING_ITEM = "service/never";

/** The kinds of faults, each repeated according to its weight in the random choice. */
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
