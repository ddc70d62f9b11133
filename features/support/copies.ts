import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { LeaderLease } from "../../src/consensus/leader-lease.js";
import { IdempotencyKeyTable, type Purge } from "../../src/idempotency/key-table.js";
import { IdempotencyKeyReplication } from "../../src/idempotency/key-replication.js";
import { CONSENSUS_MESSAGE_KINDS } from "../../src/consensus/messages.js";
import { ReplicatedStore } from "../../src/consensus/replicated-store.js";
import { Replica as State } from "../../src/consensus/replica.js";
import { silentLogger } from "../../src/common/logger.js";
import type { Message } from "../../src/transport/connection.js";
import { ManualClock, settle } from "./manual-clock.js";
import { MemoryDisk } from "./memory-disk.js";

export interface Copy {
  readonly id: string;
  readonly archive: WriteAheadLog;
  readonly state: State;
  readonly store: ReplicatedStore;
  readonly duty: LeaderLease;
  readonly keys: IdempotencyKeyReplication;
  readonly book: IdempotencyKeyTable;
  readonly learned: Purge[];
  /** The keys of all that its listeners were told. */
  readonly told: Set<string>;
}

export const STATE_FOLDER = "/state";
export const KEY_WINDOW_US = 60_000_000;

/** Several signalboxes' control state over a net and disks of the test's own; operation keys lie in real files, if they have room there. */
export class Copies {
  readonly clock = new ManualClock();
  readonly cut = new Set<string>();
  /** Messages that never reach whom they are for. */
  deaf: (to: string, message: Message) => boolean = () => false;
  readonly running = new Map<string, Copy>();
  private readonly folders = new Map<string, string>();
  private readonly disks = new Map<string, MemoryDisk>();
  private seed = 1;

  constructor(
    readonly ids: readonly string[],
    private readonly withstandMachines = 1,
    private readonly diskBytes = 0,
  ) {}

  readonly startAll = async (): Promise<void> => {
    for (const id of this.ids) await this.start(id, true);
  };

  readonly start = async (id: string, firstRun: boolean): Promise<Copy> => {
    const folder = this.folders.get(id) ?? (await mkdtemp(join(tmpdir(), "yewreel-")));
    this.folders.set(id, folder);
    const state = new State();
    const archive = new WriteAheadLog({
      folder: STATE_FOLDER,
      fileSystem: this.diskOf(id),
      snapshot: state.snapshot,
    });
    const transport = {
      request: (to: string, message: Message) => this.carry(id, to, message),
      broadcast: (message: Message) =>
        this.ids.filter((to) => to !== id).forEach((to) => void this.carry(id, to, message)),
    };
    const store = new ReplicatedStore({
      self: id,
      writeAheadLog: archive,
      replica: state,
      seeds: () => this.ids.slice(0, 3),
      transport,
      clock: this.clock,
      random: this.random,
      withstandMachines: this.withstandMachines,
      logger: silentLogger,
    });
    const lease = new LeaderLease({
      self: id,
      store,
      clock: this.clock,
      logger: silentLogger,
      isConnected: (to) => this.reaches(id, to),
      request: transport.request,
      hasDisk: true,
      withstandMachines: this.withstandMachines,
      holderTimeoutUs: 1_500_000,
      copyOtherState: () => this.copy(id).keys.replicateToNewMembers(),
    });
    const told = new Set<string>();
    store.events.on("committed", (registers) => registers.forEach(({ key }) => told.add(key)));
    await store.start(firstRun);
    const book = new IdempotencyKeyTable({
      folder: this.diskBytes === 0 ? "" : join(folder, "keys"),
      clock: this.clock,
      keyWindowUs: KEY_WINDOW_US,
      diskBytes: this.diskBytes,
    });
    const learned: Purge[] = [];
    const keys = new IdempotencyKeyReplication({
      self: id,
      table: book,
      store,
      request: transport.request,
      isConnected: (to) => this.reaches(id, to),
      send: transport.broadcast,
      withstandMachines: this.withstandMachines,
      logger: silentLogger,
      onPurge: (purge) => learned.push(purge),
    });
    await keys.start(firstRun);
    const copy = { id, archive, state, store, duty: lease, keys, book, learned, told };
    this.running.set(id, copy);
    return copy;
  };

  /** Moves the clock on beside the work, so that waits for those who are gone come to their end. */
  readonly beside = async <T>(work: Promise<T>): Promise<T> => {
    let isDone = false;
    const finished = work.finally(() => {
      isDone = true;
    });
    for (let step = 0; step < 2_000 && !isDone; step += 1) await this.clock.pass(5_000);
    return finished;
  };

  /** Every box catches up, and one change of the roster takes these in. */
  readonly enrol = async (ids: readonly string[]): Promise<void> => {
    await this.readAll();
    const changed = await this.beside(this.copy(this.ids[0] ?? "").store.changeMembers(() => ids));
    if (changed.isErr) throw new Error(`the roster was not changed: ${changed.error.message}`);
    await this.readAll();
  };

  /** Twice, since the first asking may only tell a newcomer whom to ask. */
  readonly readAll = async (): Promise<void> => {
    for (const id of [...this.running.keys(), ...this.running.keys()])
      await this.beside(this.copy(id).store.read());
  };

  readonly copy = (id: string): Copy => {
    const copy = this.running.get(id);
    if (!copy) throw new Error(`${id} is down`);
    return copy;
  };

  /** Every process is killed at once; what was synced stays. */
  readonly killAll = async (): Promise<void> => {
    for (const id of [...this.running.keys()]) await this.kill(id);
  };

  /** A kill lets a write that the disk has begun come to its end, so that no two lives write one folder. */
  readonly kill = async (id: string): Promise<void> => {
    const copy = this.running.get(id);
    copy?.duty.stop();
    this.running.delete(id);
    await copy?.store.persisted();
    await copy?.archive.idle();
    await copy?.book.close();
    await settle(4);
  };

  readonly wipe = async (id: string): Promise<void> => {
    await this.kill(id);
    this.disks.delete(id);
    await rm(this.folderOf(id), { recursive: true, force: true });
  };

  readonly diskOf = (id: string): MemoryDisk => {
    const disk = this.disks.get(id) ?? new MemoryDisk();
    this.disks.set(id, disk);
    return disk;
  };

  readonly folderOf = (id: string): string => this.folders.get(id) ?? "";

  readonly clean = async (): Promise<void> => {
    await this.killAll();
    for (const folder of this.folders.values()) await rm(folder, { recursive: true, force: true });
  };

  private readonly random = (): number => {
    this.seed = (this.seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return this.seed / 2_147_483_648;
  };

  private readonly reaches = (from: string, to: string): boolean =>
    this.running.has(to) &&
    this.running.has(from) &&
    (from === to || (!this.cut.has(from) && !this.cut.has(to)));

  private readonly carry = async (
    from: string,
    to: string,
    message: Message,
  ): Promise<Message | undefined> => {
    if (!this.reaches(from, to) || this.deaf(to, message)) return undefined;
    const { store, duty: lease, keys } = this.copy(to);
    if (message.kind.startsWith("key-")) return keys.handleRequest(message);
    switch (message.kind) {
      case "settled":
        store.applyCommitted(message);
        return undefined;
      default:
        return CONSENSUS_MESSAGE_KINDS.has(message.kind)
          ? store.handleRequest(message)
          : lease.handleRequest(message);
    }
  };
}
