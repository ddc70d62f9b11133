/** The file system as durable state needs it, and its implementation on the machine's own. */
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { dirname } from "node:path";
import { isRecord } from "../common/decode.js";

/**
 * The few calls on files that durable state needs. Every method rejects with an Error when the file
 * system refuses. After a loss of power the bytes of a written file are as `write` left them; a
 * name that was made, renamed or removed since the last `syncFolder` of its folder may be kept or
 * lost, each by itself.
 */
export interface FileSystem {
  /** The names in a folder; none if there is no such folder. */
  list(folder: string): Promise<readonly string[]>;
  /** Undefined if there is no such file. */
  read(path: string): Promise<Uint8Array | undefined>;
  /** Writes the whole file, new or replaced; its bytes are synced once this resolves. */
  write(path: string, bytes: Uint8Array): Promise<void>;
  /** Renames a file; one under the new name is replaced. Not durable before `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  /** No error if there is no such file. */
  remove(path: string): Promise<void>;
  /**
   * Makes the folder with all parents missing; the names of all that were made are durable once
   * this resolves.
   */
  makeFolder(path: string): Promise<void>;
  /** Makes the names in the folder durable: those made, renamed and removed. */
  syncFolder(path: string): Promise<void>;
}

/** The calls on folders that a take-over needs. */
export interface FolderFileSystem extends Pick<FileSystem, "list" | "syncFolder"> {
  /**
   * Renames a folder with all that is in it, in one atomic step. An empty folder under the new name
   * is replaced.
   *
   * @throws if the folder under the new name isn't empty, or the file system refuses, for example
   *   across devices
   */
  renameFolder(from: string, to: string): Promise<void>;
}

/** The code of a system error, such as `ENOENT`. */
const codeOf = (error: unknown): unknown => (isRecord(error) ? error["code"] : undefined);

/**
 * Error codes of a folder that belongs to another user, so that this process made no name in it
 * either.
 */
const FOREIGN_FOLDER_CODES: ReadonlySet<unknown> = new Set(["EACCES", "EPERM", "EROFS"]);

const syncFolderAt = async (folder: string): Promise<void> => {
  const opened = await open(folder, "r");
  try {
    await opened.sync();
  } finally {
    await opened.close();
  }
};

/** Makes one folder; false if it is there already, undefined if its parent is missing. */
const makeOne = async (path: string): Promise<boolean | undefined> => {
  try {
    await mkdir(path);
    return true;
  } catch (error) {
    if (codeOf(error) === "ENOENT") return undefined;
    if (codeOf(error) === "EEXIST") return false;
    throw error;
  }
};

/** The machine's own file system. */
export class NodeFileSystem implements FileSystem, FolderFileSystem {
  /** @param sync - how a folder is synced, so that a test can see the order */
  constructor(private readonly sync: (folder: string) => Promise<void> = syncFolderAt) {}

  readonly list = async (folder: string): Promise<readonly string[]> => {
    try {
      return await readdir(folder);
    } catch (error) {
      if (codeOf(error) === "ENOENT") return [];
      throw error;
    }
  };

  readonly read = async (path: string): Promise<Uint8Array | undefined> => {
    try {
      return await readFile(path);
    } catch (error) {
      if (codeOf(error) === "ENOENT") return undefined;
      throw error;
    }
  };

  readonly write = async (path: string, bytes: Uint8Array): Promise<void> => {
    const file = await open(path, "w");
    try {
      await file.writeFile(bytes);
      await file.datasync();
    } finally {
      await file.close();
    }
  };

  readonly rename = (from: string, to: string): Promise<void> => rename(from, to);

  readonly renameFolder = (from: string, to: string): Promise<void> => rename(from, to);

  readonly remove = (path: string): Promise<void> => rm(path, { force: true });

  /**
   * Works from the top down, each name synced before the next is made. So after a crash on the way
   * at most the lowest folder that exists has a name not synced yet; that is why the parent of an
   * existing folder is synced too.
   */
  readonly makeFolder = async (path: string): Promise<void> => {
    const parent = dirname(path);
    let isNew = await makeOne(path);
    if (isNew === undefined) {
      await this.makeFolder(parent);
      isNew = await makeOne(path);
    }
    try {
      await this.sync(parent);
    } catch (error) {
      if (isNew !== false || !FOREIGN_FOLDER_CODES.has(codeOf(error))) throw error;
    }
  };

  readonly syncFolder = (path: string): Promise<void> => this.sync(path);
}
