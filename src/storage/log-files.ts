/**
 * The write-ahead log's files in their folder: listing, reading, writing under a final name, and
 * removing old ones.
 */
import { join } from "node:path";
import type { FileSystem } from "./file-system.js";
import {
  decodeLogFile,
  logFileName,
  parseLogFileName,
  type LogFileContent,
  type LogFileKind,
  type LogFileName,
} from "./log-codec.js";

/** A file as it was read. */
export interface LogFile extends LogFileName {
  /** In base64; empty where the content is undefined. */
  readonly checksum: string;
  readonly sizeBytes: number;
  /** Undefined if the file can't be read or isn't as it was written. */
  readonly content: LogFileContent | undefined;
}

/** How many files are read at once; each holds a handle. */
const CONCURRENT_READS = 32;

/** The files of one log. */
export class LogFiles {
  constructor(
    private readonly folder: string,
    private readonly fileSystem: FileSystem,
  ) {}

  /** The log's files by number, an increment before the snapshot that stands for it. */
  readonly list = async (): Promise<readonly LogFileName[]> => {
    const names = await this.fileSystem.list(this.folder);
    return names
      .flatMap((name) => parseLogFileName(name) ?? [])
      .sort((a, b) => a.number - b.number || a.kind.localeCompare(b.kind));
  };

  /** Reads all files that have their final name, in the order of `list`. */
  readonly readAll = async (): Promise<readonly LogFile[]> => {
    const names = (await this.list()).filter(({ isTemporary }) => !isTemporary);
    const files: LogFile[] = [];
    for (let from = 0; from < names.length; from += CONCURRENT_READS) {
      const chunk = names.slice(from, from + CONCURRENT_READS);
      files.push(...(await Promise.all(chunk.map(this.read))));
    }
    return files;
  };

  /**
   * Writes a file under a temporary name, synced, and gives it its final name; durable once this
   * resolves.
   */
  readonly write = async (kind: LogFileKind, number: number, bytes: Uint8Array): Promise<void> => {
    const temporary = join(this.folder, logFileName(kind, number, true));
    try {
      await this.fileSystem.write(temporary, bytes);
    } catch (error) {
      // Half a file on a full disk would take the space of the next attempt; the write's own error
      // is what matters.
      await this.fileSystem.remove(temporary).catch(() => undefined);
      throw error;
    }
    await this.fileSystem.rename(temporary, join(this.folder, logFileName(kind, number)));
    await this.fileSystem.syncFolder(this.folder);
  };

  /** Removes the files that a durable snapshot stands for. */
  readonly removeOlderThan = async (snapshot: number): Promise<void> => {
    try {
      const old = (await this.list()).filter(
        ({ kind, number }) => number < snapshot || (kind === "increment" && number === snapshot),
      );
      for (const { name } of old) await this.fileSystem.remove(join(this.folder, name));
    } catch {
      // A recovery ignores files that a snapshot stands for, so what is left here goes the next
      // time.
    }
  };

  private readonly read = async (file: LogFileName): Promise<LogFile> => {
    try {
      const path = join(this.folder, file.name);
      const bytes = (await this.fileSystem.read(path)) ?? new Uint8Array();
      const decoded = decodeLogFile(file.kind, file.number, bytes);
      return {
        ...file,
        checksum: decoded?.checksum ?? "",
        content: decoded?.content,
        sizeBytes: bytes.length,
      };
    } catch {
      // The chain of files tells what an unreadable one means for the recovery.
      return { ...file, checksum: "", content: undefined, sizeBytes: 0 };
    }
  };
}
