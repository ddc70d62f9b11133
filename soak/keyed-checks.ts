/** Invariant checks of keyed operations in a soak run. */
import { BOUNDS } from "./bounds.js";
import { checkEach, formatSeconds, hadControllerContact, type Check } from "./check.js";
import type { KeyedRequestRecord, RunRecord } from "./history.js";
import { keyedAnswerTo, keyOf } from "./keyed-client.js";

/** Repeats are judged if they are sent at least this long after the response. */
const REPEAT_AFTER_US = 1_000_000;
/** A gateway must have stayed in contact for this long after it responded. */
const CONTACT_AFTER_US = 2_000_000;
/** So many keys may be refused as in progress after they were answered. */
const MAX_REFUSED_KEYS = 3;
const CONFLICT = 409;
const SUCCESS = 200;
/** Response statuses which guarantee that the request was not and will not be executed. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 409, 421, 429, 503]);

const groupByKey = (runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> => {
  const byKey = new Map<string, RunRecord[]>();
  runs.forEach((run) => {
    const key = keyOf(run.attemptId);
    byKey.set(key, [...(byKey.get(key) ?? []), run]);
  });
  return byKey;
};

/** An operation runs at most once, and never for a request that was said not to run. */
export const keysRunOnce: Check = ({ keyedRequests, runs }) => {
  const byKey = groupByKey(runs);
  return checkEach(keyedRequests, ({ key, attemptId, status, gateway, sentUs }) => {
    const runsOfKey = byKey.get(key) ?? [];
    const where = `${gateway}, ${formatSeconds(sentUs)}`;
    if (runsOfKey.length > 1) return `${key} ran ${runsOfKey.length} times (${where})`;
    const hasRun = runsOfKey.some((run) => run.attemptId === attemptId);
    return hasRun && status !== undefined && NOT_RUN_STATUSES.has(status)
      ? `${attemptId} ran, but its client got ${status} (${where})`
      : undefined;
  });
};

/** Every successful response to a key is the one of the attempt that ran. */
export const repeatsAgree: Check = ({ keyedRequests, runs }) => {
  const byKey = groupByKey(runs);
  return checkEach(
    keyedRequests.filter(({ status }) => status === SUCCESS),
    ({ key, attemptId, hasSeal, body, gateway, sentUs }) => {
      const ran = byKey.get(key)?.[0]?.attemptId;
      return hasSeal && ran !== undefined && body === keyedAnswerTo(ran)
        ? undefined
        : `${attemptId} got "${body.slice(0, 80)}" instead of the response to ${ran} (${gateway}, ${formatSeconds(sentUs)})`;
    },
  );
};

/**
 * A key that was answered by a gateway in contact with the controllers is not refused as in
 * progress afterwards, but for a few keys.
 */
export const answersAreKept: Check = ({ keyedRequests, faults }) => {
  const isInContact = (request: KeyedRequestRecord, afterUs: number): boolean =>
    hadControllerContact(faults, request.gateway, {
      sentUs: request.sentUs,
      endedUs: request.endedUs + afterUs,
    });
  const answeredUs = new Map<string, number>();
  keyedRequests
    .filter((request) => request.status === SUCCESS && isInContact(request, CONTACT_AFTER_US))
    .forEach(({ key, endedUs }) =>
      answeredUs.set(key, Math.min(endedUs, answeredUs.get(key) ?? endedUs)),
    );
  const repeats = keyedRequests.filter((request) => {
    const sinceUs = answeredUs.get(request.key);
    return (
      sinceUs !== undefined &&
      request.sentUs > sinceUs + REPEAT_AFTER_US &&
      request.sentUs < sinceUs + BOUNDS.keyWindowUs &&
      isInContact(request, 0)
    );
  });
  const refused = repeats.filter(({ status }) => status === CONFLICT);
  const refusedKeys = new Set(refused.map(({ key }) => key));
  const result = checkEach(repeats, ({ key, attemptId, status, gateway, sentUs }) =>
    status === CONFLICT
      ? `${attemptId} was refused as in progress, though ${key} was answered (${gateway}, ${formatSeconds(sentUs)})`
      : undefined,
  );
  return refusedKeys.size > MAX_REFUSED_KEYS ? result : { ...result, violations: [] };
};
