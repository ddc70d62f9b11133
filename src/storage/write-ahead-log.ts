import { createHash } from "node:crypto";
import { join } from "node:path";
import { err, ok, type Result } from "true-myth/result";
import {
  asList,
  asRecord,
  readFlag,
  readString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";
import { packValue, unpackValue } from "../transport/connection.js";
import type { FileSystem } from "./file-system.js";
import { Batcher } from "../common/batcher.js";

export type WriteAheadLogError = { readonly kind: "disk"; readonly sentence: string };

/**
 * What a start finds. `verified`: proof that nothing is missing that was ever kept. `unverified`: whatever could be read, and
 * one line why it may not be all. `empty`: nothing was ever kept, or all of it is lost.
 */
export type Recovery =
  | { readonly kind: "verified"; readonly records: readonly UnknownRecord[] }
  | {
      readonly kind: "unverified";
      readonly records: readonly UnknownRecord[];
      readonly reason: string;
    }
  | { readonly kind: "empty" };

export interface WriteAheadLogOptions {
  /** Empty on a machine without a disk: then memory is all there is. */
  readonly folder: string;
  readonly fileSystem: FileSystem;
  /** The whole state as records, taken in one go; holds every record that was handed to `keep` before. */
  readonly snapshot: () => readonly UnknownRecord[];
}

type Kind = "snapshot" | "increment";

interface Content {
  /** For an increment the sum of the increment before it; for a snapshot the `link` of the increment that comes next. */
  readonly link: string;
  /** Says of a snapshot that nothing ever kept was missing from it. */
  readonly isWhole: boolean;
  readonly records: readonly UnknownRecord[];
}

interface Found {
  readonly kind: Kind;
  readonly number: number;
  /** True as long as the file hasn't got the name under which it counts; nothing in it was ever called kept. */
  readonly isAside: boolean;
  readonly name: string;
}

interface ReadFile extends Found {
  readonly sum: string;
  readonly bytes: number;
  /** Undefined if the file can't be read or isn't as it was written. */
  readonly content: Content | undefined;
}

interface Call {
  readonly records: readonly UnknownRecord[];
  readonly isWhole: boolean;
}

const NAME = /^(snapshot|increment)-(\d+)\.(bin|tmp)$/;
const SUM_BYTES = 32;
/** A snapshot is due once the increments are as large as the last one, or this large, or this many. */
const LEAST_BYTES = 64 * 1024;
const MOST_INCREMENTS = 512;
/** At this many times what makes one due, increments wait for the snapshot. */
const HARD_PART = 2;
/** A snapshot that the disk refused is tried again once so much more of what makes one due has come together. */
const RETRY_PART = 0.25;
/** Files read at once by a start; each holds a handle. */
const READ_AT_ONCE = 32;
/** Past so many records that a refusing disk left unkept, a snapshot takes their place. */
const MOST_UNKEPT = 2_000;

const sentenceOf = (error: unknown): string =>
  error instanceof Error ? error.message : "the disk refused";

const pack = (
  kind: Kind,
  number: number,
  content: Content,
): { readonly bytes: Buffer; readonly sum: string } => {
  const body = packValue({ kind, number, ...content });
  const sum = createHash("sha256").update(body).digest();
  return { bytes: Buffer.concat([sum, body]), sum: sum.toString("base64") };
};

const unpack = (
  kind: Kind,
  number: number,
  bytes: Uint8Array,
): Pick<ReadFile, "sum" | "content"> | undefined => {
  const body = bytes.subarray(SUM_BYTES);
  const sum = createHash("sha256").update(body).digest();
  if (!sum.equals(bytes.subarray(0, SUM_BYTES))) return undefined;
  const rec = asRecord(unpackValue(body));
  if (rec["kind"] !== kind || readNumber(rec, "number") !== number) return undefined;
  const records = asList(rec["records"], "records").map((record) => asRecord(record));
  return {
    sum: sum.toString("base64"),
    content: { link: readString(rec, "link"), isWhole: readFlag(rec, "isWhole"), records },
  };
};

/** Why these files, in order, are no proof that they hold all that was kept; undefined where they are. */
const doubtOf = (files: readonly ReadFile[]): string | undefined => {
  const newest = files.filter(({ kind }) => kind === "snapshot").at(-1);
  if (!newest) return "there are increments without a snapshot";
  if (!newest.content) return `${newest.name} is spoiled`;
  if (!newest.content.isWhole) return "this machine had not caught up when it last stopped";
  let { number } = newest;
  let { link } = newest.content;
  for (const file of files.filter(
    (other) => other.kind === "increment" && other.number > newest.number,
  )) {
    if (!file.content) return `${file.name} is spoiled`;
    if (file.number !== number + 1 || file.content.link !== link)
      return `${file.name} doesn't follow what is before it`;
    ({ number } = file);
    link = file.sum;
  }
  return undefined;
};

/**
 * The state on disk: `snapshot-N` is the whole state and stands for all numbers up to N; `increment-N` holds the records
 * of one round of calls and names the sum of the one before. Each is one file with a checksum, written aside, synced,
 * renamed, and the folder synced, before anything in it is called kept.
 * Invariants: increment N+1 gets its name only after increment N's name lasts, so that what an unsynced name can lose was
 * never called kept; a file goes only once a newer snapshot's name lasts, so that one that comes back stands below that
 * snapshot and is passed over; `isWhole` is false from a start without proof until `keepWhole`.
 */
export class WriteAheadLog {
  /** Invariant: increment `last`, or a snapshot that stands for it, lasts. */
  private last = 0;
  private link = "";
  private isWhole = false;
  /** True until a snapshot of this life, or one found whole, is there to add increments to. */
  private needsSnapshot = true;
  private snapshotBytes = 0;
  /** The bytes of each increment that no lasting snapshot stands for, by number. */
  private readonly increments = new Map<number, number>();
  /** What a disk that refused left unkept, in order; goes into the next increment. */
  private unkept: readonly UnknownRecord[] = [];
  /** The number of a first snapshot that the disk refused, so that the next try takes its place. */
  private claimed: number | undefined;
  private snapshotting: Promise<void> | undefined;
  private nextSnapshotPart = 1;
  private readonly rounds = new Batcher((calls: readonly Call[]) => this.round(calls));

  constructor(private readonly options: WriteAheadLogOptions) {}

  get hasDisk(): boolean {
    return this.options.folder !== "";
  }

  /** To be called once, before anything is kept. What it calls whole lasts from then on. */
  readonly load = async (): Promise<Recovery> => {
    if (!this.hasDisk) return { kind: "empty" };
    const { folder, fileSystem } = this.options;
    let records: readonly UnknownRecord[] = [];
    try {
      const files: ReadFile[] = [];
      const named = (await this.find()).filter(({ isAside }) => !isAside);
      for (let at = 0; at < named.length; at += READ_AT_ONCE)
        files.push(...(await Promise.all(named.slice(at, at + READ_AT_ONCE).map(this.read))));
      const why = files.length === 0 ? undefined : doubtOf(files);
      const from =
        why === undefined ? Math.max(0, files.map(({ kind }) => kind).lastIndexOf("snapshot")) : 0;
      records = files.slice(from).flatMap(({ content }) => content?.records ?? []);
      if (why !== undefined) return { kind: "unverified", records, reason: why };
      await fileSystem.makeFolder(folder);
      if (files.length === 0) return { kind: "empty" };
      // A killed life may have renamed a file and not synced the folder; who goes by it now must not lose it later.
      await fileSystem.syncFolder(folder);
      this.goOn(files.slice(from));
      await this.tidy(files[from]?.number ?? 0);
      return { kind: "verified", records };
    } catch (error) {
      return { kind: "unverified", records, reason: sentenceOf(error) };
    }
  };

  /**
   * Resolves once these records are safe; calls made meanwhile share one file. The order of calls is that of the records.
   * What the disk refused goes into the next file, whatever is kept then: so `keep([])` is a plain second try.
   */
  readonly append = (
    records: readonly UnknownRecord[],
  ): Promise<Result<void, WriteAheadLogError>> =>
    this.hasDisk ? this.rounds.add({ records, isWhole: false }) : Promise.resolve(ok(undefined));

  /**
   * Keeps the whole state and vouches that nothing ever kept is missing from it: for the first start of all, and for a
   * copy that has caught up. Until then a later start is doubtful, whatever `keep` has kept.
   */
  readonly writeVerifiedSnapshot = (): Promise<Result<void, WriteAheadLogError>> =>
    this.hasDisk ? this.rounds.add({ records: [], isWhole: true }) : Promise.resolve(ok(undefined));

  /** Resolves once nothing is being written. */
  readonly idle = async (): Promise<void> => {
    while (!this.rounds.isIdle || this.snapshotting) {
      await this.rounds.add({ records: [], isWhole: false });
      await this.snapshotting;
    }
  };

  private get incrementBytes(): number {
    return [...this.increments.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** How much of what makes a snapshot due has come together. */
  private get duePart(): number {
    return Math.max(
      this.incrementBytes / Math.max(this.snapshotBytes, LEAST_BYTES),
      this.increments.size / MOST_INCREMENTS,
    );
  }

  private readonly round = async (
    calls: readonly Call[],
  ): Promise<Result<void, WriteAheadLogError>> => {
    const isWhole = calls.some((call) => call.isWhole);
    const records = calls.flatMap((call) => call.records);
    if (isWhole || this.unkept.length > MOST_UNKEPT) this.needsSnapshot = true;
    this.unkept = [...this.unkept, ...records];
    if (!isWhole && this.unkept.length === 0) return ok(undefined);
    // A snapshot will hold them all; one is left to tell that something isn't kept yet.
    if (this.needsSnapshot) this.unkept = this.unkept.slice(0, 1);
    try {
      if (this.needsSnapshot) await this.writeFirst(isWhole || this.isWhole);
      else await this.writeIncrement();
      return ok(undefined);
    } catch (error) {
      return err({ kind: "disk", sentence: sentenceOf(error) });
    }
  };

  /** A snapshot under a number of its own, above every name found; on a failure the next round tries again. */
  private readonly writeFirst = async (isWhole: boolean): Promise<void> => {
    await this.snapshotting;
    await this.options.fileSystem.makeFolder(this.options.folder);
    this.claimed ??= Math.max(this.last, ...(await this.find()).map(({ number }) => number)) + 1;
    await this.writeSnapshot(this.claimed, isWhole);
    this.last = this.claimed;
    this.claimed = undefined;
    this.isWhole = isWhole;
    this.needsSnapshot = false;
    this.unkept = [];
    await this.tidy(this.last);
  };

  private readonly writeIncrement = async (): Promise<void> => {
    if (this.duePart >= HARD_PART) await this.snapshotting;
    if (this.duePart >= Math.min(this.nextSnapshotPart, HARD_PART))
      this.snapshotting ??= this.snapshotAside();
    if (this.duePart >= HARD_PART) await this.snapshotting;
    if (this.duePart >= HARD_PART)
      throw new Error("no snapshot could be written, and the room for increments is taken");
    const number = this.last + 1;
    const { bytes, sum } = pack("increment", number, {
      link: this.link,
      isWhole: this.isWhole,
      records: this.unkept,
    });
    await this.put("increment", number, bytes);
    this.last = number;
    this.link = sum;
    this.increments.set(number, bytes.length);
    this.unkept = [];
  };

  /** Puts a snapshot in the place of the increments so far, while further ones are written. */
  private readonly snapshotAside = async (): Promise<void> => {
    try {
      const number = this.last;
      await this.writeSnapshot(number, this.isWhole);
      await this.tidy(number);
    } catch {
      // The files so far still hold everything; a later round tries again.
      this.nextSnapshotPart = this.duePart + RETRY_PART;
    } finally {
      this.snapshotting = undefined;
    }
  };

  /** The state as it is now, which holds all that was handed to `keep` up to this call; lasting once this resolves. */
  private readonly writeSnapshot = async (number: number, isWhole: boolean): Promise<void> => {
    const { bytes } = pack("snapshot", number, {
      link: this.link,
      isWhole,
      records: this.options.snapshot(),
    });
    await this.put("snapshot", number, bytes);
    this.snapshotBytes = bytes.length;
    this.nextSnapshotPart = 1;
    [...this.increments.keys()]
      .filter((other) => other <= number)
      .forEach((other) => this.increments.delete(other));
  };

  private readonly put = async (kind: Kind, number: number, bytes: Uint8Array): Promise<void> => {
    const { folder, fileSystem } = this.options;
    const aside = join(folder, `${kind}-${number}.tmp`);
    try {
      await fileSystem.write(aside, bytes);
    } catch (error) {
      // Half a file on a full disk would take the room of the next try.
      await fileSystem.remove(aside).catch(() => undefined);
      throw error;
    }
    await fileSystem.rename(aside, join(folder, `${kind}-${number}.bin`));
    await fileSystem.syncFolder(folder);
  };

  /** Takes away what a lasting snapshot stands for; what the disk refuses to remove goes the next time. */
  private readonly tidy = async (snapshot: number): Promise<void> => {
    const { folder, fileSystem } = this.options;
    try {
      const old = (await this.find()).filter(
        ({ kind, number }) => number < snapshot || (kind === "increment" && number === snapshot),
      );
      for (const { name } of old) await fileSystem.remove(join(folder, name));
    } catch {
      // Files too many are no fault.
    }
  };

  /** The files that are ours, by number, an increment before the snapshot that stands for it. */
  private readonly find = async (): Promise<readonly Found[]> => {
    const names = await this.options.fileSystem.list(this.options.folder);
    return names
      .flatMap((name): Found[] => {
        const [, kind, number, end] = NAME.exec(name) ?? [];
        return kind === undefined
          ? []
          : [
              {
                kind: kind === "snapshot" ? "snapshot" : "increment",
                number: Number(number),
                isAside: end === "tmp",
                name,
              },
            ];
      })
      .sort((a, b) => a.number - b.number || a.kind.localeCompare(b.kind));
  };

  private readonly read = async (found: Found): Promise<ReadFile> => {
    try {
      const bytes =
        (await this.options.fileSystem.read(join(this.options.folder, found.name))) ??
        new Uint8Array();
      const { sum, content } = unpack(found.kind, found.number, bytes) ?? {
        sum: "",
        content: undefined,
      };
      return { ...found, sum, content, bytes: bytes.length };
    } catch {
      return { ...found, sum: "", content: undefined, bytes: 0 };
    }
  };

  /** Goes on from a whole chain: its snapshot first, then its increments. */
  private readonly goOn = (files: readonly ReadFile[]): void => {
    for (const { kind, number, sum, bytes, content } of files) {
      this.last = number;
      this.link = kind === "snapshot" ? (content?.link ?? "") : sum;
      if (kind === "snapshot") this.snapshotBytes = bytes;
      else this.increments.set(number, bytes);
    }
    this.isWhole = true;
    this.needsSnapshot = false;
  };
}
