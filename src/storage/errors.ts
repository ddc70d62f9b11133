/** What can go wrong when state is written to disk, each with a stable code. */
import { CodedError, messageOf } from "../common/errors.js";

/** The file system refused a write; what the call was to make durable may be lost by a restart. */
export class DiskWriteError extends CodedError {
  readonly code = "DISK_WRITE_FAILED";

  /** @param cause - what the file system threw */
  constructor(cause: unknown) {
    super(messageOf(cause), { cause });
  }
}

/**
 * The increments have taken all the space that they may, and no snapshot could be written in their
 * place.
 */
export class SnapshotOverdueError extends CodedError {
  readonly code = "SNAPSHOT_OVERDUE";

  constructor() {
    super("no snapshot could be written, and the space for increments is used up");
  }
}

/** The segments of a log have reached the size that they may have. */
export class SegmentLogFullError extends CodedError {
  readonly code = "SEGMENT_LOG_FULL";

  /**
   * @param sizeBytes - what the segments take
   * @param maxBytes - what they may take
   */
  constructor(
    readonly sizeBytes: number,
    readonly maxBytes: number,
  ) {
    super(`the segments take ${sizeBytes} of ${maxBytes} bytes`);
  }
}
