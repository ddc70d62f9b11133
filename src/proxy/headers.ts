/** Heads of requests and answers, as flat lists of names and values, in the order and case they came in. */
export type FlatHeaders = readonly string[];

export const ATTEMPT_ID_HEADER = "yewreel-try-id";
export const TIME_LEFT_HEADER = "yewreel-time-left-ms";
export const EXPECTED_WORKER_HEADER = "yewreel-expect-worker";
export const SERVER_SEAL_HEADER = "yewreel-server-seal";
export const WORKER_LOAD_HEADER = "yewreel-worker-load";
export const LABELS_HEADER = "yewreel-labels";
export const IDEMPOTENCY_KEY_HEADER = "yewreel-operation-key";
export const NOT_RUN_HEADER = "yewreel-not-run";

const OF_ONE_CONNECTION = new Set([
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

/** All heads but those of one connection, those that Connection names, and the given ones. */
export const forwardedHeaders = (headers: FlatHeaders, without: ReadonlySet<string>): string[] => {
  const named = new Set<string>();
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (isNamed(headers[at], "connection"))
      headers[at + 1]?.split(",").forEach((token) => named.add(token.trim().toLowerCase()));
  }
  const passed: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const [name, value] = [headers[at] ?? "", headers[at + 1] ?? ""];
    const lower = name.toLowerCase();
    if (!OF_ONE_CONNECTION.has(lower) && !named.has(lower) && !without.has(lower))
      passed.push(name, value);
  }
  return passed;
};

/** The first value under a name, which is given in small letters. */
export const headerValue = (headers: FlatHeaders, name: string): string | undefined => {
  for (let at = 0; at + 1 < headers.length; at += 2)
    if (isNamed(headers[at], name)) return headers[at + 1];
  return undefined;
};

/** Whether there is more than one value under a name. */
export const isRepeated = (headers: FlatHeaders, name: string): boolean => {
  let found = 0;
  for (let at = 0; at + 1 < headers.length; at += 2) if (isNamed(headers[at], name)) found += 1;
  return found > 1;
};

const isNamed = (head: string | undefined, name: string): boolean =>
  head !== undefined && head.length === name.length && head.toLowerCase() === name;
