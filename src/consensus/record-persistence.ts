/** Writing of a replica's records to its write-ahead log, in the order in which they were made. */
import type { Logger } from "../common/logger.js";
import type { UnknownRecord } from "../common/decode.js";
import type { WriteAheadLog } from "../storage/write-ahead-log.js";

/** What a `RecordPersistence` is made of. */
export interface RecordPersistenceOptions {
  readonly writeAheadLog: WriteAheadLog;
  readonly logger: Logger;
}

/** Collects records and writes them together, so that one sync serves all that came before it. */
export class RecordPersistence {
  /** What has changed and is not yet on its way to the disk. */
  private pendingRecords: readonly UnknownRecord[] = [];
  /**
   * Whether the log still holds what the disk refused; it goes with what is written next, even if
   * that is nothing.
   */
  private hasUnwrittenRecords = false;
  private writing: Promise<boolean> | undefined;

  constructor(private readonly options: RecordPersistenceOptions) {}

  /** Takes records that are to be written with the next call of `persisted`. */
  readonly add = (records: readonly UnknownRecord[]): void => {
    if (records.length > 0) this.pendingRecords = [...this.pendingRecords, ...records];
  };

  /** Resolves to true once everything added before the call is safe on this machine's disk. */
  readonly persisted = (): Promise<boolean> => {
    const previous = this.writing;
    if (this.pendingRecords.length === 0 && !this.hasUnwrittenRecords)
      return previous ?? Promise.resolve(true);
    const { writeAheadLog, logger } = this.options;
    const records = this.pendingRecords;
    this.pendingRecords = [];
    this.hasUnwrittenRecords = false;
    const appended = writeAheadLog.append(records).then((written) => {
      if (written.isErr) {
        this.hasUnwrittenRecords = true;
        logger.warn("records were not written", { reason: written.error.message });
      }
      return written.isOk;
    });
    const combined = Promise.all([previous ?? true, appended]).then((done) => done.every(Boolean));
    this.writing = combined;
    void combined.then(() => {
      if (this.writing === combined) this.writing = undefined;
    });
    return combined;
  };
}
