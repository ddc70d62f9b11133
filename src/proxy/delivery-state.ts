import { OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";

/**
 * What is known of one request.
 *
 * - `unsent`: no byte of it has left for a worker.
 * - `may-have-run`: bytes have left for a worker that has not said, in an answer to this very try, what became of it.
 * - `not-run`: every worker that bytes have left for has said itself that it turned the request away.
 * - `has-run`: a worker has answered it.
 */
export type FateState = "unsent" | "may-have-run" | "not-run" | "has-run";

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
export interface Fate {
  state: FateState;
  unheard: number;
  isClosed: boolean;
}

export const newFate = (): Fate => ({ state: "unsent", unheard: 0, isClosed: false });

/** Whether it is certain that no worker has run it, and that none will unless it is sent again. */
export const isUnrun = ({ state }: Fate): boolean => state === "unsent" || state === "not-run";

/** Asked right before the first byte leaves for a worker; false forbids the sending. */
export const begin = (fate: Fate, isRepeatable: boolean): boolean => {
  if (fate.isClosed || !(isRepeatable || isUnrun(fate))) return false;
  fate.unheard += 1;
  if (fate.state !== "has-run") fate.state = "may-have-run";
  return true;
};

/** A worker that bytes had left for says, in an answer to this try, that it has not run it and won't. */
export const turnedAway = (fate: Fate): void => {
  fate.unheard -= 1;
  if (fate.state === "may-have-run" && fate.unheard === 0) fate.state = "not-run";
};

/** A worker has answered it. */
export const ran = (fate: Fate): void => {
  fate.state = "has-run";
};

export const close = (fate: Fate): void => {
  fate.isClosed = true;
};

/** The outcome for the caller where no worker's answer can be given: never a promise that may be untrue. */
export const tell = (fate: Fate, wanted: OutcomeName): OutcomeName => {
  if (isUnrun(fate)) return wanted === "tooLate" || wanted === "lostAnswer" ? "full" : wanted;
  return PROMISES.has(OUTCOMES[wanted].status) ? "lostAnswer" : wanted;
};

/** Whether a worker's answer may be given on: one without its own word that it turned the request away is no promise. */
export const mayPass = (status: number, isRepeatable: boolean): boolean =>
  isRepeatable || !PROMISES.has(status);
