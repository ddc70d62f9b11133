/**
 * What a worker's response proves: whether it is to this very attempt, and whether it is a
 * rejection.
 */
import {
  ATTEMPT_ID_HEADER,
  headerValue,
  isRepeated,
  NOT_RUN_HEADER,
  SERVER_SEAL_HEADER,
  type FlatHeaders,
} from "./headers.js";

/** What a response is compared with. */
export interface SentRequest {
  readonly method: string;
  readonly attemptId: string;
  /**
   * Set where the worker need not give the id back, as with reads of the system's own: a response
   * then can't be told from another's that comes late, so the connection serves this one request
   * only.
   */
  readonly usesOwnConnection?: boolean;
}

/** The load that a worker reports: running, queued, capacity; undefined if it can't be read. */
export const readWorkerLoad = (
  value: string | undefined,
): readonly [number, number, number] | undefined => {
  const [running, queued, capacity] = (value ?? "").split(",").map(Number);
  if (running === undefined || queued === undefined || capacity === undefined) return undefined;
  const load = [running, queued, capacity] as const;
  return load.every(Number.isFinite) ? load : undefined;
};

/**
 * Whether a response is to this very attempt. Nothing may be concluded from another: not even that
 * it did not run.
 */
const matchesAttempt = (
  headers: FlatHeaders,
  { attemptId, usesOwnConnection }: SentRequest,
): boolean => {
  const id = headerValue(headers, ATTEMPT_ID_HEADER);
  return (
    (id === attemptId && !isRepeated(headers, ATTEMPT_ID_HEADER)) ||
    (usesOwnConnection === true && id === undefined)
  );
};

/** Whether the worker says that it rejected the request. Only to be asked of an own response. */
export const isRejection = (status: number, headers: FlatHeaders): boolean =>
  status === 421 || headerValue(headers, NOT_RUN_HEADER) !== undefined;

/** Whether the end of the body can be told from a connection that broke off. */
const isBodyBounded = (method: string, status: number, headers: FlatHeaders): boolean =>
  headerValue(headers, "content-length") !== undefined ||
  headerValue(headers, "transfer-encoding")?.trim().toLowerCase() === "chunked" ||
  status === 204 ||
  status === 304 ||
  method === "HEAD";

/** Why a response can't be this request's complete own response, or undefined if it can. */
export const findResponseDefect = (
  status: number,
  headers: FlatHeaders,
  request: SentRequest,
): string | undefined => {
  if (!matchesAttempt(headers, request)) return "another id";
  if (isRejection(status, headers)) return status < 400 ? "a success that did not run" : undefined;
  if (headerValue(headers, "content-encoding") !== undefined) return "an encoding";
  if (!isBodyBounded(request.method, status, headers)) return "no bound";
  const isSuccess = status >= 200 && status < 300;
  return isSuccess && headerValue(headers, SERVER_SEAL_HEADER) === undefined
    ? "no seal"
    : undefined;
};
