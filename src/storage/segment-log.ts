/**
 * An append-only log of short-lived records in segment files, which are removed whole once they are
 * old enough.
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

/** Why a record was not made durable. */
export type SegmentLogError = DiskWriteError | SegmentLogFullError;

/** What a segment log writes, and for how long it keeps it. */
export interface SegmentLogOptions {
  /** Empty on a machine without a disk: then memory is all there is. */
  readonly folder: string;
  readonly clock: Clock;
  /** For how long a record is needed after it was appended, in microseconds. */
  readonly retentionUs: number;
  /** How many bytes all segments may take. */
  readonly maxBytes: number;
  /** The record that each new segment begins with. */
  readonly makeHeader: () => unknown;
}

interface ClosedSegment {
  readonly number: number;
  readonly sizeBytes: number;
  readonly closedUs: number;
}

/** Into how many segments the retention time is divided. */
const SEGMENTS_PER_RETENTION = 6;
/** From this fraction of the space on, nothing new should be begun. */
const NEARLY_FULL_FRACTION = 0.8;

/**
 * An append-only log in segments, with one sync for all records that came meanwhile.
 *
 * Invariants: a record is acknowledged only after the sync that covers it; a start never appends to
 * a segment that it found, but begins a new one; a segment is removed whole, and only once all its
 * records are older than `retentionUs`.
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

  /** What all segments take on disk. */
  get sizeBytes(): number {
    return this.closed.reduce((sum, segment) => sum + segment.sizeBytes, this.segmentBytes);
  }

  /** Whether so much of the space is taken that nothing new should be begun. */
  get isNearlyFull(): boolean {
    return this.sizeBytes > this.options.maxBytes * NEARLY_FULL_FRACTION;
  }

  /** The records found, oldest first, or undefined where there is no log. */
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
      // A folder that can't be read counts as lost: the state is then read from a quorum of the
      // others.
      return undefined;
    }
  };

  /** Resolves once the record is durable. */
  readonly append = (record: unknown): Promise<Result<void, SegmentLogError>> => {
    if (this.options.folder === "") return Promise.resolve(ok(undefined));
    const { sizeBytes } = this;
    const { maxBytes } = this.options;
    if (sizeBytes > maxBytes)
      return Promise.resolve(err(new SegmentLogFullError(sizeBytes, maxBytes)));
    return this.writes.add(encodeFrame(record));
  };

  /** Resolves once all that was appended before is durable. */
  readonly flush = (): Promise<Result<void, SegmentLogError>> =>
    this.options.folder === "" || this.writes.isIdle
      ? Promise.resolve(ok(undefined))
      : this.writes.add(Buffer.alloc(0));

  /** Waits for the writes that have begun, and closes the file. */
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
      const all =
        this.segmentBytes === 0
          ? Buffer.concat([encodeFrame(this.options.makeHeader()), bytes])
          : bytes;
      await file.write(all);
      await file.datasync();
      this.segmentBytes += all.length;
      return ok(undefined);
    } catch (error) {
      // What the failed write left may be torn, so nothing more is appended to the segment. That it
      // can't be closed either changes nothing: the write's own error is what the caller must know.
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
    const opened = await open(folder, "r");
    try {
      await opened.sync();
    } finally {
      await opened.close();
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
    const old = this.closed.filter(({ closedUs }) => clock.nowUs() - closedUs > retentionUs);
    this.closed = this.closed.filter((segment) => !old.includes(segment));
    for (const { number } of old) await rm(this.path(number), { force: true });
  };
}
