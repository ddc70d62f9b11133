/** The checks of a run, which compare the histories of clients and workers. */
import { createHash } from "node:crypto";
import type { ClientResponse } from "./raw-client.js";
import { MAX_TRIES } from "./proxy-harness.js";

export const digestOf = (body: string): string =>
  createHash("sha1").update(body, "latin1").digest("hex").slice(0, 12);

/** An attempt as its client sent it. */
export interface SentRequest {
  readonly attemptId: string;
  /**
   * Attempts of one operation differ only in their id. An operation is repeated only after a
   * response that promises that it has not run.
   */
  readonly operation: string;
  readonly kind: "safe" | "unsafe" | "keyed";
  readonly method: string;
  readonly path: string;
  readonly digest: string;
  /**
   * Whether its connection carries a streamed body: the proxy server reads that body first, and
   * only then detects that the client has disconnected.
   */
  readonly isBehindStreamedBody: boolean;
  readonly key: string;
  readonly sentUs: number;
  /** When its client disconnected, if that was before it had the response. */
  disconnectedUs: number | undefined;
  /**
   * Whether a response is due: its client waited beyond the time left that it stated, the proxy
   * server did not stall meanwhile, and no earlier response closed the connection.
   */
  isResponseDue: boolean;
  /** The complete response at the position of this request on the connection. */
  response: ClientResponse | undefined;
}

/** A complete request as a worker read it. */
export interface ReceivedRequest {
  readonly worker: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly digest: string;
  readonly ran: boolean;
}

/** A response that a worker wrote to an attempt. */
export interface WrittenResponse {
  readonly attemptId: string;
  readonly status: number;
  readonly seal: string;
  readonly digest: string;
}

/** The history of a run as clients and workers observed it on their sockets. */
export interface History {
  readonly sent: readonly SentRequest[];
  readonly received: readonly ReceivedRequest[];
  readonly written: readonly WrittenResponse[];
  /** When a worker received the head of an attempt. */
  readonly firstBytes: readonly { readonly attemptId: string; readonly atUs: number }[];
  /** Attempts whose response a worker truncated or replaced by a connection reset. */
  readonly interrupted: ReadonlySet<string>;
  /** Requests still open at the proxy server after every client had disconnected. */
  readonly openAtEnd: number;
}

/** Returns a description of each violation. */
export type Check = (history: History) => readonly string[];

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const CLOSE_DETECTION_US = 60_000;

const runsOf = ({ received }: History, attemptId: string): number =>
  received.filter((one) => one.ran && one.attemptId === attemptId).length;

/**
 * Each response is complete and belongs to the attempt; that of a keyed request belongs to an
 * attempt with the same key.
 */
const ownResponse: Check = ({ sent, written }) =>
  sent.flatMap(({ attemptId, key, kind, method, response }) => {
    if (!response) return [];
    if (response.attemptId !== "" && response.attemptId !== attemptId)
      return [`${attemptId} received the response of ${response.attemptId}`];
    if (response.seal === "")
      return response.status < 300
        ? [`${attemptId} received ${response.status} without a seal`]
        : [];
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
      : [`${attemptId} received ${response.status} ${response.seal}, which no worker sent for it`];
  });

/** A request that is not idempotent runs at most once over all attempts of its operation. */
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

/** A request whose response promises that it has not run does not run, also not later. */
const promiseKept: Check = (history) =>
  history.sent
    .filter(
      ({ kind, response, attemptId }) =>
        kind !== "safe" &&
        response &&
        NOT_RUN_STATUSES.has(response.status) &&
        runsOf(history, attemptId) > 0,
    )
    .map(({ attemptId, response }) => `${attemptId} received ${response?.status} but ran`);

/** Workers receive exactly the requests that clients sent, unchanged. */
const unchangedRequest: Check = ({ sent, received }) =>
  received.flatMap((one) => {
    const operation = sent.find(({ attemptId }) => attemptId === one.attemptId);
    return operation?.method === one.method &&
      operation.path === one.path &&
      operation.digest === one.digest
      ? []
      : [`${one.worker} received ${one.method} ${one.path} ${one.digest} as ${one.attemptId}`];
  });

/** A request is sent to at most as many workers as its route allows tries. */
const maxTries: Check = ({ sent, received }) =>
  sent.flatMap(({ attemptId }) => {
    const workers = new Set(
      received.filter((one) => one.attemptId === attemptId).map(({ worker }) => worker),
    );
    return workers.size > MAX_TRIES ? [`${attemptId} was sent to ${workers.size} workers`] : [];
  });

/** Requests with the same key run at most once. */
const oneRunPerKey: Check = (history) => {
  const keys = new Set(history.sent.filter(({ kind }) => kind === "keyed").map(({ key }) => key));
  return [...keys].flatMap((key) => {
    const runs = history.sent
      .filter((one) => one.kind === "keyed" && one.key === key)
      .reduce((sum, { attemptId }) => sum + runsOf(history, attemptId), 0);
    return runs > 1 ? [`key ${key} ran ${runs} times`] : [];
  });
};

/** A client that waits receives a complete response, unless a worker interrupted it. */
const answered: Check = ({ sent, interrupted }) =>
  sent
    .filter(
      ({ isResponseDue: isDue, response, attemptId }) =>
        isDue && !response && !interrupted.has(attemptId),
    )
    .map(({ attemptId }) => `${attemptId} received no complete response`);

/**
 * No attempt is sent for a client that has disconnected, unless a streamed body keeps the proxy
 * server from detecting that.
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
      ? [`${attemptId} was sent ${atUs - disconnectedUs} us after its client had disconnected`]
      : [];
  });

/** No request stays open at the proxy server. */
const nothingLeftOpen: Check = ({ openAtEnd: openCount }) =>
  openCount === 0 ? [] : [`${openCount} requests are still open`];

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

/** A failed check with a description of what it found. */
export interface Violation {
  readonly check: CheckName;
  readonly what: string;
}

/** Runs all checks on a history. */
export const violationsOf = (history: History): readonly Violation[] =>
  CHECK_NAMES.flatMap((check) => CHECKS[check](history).map((what) => ({ check, what })));
