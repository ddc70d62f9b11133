/** Errors that end a command, each with its exit code. */
import { CodedError } from "../../common/errors.js";
import { EXIT_INVALID_INPUT, EXIT_REJECTED, EXIT_UNREACHABLE } from "./exit-codes.js";

/** Base class of the errors that end a command with a message on standard error. */
export abstract class CommandError extends CodedError {
  /** One of `exit-codes.ts`. */
  abstract readonly exitCode: number;
}

/** The command line, or a file that it names, is invalid. */
export class InvalidInputError extends CommandError {
  readonly code = "INVALID_INPUT";
  readonly exitCode = EXIT_INVALID_INPUT;
}

/** What the command asks for was rejected, or is about something that does not exist. */
export class RejectedError extends CommandError {
  readonly code = "REJECTED";
  readonly exitCode = EXIT_REJECTED;
}

/**
 * An address did not answer, closed the connection during the response, or answered with a status
 * of 500 or more. Another address may still answer.
 */
export class UnreachableError extends CommandError {
  readonly code = "UNREACHABLE";
  readonly exitCode = EXIT_UNREACHABLE;
}
