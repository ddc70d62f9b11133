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
  private unsaved: readonly UnknownRecord[] = [];
  /**
   * Whether the log still holds what the disk refused; it goes with what is written next, even if
   * that is nothing.
   */
  private wasRefused = false;
  private writing: Promise<boolean> | undefined;

  constructor(private readonly options: RecordPersistenceOptions) {}

  /** Takes records that are to be written with the next call of `persisted`. */
  readonly add = (records: readonly UnknownRecord[]): void => {
    if (records.length > 0) this.unsaved = [...this.unsaved, ...records];
  };

  /** Resolves to true once everything added before the call is safe on this machine's disk. */
  readonly persisted = (): Promise<boolean> => {
    const earlier = this.writing;
    if (this.unsaved.length === 0 && !this.wasRefused) return earlier ?? Promise.resolve(true);
    const { writeAheadLog, logger } = this.options;
    const records = this.unsaved;
    this.unsaved = [];
    this.wasRefused = false;
    const own = writeAheadLog.append(records).then((written) => {
      if (written.isErr) {
        this.wasRefused = true;
        logger.warn("records were not written", { reason: written.error.message });
      }
      return written.isOk;
    });
    const all = Promise.all([earlier ?? true, own]).then((done) => done.every(Boolean));
    this.writing = all;
    void all.then(() => {
      if (this.writing === all) this.writing = undefined;
    });
    return all;
  };
}
