/**
 * The requests and reports that come from nodes over their sessions, and what nodes are asked on an
 * operator's behalf. The strings are on the wire: nodes of other releases write and read them too.
 */

/** What nodes ask of the control plane. */
export const NODE_REQUEST = {
  claimKey: "key-claim",
  completeKey: "key-done",
  leaseRetries: "retry-ask",
  leaseRate: "rate-ask",
} as const;

/** What the control plane replies. */
export const NODE_REPLY = {
  claim: "claim",
  retryLeases: "retries",
} as const;

/** What nodes report without waiting for a reply. */
export const NODE_REPORT = {
  faults: "faults",
  canary: "rollout",
  load: "usage",
  releaseKey: "key-free",
  cacheStatus: "goods",
} as const;

/** What nodes are asked; each answers with a message of the same kind. */
export const NODE_QUERY = {
  retries: "retries",
  reassignments: "moves",
  requestsSeen: "seen",
} as const;
