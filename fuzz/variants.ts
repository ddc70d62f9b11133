/** Broken variants, each of which one check must notice. */
import { configurationOf, MAX_TRIES, type ProxyHarnessOptions } from "./proxy-harness.js";
import type { CheckName } from "./checks.js";
import type { SimulatedDefects } from "./scenario-run.js";

/**
 * A proxy server that is broken on purpose, or a sound one that is deceived, and the check that
 * must notice.
 */
export interface Variant {
  readonly harness: ProxyHarnessOptions;
  readonly simulatedDefects: SimulatedDefects;
  readonly detectedBy: CheckName;
}

const INERT_TIMER = { stop: () => undefined };

export const VARIANTS: Readonly<Record<string, Variant>> = {
  "another's answer passes as this try's": {
    harness: {},
    simulatedDefects: { forgesAttemptIds: true },
    detectedBy: "ownResponse",
  },
  "what can't be repeated is taken for repeatable": {
    harness: {
      configuration: configurationOf(MAX_TRIES, (kind) => (kind === "unsafe" ? "safe" : kind)),
    },
    simulatedDefects: {},
    detectedBy: "atMostOnce",
  },
  "what has run is promised not to have": {
    harness: {},
    simulatedDefects: { runsRejectedRequests: true },
    detectedBy: "promiseKept",
  },
  "bodies change on their way": {
    harness: {},
    simulatedDefects: { altersBodies: true },
    detectedBy: "unchangedRequest",
  },
  "tries are not counted": {
    harness: { configuration: configurationOf(MAX_TRIES + 2) },
    simulatedDefects: {},
    detectedBy: "maxTries",
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
    simulatedDefects: {},
    detectedBy: "oneRunPerKey",
  },
  "no time ever runs out": {
    harness: {
      clockOf: ({ nowUs }) => ({ nowUs, after: () => INERT_TIMER, every: () => INERT_TIMER }),
    },
    simulatedDefects: {},
    detectedBy: "answered",
  },
  "callers leave and nobody notices": {
    harness: {},
    simulatedDefects: { keepsAbandonedConnections: true },
    detectedBy: "notAfterLeaving",
  },
  "calls are never ended": {
    harness: {
      clockOf: ({ nowUs }) => ({ nowUs, after: () => INERT_TIMER, every: () => INERT_TIMER }),
    },
    simulatedDefects: {},
    detectedBy: "nothingLeftOpen",
  },
};
