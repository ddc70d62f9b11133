/** Broken variants, each of which one check must notice. */
import { configurationOf, MAX_TRIES, type ProxyHarnessOptions } from "./proxy-harness.js";
import type { CheckName } from "./checks.js";
import type { Deceptions } from "./scenario-run.js";

/**
 * A proxy server that is broken on purpose, or a sound one that is deceived, and the check that
 * must notice.
 */
export interface Variant {
  readonly harness: ProxyHarnessOptions;
  readonly deceptions: Deceptions;
  readonly noticedBy: CheckName;
}

const NEVER = { stop: () => undefined };

export const VARIANTS: Readonly<Record<string, Variant>> = {
  "another's answer passes as this try's": {
    harness: {},
    deceptions: { borrowsAttemptIds: true },
    noticedBy: "ownResponse",
  },
  "what can't be repeated is taken for repeatable": {
    harness: {
      configuration: configurationOf(MAX_TRIES, (kind) => (kind === "unsafe" ? "safe" : kind)),
    },
    deceptions: {},
    noticedBy: "atMostOnce",
  },
  "what has run is promised not to have": {
    harness: {},
    deceptions: { runsWhatItRejects: true },
    noticedBy: "promiseKept",
  },
  "bodies change on their way": {
    harness: {},
    deceptions: { altersBodies: true },
    noticedBy: "unchangedRequest",
  },
  "tries are not counted": {
    harness: { configuration: configurationOf(MAX_TRIES + 2) },
    deceptions: {},
    noticedBy: "maxTries",
  },
  "every claim of a key wins": {
    harness: {
      keyServiceOf: ({ notify }) => ({
        notify,
        ask: async ({ kind }) => ({
          kind: "claim",
          ...(kind === "key-claim" ? { verdict: "won" } : { kept: true }),
        }),
      }),
    },
    deceptions: {},
    noticedBy: "oneRunPerKey",
  },
  "no time ever runs out": {
    harness: { clockOf: ({ nowUs }) => ({ nowUs, after: () => NEVER, every: () => NEVER }) },
    deceptions: {},
    noticedBy: "answered",
  },
  "callers leave and nobody notices": {
    harness: {},
    deceptions: { hidesClientLeaving: true },
    noticedBy: "notAfterLeaving",
  },
  "calls are never ended": {
    harness: { clockOf: ({ nowUs }) => ({ nowUs, after: () => NEVER, every: () => NEVER }) },
    deceptions: {},
    noticedBy: "nothingLeftOpen",
  },
};
