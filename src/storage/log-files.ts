/**
 * File access of the write-ahead log: listing, reading, atomic writing, and removal of obsolete
 * files.
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

/** A log file that has been read. */
export interface LogFile extends LogFileName {
  /** In base64; empty if `content` is undefined. */
  readonly checksum: string;
  readonly sizeBytes: number;
  /** Undefined if the file cannot be read or decoded. */
  readonly content: LogFileContent | undefined;
}

/** Number of files read concurrently; each read holds a file descriptor. */
const CONCURRENT_READS = 32;

/** Reads, writes and removes the files of one log. */
export class LogFiles {
  constructor(
    private readonly folder: string,
    private readonly fileSystem: FileSystem,
  ) {}

  /**
   * Lists the log files, temporary ones included, by number. An increment sorts before the snapshot
   * of the same number, which supersedes it.
   */
  readonly list = async (): Promise<readonly LogFileName[]> => {
    const names = await this.fileSystem.list(this.folder);
    return names
      .flatMap((name) => parseLogFileName(name) ?? [])
      .sort((a, b) => a.number - b.number || a.kind.localeCompare(b.kind));
  };

  /** Reads all files with a final name, in the order of `list`. */
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
   * Writes and syncs a file under a temporary name, then renames it to its final name. Durable when
   * the promise resolves.
   */
  readonly write = async (kind: LogFileKind, number: number, bytes: Uint8Array): Promise<void> => {
    const temporary = join(this.folder, logFileName(kind, number, true));
    try {
      await this.fileSystem.write(temporary, bytes);
    } catch (error) {
      // On a full disk a partial file would take up space that the next attempt needs. The error of
      // the write is the one to report, so an error of the removal is ignored.
      await this.fileSystem.remove(temporary).catch(() => undefined);
      throw error;
    }
    await this.fileSystem.rename(temporary, join(this.folder, logFileName(kind, number)));
    await this.fileSystem.syncFolder(this.folder);
  };

  /** Removes the files superseded by a durable snapshot. Never rejects. */
  readonly removeOlderThan = async (snapshot: number): Promise<void> => {
    try {
      const old = (await this.list()).filter(
        ({ kind, number }) => number < snapshot || (kind === "increment" && number === snapshot),
      );
      for (const { name } of old) await this.fileSystem.remove(join(this.folder, name));
    } catch {
      // Recovery ignores superseded files; those left here are removed by the next call.
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
      // Whether an unreadable file matters is decided when the chain is verified on recovery.
      return { ...file, checksum: "", content: undefined, sizeBytes: 0 };
    }
  };
}
