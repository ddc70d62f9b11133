/**
 * Append-only log of short-lived records in segment files. A segment is deleted as a whole once its
 * records have expired.
 */
import { open, readdir, readFile, rm, type FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "true-myth/result";
import { Batcher } from "../common/batcher.js";
import type { Clock } from "../common/clock.js";
import { DiskWriteError, SegmentLogFullError } from "./errors.js";
import { NodeFileSystem } from "./file-system.js";
import {
  decodeFrames,
  encodeFrame,
  parseSegmentFileName,
  segmentFileName,
} from "./segment-codec.js";

/** Errors of {@link SegmentLog.append} and {@link SegmentLog.flush}. */
export type SegmentLogError = DiskWriteError | SegmentLogFullError;

/** Options of {@link SegmentLog}. */
export interface SegmentLogOptions {
  /** Empty on a machine without a disk; then nothing is persisted. */
  readonly folder: string;
  readonly clock: Clock;
  /** How long a record must be retained after it was appended, in microseconds. */
  readonly retentionUs: number;
  /** Maximum total size of all segments. */
  readonly maxBytes: number;
  /** Returns the record with which each new segment begins. */
  readonly makeHeader: () => unknown;
}

interface ClosedSegment {
  readonly number: number;
  readonly sizeBytes: number;
  readonly closedUs: number;
}

/** Number of segments per retention period. */
const SEGMENTS_PER_RETENTION = 6;
/** Fraction of `maxBytes` above which no new work should be started. */
const NEARLY_FULL_FRACTION = 0.8;

/**
 * Append-only log in segments. Records that arrive while a sync is running are written with one
 * further sync.
 *
 * Invariants: a record is acknowledged only after the sync that covers it. After a restart a new
 * segment is started; existing segments are never appended to. A segment is deleted as a whole, and
 * only once all its records are older than `retentionUs`.
 */
export class SegmentLog {
  private file: FileHandle | undefined;
  private number = 0;
  private segmentBytes = 0;
  private openedUs = 0;
  private closed: ClosedSegment[] = [];
  private readonly writes: Batcher<Buffer, Result<void, SegmentLogError>>;

  constructor(private readonly options: SegmentLogOptions) {
    this.writes = new Batcher((frames) => this.write(Buffer.concat(frames)));
  }

  /** Total size of all segments on disk. */
  get sizeBytes(): number {
    return this.closed.reduce((sum, segment) => sum + segment.sizeBytes, this.segmentBytes);
  }

  /** Whether the log is so close to its maximum size that no new work should be started. */
  get isNearlyFull(): boolean {
    return this.sizeBytes > this.options.maxBytes * NEARLY_FULL_FRACTION;
  }

  /** Loads the existing records, oldest first; undefined if there is no log. */
  readonly load = async (): Promise<readonly unknown[] | undefined> => {
    const { folder, clock } = this.options;
    if (folder === "") return undefined;
    try {
      await new NodeFileSystem().makeFolder(folder);
      const numbers = (await readdir(folder))
        .flatMap((name) => parseSegmentFileName(name) ?? [])
        .sort((a, b) => a - b);
      const records: unknown[] = [];
      for (const number of numbers) {
        const bytes = await readFile(this.path(number));
        records.push(...decodeFrames(bytes));
        this.closed.push({ number, sizeBytes: bytes.length, closedUs: clock.nowUs() });
        this.number = number;
      }
      return numbers.length === 0 ? undefined : records;
    } catch {
      // An unreadable folder is treated as lost; the state is then read from a quorum of the other
      // replicas.
      return undefined;
    }
  };

  /** Appends a record; resolves once it is durable or has failed. */
  readonly append = (record: unknown): Promise<Result<void, SegmentLogError>> => {
    if (this.options.folder === "") return Promise.resolve(ok(undefined));
    const { sizeBytes } = this;
    const { maxBytes } = this.options;
    if (sizeBytes > maxBytes)
      return Promise.resolve(err(new SegmentLogFullError(sizeBytes, maxBytes)));
    return this.writes.add(encodeFrame(record));
  };

  /** Resolves once all records appended before the call have been written or have failed. */
  readonly flush = (): Promise<Result<void, SegmentLogError>> =>
    this.options.folder === "" || this.writes.isIdle
      ? Promise.resolve(ok(undefined))
      : this.writes.add(Buffer.alloc(0));

  /** Waits for pending writes and closes the current segment file. */
  readonly close = async (): Promise<void> => {
    await this.flush();
    await this.file?.close();
    this.file = undefined;
  };

  private readonly path = (number: number): string =>
    join(this.options.folder, segmentFileName(number));

  private readonly write = async (bytes: Buffer): Promise<Result<void, SegmentLogError>> => {
    try {
      const file = await this.openSegment();
      const payload =
        this.segmentBytes === 0
          ? Buffer.concat([encodeFrame(this.options.makeHeader()), bytes])
          : bytes;
      await file.write(payload);
      await file.datasync();
      this.segmentBytes += payload.length;
      return ok(undefined);
    } catch (error) {
      // The failed write may have left a torn frame, so nothing more is appended to this segment.
      // An error on closing it is ignored, since the error of the write is the one to report.
      await this.closeSegment().catch(() => undefined);
      return err(new DiskWriteError(error));
    }
  };

  private readonly openSegment = async (): Promise<FileHandle> => {
    const { clock, retentionUs, folder } = this.options;
    if (this.file && clock.nowUs() - this.openedUs > retentionUs / SEGMENTS_PER_RETENTION)
      await this.closeSegment();
    if (this.file) return this.file;
    this.number += 1;
    const file = await open(this.path(this.number), "w");
    this.file = file;
    this.openedUs = clock.nowUs();
    const folderHandle = await open(folder, "r");
    try {
      await folderHandle.sync();
    } finally {
      await folderHandle.close();
    }
    return file;
  };

  private readonly closeSegment = async (): Promise<void> => {
    const { clock, retentionUs } = this.options;
    const { file } = this;
    this.file = undefined;
    if (file)
      this.closed.push({
        number: this.number,
        sizeBytes: this.segmentBytes,
        closedUs: clock.nowUs(),
      });
    this.segmentBytes = 0;
    await file?.close();
    const expired = this.closed.filter(({ closedUs }) => clock.nowUs() - closedUs > retentionUs);
    this.closed = this.closed.filter((segment) => !expired.includes(segment));
    for (const { number } of expired) await rm(this.path(number), { force: true });
  };
}
