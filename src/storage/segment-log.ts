import { open, readdir, readFile, rm, type FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { crc32 } from "node:zlib";
import { err, ok, type Result } from "true-myth/result";
import type { Clock } from "../common/clock.js";
import { packValue, unpackValue } from "../transport/connection.js";
import { NodeFileSystem } from "./file-system.js";
import { Batcher } from "../common/batcher.js";

export type SegmentLogError = { readonly kind: "disk" | "full"; readonly sentence: string };

export interface SegmentLogOptions {
  /** Empty on a machine without a disk: then memory is all there is. */
  readonly folder: string;
  readonly clock: Clock;
  /** For how long a record is wanted after it was appended. */
  readonly retentionUs: number;
  readonly maxBytes: number;
  /** What each new segment begins with. */
  readonly makeHeader: () => unknown;
}

const NAME = /^log-(\d+)\.bin$/;
const HEAD_BYTES = 8;
const SPANS = 6;

interface Closed {
  readonly number: number;
  readonly bytes: number;
  readonly closedUs: number;
}

const frameOf = (record: unknown): Buffer => {
  const body = packValue(record);
  const frame = Buffer.allocUnsafe(body.length + HEAD_BYTES);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt32BE(crc32(body), 4);
  body.copy(frame, HEAD_BYTES);
  return frame;
};

/** All records up to the first that is torn: what comes behind a torn one was never acknowledged. */
const recordsOf = (bytes: Buffer): readonly unknown[] => {
  const records: unknown[] = [];
  for (let at = 0; at + HEAD_BYTES <= bytes.length;) {
    const size = bytes.readUInt32BE(at);
    const body = bytes.subarray(at + HEAD_BYTES, at + HEAD_BYTES + size);
    if (body.length !== size || crc32(body) !== bytes.readUInt32BE(at + 4)) break;
    records.push(unpackValue(body));
    at += HEAD_BYTES + size;
  }
  return records;
};

/**
 * An append-only log in segments, with one sync for all that came meanwhile.
 * Invariants: a record is acknowledged only after the sync that covers it; a start never writes behind what it found,
 * but begins a new segment; a segment goes as a whole, and only once all of its records are older than `keepUs`.
 */
export class SegmentLog {
  private file: FileHandle | undefined;
  private number = 0;
  private bytes = 0;
  private openedUs = 0;
  private closed: Closed[] = [];
  private readonly writes: Batcher<Buffer, Result<void, SegmentLogError>>;

  constructor(private readonly options: SegmentLogOptions) {
    this.writes = new Batcher((frames) => this.write(Buffer.concat(frames)));
  }

  get sizeBytes(): number {
    return this.closed.reduce((sum, { bytes }) => sum + bytes, this.bytes);
  }

  /** Whether so much of the room is taken that nothing new should be begun. */
  get isNearlyFull(): boolean {
    return this.sizeBytes > this.options.maxBytes * 0.8;
  }

  /** The records found, oldest first, or undefined where there is no log. */
  readonly load = async (): Promise<readonly unknown[] | undefined> => {
    const { folder, clock } = this.options;
    if (folder === "") return undefined;
    try {
      await new NodeFileSystem().makeFolder(folder);
      const numbers = (await readdir(folder))
        .map((name) => Number(NAME.exec(name)?.[1] ?? 0))
        .filter((number) => number > 0)
        .sort((a, b) => a - b);
      const records: unknown[] = [];
      for (const number of numbers) {
        const bytes = await readFile(this.path(number));
        records.push(...recordsOf(bytes));
        this.closed.push({ number, bytes: bytes.length, closedUs: clock.nowUs() });
        this.number = number;
      }
      return numbers.length === 0 ? undefined : records;
    } catch {
      // A folder that cannot be read holds nothing for us: the state then comes from a majority.
      return undefined;
    }
  };

  /** Resolves once the record is safe. */
  readonly append = (record: unknown): Promise<Result<void, SegmentLogError>> => {
    if (this.options.folder === "") return Promise.resolve(ok(undefined));
    if (this.sizeBytes > this.options.maxBytes)
      return Promise.resolve(err({ kind: "full", sentence: "the room for the log is taken" }));
    return this.writes.add(frameOf(record));
  };

  /** Resolves once all that was appended before is safe. */
  readonly flush = (): Promise<Result<void, SegmentLogError>> =>
    this.options.folder === "" || this.writes.isIdle
      ? Promise.resolve(ok(undefined))
      : this.writes.add(Buffer.alloc(0));

  /** Lets what has begun come to its end, and closes the file. */
  readonly close = async (): Promise<void> => {
    await this.flush();
    await this.file?.close();
    this.file = undefined;
  };

  private readonly path = (number: number): string =>
    join(this.options.folder, `log-${number}.bin`);

  private readonly write = async (bytes: Buffer): Promise<Result<void, SegmentLogError>> => {
    try {
      const file = await this.current();
      const all =
        this.bytes === 0 ? Buffer.concat([frameOf(this.options.makeHeader()), bytes]) : bytes;
      await file.write(all);
      await file.datasync();
      this.bytes += all.length;
      return ok(undefined);
    } catch (error) {
      // What the failed write left may be torn, so nothing more is appended behind it.
      await this.closeSegment().catch(() => undefined);
      return err({
        kind: "disk",
        sentence: error instanceof Error ? error.message : "the disk refused",
      });
    }
  };

  private readonly current = async (): Promise<FileHandle> => {
    const { clock, retentionUs, folder } = this.options;
    if (this.file && clock.nowUs() - this.openedUs > retentionUs / SPANS) await this.closeSegment();
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
    if (file) this.closed.push({ number: this.number, bytes: this.bytes, closedUs: clock.nowUs() });
    this.bytes = 0;
    await file?.close();
    const old = this.closed.filter(({ closedUs }) => clock.nowUs() - closedUs > retentionUs);
    this.closed = this.closed.filter((segment) => !old.includes(segment));
    for (const { number } of old) await rm(this.path(number), { force: true });
  };
}
