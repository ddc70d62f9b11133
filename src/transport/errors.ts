/** Errors of the transport layer. */
import { CodedError } from "../common/errors.js";

/** A peer sent bytes that are not a valid frame. The connection can no longer be used. */
export class FrameError extends CodedError {
  readonly code = "INVALID_FRAME";
}
