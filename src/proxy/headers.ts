/** Request and response headers, and which of them are forwarded (RFC 9110, section 7.6.1). */

/** Headers as a flat list of alternating names and values, in their original order and case. */
export type FlatHeaders = readonly string[];

/** The client's id of an attempt, which the worker echoes in its response. */
export const ATTEMPT_ID_HEADER = "yewreel-try-id";
/** The client's remaining time until its deadline, in milliseconds. */
export const TIME_LEFT_HEADER = "yewreel-time-left-ms";
/** The id of the intended worker; any other worker responds with 421. */
export const EXPECTED_WORKER_HEADER = "yewreel-expect-worker";
/** The seal with which a worker marks its own responses. */
export const SERVER_SEAL_HEADER = "yewreel-server-seal";
/** A worker's load: running requests, queued requests and capacity. */
export const WORKER_LOAD_HEADER = "yewreel-worker-load";
/** Labels of an object, used for purges. */
export const LABELS_HEADER = "yewreel-labels";
/** The idempotency key of an operation. */
export const IDEMPOTENCY_KEY_HEADER = "yewreel-operation-key";
/** The key by which a sharded service divides its work, from 0 to 65535. */
export const SHARD_KEY_HEADER = "yewreel-shard-key";
/** The id of the worker that responds. */
export const WORKER_ID_HEADER = "yewreel-worker-id";
/** The client's API key; never forwarded. */
export const API_KEY_HEADER = "yewreel-credential";
/** The name of the customer that holds the client's API key, for the worker. */
export const CUSTOMER_HEADER = "yewreel-customer";
/** Set by a worker that did not run the request and will not run it. */
export const NOT_RUN_HEADER = "yewreel-not-run";

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Returns all headers except hop-by-hop headers, headers named in `Connection`, and the given ones
 * (in lower case).
 */
export const forwardedHeaders = (headers: FlatHeaders, excluded: ReadonlySet<string>): string[] => {
  const named = new Set<string>();
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (isNamed(headers[at], "connection"))
      headers[at + 1]?.split(",").forEach((token) => named.add(token.trim().toLowerCase()));
  }
  const forwarded: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const [name, value] = [headers[at] ?? "", headers[at + 1] ?? ""];
    const lowerName = name.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(lowerName) && !named.has(lowerName) && !excluded.has(lowerName))
      forwarded.push(name, value);
  }
  return forwarded;
};

/** Returns the first value of a header, whose name is given in lower case. */
export const headerValue = (headers: FlatHeaders, name: string): string | undefined => {
  for (let at = 0; at + 1 < headers.length; at += 2)
    if (isNamed(headers[at], name)) return headers[at + 1];
  return undefined;
};

/** Returns whether a header, whose name is given in lower case, occurs more than once. */
export const isRepeated = (headers: FlatHeaders, name: string): boolean => {
  let found = 0;
  for (let at = 0; at + 1 < headers.length; at += 2) if (isNamed(headers[at], name)) found += 1;
  return found > 1;
};

const isNamed = (header: string | undefined, name: string): boolean =>
  header?.length === name.length && header.toLowerCase() === name;
