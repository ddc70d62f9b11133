import { dirname } from "node:path";
import type { FileSystem, FolderFileSystem } from "../../src/storage/file-system.js";

/**
 * Contents of a file. Invariant: `written` is what a reader sees; `synced` is what is certain to
 * survive a power loss.
 */
interface Inode {
  synced: Uint8Array;
  written: Uint8Array;
}

interface FolderRename {
  readonly from: string;
  readonly to: string;
}

/** Returns the directory entries with those below one folder moved below another. */
const moveFolder = (
  entries: ReadonlyMap<string, Inode>,
  from: string,
  to: string,
): Map<string, Inode> =>
  new Map(
    [...entries].map(([path, node]) => [
      path.startsWith(`${from}/`) ? to + path.slice(from.length) : path,
      node,
    ]),
  );

/** Returns the next pseudorandom number, from 0 up to but not including 1. */
export type Random = () => number;

export const seededRandom = (seed: number): Random => {
  let state = seed * 2_654_435_761;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

/**
 * An in-memory disk that can be full, be slow, fail and lose power.
 *
 * - A name created, renamed or removed since the last sync of its folder has its old or its new
 *   state after a power loss, independently of other names; a renamed file may have both names.
 * - Of bytes written since the last sync of their file, none, all or a torn part remains.
 * - A renamed folder has its old or its new name, as a whole, unless its parent folder was synced
 *   after the renaming.
 */
export class FaultyDisk {
  capacityBytes = Number.POSITIVE_INFINITY;
  /** Probability that a step of a call fails. */
  failureProbability = 0;
  /** Number of steps left until every call fails, as in a crash. */
  stepsLeft = Number.POSITIVE_INFINITY;
  /** If false, syncing a folder has no effect. Used to check that the tests detect this fault. */
  syncsFolders = true;
  private entries = new Map<string, Inode>();
  private syncedEntries = new Map<string, Inode>();
  private folderRenames: readonly FolderRename[] = [];
  private processNumber = 0;

  constructor(private readonly random: Random) {}

  get isUp(): boolean {
    return this.stepsLeft > 0;
  }

  get usedBytes(): number {
    return [...new Set(this.entries.values())].reduce(
      (sum, { written }) => sum + written.length,
      0,
    );
  }

  /** Opens the disk for one process. After the process has ended, every call fails. */
  readonly open = (): FileSystem & FolderFileSystem => {
    const ownNumber = this.processNumber;
    const step = async (canFail = true): Promise<void> => {
      const waits = Math.floor(this.random() * 4);
      for (let at = 0; at <= waits; at += 1) await Promise.resolve();
      if (ownNumber === this.processNumber && this.isUp) this.stepsLeft -= 1;
      if (ownNumber !== this.processNumber || !this.isUp) throw new Error("the process has ended");
      if (canFail && this.random() < this.failureProbability) throw new Error("disk error");
    };
    return {
      list: async (folder) => {
        await step();
        const below = [...this.entries.keys()]
          .filter((path) => path.startsWith(`${folder}/`))
          .map((path) => path.slice(folder.length + 1).split("/")[0] ?? "");
        return [...new Set(below)];
      },
      read: async (path) => {
        await step();
        return this.entries.get(path)?.written;
      },
      write: async (path, bytes) => {
        await step();
        const node = this.entries.get(path) ?? {
          synced: new Uint8Array(),
          written: new Uint8Array(),
        };
        this.entries.set(path, node);
        node.written = new Uint8Array();
        const room = Math.max(0, this.capacityBytes - this.usedBytes);
        node.written = bytes.slice(0, Math.min(room, Math.floor(this.random() * bytes.length)));
        await step();
        if (room < bytes.length) throw new Error("the disk is full");
        node.written = bytes;
        await step();
        node.synced = bytes;
        await step();
      },
      rename: async (from, to) => {
        await step();
        const node = this.entries.get(from);
        if (!node) throw new Error("no such file");
        this.entries.delete(from);
        this.entries.set(to, node);
        await step();
      },
      renameFolder: async (from, to) => {
        await step();
        const paths = [...this.entries.keys()];
        if (!paths.some((path) => path.startsWith(`${from}/`))) throw new Error("no such folder");
        if (paths.some((path) => path.startsWith(`${to}/`)))
          throw new Error("the folder is not empty");
        this.folderRenames = [...this.folderRenames, { from, to }];
        this.entries = moveFolder(this.entries, from, to);
        this.syncedEntries = moveFolder(this.syncedEntries, from, to);
        await step();
      },
      remove: async (path) => {
        await step();
        this.entries.delete(path);
        await step();
      },
      makeFolder: () => step(),
      syncFolder: async (folder) => {
        await step();
        if (this.syncsFolders) {
          this.syncedEntries = new Map(this.entries);
          this.folderRenames = this.folderRenames.filter(({ to }) => dirname(to) !== folder);
        }
        await step();
      },
    };
  };

  /** Ends the process. What it has written remains, synced or not. */
  readonly kill = (): void => {
    this.processNumber += 1;
    this.stepsLeft = Number.POSITIVE_INFINITY;
  };

  readonly losePower = (): void => {
    this.kill();
    const survivalProbability = [0, 0.5, 1][Math.floor(this.random() * 3)] ?? 0;
    for (const { from, to } of [...this.folderRenames].reverse())
      if (this.random() >= survivalProbability) {
        this.entries = moveFolder(this.entries, to, from);
        this.syncedEntries = moveFolder(this.syncedEntries, to, from);
      }
    this.folderRenames = [];
    const left = new Map<string, Inode>();
    for (const path of new Set([...this.entries.keys(), ...this.syncedEntries.keys()])) {
      const node = (this.random() < survivalProbability ? this.entries : this.syncedEntries).get(
        path,
      );
      if (node) left.set(path, node);
    }
    for (const node of new Set(left.values())) {
      const torn = node.written.slice(0, Math.floor(this.random() * node.written.length));
      node.written = node.synced =
        node.written === node.synced || this.random() >= survivalProbability
          ? node.synced
          : this.random() < 0.5
            ? node.written
            : torn;
    }
    this.entries = left;
    this.syncedEntries = new Map(left);
  };

  readonly wipe = (): void => {
    this.kill();
    this.entries.clear();
    this.syncedEntries.clear();
    this.folderRenames = [];
  };

  /** Changes one byte of one file; returns false if there is no file with contents. */
  readonly corruptByte = (): boolean => {
    const nodes = [...this.entries.values()].filter(({ written }) => written.length > 0);
    const node = nodes[Math.floor(this.random() * nodes.length)];
    if (!node) return false;
    const bytes = node.written.slice();
    const at = Math.floor(this.random() * bytes.length);
    bytes[at] = (bytes[at] ?? 0) ^ 0x10;
    node.written = node.synced = bytes;
    return true;
  };
}
