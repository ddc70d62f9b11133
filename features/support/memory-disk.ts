import type { FileSystem } from "../../src/storage/file-system.js";

/**
 * An in-memory file system whose writes are durable at once. For tests with a manual clock, next to
 * which a real disk would appear slow.
 */
export class MemoryDisk implements FileSystem {
  readonly files = new Map<string, Uint8Array>();

  readonly list = async (folder: string): Promise<readonly string[]> =>
    [...this.files.keys()]
      .filter((path) => path.startsWith(`${folder}/`))
      .map((path) => path.slice(folder.length + 1));

  readonly read = async (path: string): Promise<Uint8Array | undefined> => this.files.get(path);

  readonly write = async (path: string, bytes: Uint8Array): Promise<void> => {
    this.files.set(path, Uint8Array.from(bytes));
  };

  readonly rename = async (from: string, to: string): Promise<void> => {
    const bytes = this.files.get(from);
    if (!bytes) throw new Error(`no such file: ${from}`);
    this.files.set(to, bytes);
    this.files.delete(from);
  };

  readonly remove = async (path: string): Promise<void> => {
    this.files.delete(path);
  };

  readonly makeFolder = async (): Promise<void> => undefined;

  readonly syncFolder = async (): Promise<void> => undefined;
}
