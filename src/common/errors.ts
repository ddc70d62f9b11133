/**
 * The base of all errors that this project makes, so that each has a stable code beside its
 * sentence.
 */

/**
 * An error with a code that stays the same when its sentence is reworded. Each layer derives its
 * own errors from this one and turns those of the layer below into its own, as their `cause`.
 */
export abstract class CodedError extends Error {
  /** Stable and unique in the project, in upper snake case, for example `NO_QUORUM`. */
  abstract readonly code: string;

  /**
   * @param message - one sentence that says what went wrong, with the values that matter
   * @param options - `cause`: the error of the layer below, where there is one
   */
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** The message of anything that was thrown. */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
