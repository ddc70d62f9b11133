import { planOf, TRIES, type RigOptions } from "./rig.js";
import type { CheckName } from "./checks.js";
import type { Lies } from "./world.js";

/** A front that is broken on purpose, or a world that lies to a sound one, and the check that must notice. */
export interface Variant {
  readonly rig: RigOptions;
  readonly lies: Lies;
  readonly noticedBy: CheckName;
}

const NEVER = { stop: () => undefined };

export const VARIANTS: Readonly<Record<string, Variant>> = {
  "another's answer passes as this try's": {
    rig: {},
    lies: { borrowsIds: true },
    noticedBy: "own",
  },
  "what can't be repeated is taken for repeatable": {
    rig: { plan: planOf(TRIES, (kind) => (kind === "unsafe" ? "safe" : kind)) },
    lies: {},
    noticedBy: "once",
  },
  "what has run is promised not to have": {
    rig: {},
    lies: { runsWhatItSheds: true },
    noticedBy: "promised",
  },
  "bodies change on their way": { rig: {}, lies: { alters: true }, noticedBy: "asked" },
  "tries are not counted": { rig: { plan: planOf(TRIES + 2) }, lies: {}, noticedBy: "fewTries" },
  "every claim of a key wins": {
    rig: {
      desk: ({ tell }) => ({
        tell,
        ask: async ({ kind }) => ({
          kind: "claim",
          ...(kind === "key-claim" ? { verdict: "won" } : { kept: true }),
        }),
      }),
    },
    lies: {},
    noticedBy: "oneRunAKey",
  },
  "no time ever runs out": {
    rig: { clockOf: ({ nowUs }) => ({ nowUs, after: () => NEVER, every: () => NEVER }) },
    lies: {},
    noticedBy: "answered",
  },
  "callers leave and nobody notices": {
    rig: {},
    lies: { leavesUnseen: true },
    noticedBy: "inTime",
  },
  "calls are never ended": {
    rig: { clockOf: ({ nowUs }) => ({ nowUs, after: () => NEVER, every: () => NEVER }) },
    lies: {},
    noticedBy: "allClosed",
  },
};
