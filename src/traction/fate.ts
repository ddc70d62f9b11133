import { OUTCOMES, type OutcomeName } from "../trackbed/outcomes.js";

/**
 * What is known of one request.
 *
 * - `unsent`: no byte of it has left for a worker.
 * - `may-have-run`: bytes have left for a worker that has not said, in an answer to this very try, what became of it.
 * - `not-run`: every worker that bytes have left for has said itself that it turned the request away.
 * - `has-run`: a worker has answered it.
 * - `answered`: its caller has been told, or is gone. Nothing is sent any more.
 */
export type FateState = "unsent" | "may-have-run" | "not-run" | "has-run" | "answered";

/** Statuses that promise that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * The state of one request, and the one place that says what its caller may be told.
 *
 * Moves: `begin` leads from `unsent` and `not-run` to `may-have-run`, and for repeatable requests also on from
 * `may-have-run` and `has-run`; `turnedAway` leads back to `not-run` once it has come from all that bytes left for;
 * `ran` leads to `has-run`; `close` to `answered`, which nothing leaves. A reset, a silence or a doubtful answer moves
 * nothing: `may-have-run` it was from the first byte on.
 *
 * Invariant: `unheard` is the count of workers that bytes left for and that have not turned the request away; of a
 * request that can't be repeated it never exceeds 1.
 */
export class Fate {
  private begun = 0;
  private unheard = 0;
  private isRun = false;
  private isClosed = false;

  get state(): FateState {
    if (this.isClosed) return "answered";
    if (this.isRun) return "has-run";
    if (this.unheard > 0) return "may-have-run";
    return this.begun > 0 ? "not-run" : "unsent";
  }

  /** Whether it is certain that no worker has run it, and that none will unless it is sent again. */
  get isUnrun(): boolean {
    return this.unheard === 0 && !this.isRun;
  }

  /** Asked right before the first byte leaves for a worker; false forbids the sending. */
  readonly begin = (isRepeatable: boolean): boolean => {
    if (this.isClosed || !(isRepeatable || this.isUnrun)) return false;
    this.begun += 1;
    this.unheard += 1;
    return true;
  };

  /** A worker that bytes had left for says, in an answer to this try, that it has not run it and won't. */
  readonly turnedAway = (): void => {
    this.unheard -= 1;
  };

  /** A worker has answered it. */
  readonly ran = (): void => {
    this.isRun = true;
  };

  readonly close = (): void => {
    this.isClosed = true;
  };

  /** The outcome for the caller where no worker's answer can be given: never a promise that may be untrue. */
  readonly tell = (wanted: OutcomeName): OutcomeName => {
    if (this.isUnrun) return wanted === "tooLate" || wanted === "lostAnswer" ? "full" : wanted;
    return PROMISES.has(OUTCOMES[wanted].status) ? "lostAnswer" : wanted;
  };

  /** Whether a worker's answer may be given on: one without its own word that it turned the request away is no promise. */
  readonly mayPass = (status: number, isRepeatable: boolean): boolean => isRepeatable || !PROMISES.has(status);
}
