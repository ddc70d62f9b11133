/**
 * Delivery state of a request: whether it may have run on a worker. Only this module changes the
 * state and decides which outcomes the client may be given.
 */
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";

/**
 * What is known about the execution of a request.
 *
 * - `unsent`: no byte of the request was sent to a worker.
 * - `may-have-run`: bytes were sent to a worker that has not reported, in a response to this
 *   attempt, what happened to the request.
 * - `not-run`: every worker that received bytes has reported that it rejected the request.
 * - `has-run`: a worker has answered the request.
 */
export type DeliveryPhase = "unsent" | "may-have-run" | "not-run" | "has-run";

/** Statuses that guarantee to the client that the request did not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * The delivery state of one request, modified only by the functions of this module.
 *
 * Transitions: `beginAttempt` moves from `unsent` and `not-run` to `may-have-run`, and permits
 * further attempts of idempotent requests from the other two phases as well. `markRejected` moves
 * from `may-have-run` to `not-run` once all workers that received bytes have rejected the request.
 * `markRun` moves to `has-run`, which is final. A reset, a time-out or an invalid response changes
 * nothing, because the request may have run as soon as its first byte was sent. After
 * `closeDelivery` the client has been answered or has disconnected, and no further attempt may
 * begin.
 *
 * Invariant: `unconfirmed` counts the workers that received bytes and have not rejected the
 * request. For a non-idempotent request it never exceeds 1.
 */
export interface DeliveryState {
  phase: DeliveryPhase;
  unconfirmed: number;
  isClosed: boolean;
}

/** Returns the state of a request that was just read. */
export const newDeliveryState = (): DeliveryState => ({
  phase: "unsent",
  unconfirmed: 0,
  isClosed: false,
});

/**
 * Returns whether it is certain that no worker has run the request and that none will unless it is
 * sent again.
 */
export const hasNotRun = ({ phase }: DeliveryState): boolean =>
  phase === "unsent" || phase === "not-run";

/**
 * Registers an attempt. Must be called right before the first byte is sent to a worker; the attempt
 * is forbidden if it returns false.
 */
export const beginAttempt = (delivery: DeliveryState, isIdempotent: boolean): boolean => {
  if (delivery.isClosed || !(isIdempotent || hasNotRun(delivery))) return false;
  delivery.unconfirmed += 1;
  if (delivery.phase !== "has-run") delivery.phase = "may-have-run";
  return true;
};

/**
 * Records that a worker which received bytes has stated, in a response to this attempt, that it did
 * not run the request and will not run it.
 */
export const markRejected = (delivery: DeliveryState): void => {
  delivery.unconfirmed -= 1;
  if (delivery.phase === "may-have-run" && delivery.unconfirmed === 0) delivery.phase = "not-run";
};

/** Records that a worker has answered the request. */
export const markRun = (delivery: DeliveryState): void => {
  delivery.phase = "has-run";
};

/** Prevents further attempts, because the client has been answered or has disconnected. */
export const closeDelivery = (delivery: DeliveryState): void => {
  delivery.isClosed = true;
};

/**
 * Returns the outcome to send to the client when no worker response can be forwarded. An outcome
 * that guarantees that the request did not run is replaced if it may have run.
 */
export const clientOutcome = (delivery: DeliveryState, intended: OutcomeName): OutcomeName => {
  if (hasNotRun(delivery))
    return intended === "tooLate" || intended === "lostAnswer" ? "full" : intended;
  return NOT_RUN_STATUSES.has(HTTP_OUTCOMES[intended].status) ? "lostAnswer" : intended;
};

/**
 * Returns whether a worker response of this status may be forwarded. For an idempotent request any
 * status may. Otherwise a status that guarantees that the request did not run is unreliable unless
 * the worker marked the response as a rejection.
 */
export const mayForwardStatus = (status: number, isIdempotent: boolean): boolean =>
  isIdempotent || !NOT_RUN_STATUSES.has(status);
