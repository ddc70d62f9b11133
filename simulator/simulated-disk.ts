import type { FileSystem } from "../src/storage/file-system.js";
import { MILLISECOND_US } from "../src/common/duration.js";
import type { Chance } from "./seeded-random.js";
import type { World } from "./virtual-time.js";

/** What a file holds, whatever its names. */
interface Content {
  bytes: Uint8Array;
  readonly made: number;
}

export type DiskTrouble = "full" | "refusing" | "stalled" | "slow";

/** The process that a disk's call comes from. */
export interface Caller {
  readonly isAlive: boolean;
  /** Runs an act in the process, later if it is frozen, never if it is dead. */
  readonly run: (act: () => void) => void;
}

const folderOf = (path: string): string => path.slice(0, Math.max(0, path.lastIndexOf("/")));
const nameOf = (path: string): string => path.slice(path.lastIndexOf("/") + 1);

/**
 * A machine's disk, which outlives processes.
 * Invariants: `lasting` is what a loss of power leaves for sure; a name in which `names` differs from it is `unsynced`,
 * and kept or lost by itself. A write that was cut short leaves a part of its bytes.
 */
export class SimDisk {
  private readonly names = new Map<string, Content>();
  private readonly lasting = new Map<string, Content>();
  private readonly unsynced = new Set<string>();
  private folders = new Set<string>();
  private trouble: DiskTrouble | undefined;
  private stalled: (() => void)[] = [];
  private powerLosses = 0;
  private made = 0;

  constructor(
    private readonly world: World,
    private readonly chance: Chance,
  ) {}

  readonly openFor = (caller: Caller): FileSystem => ({
    list: (folder) => this.call(caller, false, () => this.list(folder)),
    read: (path) => this.call(caller, false, () => this.names.get(path)?.bytes.slice()),
    write: (path, bytes) => this.write(caller, path, bytes),
    rename: (from, to) =>
      this.call(caller, false, () => {
        const content = this.names.get(from);
        if (!content) throw new Error(`no file ${from}`);
        this.name(from, undefined);
        this.name(to, content);
      }),
    remove: (path) => this.call(caller, false, () => this.name(path, undefined)),
    makeFolder: (path) =>
      this.call(caller, !this.folders.has(path), () => {
        const parts = path.split("/");
        parts.forEach((_part, at) => this.folders.add(parts.slice(0, at + 1).join("/")));
      }),
    syncFolder: (path) =>
      this.call(caller, false, () => {
        if (!this.folders.has(path)) throw new Error(`no folder ${path}`);
        this.unsynced.forEach((name) => {
          if (folderOf(name) === path) this.makeLasting(name);
        });
      }),
  });

  readonly losePower = (): void => {
    this.powerLosses += 1;
    this.unsynced.forEach((path) => {
      const kept = this.chance.hits(0.5) ? this.names.get(path) : this.lasting.get(path);
      this.name(path, kept);
      this.makeLasting(path);
    });
  };

  readonly wipe = (): void => {
    this.powerLosses += 1;
    this.names.clear();
    this.lasting.clear();
    this.unsynced.clear();
    this.folders = new Set();
  };

  /** Turns one byte of one file, most often of the newest. */
  readonly spoil = (): void => {
    const files = [...this.names.values()]
      .filter(({ bytes }) => bytes.length > 0)
      .sort((one, other) => other.made - one.made);
    const file = this.chance.hits(0.6)
      ? files[0]
      : files[this.chance.whole(0, Math.max(0, files.length - 1))];
    if (!file) return;
    const bytes = file.bytes.slice();
    const at = this.chance.whole(0, bytes.length - 1);
    bytes[at] = (bytes[at] ?? 0) ^ (1 << this.chance.whole(0, 7));
    file.bytes = bytes;
  };

  readonly setTrouble = (trouble: DiskTrouble | undefined): void => {
    this.trouble = trouble;
    if (trouble === "stalled") return;
    this.stalled.forEach((go) => go());
    this.stalled = [];
  };

  private readonly list = (folder: string): readonly string[] => {
    const paths = [...this.names.keys(), ...this.folders];
    return paths.filter((path) => path !== "" && folderOf(path) === folder).map(nameOf);
  };

  private readonly makeLasting = (path: string): void => {
    const content = this.names.get(path);
    if (content) this.lasting.set(path, content);
    else this.lasting.delete(path);
    this.unsynced.delete(path);
  };

  private readonly name = (path: string, content: Content | undefined): void => {
    if (content) this.names.set(path, content);
    else this.names.delete(path);
    if (this.lasting.get(path) === content) this.unsynced.delete(path);
    else this.unsynced.add(path);
  };

  private readonly write = (caller: Caller, path: string, bytes: Uint8Array): Promise<void> => {
    let content: Content | undefined;
    if (this.folders.has(folderOf(path))) {
      this.made += 1;
      content = this.names.get(path) ?? { bytes, made: this.made };
      content.bytes = bytes.slice(0, this.chance.whole(0, Math.max(0, bytes.length - 1)));
      this.name(path, content);
    }
    return this.call(caller, true, () => {
      if (!content) throw new Error(`no folder for ${path}`);
      content.bytes = bytes.slice();
    });
  };

  /** One call of the system: takes its time, and has its effect even if the process is gone by then, or not. */
  private readonly call = <T>(caller: Caller, takesRoom: boolean, effect: () => T): Promise<T> =>
    new Promise((resolve, reject) => {
      const { powerLosses } = this;
      const finish = () => {
        if (this.trouble === "stalled") {
          this.stalled.push(finish);
          return;
        }
        if (powerLosses !== this.powerLosses || (!caller.isAlive && this.chance.hits(0.5))) return;
        try {
          if (this.trouble === "refusing" || (this.trouble === "full" && takesRoom))
            throw new Error(`the disk is ${this.trouble}`);
          const value = effect();
          caller.run(() => resolve(value));
        } catch (error) {
          caller.run(() => reject(error instanceof Error ? error : new Error(String(error))));
        }
      };
      const slowUs =
        this.trouble === "slow" ? this.chance.whole(50 * MILLISECOND_US, 400 * MILLISECOND_US) : 0;
      this.world.after(this.chance.whole(100, 1_500) + slowUs, finish);
    });
}
