/** A simulated disk with latency and faults, which may lose unsynced data on a power loss. */
import type { FileSystem } from "../src/storage/file-system.js";
import { MILLISECOND_US } from "../src/common/duration.js";
import type { SeededRandom } from "./seeded-random.js";
import type { VirtualTime } from "./virtual-time.js";

/** The content of a file, independent of the names that refer to it (an inode). */
interface FileContent {
  bytes: Uint8Array;
  readonly creationNumber: number;
}

/** A disk is full, rejects every call, stalls until the fault ends, or is slow (up to 400 ms). */
export type DiskFault = "full" | "refusing" | "stalled" | "slow";

/** The process that makes a call. */
export interface DiskClient {
  readonly isAlive: boolean;
  /** Runs work in the process: after the thaw if it is frozen, never if it has terminated. */
  readonly run: (work: () => void) => void;
}

const folderOf = (path: string): string => path.slice(0, Math.max(0, path.lastIndexOf("/")));
const nameOf = (path: string): string => path.slice(path.lastIndexOf("/") + 1);

/**
 * A machine's disk, which persists across restarts. Invariants: `durableEntries` are the directory
 * entries that survive a power loss; a path whose entry in `entries` differs is in `unsynced`, and
 * a power loss keeps or loses each such path independently. An interrupted write leaves a prefix of
 * its bytes.
 */
export class SimulatedDisk {
  private readonly entries = new Map<string, FileContent>();
  private readonly durableEntries = new Map<string, FileContent>();
  private readonly unsynced = new Set<string>();
  private folders = new Set<string>();
  private fault: DiskFault | undefined;
  private stalledCalls: (() => void)[] = [];
  private powerLosses = 0;
  private filesCreated = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: SeededRandom,
  ) {}

  readonly openFor = (client: DiskClient): FileSystem => ({
    list: (folder) => this.performCall(client, false, () => this.list(folder)),
    read: (path) => this.performCall(client, false, () => this.entries.get(path)?.bytes.slice()),
    write: (path, bytes) => this.write(client, path, bytes),
    rename: (from, to) =>
      this.performCall(client, false, () => {
        const content = this.entries.get(from);
        if (!content) throw new Error(`no such file: ${from}`);
        this.setEntry(from, undefined);
        this.setEntry(to, content);
      }),
    remove: (path) => this.performCall(client, false, () => this.setEntry(path, undefined)),
    makeFolder: (path) =>
      this.performCall(client, !this.folders.has(path), () => {
        const names = path.split("/");
        names.forEach((_name, at) => this.folders.add(names.slice(0, at + 1).join("/")));
      }),
    syncFolder: (path) =>
      this.performCall(client, false, () => {
        if (!this.folders.has(path)) throw new Error(`no such folder: ${path}`);
        this.unsynced.forEach((name) => {
          if (folderOf(name) === path) this.makeDurable(name);
        });
      }),
  });

  readonly losePower = (): void => {
    this.powerLosses += 1;
    this.unsynced.forEach((path) => {
      const kept = this.random.occurs(0.5) ? this.entries.get(path) : this.durableEntries.get(path);
      this.setEntry(path, kept);
      this.makeDurable(path);
    });
  };

  readonly wipe = (): void => {
    this.powerLosses += 1;
    this.entries.clear();
    this.durableEntries.clear();
    this.unsynced.clear();
    this.folders = new Set();
  };

  /** Flips one bit of one file, usually of the newest. */
  readonly corrupt = (): void => {
    const files = [...this.entries.values()]
      .filter(({ bytes }) => bytes.length > 0)
      .sort((one, other) => other.creationNumber - one.creationNumber);
    const file = this.random.occurs(0.6)
      ? files[0]
      : files[this.random.integer(0, Math.max(0, files.length - 1))];
    if (!file) return;
    const bytes = file.bytes.slice();
    const at = this.random.integer(0, bytes.length - 1);
    bytes[at] = (bytes[at] ?? 0) ^ (1 << this.random.integer(0, 7));
    file.bytes = bytes;
  };

  readonly setFault = (fault: DiskFault | undefined): void => {
    this.fault = fault;
    if (fault === "stalled") return;
    this.stalledCalls.forEach((finish) => finish());
    this.stalledCalls = [];
  };

  private readonly list = (folder: string): readonly string[] => {
    const paths = [...this.entries.keys(), ...this.folders];
    return paths.filter((path) => path !== "" && folderOf(path) === folder).map(nameOf);
  };

  private readonly makeDurable = (path: string): void => {
    const content = this.entries.get(path);
    if (content) this.durableEntries.set(path, content);
    else this.durableEntries.delete(path);
    this.unsynced.delete(path);
  };

  private readonly setEntry = (path: string, content: FileContent | undefined): void => {
    if (content) this.entries.set(path, content);
    else this.entries.delete(path);
    if (this.durableEntries.get(path) === content) this.unsynced.delete(path);
    else this.unsynced.add(path);
  };

  private readonly write = (client: DiskClient, path: string, bytes: Uint8Array): Promise<void> => {
    let content: FileContent | undefined;
    if (this.folders.has(folderOf(path))) {
      this.filesCreated += 1;
      content = this.entries.get(path) ?? { bytes, creationNumber: this.filesCreated };
      content.bytes = bytes.slice(0, this.random.integer(0, Math.max(0, bytes.length - 1)));
      this.setEntry(path, content);
    }
    return this.performCall(client, true, () => {
      if (!content) throw new Error(`no such folder for ${path}`);
      content.bytes = bytes.slice();
    });
  };

  /**
   * Performs a system call with latency. If the process terminates meanwhile, the call may still
   * take effect.
   */
  private readonly performCall = <T>(
    client: DiskClient,
    allocates: boolean,
    effect: () => T,
  ): Promise<T> =>
    new Promise((resolve, reject) => {
      const { powerLosses } = this;
      const finish = () => {
        if (this.fault === "stalled") {
          this.stalledCalls.push(finish);
          return;
        }
        if (powerLosses !== this.powerLosses || (!client.isAlive && this.random.occurs(0.5)))
          return;
        try {
          if (this.fault === "refusing" || (this.fault === "full" && allocates))
            throw new Error(`the disk is ${this.fault}`);
          const value = effect();
          client.run(() => resolve(value));
        } catch (error) {
          client.run(() => reject(error instanceof Error ? error : new Error(String(error))));
        }
      };
      const extraDelayUs =
        this.fault === "slow" ? this.random.integer(50 * MILLISECOND_US, 400 * MILLISECOND_US) : 0;
      this.time.after(this.random.integer(100, 1_500) + extraDelayUs, finish);
    });
}
