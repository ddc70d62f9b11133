/**
 * The checks of a soak. Each reads a history and gives a sentence for each violation; some leave out
 * what the machine's own delays may have brought about, and count it.
 */
import { BOUNDS } from "./bounds.js";
import type { FaultRecord, History, RequestRecord, RunRecord } from "./history.js";

/** What a check found. */
export interface CheckResult {
  readonly violations: readonly string[];
  /** How many observations were judged, and how many left out for the machine's delays. */
  readonly judged: number;
  readonly skipped: number;
}

/** One check. */
export type Check = (history: History) => CheckResult;

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** How long a process may take beyond its grace period to be gone. */
const EXIT_SLACK_US = 1_000_000;

const formatSeconds = (us: number): string => `${(us / 1_000_000).toFixed(3)} s`;

const checkEach = <T>(
  items: readonly T[],
  findProblem: (item: T) => string | undefined,
): CheckResult => ({
  violations: items.flatMap((item) => findProblem(item) ?? []),
  judged: items.length,
  skipped: 0,
});

const groupByAttempt = (runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> => {
  const byAttempt = new Map<string, RunRecord[]>();
  runs.forEach((run) =>
    byAttempt.set(run.attemptId, [...(byAttempt.get(run.attemptId) ?? []), run]),
  );
  return byAttempt;
};

/** No unsafe request runs twice, and none whose response promised that it had not run. */
export const runsAtMostOnce: Check = ({ requests, runs }) => {
  const byAttempt = groupByAttempt(runs);
  const unsafe = requests.filter(({ isSafe }) => !isSafe);
  return checkEach(unsafe, ({ attemptId, gateway, status, sentUs }) => {
    const count = byAttempt.get(attemptId)?.length ?? 0;
    if (count > 1) return `${attemptId} ran ${count} times (${gateway}, ${formatSeconds(sentUs)})`;
    return count === 1 && status !== undefined && NOT_RUN_STATUSES.has(status)
      ? `${attemptId} ran, and its client got ${status} from ${gateway} (${formatSeconds(sentUs)})`
      : undefined;
  });
};

/** Every success has the worker's seal and the complete body of its own attempt. */
export const answersBelong: Check = ({ requests }) =>
  checkEach(
    requests.filter(({ status }) => status === 200),
    ({ attemptId, hasSeal, body, gateway, sentUs }) =>
      hasSeal && body === `answer to ${attemptId}`
        ? undefined
        : `${attemptId} got "${body}" from ${gateway} (${formatSeconds(sentUs)})`,
  );

const overlaps = (
  span: { readonly fromUs: number; readonly toUs: number },
  fromUs: number,
  toUs: number,
): boolean => span.fromUs <= toUs && span.toUs >= fromUs;

/** A gateway is in touch if nothing was done to it, or to a controller, in the contact time before. */
const hadControllerContact = (
  faults: readonly FaultRecord[],
  gateway: string,
  { sentUs, endedUs }: RequestRecord,
): boolean =>
  !faults.some(
    (fault) =>
      (fault.process === gateway || fault.process.startsWith("controller")) &&
      overlaps(fault, sentUs - BOUNDS.contactUs, endedUs),
  );

/** The versions that may be in force for a request: none older than what must be, none never sent. */
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

/** After `apply` past an acknowledgement no gateway in touch handles a request by an older version. */
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
      ? `${request.attemptId} was run by ${staleRun.service}, which only an older version allows (${request.gateway}, ${formatSeconds(request.sentUs)})`
      : undefined;
  });
  return { ...result, skipped: probes.length - judged.length };
};

/** A reading of the configuration holds all that was acknowledged before it began. */
export const readsAreCurrent: Check = ({ reads, changes, largeChanges }) =>
  checkEach(reads, ({ controller, startUs, probeVersion, routes }) => {
    const isBefore = (acknowledgedUs: number | undefined): boolean =>
      acknowledgedUs !== undefined && acknowledgedUs < startUs;
    const required = changes
      .filter(({ acknowledgedUs }) => isBefore(acknowledgedUs))
      .reduce((highest, { version }) => Math.max(highest, version), 0);
    if (probeVersion < required)
      return `${controller} showed version ${probeVersion} after ${required} was acknowledged (${formatSeconds(startUs)})`;
    const missing = largeChanges
      .filter(({ acknowledgedUs }) => isBefore(acknowledgedUs))
      .flatMap((change) => change.routes)
      .find((route) => !routes.has(route));
    return missing === undefined
      ? undefined
      : `${controller} lacked the acknowledged route ${missing} (${formatSeconds(startUs)})`;
  });

/** A gateway that was only told to end cuts off no request that a worker has begun. */
export const drainsCutNothing: Check = ({ requests, runs, faults }) => {
  const byAttempt = groupByAttempt(runs);
  const requestsDuringDrain = requests.filter(
    ({ gateway, sentUs, endedUs }) =>
      faults.some(
        ({ process, kind, fromUs }) =>
          process === gateway &&
          kind === "term" &&
          fromUs <= endedUs &&
          sentUs <= fromUs + 3_000_000,
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
      ? `${attemptId} was cut off by ${gateway}, which was told to end (${formatSeconds(sentUs)})`
      : undefined,
  );
};

/** Processes end when they are told to, within their grace period, and not by themselves. */
export const exitsAreAsked: Check = ({ exits }) =>
  checkEach(exits, ({ process, atUs, code, termUs, wasKilled }) => {
    if (wasKilled) return undefined;
    if (termUs === undefined)
      return `${process} ended by itself with ${code} (${formatSeconds(atUs)})`;
    if (code !== 0) return `${process} ended with ${code} after SIGTERM (${formatSeconds(atUs)})`;
    return atUs - termUs > BOUNDS.graceUs + EXIT_SLACK_US
      ? `${process} took ${formatSeconds(atUs - termUs)} to end`
      : undefined;
  });

/** All checks by name. */
export const CHECKS: Readonly<Record<string, Check>> = {
  "runs-at-most-once": runsAtMostOnce,
  "answers-belong": answersBelong,
  "configuration-in-force": configurationInForce,
  "reads-are-current": readsAreCurrent,
  "drains-cut-nothing": drainsCutNothing,
  "exits-are-asked": exitsAreAsked,
};
