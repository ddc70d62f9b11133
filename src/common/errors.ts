/** Base class of all errors defined in this project; each has a stable code besides its message. */

/**
 * An error with a code that remains stable when the message is reworded. Each layer derives its own
 * errors from this class and wraps the errors of the layer below as their `cause`.
 */
export abstract class CodedError extends Error {
  /** Stable and unique within the project, in upper snake case, for example `NO_QUORUM`. */
  abstract readonly code: string;

  /**
   * @param message - one sentence that says what went wrong, including the relevant values
   * @param options - `cause`: the error of the layer below, if any
   */
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** Returns the message of any thrown value. */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
