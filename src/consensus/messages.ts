/** The messages that replicas exchange, as they are on the wire. */

/** The kinds of requests that `ReplicatedStore.handleRequest` takes. */
export const CONSENSUS_MESSAGE_KINDS: ReadonlySet<string> = new Set([
  "promise",
  "accept",
  "read",
  "contact",
  "roster-promise",
  "roster-accept",
]);
