/** What can be wrong with a change that an operator sends, each with a stable code. */
import { CodedError } from "../common/errors.js";

/** The body of the request is not a JSON object. */
export class UnreadableChangeError extends CodedError {
  readonly code = "UNREADABLE_CHANGE";

  /** @param options - `cause`: what the parser threw */
  constructor(options?: ErrorOptions) {
    super("the call is no whole JSON table", options);
  }
}

/** An item of the change breaks a rule of its schema. The message names the field and the rule. */
export class InvalidChangeError extends CodedError {
  readonly code = "INVALID_CHANGE";
}

/** Why a change can never be in force. */
export type ConfigError = UnreadableChangeError | InvalidChangeError;
