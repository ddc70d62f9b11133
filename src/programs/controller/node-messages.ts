/**
 * Kinds of the requests and reports that nodes send over their sessions, and of the queries sent to
 * nodes on behalf of operators. The values are part of the wire protocol and must not change: nodes
 * of other releases use them.
 */

/** Requests from nodes to the control plane. */
export const NODE_REQUEST = {
  claimKey: "key-claim",
  completeKey: "key-done",
  releaseKeys: "key-free-all",
  leaseRetries: "retry-ask",
  leaseRate: "rate-ask",
} as const;

/** Replies of the control plane. */
export const NODE_REPLY = {
  claim: "claim",
  retryLeases: "retries",
} as const;

/** Reports from nodes, which get no reply. */
export const NODE_REPORT = {
  faults: "faults",
  canary: "rollout",
  load: "usage",
  releaseKey: "key-free",
  cacheStatus: "goods",
} as const;

/** Queries to nodes; the reply has the same kind. */
export const NODE_QUERY = {
  retries: "retries",
  reassignments: "moves",
  requestsSeen: "seen",
} as const;
