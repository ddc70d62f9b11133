/** Headers of requests and responses, and which of them are forwarded (RFC 9110, section 7.6.1). */

/** Headers as a flat list of names and values, in the order and case they came in. */
export type FlatHeaders = readonly string[];

/** The client's id of one attempt; a worker's response bears it too. */
export const ATTEMPT_ID_HEADER = "yewreel-try-id";
/** How long the client still waits, in milliseconds. */
export const TIME_LEFT_HEADER = "yewreel-time-left-ms";
/** The worker that a request is meant for; another one answers 421. */
export const EXPECTED_WORKER_HEADER = "yewreel-expect-worker";
/** A worker's seal on a response of its own. */
export const SERVER_SEAL_HEADER = "yewreel-server-seal";
/** A worker's load: requests running, requests queued, and its capacity. */
export const WORKER_LOAD_HEADER = "yewreel-worker-load";
/** Labels of an object, for purges. */
export const LABELS_HEADER = "yewreel-labels";
/** The idempotency key of an operation. */
export const IDEMPOTENCY_KEY_HEADER = "yewreel-operation-key";
/** A worker's word that it has not run the request and won't. */
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
 * All headers but the hop-by-hop ones, those that `Connection` names, and the given ones (in small
 * letters).
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

/** The first value under a name, which is given in small letters. */
export const headerValue = (headers: FlatHeaders, name: string): string | undefined => {
  for (let at = 0; at + 1 < headers.length; at += 2)
    if (isNamed(headers[at], name)) return headers[at + 1];
  return undefined;
};

/** Whether there is more than one value under a name, which is given in small letters. */
export const isRepeated = (headers: FlatHeaders, name: string): boolean => {
  let found = 0;
  for (let at = 0; at + 1 < headers.length; at += 2) if (isNamed(headers[at], name)) found += 1;
  return found > 1;
};

const isNamed = (header: string | undefined, name: string): boolean =>
  header?.length === name.length && header.toLowerCase() === name;
