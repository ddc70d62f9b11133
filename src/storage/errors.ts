/** Errors of the storage layer, each with a stable code. */
import { CodedError, messageOf } from "../common/errors.js";

/**
 * A write to the file system failed. The data that the call was to persist may be lost on a
 * restart.
 */
export class DiskWriteError extends CodedError {
  readonly code = "DISK_WRITE_FAILED";

  /** @param cause - the error thrown by the file system */
  constructor(cause: unknown) {
    super(messageOf(cause), { cause });
  }
}

/**
 * The increments have reached their limit, and the snapshot that would replace them could not be
 * written.
 */
export class SnapshotOverdueError extends CodedError {
  readonly code = "SNAPSHOT_OVERDUE";

  constructor() {
    super(
      "the increments have reached their limit and no snapshot could be written to replace them",
    );
  }
}

/** The segments of a log have reached their maximum total size. */
export class SegmentLogFullError extends CodedError {
  readonly code = "SEGMENT_LOG_FULL";

  /**
   * @param sizeBytes - total size of the segments
   * @param maxBytes - maximum total size
   */
  constructor(
    readonly sizeBytes: number,
    readonly maxBytes: number,
  ) {
    super(`segment log is full: ${sizeBytes} of ${maxBytes} bytes used`);
  }
}
