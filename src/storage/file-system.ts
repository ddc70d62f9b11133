/** File system operations used for durable state, and their implementation on `node:fs`. */
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { dirname } from "node:path";
import { isRecord } from "../common/decode.js";

/**
 * File operations that durable state requires. Every method rejects with an Error if the operation
 * fails. After a power loss a file has the bytes that the last completed `write` synced. A name
 * that was created, renamed or removed since the last `syncFolder` of its folder may be kept or
 * lost, independently of other names.
 */
export interface FileSystem {
  /** Lists the names in a folder; empty if the folder does not exist. */
  list(folder: string): Promise<readonly string[]>;
  /** Reads a whole file; undefined if it does not exist. */
  read(path: string): Promise<Uint8Array | undefined>;
  /** Creates or replaces the whole file. Its contents are synced when the promise resolves. */
  write(path: string, bytes: Uint8Array): Promise<void>;
  /** Renames a file, replacing an existing one. Durable only after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file; succeeds if it does not exist. */
  remove(path: string): Promise<void>;
  /**
   * Creates the folder and all missing parents. The names of all created folders are durable when
   * the promise resolves.
   */
  makeFolder(path: string): Promise<void>;
  /** Makes all names created, renamed and removed in the folder durable. */
  syncFolder(path: string): Promise<void>;
}

/** Folder operations required to take over an earlier data folder. */
export interface FolderFileSystem extends Pick<FileSystem, "list" | "syncFolder"> {
  /**
   * Renames a folder with its contents in one atomic step. An empty folder under the new name is
   * replaced.
   *
   * @throws if the target folder is not empty or the rename fails, for example across devices
   */
  renameFolder(from: string, to: string): Promise<void>;
}

/** The code of a system error, such as `ENOENT`. */
const errorCodeOf = (error: unknown): unknown => (isRecord(error) ? error["code"] : undefined);

/**
 * Error codes of a folder that belongs to another user. This process cannot have created a name in
 * it, so it need not be synced.
 */
const ACCESS_DENIED_CODES: ReadonlySet<unknown> = new Set(["EACCES", "EPERM", "EROFS"]);

const syncFolderAt = async (folder: string): Promise<void> => {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** Creates a single folder. Returns false if it exists and undefined if its parent is missing. */
const makeSingleFolder = async (path: string): Promise<boolean | undefined> => {
  try {
    await mkdir(path);
    return true;
  } catch (error) {
    if (errorCodeOf(error) === "ENOENT") return undefined;
    if (errorCodeOf(error) === "EEXIST") return false;
    throw error;
  }
};

/** File system of the machine, through `node:fs`. */
export class NodeFileSystem implements FileSystem, FolderFileSystem {
  /** @param sync - syncs a folder; replaceable so that tests can observe the order of syncs */
  constructor(private readonly sync: (folder: string) => Promise<void> = syncFolderAt) {}

  readonly list = async (folder: string): Promise<readonly string[]> => {
    try {
      return await readdir(folder);
    } catch (error) {
      if (errorCodeOf(error) === "ENOENT") return [];
      throw error;
    }
  };

  readonly read = async (path: string): Promise<Uint8Array | undefined> => {
    try {
      return await readFile(path);
    } catch (error) {
      if (errorCodeOf(error) === "ENOENT") return undefined;
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
   * Creates folders from the top down and syncs each name before the next is created. After a crash
   * part-way only the name of the lowest existing folder can be unsynced, so the parent of an
   * existing folder is synced as well.
   */
  readonly makeFolder = async (path: string): Promise<void> => {
    const parent = dirname(path);
    let wasCreated = await makeSingleFolder(path);
    if (wasCreated === undefined) {
      await this.makeFolder(parent);
      wasCreated = await makeSingleFolder(path);
    }
    try {
      await this.sync(parent);
    } catch (error) {
      if (wasCreated !== false || !ACCESS_DENIED_CODES.has(errorCodeOf(error))) throw error;
    }
  };

  readonly syncFolder = (path: string): Promise<void> => this.sync(path);
}
