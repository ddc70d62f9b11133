/** Errors in configuration changes sent by operators, each with a stable code. */
import { CodedError } from "../common/errors.js";

/** The body of the request is not a JSON object. */
export class UnreadableChangeError extends CodedError {
  readonly code = "UNREADABLE_CHANGE";

  /** @param options - `cause`: the error thrown by the parser */
  constructor(options?: ErrorOptions) {
    super("the request body is not a complete JSON object", options);
  }
}

/** An item of the change violates its schema. The message names the field and the rule. */
export class InvalidChangeError extends CodedError {
  readonly code = "INVALID_CHANGE";
}

/** Reasons why a change is rejected permanently. */
export type ConfigError = UnreadableChangeError | InvalidChangeError;
