/** What a run does to its processes and its configuration, drawn from a seed. */
import { RandomDraws } from "./random-draws.js";

/** One thing that is done, and when, in milliseconds from the start. */
export type Action =
  | { readonly kind: "move-probe" | "add-routes" | "send-invalid" | "read"; readonly atMs: number }
  | { readonly kind: "kill-all-controllers"; readonly atMs: number }
  | {
      readonly kind: "terminate" | "kill" | "freeze";
      readonly atMs: number;
      readonly role: "gateway" | "controller";
      readonly slot: number;
    };

/** A run's actions, in order. */
export interface SoakSchedule {
  readonly seed: number;
  readonly durationMs: number;
  readonly actions: readonly Action[];
}

const CHANGE_GAP_MS = 900;
const READ_GAP_MS = 400;
const FAULT_GAP_MS = 2_500;
/** No fault begins so near to the end, so that all are up again when everything is read back. */
const QUIET_END_MS = 6_000;

const everyMs = (gapMs: number, untilMs: number, random: RandomDraws): readonly number[] => {
  const times: number[] = [];
  for (let atMs = random.below(gapMs); atMs < untilMs; atMs += gapMs / 2 + random.below(gapMs))
    times.push(atMs);
  return times;
};

const drawFault = (atMs: number, random: RandomDraws): Action => {
  const draw = random.below(10);
  if (draw === 0) return { kind: "kill-all-controllers", atMs };
  const role = draw < 7 ? "gateway" : "controller";
  const kinds = ["terminate", "kill", "freeze"] as const;
  return { kind: random.pick(kinds), atMs, role, slot: random.below(16) };
};

const drawChange = (atMs: number, random: RandomDraws): Action => {
  const draw = random.below(10);
  if (draw === 0) return { kind: "add-routes", atMs };
  return { kind: draw === 1 ? "send-invalid" : "move-probe", atMs };
};

/** Draws the schedule of a seed. */
export const drawSchedule = (seed: number, durationMs: number): SoakSchedule => {
  const random = new RandomDraws(seed);
  const actions: Action[] = [
    ...everyMs(CHANGE_GAP_MS, durationMs - 2_000, random).map((atMs) => drawChange(atMs, random)),
    ...everyMs(READ_GAP_MS, durationMs, random).map((atMs): Action => ({ kind: "read", atMs })),
    ...everyMs(FAULT_GAP_MS, durationMs - QUIET_END_MS, random).map((atMs) =>
      drawFault(atMs, random),
    ),
  ];
  return { seed, durationMs, actions: actions.sort((one, other) => one.atMs - other.atMs) };
};
