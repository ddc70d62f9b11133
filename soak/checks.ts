/**
 * Invariant checks of a soak run. Each check reads a history and reports one message per violation.
 * Some skip observations that may have been caused by delays of the host machine, and count them.
 */
import { BOUNDS } from "./bounds.js";
import { checkEach, formatSeconds, hadControllerContact, overlaps, type Check } from "./check.js";
import type { History, RequestRecord, RunRecord } from "./history.js";
import { answersAreKept, keysRunOnce, repeatsAgree } from "./keyed-checks.js";

/** Response statuses which guarantee that the request was not and will not be executed. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** How long a process may take to exit beyond its grace period. */
const EXIT_SLACK_US = 1_000_000;

const groupByAttempt = (runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> => {
  const byAttempt = new Map<string, RunRecord[]>();
  runs.forEach((run) =>
    byAttempt.set(run.attemptId, [...(byAttempt.get(run.attemptId) ?? []), run]),
  );
  return byAttempt;
};

/**
 * An unsafe request is executed at most once, and never if its response status guarantees that it
 * was not executed.
 */
export const runsAtMostOnce: Check = ({ requests, runs }) => {
  const byAttempt = groupByAttempt(runs);
  const unsafe = requests.filter(({ isSafe }) => !isSafe);
  return checkEach(unsafe, ({ attemptId, gateway, status, sentUs }) => {
    const count = byAttempt.get(attemptId)?.length ?? 0;
    if (count > 1) return `${attemptId} ran ${count} times (${gateway}, ${formatSeconds(sentUs)})`;
    return count === 1 && status !== undefined && NOT_RUN_STATUSES.has(status)
      ? `${attemptId} ran, but its client got ${status} from ${gateway} (${formatSeconds(sentUs)})`
      : undefined;
  });
};

/** Every 200 response carries the worker's seal and the complete body for its own attempt. */
export const answersBelong: Check = ({ requests }) =>
  checkEach(
    requests.filter(({ status }) => status === 200),
    ({ attemptId, hasSeal, body, gateway, sentUs }) =>
      hasSeal && body === `answer to ${attemptId}`
        ? undefined
        : `${attemptId} got "${body}" from ${gateway} (${formatSeconds(sentUs)})`,
  );

/**
 * Services that may handle a probe request. Excluded are versions older than the newest one
 * acknowledged more than `applyUs` before the request, and versions sent only after its end.
 */
const allowedServices = (
  { changes }: History,
  { sentUs, endedUs }: RequestRecord,
): ReadonlySet<string> => {
  const required = changes
    .filter(
      ({ acknowledgedUs }) =>
        acknowledgedUs !== undefined && acknowledgedUs + BOUNDS.applyUs < sentUs,
    )
    .reduce((highest, { version }) => Math.max(highest, version), 0);
  return new Set(
    changes
      .filter(({ version, sentUs: changeUs }) => version >= required && changeUs <= endedUs)
      .map(({ service }) => service),
  );
};

/**
 * Once `applyUs` has passed since a change was acknowledged, no gateway in contact with the
 * controllers handles a request by an older version.
 */
export const configurationInForce: Check = (history) => {
  const { requests, runs, faults, machineDelays } = history;
  const byAttempt = groupByAttempt(runs);
  const probes = requests.filter(
    (request) => request.isProbe && hadControllerContact(faults, request.gateway, request),
  );
  const judged = probes.filter(
    ({ sentUs, endedUs }) =>
      !machineDelays.some((delay) => overlaps(delay, sentUs - BOUNDS.applyUs, endedUs)),
  );
  const result = checkEach(judged, (request) => {
    const allowed = allowedServices(history, request);
    const staleRun = (byAttempt.get(request.attemptId) ?? []).find(
      ({ service }) => !allowed.has(service),
    );
    return staleRun
      ? `${request.attemptId} was handled by ${staleRun.service}, which is valid only in an older version (${request.gateway}, ${formatSeconds(request.sentUs)})`
      : undefined;
  });
  return { ...result, skipped: probes.length - judged.length };
};

/** A configuration read includes every change that was acknowledged before the read began. */
export const readsAreCurrent: Check = ({ reads, changes, largeChanges }) =>
  checkEach(reads, ({ controller, startUs, probeVersion, routes }) => {
    const isBefore = (acknowledgedUs: number | undefined): boolean =>
      acknowledgedUs !== undefined && acknowledgedUs < startUs;
    const required = changes
      .filter(({ acknowledgedUs }) => isBefore(acknowledgedUs))
      .reduce((highest, { version }) => Math.max(highest, version), 0);
    if (probeVersion < required)
      return `${controller} returned version ${probeVersion} after ${required} was acknowledged (${formatSeconds(startUs)})`;
    const missing = largeChanges
      .filter(({ acknowledgedUs }) => isBefore(acknowledgedUs))
      .flatMap((change) => change.routes)
      .find((route) => !routes.has(route));
    return missing === undefined
      ? undefined
      : `${controller} is missing the acknowledged route ${missing} (${formatSeconds(startUs)})`;
  });

/**
 * A gateway that drains after SIGTERM, and was not also killed or frozen, aborts no request that a
 * worker has begun to execute.
 */
export const drainsCutNothing: Check = ({ requests, runs, faults }) => {
  const byAttempt = groupByAttempt(runs);
  const requestsDuringDrain = requests.filter(
    ({ gateway, sentUs, endedUs }) =>
      faults.some(
        ({ process, kind, fromUs }) =>
          process === gateway &&
          kind === "term" &&
          fromUs <= endedUs &&
          sentUs <= fromUs + BOUNDS.graceUs,
      ) &&
      !faults.some(
        (other) =>
          other.process === gateway &&
          (other.kind === "kill" || other.kind === "stop") &&
          overlaps(other, sentUs - BOUNDS.contactUs, endedUs),
      ),
  );
  return checkEach(requestsDuringDrain, ({ attemptId, status, gateway, sentUs }) =>
    status === undefined && byAttempt.has(attemptId)
      ? `${attemptId} was aborted by ${gateway} while it was draining (${formatSeconds(sentUs)})`
      : undefined,
  );
};

/** A process exits only on SIGTERM or SIGKILL; on SIGTERM with code 0 within its grace period. */
export const exitsAreAsked: Check = ({ exits }) =>
  checkEach(exits, ({ process, atUs, code, termUs, wasKilled }) => {
    if (wasKilled) return undefined;
    if (termUs === undefined)
      return `${process} exited unexpectedly with code ${code} (${formatSeconds(atUs)})`;
    if (code !== 0)
      return `${process} exited with code ${code} after SIGTERM (${formatSeconds(atUs)})`;
    return atUs - termUs > BOUNDS.graceUs + EXIT_SLACK_US
      ? `${process} took ${formatSeconds(atUs - termUs)} to exit after SIGTERM`
      : undefined;
  });

/** All checks, by the name under which results report them. */
export const CHECKS: Readonly<Record<string, Check>> = {
  "runs-at-most-once": runsAtMostOnce,
  "answers-belong": answersBelong,
  "configuration-in-force": configurationInForce,
  "reads-are-current": readsAreCurrent,
  "drains-cut-nothing": drainsCutNothing,
  "exits-are-asked": exitsAreAsked,
  "keys-run-once": keysRunOnce,
  "repeats-agree": repeatsAgree,
  "answers-are-kept": answersAreKept,
};
