/** Schedules of faults and configuration changes, drawn from a seed. */
import { SeededRandom } from "../simulator/seeded-random.js";

/** An action and its time in milliseconds from the start of the run. */
export type Action =
  | { readonly kind: "move-probe" | "add-routes" | "send-invalid" | "read"; readonly atMs: number }
  | { readonly kind: "kill-all-controllers"; readonly atMs: number }
  | { readonly kind: "lose-disk"; readonly atMs: number; readonly slot: number }
  | {
      readonly kind: "terminate" | "kill" | "freeze";
      readonly atMs: number;
      readonly role: "gateway" | "controller";
      readonly slot: number;
    };

/** The actions of a run, in order of time. */
export interface SoakSchedule {
  readonly seed: number;
  readonly durationMs: number;
  readonly actions: readonly Action[];
}

const MEAN_CHANGE_INTERVAL_MS = 900;
const MEAN_READ_INTERVAL_MS = 400;
const MEAN_FAULT_INTERVAL_MS = 2_500;
/** Probability that controllers lose their disks in turn during a run. */
const DISK_LOSSES_PROBABILITY = 0.4;
const MEAN_DISK_LOSS_INTERVAL_MS = 6_000;
/** No fault begins this close to the end, so that all programs are up again for the final reads. */
const FAULT_FREE_END_MS = 6_000;
const FAULTS = ["terminate", "kill", "freeze"] as const;
const ALL_CONTROLLERS_PROBABILITY = 0.1;
/** Probability that a fault of a single program hits a gateway, not a controller. */
const GATEWAY_PROBABILITY = 0.65;
const LARGE_CHANGE_PROBABILITY = 0.1;
const INVALID_PROBABILITY = 0.1;
/** Upper bound of slots, which are taken modulo the number of programs of the role. */
const MAX_SLOT = 10_000;

/** Draws an interval between 0.5 and 1.5 times the mean. */
const drawIntervalMs = (meanMs: number, random: SeededRandom): number =>
  meanMs / 2 + random.integer(0, meanMs);

const drawTimesMs = (meanMs: number, untilMs: number, random: SeededRandom): readonly number[] => {
  const times: number[] = [];
  for (let atMs = random.integer(0, meanMs); atMs < untilMs; atMs += drawIntervalMs(meanMs, random))
    times.push(atMs);
  return times;
};

const drawFault = (atMs: number, random: SeededRandom): Action => {
  if (random.occurs(ALL_CONTROLLERS_PROBABILITY)) return { kind: "kill-all-controllers", atMs };
  const role = random.occurs(GATEWAY_PROBABILITY) ? "gateway" : "controller";
  return { kind: random.pick(FAULTS), atMs, role, slot: random.integer(0, MAX_SLOT) };
};

const drawChange = (atMs: number, random: SeededRandom): Action => {
  if (random.occurs(LARGE_CHANGE_PROBABILITY)) return { kind: "add-routes", atMs };
  return { kind: random.occurs(INVALID_PROBABILITY) ? "send-invalid" : "move-probe", atMs };
};

const drawDiskLosses = (durationMs: number, random: SeededRandom): readonly Action[] =>
  random.occurs(DISK_LOSSES_PROBABILITY)
    ? drawTimesMs(MEAN_DISK_LOSS_INTERVAL_MS, durationMs - FAULT_FREE_END_MS, random).map(
        (atMs): Action => ({ kind: "lose-disk", atMs, slot: random.integer(0, MAX_SLOT) }),
      )
    : [];

/** Draws a schedule; the same seed and duration give the same schedule. */
export const drawSchedule = (seed: number, durationMs: number): SoakSchedule => {
  const random = new SeededRandom(seed);
  const actions: Action[] = [
    ...drawTimesMs(MEAN_CHANGE_INTERVAL_MS, durationMs - 2_000, random).map((atMs) =>
      drawChange(atMs, random),
    ),
    ...drawTimesMs(MEAN_READ_INTERVAL_MS, durationMs, random).map((atMs): Action => ({
      kind: "read",
      atMs,
    })),
    ...drawTimesMs(MEAN_FAULT_INTERVAL_MS, durationMs - FAULT_FREE_END_MS, random).map((atMs) =>
      drawFault(atMs, random),
    ),
    ...drawDiskLosses(durationMs, random),
  ];
  return { seed, durationMs, actions: actions.sort((one, other) => one.atMs - other.atMs) };
};
