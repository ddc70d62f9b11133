/**
 * The delivery state of a request: what is known of whether it has run. This is the one place that
 * moves it, and the only one that says what the client may be told.
 */
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";

/**
 * What is known of one request.
 *
 * - `unsent`: no byte of it has left for a worker.
 * - `may-have-run`: bytes have left for a worker that has not said, in a response to this very
 *   attempt, what became of it.
 * - `not-run`: every worker that bytes have left for has said itself that it rejected the request.
 * - `has-run`: a worker has answered it.
 */
export type DeliveryPhase = "unsent" | "may-have-run" | "not-run" | "has-run";

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * The delivery state of one request, moved by the functions of this module alone.
 *
 * Transitions: `beginAttempt` leads from `unsent` and `not-run` to `may-have-run`, and allows
 * further attempts of idempotent requests from the other two as well; `markRejected` leads from
 * `may-have-run` to `not-run` once all workers that bytes left for have rejected the request;
 * `markRun` leads to `has-run`, which nothing leaves. A reset, a time-out or a doubtful response
 * moves nothing: the request may have run from its first byte on. Once `closeDelivery` was called
 * its client has been told or is gone, and no attempt begins any more.
 *
 * Invariant: `unconfirmed` counts the workers that bytes left for and that have not rejected the
 * request; of a request that is not idempotent it never exceeds 1.
 */
export interface DeliveryState {
  phase: DeliveryPhase;
  unconfirmed: number;
  isClosed: boolean;
}

/** The state of a request that was just read. */
export const newDeliveryState = (): DeliveryState => ({
  phase: "unsent",
  unconfirmed: 0,
  isClosed: false,
});

/**
 * Whether it is certain that no worker has run the request, and that none will unless it is sent
 * again.
 */
export const hasNotRun = ({ phase }: DeliveryState): boolean =>
  phase === "unsent" || phase === "not-run";

/** Asked right before the first byte leaves for a worker; false forbids the attempt. */
export const beginAttempt = (delivery: DeliveryState, isIdempotent: boolean): boolean => {
  if (delivery.isClosed || !(isIdempotent || hasNotRun(delivery))) return false;
  delivery.unconfirmed += 1;
  if (delivery.phase !== "has-run") delivery.phase = "may-have-run";
  return true;
};

/**
 * A worker that bytes had left for says, in a response to this attempt, that it has not run the
 * request and won't.
 */
export const markRejected = (delivery: DeliveryState): void => {
  delivery.unconfirmed -= 1;
  if (delivery.phase === "may-have-run" && delivery.unconfirmed === 0) delivery.phase = "not-run";
};

/** A worker has answered the request. */
export const markRun = (delivery: DeliveryState): void => {
  delivery.phase = "has-run";
};

/** The client has been told or is gone: no attempt begins any more. */
export const closeDelivery = (delivery: DeliveryState): void => {
  delivery.isClosed = true;
};

/**
 * The outcome for the client where no worker's response can be given: never a promise that may be
 * untrue.
 */
export const clientOutcome = (delivery: DeliveryState, intended: OutcomeName): OutcomeName => {
  if (hasNotRun(delivery))
    return intended === "tooLate" || intended === "lostAnswer" ? "full" : intended;
  return NOT_RUN_STATUSES.has(HTTP_OUTCOMES[intended].status) ? "lostAnswer" : intended;
};

/**
 * Whether a worker's response of this status may be forwarded. Without the worker's own word that
 * it rejected the request, a status that says so is no promise.
 */
export const mayForwardStatus = (status: number, isIdempotent: boolean): boolean =>
  isIdempotent || !NOT_RUN_STATUSES.has(status);
