/** Defective variants, each of which a check must detect. */
import { configurationOf, MAX_TRIES, type ProxyHarnessOptions } from "./proxy-harness.js";
import type { CheckName } from "./checks.js";
import type { SimulatedDefects } from "./scenario-run.js";

/**
 * A proxy server with an injected defect, or a correct one with a defect simulated around it, and
 * the check that must detect it.
 */
export interface Variant {
  readonly harness: ProxyHarnessOptions;
  readonly simulatedDefects: SimulatedDefects;
  readonly detectedBy: CheckName;
}

const INERT_TIMER = { stop: () => undefined };

/** The variants by their defect. */
export const VARIANTS: Readonly<Record<string, Variant>> = {
  "a response to another attempt is accepted": {
    harness: {},
    simulatedDefects: { forgesAttemptIds: true },
    detectedBy: "ownResponse",
  },
  "an unsafe request is treated as safe": {
    harness: {
      configuration: configurationOf(MAX_TRIES, (kind) => (kind === "unsafe" ? "safe" : kind)),
    },
    simulatedDefects: {},
    detectedBy: "atMostOnce",
  },
  "a request that ran is reported as not run": {
    harness: {},
    simulatedDefects: { runsRejectedRequests: true },
    detectedBy: "promiseKept",
  },
  "request bodies are altered": {
    harness: {},
    simulatedDefects: { altersBodies: true },
    detectedBy: "unchangedRequest",
  },
  "the limit on tries is exceeded": {
    harness: { configuration: configurationOf(MAX_TRIES + 2) },
    simulatedDefects: {},
    detectedBy: "maxTries",
  },
  "every key claim is granted": {
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
  "time-outs never expire": {
    harness: {
      clockOf: ({ nowUs }) => ({ nowUs, after: () => INERT_TIMER, every: () => INERT_TIMER }),
    },
    simulatedDefects: {},
    detectedBy: "answered",
  },
  "client disconnects are not detected": {
    harness: {},
    simulatedDefects: { keepsAbandonedConnections: true },
    detectedBy: "notAfterLeaving",
  },
  "calls to workers are never ended": {
    harness: {
      clockOf: ({ nowUs }) => ({ nowUs, after: () => INERT_TIMER, every: () => INERT_TIMER }),
    },
    simulatedDefects: {},
    detectedBy: "nothingLeftOpen",
  },
};
