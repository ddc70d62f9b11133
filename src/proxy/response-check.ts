/**
 * Validates worker responses: whether a response belongs to the current attempt, and whether it is
 * a rejection.
 */
import {
  ATTEMPT_ID_HEADER,
  headerValue,
  isRepeated,
  NOT_RUN_HEADER,
  SERVER_SEAL_HEADER,
  type FlatHeaders,
} from "./headers.js";

/** Properties of the request that a response is validated against. */
export interface SentRequest {
  readonly method: string;
  readonly attemptId: string;
  /**
   * Set if the worker need not echo the attempt id, as for the gateway's own reads. Such a response
   * cannot be told from a late response to another request, so the connection serves only this
   * request.
   */
  readonly usesDedicatedConnection?: boolean;
}

/**
 * Parses the load reported by a worker: running requests, queued requests and capacity. Returns
 * undefined if the value is invalid.
 */
export const readWorkerLoad = (
  value: string | undefined,
): readonly [number, number, number] | undefined => {
  const [running, queued, capacity] = (value ?? "").split(",").map(Number);
  if (running === undefined || queued === undefined || capacity === undefined) return undefined;
  const load = [running, queued, capacity] as const;
  return load.every(Number.isFinite) ? load : undefined;
};

/**
 * Returns whether a response belongs to this attempt. Nothing may be concluded from any other
 * response, not even that the request did not run.
 */
const matchesAttempt = (
  headers: FlatHeaders,
  { attemptId, usesDedicatedConnection }: SentRequest,
): boolean => {
  const id = headerValue(headers, ATTEMPT_ID_HEADER);
  return (
    (id === attemptId && !isRepeated(headers, ATTEMPT_ID_HEADER)) ||
    (usesDedicatedConnection === true && id === undefined)
  );
};

/** Returns whether the worker rejected the request. Valid only for a response to this attempt. */
export const isRejection = (status: number, headers: FlatHeaders): boolean =>
  status === 421 || headerValue(headers, NOT_RUN_HEADER) !== undefined;

/** Returns whether the end of the body can be distinguished from an aborted connection. */
const isBodyBounded = (method: string, status: number, headers: FlatHeaders): boolean =>
  headerValue(headers, "content-length") !== undefined ||
  headerValue(headers, "transfer-encoding")?.trim().toLowerCase() === "chunked" ||
  status === 204 ||
  status === 304 ||
  method === "HEAD";

/**
 * Returns why a response is not a valid response to this attempt, or undefined if it is valid so
 * far.
 */
export const findResponseDefect = (
  status: number,
  headers: FlatHeaders,
  request: SentRequest,
): string | undefined => {
  if (!matchesAttempt(headers, request)) return "missing or mismatched attempt id";
  if (isRejection(status, headers))
    return status < 400 ? "success status on a rejection" : undefined;
  if (headerValue(headers, "content-encoding") !== undefined) return "unexpected content encoding";
  if (!isBodyBounded(request.method, status, headers)) return "unbounded response body";
  const isSuccess = status >= 200 && status < 300;
  return isSuccess && headerValue(headers, SERVER_SEAL_HEADER) === undefined
    ? "missing server seal"
    : undefined;
};
