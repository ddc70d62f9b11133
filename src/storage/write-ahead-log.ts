/**
 * The control state on disk: a snapshot and the increments after it, chained by checksums. See
 * docs/archive.md.
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

/** What a write-ahead log writes, and where. */
export interface WriteAheadLogOptions {
  /** Empty on a machine without a disk: then memory is all there is. */
  readonly folder: string;
  readonly fileSystem: FileSystem;
  /**
   * The whole state as records, taken in one go; holds every record that was handed to `append`
   * before.
   */
  readonly snapshot: () => readonly UnknownRecord[];
}

interface Append {
  readonly records: readonly UnknownRecord[];
  readonly isVerified: boolean;
}

/**
 * A snapshot is due once the increments are as large as the last one, or this large, or this many.
 */
const MIN_SNAPSHOT_BYTES = 64 * 1024;
const MAX_INCREMENTS = 512;
/** At this many times what makes one due, increments wait for the snapshot. */
const BLOCKING_FRACTION = 2;
/**
 * A snapshot that the disk refused is tried again once so much more of what makes one due has
 * accumulated.
 */
const RETRY_FRACTION = 0.25;
/** Past so many records that the disk refused to write, a snapshot takes their place. */
const MAX_UNWRITTEN = 2_000;

/**
 * `snapshot-N` is the whole state and stands for all numbers up to N; `increment-N` holds the
 * records of one round of appends and names the checksum of the one before. Each is one file,
 * written under a temporary name, synced, renamed, and the folder synced, before anything in it is
 * acknowledged.
 *
 * Invariants: increment N+1 gets its name only after increment N's name is durable, so that what an
 * unsynced name can lose was never acknowledged; a file is removed only once a newer snapshot's
 * name is durable, so that one that comes back is below that snapshot and is ignored; `isVerified`
 * is false from a start without proof until `writeVerifiedSnapshot`.
 */
export class WriteAheadLog {
  /** Invariant: this increment, or a snapshot that stands for it, is durable. */
  private lastNumber = 0;
  private link = "";
  private isVerified = false;
  /**
   * True until a snapshot of this process, or a verified one that was found, is there to add
   * increments to.
   */
  private needsSnapshot = true;
  private snapshotBytes = 0;
  /** The bytes of each increment that no durable snapshot stands for, by number. */
  private readonly increments = new Map<number, number>();
  /** What the disk has refused, in order; goes into the next increment. */
  private unwritten: readonly UnknownRecord[] = [];
  /** The number of a snapshot that the disk refused, so that the next attempt takes its place. */
  private reservedNumber: number | undefined;
  private snapshotting: Promise<void> | undefined;
  private nextSnapshotFraction = 1;
  private readonly files: LogFiles;
  private readonly rounds = new Batcher((appends: readonly Append[]) => this.writeRound(appends));

  constructor(private readonly options: WriteAheadLogOptions) {
    this.files = new LogFiles(options.folder, options.fileSystem);
  }

  get hasDisk(): boolean {
    return this.options.folder !== "";
  }

  /**
   * To be called once, before anything is appended. What it calls verified is durable from then on.
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
      // A killed process may have renamed a file and not synced the folder; what is acted on now
      // must not be lost later.
      await fileSystem.syncFolder(folder);
      this.continueChain(files);
      await this.files.removeOlderThan(oldest.number);
      return { kind: "verified", records };
    } catch (error) {
      return { kind: "unverified", records, reason: messageOf(error) };
    }
  };

  /**
   * Resolves once these records are durable; calls made meanwhile share one file. The order of
   * calls is that of the records. What the disk refused goes into the next file, whatever is
   * appended then: so `append([])` is a plain retry.
   */
  readonly append = (records: readonly UnknownRecord[]): Promise<Result<void, DiskWriteError>> =>
    this.hasDisk ? this.rounds.add({ records, isVerified: false }) : Promise.resolve(ok(undefined));

  /**
   * Writes the whole state and vouches that nothing ever appended is missing from it: for the first
   * start of all, and for a replica that has caught up. Until then a later start is unverified,
   * whatever was appended.
   */
  readonly writeVerifiedSnapshot = (): Promise<Result<void, DiskWriteError>> =>
    this.hasDisk
      ? this.rounds.add({ records: [], isVerified: true })
      : Promise.resolve(ok(undefined));

  /** Resolves once nothing is being written. */
  readonly idle = async (): Promise<void> => {
    while (!this.rounds.isIdle || this.snapshotting) {
      await this.rounds.add({ records: [], isVerified: false });
      await this.snapshotting;
    }
  };

  private get incrementBytes(): number {
    return [...this.increments.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** How much of what makes a snapshot due has accumulated. */
  private get dueFraction(): number {
    return Math.max(
      this.incrementBytes / Math.max(this.snapshotBytes, MIN_SNAPSHOT_BYTES),
      this.increments.size / MAX_INCREMENTS,
    );
  }

  private readonly writeRound = async (
    appends: readonly Append[],
  ): Promise<Result<void, DiskWriteError>> => {
    const isVerified = appends.some((append) => append.isVerified);
    const records = appends.flatMap((append) => append.records);
    if (isVerified || this.unwritten.length > MAX_UNWRITTEN) this.needsSnapshot = true;
    this.unwritten = [...this.unwritten, ...records];
    if (!isVerified && this.unwritten.length === 0) return ok(undefined);
    // The snapshot will hold them all; one is left to show that something isn't written yet.
    if (this.needsSnapshot) this.unwritten = this.unwritten.slice(0, 1);
    try {
      if (this.needsSnapshot) await this.writeOwnSnapshot(isVerified || this.isVerified);
      else await this.writeIncrement();
      return ok(undefined);
    } catch (error) {
      return err(new DiskWriteError(error));
    }
  };

  /**
   * Writes a snapshot under a number of its own, above every name found; on a failure the next
   * round tries again.
   */
  private readonly writeOwnSnapshot = async (isVerified: boolean): Promise<void> => {
    await this.snapshotting;
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
    if (this.dueFraction >= BLOCKING_FRACTION) await this.snapshotting;
    if (this.dueFraction >= Math.min(this.nextSnapshotFraction, BLOCKING_FRACTION))
      this.snapshotting ??= this.snapshotInBackground();
    if (this.dueFraction >= BLOCKING_FRACTION) await this.snapshotting;
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

  /** Replaces the increments so far by a snapshot, while further ones are written. */
  private readonly snapshotInBackground = async (): Promise<void> => {
    try {
      const number = this.lastNumber;
      await this.writeSnapshot(number, this.isVerified);
      await this.files.removeOlderThan(number);
    } catch {
      // The files so far still hold everything; a later round tries again.
      this.nextSnapshotFraction = this.dueFraction + RETRY_FRACTION;
    } finally {
      this.snapshotting = undefined;
    }
  };

  /**
   * Writes the state as it is now, which holds all that was appended up to this call; durable once
   * this resolves.
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

  /** Continues a verified chain: its snapshot first, then its increments. */
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
