/** What must hold of a run, matched against what both sides of the proxy server saw. */
import { createHash } from "node:crypto";
import type { ClientResponse } from "./raw-client.js";
import { MAX_TRIES } from "./proxy-harness.js";

export const digestOf = (body: string): string =>
  createHash("sha1").update(body, "latin1").digest("hex").slice(0, 12);

/** One attempt, as its client sent it. */
export interface SentRequest {
  readonly attemptId: string;
  /** Attempts of one operation differ in id alone; all after the first follow a promise. */
  readonly operation: string;
  readonly kind: "safe" | "unsafe" | "keyed";
  readonly method: string;
  readonly path: string;
  readonly digest: string;
  /** A long body on its connection is streamed, so that the client left is read only after it. */
  readonly isBehindStreamedBody: boolean;
  readonly key: string;
  readonly sentUs: number;
  /** When its client was gone for good, if it left before it was answered. */
  disconnectedUs: number | undefined;
  /**
   * Its client waited beyond the time it gave, nothing stalled meanwhile, and no response before
   * closed the connection.
   */
  isResponseDue: boolean;
  /** The complete response at its place on the connection. */
  response: ClientResponse | undefined;
}

/** One complete request, as a worker read it. */
export interface ReceivedRequest {
  readonly worker: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly digest: string;
  readonly ran: boolean;
}

/** One response that a worker wrote to this attempt. */
export interface WrittenResponse {
  readonly attemptId: string;
  readonly status: number;
  readonly seal: string;
  readonly digest: string;
}

/** Both sides of a run, each as it was seen on its own sockets. */
export interface History {
  readonly sent: readonly SentRequest[];
  readonly received: readonly ReceivedRequest[];
  readonly written: readonly WrittenResponse[];
  /** When the first bytes of an attempt came to a worker. */
  readonly firstBytes: readonly { readonly attemptId: string; readonly atUs: number }[];
  /** Attempts whose response a worker broke off. */
  readonly interrupted: ReadonlySet<string>;
  /** Requests still open at the proxy server once every client had gone. */
  readonly openAtEnd: number;
}

export type Check = (history: History) => readonly string[];

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const CLOSE_DETECTION_US = 60_000;

const runsOf = ({ received }: History, attemptId: string): number =>
  received.filter((one) => one.ran && one.attemptId === attemptId).length;

/** Each response is its client's own and complete; of keyed requests, that of the key's run. */
const ownResponse: Check = ({ sent, written }) =>
  sent.flatMap(({ attemptId, key, kind, method, response }) => {
    if (!response) return [];
    if (response.attemptId !== "" && response.attemptId !== attemptId)
      return [`${attemptId} got the response of ${response.attemptId}`];
    if (response.seal === "")
      return response.status < 300 ? [`${attemptId} got ${response.status} without a seal`] : [];
    const ids = new Set(
      kind === "keyed"
        ? sent.filter((other) => other.key === key).map((other) => other.attemptId)
        : [attemptId],
    );
    const match = written.some(
      (one) =>
        ids.has(one.attemptId) &&
        one.seal === response.seal &&
        one.status === response.status &&
        (method === "HEAD" || one.digest === digestOf(response.body)),
    );
    return match
      ? []
      : [`${attemptId} got ${response.status} ${response.seal}, which no worker answered it`];
  });

/** What is not idempotent runs once at most, over all attempts of its operation. */
const atMostOnce: Check = (history) => {
  const runs = new Map<string, number>();
  history.sent
    .filter(({ kind }) => kind !== "safe")
    .forEach(({ operation, attemptId }) =>
      runs.set(operation, (runs.get(operation) ?? 0) + runsOf(history, attemptId)),
    );
  return [...runs]
    .filter(([, count]) => count > 1)
    .map(([operation, count]) => `${operation} ran ${count} times`);
};

/** What was promised not to have run has not run, and never does. */
const promiseKept: Check = (history) =>
  history.sent
    .filter(
      ({ kind, response, attemptId }) =>
        kind !== "safe" &&
        response &&
        NOT_RUN_STATUSES.has(response.status) &&
        runsOf(history, attemptId) > 0,
    )
    .map(({ attemptId, response }) => `${attemptId} got ${response?.status} and ran`);

/** Workers get what clients sent, and nothing else. */
const unchangedRequest: Check = ({ sent, received }) =>
  received.flatMap((one) => {
    const operation = sent.find(({ attemptId }) => attemptId === one.attemptId);
    return operation?.method === one.method &&
      operation.path === one.path &&
      operation.digest === one.digest
      ? []
      : [`${one.worker} got ${one.method} ${one.path} ${one.digest} as ${one.attemptId}`];
  });

/** One request never comes to more workers than its route's tries. */
const maxTries: Check = ({ sent, received }) =>
  sent.flatMap(({ attemptId }) => {
    const workers = new Set(
      received.filter((one) => one.attemptId === attemptId).map(({ worker }) => worker),
    );
    return workers.size > MAX_TRIES ? [`${attemptId} came to ${workers.size} workers`] : [];
  });

/** One key runs once. */
const oneRunPerKey: Check = (history) => {
  const keys = new Set(history.sent.filter(({ kind }) => kind === "keyed").map(({ key }) => key));
  return [...keys].flatMap((key) => {
    const runs = history.sent
      .filter((one) => one.kind === "keyed" && one.key === key)
      .reduce((sum, { attemptId }) => sum + runsOf(history, attemptId), 0);
    return runs > 1 ? [`key ${key} ran ${runs} times`] : [];
  });
};

/** A client that waits gets a complete response, unless the worker broke it off. */
const answered: Check = ({ sent, interrupted }) =>
  sent
    .filter(
      ({ isResponseDue: isDue, response, attemptId }) =>
        isDue && !response && !interrupted.has(attemptId),
    )
    .map(({ attemptId }) => `${attemptId} got no complete response`);

/**
 * Nothing is sent for a client that has gone, unless its close lies unread behind a streamed body.
 */
const notAfterLeaving: Check = ({ sent, firstBytes: arrivals }) =>
  arrivals.flatMap(({ attemptId, atUs }) => {
    const { disconnectedUs, isBehindStreamedBody: isBehindStream } = sent.find(
      (one) => one.attemptId === attemptId,
    ) ?? {
      disconnectedUs: undefined,
      isBehindStreamedBody: true,
    };
    return !isBehindStream &&
      disconnectedUs !== undefined &&
      atUs > disconnectedUs + CLOSE_DETECTION_US
      ? [`${attemptId} was sent ${atUs - disconnectedUs} us after its client had left`]
      : [];
  });

/** Nothing is left behind. */
const nothingLeftOpen: Check = ({ openAtEnd: openCount }) =>
  openCount === 0 ? [] : [`${openCount} requests were left open`];

export const CHECKS = {
  ownResponse,
  atMostOnce,
  promiseKept,
  unchangedRequest,
  maxTries,
  oneRunPerKey,
  answered,
  notAfterLeaving,
  nothingLeftOpen,
} as const satisfies Readonly<Record<string, Check>>;
export type CheckName = keyof typeof CHECKS;
const isName = (name: string): name is CheckName => name in CHECKS;
export const CHECK_NAMES: readonly CheckName[] = Object.keys(CHECKS).filter(isName);

export interface Violation {
  readonly check: CheckName;
  readonly what: string;
}

export const violationsOf = (history: History): readonly Violation[] =>
  CHECK_NAMES.flatMap((check) => CHECKS[check](history).map((what) => ({ check, what })));
