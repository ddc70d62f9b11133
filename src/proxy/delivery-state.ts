import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";

/**
 * What is known of one request.
 *
 * - `unsent`: no byte of it has left for a worker.
 * - `may-have-run`: bytes have left for a worker that has not said, in an answer to this very try, what became of it.
 * - `not-run`: every worker that bytes have left for has said itself that it turned the request away.
 * - `has-run`: a worker has answered it.
 */
export type DeliveryPhase = "unsent" | "may-have-run" | "not-run" | "has-run";

/** Statuses that promise that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * What has become of one request. The functions below are the one place that moves it, and that says what its caller may
 * be told.
 *
 * Moves: `begin` leads from `unsent` and `not-run` to `may-have-run`, and sends repeatable requests on from the other two as
 * well; `turnedAway` leads from `may-have-run` to `not-run` once it has come from all that bytes left for; `ran` leads to
 * `has-run`, which nothing leaves. A reset, a silence or a doubtful answer moves nothing: it may have run from the first
 * byte on. Once `close` has been called its caller has been told or is gone, and nothing begins any more.
 *
 * Invariant: `unheard` counts the workers that bytes left for and that have not turned the request away; of a request that
 * can't be repeated it never exceeds 1.
 */
export interface DeliveryState {
  phase: DeliveryPhase;
  unconfirmed: number;
  isClosed: boolean;
}

export const newDeliveryState = (): DeliveryState => ({
  phase: "unsent",
  unconfirmed: 0,
  isClosed: false,
});

/** Whether it is certain that no worker has run it, and that none will unless it is sent again. */
export const hasNotRun = ({ phase: state }: DeliveryState): boolean =>
  state === "unsent" || state === "not-run";

/** Asked right before the first byte leaves for a worker; false forbids the sending. */
export const beginAttempt = (deliveryState: DeliveryState, isRepeatable: boolean): boolean => {
  if (deliveryState.isClosed || !(isRepeatable || hasNotRun(deliveryState))) return false;
  deliveryState.unconfirmed += 1;
  if (deliveryState.phase !== "has-run") deliveryState.phase = "may-have-run";
  return true;
};

/** A worker that bytes had left for says, in an answer to this try, that it has not run it and won't. */
export const markRejected = (deliveryState: DeliveryState): void => {
  deliveryState.unconfirmed -= 1;
  if (deliveryState.phase === "may-have-run" && deliveryState.unconfirmed === 0)
    deliveryState.phase = "not-run";
};

/** A worker has answered it. */
export const markRun = (deliveryState: DeliveryState): void => {
  deliveryState.phase = "has-run";
};

export const closeDelivery = (deliveryState: DeliveryState): void => {
  deliveryState.isClosed = true;
};

/** The outcome for the caller where no worker's answer can be given: never a promise that may be untrue. */
export const clientOutcome = (deliveryState: DeliveryState, wanted: OutcomeName): OutcomeName => {
  if (hasNotRun(deliveryState))
    return wanted === "tooLate" || wanted === "lostAnswer" ? "full" : wanted;
  return PROMISES.has(HTTP_OUTCOMES[wanted].status) ? "lostAnswer" : wanted;
};

/** Whether a worker's answer may be given on: one without its own word that it turned the request away is no promise. */
export const mayForwardStatus = (status: number, isRepeatable: boolean): boolean =>
  isRepeatable || !PROMISES.has(status);
