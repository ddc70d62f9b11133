/** The errors of the transport layer. */
import { CodedError } from "../common/errors.js";

/**
 * Bytes from a peer that are no frame of this protocol. The connection they came over is of no more
 * use.
 */
export class FrameError extends CodedError {
  readonly code = "INVALID_FRAME";
}
