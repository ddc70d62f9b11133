/**
 * Write-ahead log of the control state: a snapshot and subsequent increments, chained by checksums.
 * See docs/archive.md.
 */
import { err, ok, type Result } from "true-myth/result";
import { Batcher } from "../common/batcher.js";
import type { UnknownRecord } from "../common/decode.js";
import { messageOf } from "../common/errors.js";
import { DiskWriteError, SnapshotOverdueError } from "./errors.js";
import type { FileSystem } from "./file-system.js";
import { encodeLogFile } from "./log-codec.js";
import { LogFiles, type LogFile } from "./log-files.js";
import { recordsOf, recoverChain, type Recovery } from "./recovery.js";

/** Options of {@link WriteAheadLog}. */
export interface WriteAheadLogOptions {
  /** Empty on a machine without a disk; then nothing is persisted. */
  readonly folder: string;
  readonly fileSystem: FileSystem;
  /**
   * Returns the complete state as records, captured synchronously. It must include every record
   * already passed to `append`.
   */
  readonly snapshot: () => readonly UnknownRecord[];
}

interface AppendRequest {
  readonly records: readonly UnknownRecord[];
  readonly isVerified: boolean;
}

/**
 * A snapshot is due once the increments are as large as the last snapshot or `MIN_SNAPSHOT_BYTES`,
 * whichever is larger, or once there are `MAX_INCREMENTS` of them.
 */
const MIN_SNAPSHOT_BYTES = 64 * 1024;
const MAX_INCREMENTS = 512;
/** At this multiple of the threshold for a snapshot, increments wait for the snapshot. */
const BLOCKING_FRACTION = 2;
/**
 * After a failed snapshot, the next attempt is made once the increments have grown by this fraction
 * of the threshold.
 */
const RETRY_FRACTION = 0.25;
/** With more unwritten records than this, a snapshot is written instead of an increment. */
const MAX_UNWRITTEN_RECORDS = 2_000;

/**
 * `snapshot-N` is the complete state and supersedes all files numbered up to N. `increment-N` holds
 * the records of one batch of appends and the checksum of the preceding increment. Each file is
 * written under a temporary name, synced and renamed, and the folder is synced, before anything in
 * it is acknowledged.
 *
 * Invariants:
 *
 * - Increment N+1 gets its final name only after the name of increment N is durable, so an unsynced
 *   name that is lost never belonged to acknowledged records.
 * - A file is removed only once the name of a newer snapshot is durable. If the removal is lost in
 *   a crash, the file that reappears is older than that snapshot and is ignored.
 * - After a start that could not verify the log, `isVerified` is false until
 *   `writeVerifiedSnapshot`.
 */
export class WriteAheadLog {
  /** Invariant: the increment of this number, or a snapshot that supersedes it, is durable. */
  private lastNumber = 0;
  private link = "";
  private isVerified = false;
  /**
   * True until there is a snapshot that increments can follow: one written by this process, or a
   * verified one found on start-up.
   */
  private needsSnapshot = true;
  private snapshotBytes = 0;
  /** Size of each increment not yet superseded by a durable snapshot, by number. */
  private readonly increments = new Map<number, number>();
  /**
   * Records not yet written, including those of failed writes, in order. They go into the next
   * increment.
   */
  private unwritten: readonly UnknownRecord[] = [];
  /** Number of a snapshot whose write failed; the next attempt reuses it. */
  private reservedNumber: number | undefined;
  private backgroundSnapshot: Promise<void> | undefined;
  private nextSnapshotFraction = 1;
  private readonly files: LogFiles;
  private readonly batches = new Batcher((appends: readonly AppendRequest[]) =>
    this.writeBatch(appends),
  );

  constructor(private readonly options: WriteAheadLogOptions) {
    this.files = new LogFiles(options.folder, options.fileSystem);
  }

  get hasDisk(): boolean {
    return this.options.folder !== "";
  }

  /**
   * Loads the log. Must be called once, before anything is appended. A `verified` result is durable
   * when the promise resolves.
   */
  readonly load = async (): Promise<Recovery> => {
    if (!this.hasDisk) return { kind: "empty" };
    const { folder, fileSystem } = this.options;
    let records: readonly UnknownRecord[] = [];
    try {
      const { files, reason } = recoverChain(await this.files.readAll());
      records = recordsOf(files);
      if (reason !== undefined) return { kind: "unverified", records, reason };
      await fileSystem.makeFolder(folder);
      const [oldest] = files;
      if (!oldest) return { kind: "empty" };
      // A process killed after a rename may not have synced the folder. The names must be durable
      // before the records are acted on.
      await fileSystem.syncFolder(folder);
      this.continueChain(files);
      await this.files.removeOlderThan(oldest.number);
      return { kind: "verified", records };
    } catch (error) {
      return { kind: "unverified", records, reason: messageOf(error) };
    }
  };

  /**
   * Appends records; resolves once they are durable or the write has failed. Concurrent calls share
   * one file. Records are stored in the order of the calls. Records whose write failed go into the
   * next file whatever is appended then, so `append([])` is a plain retry.
   */
  readonly append = (records: readonly UnknownRecord[]): Promise<Result<void, DiskWriteError>> =>
    this.hasDisk
      ? this.batches.add({ records, isVerified: false })
      : Promise.resolve(ok(undefined));

  /**
   * Writes a snapshot marked as complete, meaning that no record ever appended is missing from it.
   * Called on the first start of the cluster and by a replica that has caught up. Without it a
   * later start is unverified, whatever was appended in the meantime.
   */
  readonly writeVerifiedSnapshot = (): Promise<Result<void, DiskWriteError>> =>
    this.hasDisk
      ? this.batches.add({ records: [], isVerified: true })
      : Promise.resolve(ok(undefined));

  /** Resolves once no write or background snapshot is in progress. */
  readonly idle = async (): Promise<void> => {
    while (!this.batches.isIdle || this.backgroundSnapshot) {
      await this.batches.add({ records: [], isVerified: false });
      await this.backgroundSnapshot;
    }
  };

  private get incrementBytes(): number {
    return [...this.increments.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Progress towards the next snapshot; 1 means that a snapshot is due. */
  private get dueFraction(): number {
    return Math.max(
      this.incrementBytes / Math.max(this.snapshotBytes, MIN_SNAPSHOT_BYTES),
      this.increments.size / MAX_INCREMENTS,
    );
  }

  private readonly writeBatch = async (
    appends: readonly AppendRequest[],
  ): Promise<Result<void, DiskWriteError>> => {
    const isVerified = appends.some((append) => append.isVerified);
    const records = appends.flatMap((append) => append.records);
    if (isVerified || this.unwritten.length > MAX_UNWRITTEN_RECORDS) this.needsSnapshot = true;
    this.unwritten = [...this.unwritten, ...records];
    if (!isVerified && this.unwritten.length === 0) return ok(undefined);
    // The snapshot will include all of them. One is kept to mark that there are unwritten records.
    if (this.needsSnapshot) this.unwritten = this.unwritten.slice(0, 1);
    try {
      if (this.needsSnapshot) await this.writeForegroundSnapshot(isVerified || this.isVerified);
      else await this.writeIncrement();
      return ok(undefined);
    } catch (error) {
      return err(new DiskWriteError(error));
    }
  };

  /**
   * Writes a snapshot under a new number, above that of every existing file. After a failure the
   * next batch tries again.
   */
  private readonly writeForegroundSnapshot = async (isVerified: boolean): Promise<void> => {
    await this.backgroundSnapshot;
    await this.options.fileSystem.makeFolder(this.options.folder);
    this.reservedNumber ??=
      Math.max(this.lastNumber, ...(await this.files.list()).map(({ number }) => number)) + 1;
    await this.writeSnapshot(this.reservedNumber, isVerified);
    this.lastNumber = this.reservedNumber;
    this.reservedNumber = undefined;
    this.isVerified = isVerified;
    this.needsSnapshot = false;
    this.unwritten = [];
    await this.files.removeOlderThan(this.lastNumber);
  };

  private readonly writeIncrement = async (): Promise<void> => {
    if (this.dueFraction >= BLOCKING_FRACTION) await this.backgroundSnapshot;
    if (this.dueFraction >= Math.min(this.nextSnapshotFraction, BLOCKING_FRACTION))
      this.backgroundSnapshot ??= this.snapshotInBackground();
    if (this.dueFraction >= BLOCKING_FRACTION) await this.backgroundSnapshot;
    if (this.dueFraction >= BLOCKING_FRACTION) throw new SnapshotOverdueError();
    const number = this.lastNumber + 1;
    const { bytes, checksum } = encodeLogFile("increment", number, {
      link: this.link,
      isVerified: this.isVerified,
      records: this.unwritten,
    });
    await this.files.write("increment", number, bytes);
    this.lastNumber = number;
    this.link = checksum;
    this.increments.set(number, bytes.length);
    this.unwritten = [];
  };

  /**
   * Writes a snapshot that replaces the current increments, while further increments are written.
   * Never rejects.
   */
  private readonly snapshotInBackground = async (): Promise<void> => {
    try {
      const number = this.lastNumber;
      await this.writeSnapshot(number, this.isVerified);
      await this.files.removeOlderThan(number);
    } catch {
      // The existing files still hold everything; a later batch tries again.
      this.nextSnapshotFraction = this.dueFraction + RETRY_FRACTION;
    } finally {
      this.backgroundSnapshot = undefined;
    }
  };

  /**
   * Writes the current state, which includes everything appended before this call. Durable when the
   * promise resolves.
   */
  private readonly writeSnapshot = async (number: number, isVerified: boolean): Promise<void> => {
    const { bytes } = encodeLogFile("snapshot", number, {
      link: this.link,
      isVerified,
      records: this.options.snapshot(),
    });
    await this.files.write("snapshot", number, bytes);
    this.snapshotBytes = bytes.length;
    this.nextSnapshotFraction = 1;
    [...this.increments.keys()]
      .filter((other) => other <= number)
      .forEach((other) => this.increments.delete(other));
  };

  /** Resumes a verified chain from its snapshot and the increments after it. */
  private readonly continueChain = (files: readonly LogFile[]): void => {
    for (const { kind, number, checksum, sizeBytes, content } of files) {
      this.lastNumber = number;
      this.link = kind === "snapshot" ? (content?.link ?? "") : checksum;
      if (kind === "snapshot") this.snapshotBytes = sizeBytes;
      else this.increments.set(number, sizeBytes);
    }
    this.isVerified = true;
    this.needsSnapshot = false;
  };
}
