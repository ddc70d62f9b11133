/**
 * Writes the records of a replica to its write-ahead log, in the order in which they were created.
 */
import type { Logger } from "../common/logger.js";
import type { UnknownRecord } from "../common/decode.js";
import type { WriteAheadLog } from "../storage/write-ahead-log.js";

/** Dependencies of {@link RecordPersistence}. */
export interface RecordPersistenceOptions {
  readonly writeAheadLog: WriteAheadLog;
  readonly logger: Logger;
}

/** Batches records, so that one sync covers all that were added before it. */
export class RecordPersistence {
  /** Records that were not yet handed to the write-ahead log. */
  private pendingRecords: readonly UnknownRecord[] = [];
  /**
   * Whether the log still holds records that the disk rejected. They are written with the next
   * append, even if that adds no records.
   */
  private hasUnwrittenRecords = false;
  private writing: Promise<boolean> | undefined;

  constructor(private readonly options: RecordPersistenceOptions) {}

  /** Queues records for the next call of `persisted`. */
  readonly add = (records: readonly UnknownRecord[]): void => {
    if (records.length > 0) this.pendingRecords = [...this.pendingRecords, ...records];
  };

  /** Resolves to true once everything added before the call is durable on this machine's disk. */
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
