import { dirname } from "node:path";
import type { FileSystem, FolderFileSystem } from "../../src/storage/file-system.js";

/**
 * What a name stands for. Invariant: `written` is what a reader sees; `synced` is what a loss of
 * power leaves for sure.
 */
interface Node {
  synced: Uint8Array;
  written: Uint8Array;
}

interface FolderRename {
  readonly from: string;
  readonly to: string;
}

/** The names with those below one folder moved below another. */
const moved = (names: ReadonlyMap<string, Node>, from: string, to: string): Map<string, Node> =>
  new Map(
    [...names].map(([path, node]) => [
      path.startsWith(`${from}/`) ? to + path.slice(from.length) : path,
      node,
    ]),
  );

/** A seeded number from 0 up to 1. */
export type Random = () => number;

export const randomOf = (seed: number): Random => {
  let state = seed * 2_654_435_761;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

/**
 * A disk in memory that is full, slow, refuses, or loses power. A loss of power leaves of a name
 * made, renamed or removed since the last sync of its folder the old or the new, each by itself
 * (also both names of one renamed file), and of bytes written since their sync none, all or a torn
 * part. A renamed folder comes back under its old or its new name, as a whole, unless the folder
 * that holds the two was synced since.
 */
export class FaultyDisk {
  capacityBytes = Number.POSITIVE_INFINITY;
  /** How likely it is that a step of a call is refused. */
  refusing = 0;
  /** How many steps are left until power is lost. */
  stepsLeft = Number.POSITIVE_INFINITY;
  /** A disk that forgets to sync folders, for a test of the tests. */
  syncsFolders = true;
  private names = new Map<string, Node>();
  private lasting = new Map<string, Node>();
  private folderRenames: readonly FolderRename[] = [];
  private life = 0;

  constructor(private readonly random: Random) {}

  get isUp(): boolean {
    return this.stepsLeft > 0;
  }

  get heldBytes(): number {
    return [...new Set(this.names.values())].reduce((sum, { written }) => sum + written.length, 0);
  }

  /** The disk as one process sees it, which ends with the process. */
  readonly open = (): FileSystem & FolderFileSystem => {
    const life = this.life;
    const step = async (refuses = true): Promise<void> => {
      const waits = Math.floor(this.random() * 4);
      for (let at = 0; at <= waits; at += 1) await Promise.resolve();
      if (life === this.life && this.isUp) this.stepsLeft -= 1;
      if (life !== this.life || !this.isUp) throw new Error("the process is dead");
      if (refuses && this.random() < this.refusing) throw new Error("the disk refused");
    };
    return {
      list: async (folder) => {
        await step();
        const below = [...this.names.keys()]
          .filter((path) => path.startsWith(`${folder}/`))
          .map((path) => path.slice(folder.length + 1).split("/")[0] ?? "");
        return [...new Set(below)];
      },
      read: async (path) => {
        await step();
        return this.names.get(path)?.written;
      },
      write: async (path, bytes) => {
        await step();
        const node = this.names.get(path) ?? {
          synced: new Uint8Array(),
          written: new Uint8Array(),
        };
        this.names.set(path, node);
        node.written = new Uint8Array();
        const room = Math.max(0, this.capacityBytes - this.heldBytes);
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
        const node = this.names.get(from);
        if (!node) throw new Error("there is no such file");
        this.names.delete(from);
        this.names.set(to, node);
        await step();
      },
      renameFolder: async (from, to) => {
        await step();
        const paths = [...this.names.keys()];
        if (!paths.some((path) => path.startsWith(`${from}/`)))
          throw new Error("there is no such folder");
        if (paths.some((path) => path.startsWith(`${to}/`)))
          throw new Error("the folder is not empty");
        this.folderRenames = [...this.folderRenames, { from, to }];
        this.names = moved(this.names, from, to);
        this.lasting = moved(this.lasting, from, to);
        await step();
      },
      remove: async (path) => {
        await step();
        this.names.delete(path);
        await step();
      },
      makeFolder: () => step(),
      syncFolder: async (folder) => {
        await step();
        if (this.syncsFolders) {
          this.lasting = new Map(this.names);
          this.folderRenames = this.folderRenames.filter(({ to }) => dirname(to) !== folder);
        }
        await step();
      },
    };
  };

  /** The process ends; what it has written stays in the machine. */
  readonly kill = (): void => {
    this.life += 1;
    this.stepsLeft = Number.POSITIVE_INFINITY;
  };

  readonly losePower = (): void => {
    this.kill();
    const keeping = [0, 0.5, 1][Math.floor(this.random() * 3)] ?? 0;
    for (const { from, to } of [...this.folderRenames].reverse())
      if (this.random() >= keeping) {
        this.names = moved(this.names, to, from);
        this.lasting = moved(this.lasting, to, from);
      }
    this.folderRenames = [];
    const left = new Map<string, Node>();
    for (const path of new Set([...this.names.keys(), ...this.lasting.keys()])) {
      const node = (this.random() < keeping ? this.names : this.lasting).get(path);
      if (node) left.set(path, node);
    }
    for (const node of new Set(left.values())) {
      const torn = node.written.slice(0, Math.floor(this.random() * node.written.length));
      node.written = node.synced =
        node.written === node.synced || this.random() >= keeping
          ? node.synced
          : this.random() < 0.5
            ? node.written
            : torn;
    }
    this.names = left;
    this.lasting = new Map(left);
  };

  readonly wipe = (): void => {
    this.kill();
    this.names.clear();
    this.lasting.clear();
    this.folderRenames = [];
  };

  /** Changes one byte of one file; false if there is none. */
  readonly spoil = (): boolean => {
    const nodes = [...this.names.values()].filter(({ written }) => written.length > 0);
    const node = nodes[Math.floor(this.random() * nodes.length)];
    if (!node) return false;
    const bytes = node.written.slice();
    const at = Math.floor(this.random() * bytes.length);
    bytes[at] = (bytes[at] ?? 0) ^ 0x10;
    node.written = node.synced = bytes;
    return true;
  };
}
