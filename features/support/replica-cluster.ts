import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { WriteAheadLog } from "../../src/storage/write-ahead-log.js";
import { LeaderLease } from "../../src/consensus/leader-lease.js";
import type { Purge } from "../../src/idempotency/key-codec.js";
import { IdempotencyKeyTable } from "../../src/idempotency/key-table.js";
import { IdempotencyKeyReplication } from "../../src/idempotency/key-replication.js";
import { CONSENSUS_MESSAGE_KINDS } from "../../src/consensus/messages.js";
import { ReplicatedStore } from "../../src/consensus/replicated-store.js";
import { Replica } from "../../src/consensus/replica.js";
import { silentLogger } from "../../src/common/logger.js";
import type { Message } from "../../src/transport/connection.js";
import { ManualClock, settle } from "./manual-clock.js";
import { MemoryDisk } from "./memory-disk.js";

export interface ClusterMember {
  readonly id: string;
  readonly writeAheadLog: WriteAheadLog;
  readonly replica: Replica;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly keys: IdempotencyKeyReplication;
  readonly keyTable: IdempotencyKeyTable;
  readonly learnedPurges: Purge[];
  /** The keys of all registers that its listeners were notified of. */
  readonly notifiedKeys: Set<string>;
}

export const STATE_FOLDER = "/state";
/** How often a controller looks whether it has to catch up. */
const BACKGROUND_PERIOD_US = 300_000;
/** Rate of each controller's link. */
const LINK_MBPS = 100;
export const KEY_WINDOW_US = 60_000_000;

/**
 * Replicated state of several controllers on a simulated network and in-memory disks. Idempotency
 * keys are stored in real files if `diskBytes` is given.
 */
export class ReplicaCluster {
  readonly clock = new ManualClock();
  readonly partitioned = new Set<string>();
  /** Selects the messages that are dropped instead of being delivered. */
  dropsMessage: (to: string, message: Message) => boolean = () => false;
  readonly running = new Map<string, ClusterMember>();
  private readonly folders = new Map<string, string>();
  private readonly disks = new Map<string, MemoryDisk>();
  /** Whether the controllers copy response bodies that they lack. */
  repairsResponses = true;
  private seed = 1;

  constructor(
    readonly ids: readonly string[],
    private readonly withstandMachines = 1,
    private readonly diskBytes = 0,
  ) {}

  readonly startAll = async (): Promise<void> => {
    for (const id of this.ids) await this.start(id, true);
  };

  readonly start = async (id: string, firstRun: boolean): Promise<ClusterMember> => {
    const folder = this.folders.get(id) ?? (await mkdtemp(join(tmpdir(), "yewreel-")));
    this.folders.set(id, folder);
    const replica = new Replica();
    const writeAheadLog = new WriteAheadLog({
      folder: STATE_FOLDER,
      fileSystem: this.diskOf(id),
      snapshot: replica.snapshot,
    });
    const transport = {
      request: (to: string, message: Message) => this.deliver(id, to, message),
      broadcast: (message: Message) =>
        this.ids.filter((to) => to !== id).forEach((to) => void this.deliver(id, to, message)),
    };
    const store = new ReplicatedStore({
      self: id,
      writeAheadLog,
      replica,
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
      isConnected: (to) => this.isReachable(id, to),
      request: transport.request,
      hasDisk: true,
      withstandMachines: this.withstandMachines,
      holderTimeoutUs: 1_500_000,
      copyOtherState: () => this.member(id).keys.replicateToNewMembers(),
    });
    const notifiedKeys = new Set<string>();
    store.events.on("committed", (registers) =>
      registers.forEach(({ key }) => notifiedKeys.add(key)),
    );
    await store.start(firstRun);
    const keyTable = new IdempotencyKeyTable({
      folder: this.diskBytes === 0 ? "" : join(folder, "keys"),
      clock: this.clock,
      keyWindowUs: KEY_WINDOW_US,
      diskBytes: this.diskBytes,
    });
    const learnedPurges: Purge[] = [];
    const keys = new IdempotencyKeyReplication({
      self: id,
      table: keyTable,
      store,
      request: transport.request,
      isConnected: (to) => this.isReachable(id, to),
      send: transport.broadcast,
      withstandMachines: this.withstandMachines,
      clock: this.clock,
      linkMbps: LINK_MBPS,
      logger: silentLogger,
      onPurge: (purge) => learnedPurges.push(purge),
    });
    await keys.start(firstRun);
    const member = {
      id,
      writeAheadLog,
      replica,
      store,
      lease,
      keys,
      keyTable,
      learnedPurges,
      notifiedKeys,
    };
    this.running.set(id, member);
    return member;
  };

  /** Advances the clock until the work is done, so that requests to stopped controllers time out. */
  readonly withClock = async <T>(work: Promise<T>): Promise<T> => {
    let isDone = false;
    const finished = work.finally(() => {
      isDone = true;
    });
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by the callback above
    for (let step = 0; step < 2_000 && !isDone; step += 1) await this.passWithDisks(5_000);
    return finished;
  };

  /** Advances the clock once the disks, which are real, have written what they were given. */
  private readonly passWithDisks = async (durationUs: number): Promise<void> => {
    await Promise.all([...this.running.values()].map(({ keyTable }) => keyTable.persisted()));
    await this.clock.pass(durationUs);
  };

  /** Lets every controller catch up, then sets the voter set to the given ids in one change. */
  readonly makeVoters = async (ids: readonly string[]): Promise<void> => {
    await this.readAll();
    const changed = await this.withClock(
      this.member(this.ids[0] ?? "").store.changeMembers(() => ids),
    );
    if (changed.isErr)
      throw new Error(`the voter set could not be changed: ${changed.error.message}`);
    await this.readAll();
  };

  /** Advances the clock while every controller does its periodic work. */
  readonly runBackground = async (durationUs: number): Promise<void> => {
    const untilUs = this.clock.nowUs() + durationUs;
    while (this.clock.nowUs() < untilUs) {
      for (const { store, keys } of [...this.running.values()]) {
        if (!store.isVoting || !store.isMember()) await this.withClock(store.read());
        void keys.catchUp();
        if (this.repairsResponses && keys.isVoting) keys.repair.runIfDue();
      }
      await this.passWithDisks(BACKGROUND_PERIOD_US / 2);
      await this.passWithDisks(BACKGROUND_PERIOD_US / 2);
    }
  };

  /** Reads twice, because the first read may only tell a new replica which voters to ask. */
  readonly readAll = async (): Promise<void> => {
    for (const id of [...this.running.keys(), ...this.running.keys()])
      await this.withClock(this.member(id).store.read());
  };

  readonly member = (id: string): ClusterMember => {
    const member = this.running.get(id);
    if (!member) throw new Error(`${id} is not running`);
    return member;
  };

  /** Kills every process; synced data is kept. */
  readonly killAll = async (): Promise<void> => {
    for (const id of [...this.running.keys()]) await this.kill(id);
  };

  /**
   * Kills a process. Waits for a disk write in progress to complete, so that two incarnations never
   * write to the same folder.
   */
  readonly kill = async (id: string): Promise<void> => {
    const member = this.running.get(id);
    member?.lease.stop();
    this.running.delete(id);
    await member?.store.persisted();
    await member?.writeAheadLog.idle();
    await member?.keyTable.close();
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

  readonly removeAll = async (): Promise<void> => {
    await this.killAll();
    for (const folder of this.folders.values()) await rm(folder, { recursive: true, force: true });
  };

  private readonly random = (): number => {
    this.seed = (this.seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return this.seed / 2_147_483_648;
  };

  private readonly isReachable = (from: string, to: string): boolean =>
    this.running.has(to) &&
    this.running.has(from) &&
    (from === to || (!this.partitioned.has(from) && !this.partitioned.has(to)));

  private readonly deliver = async (
    from: string,
    to: string,
    message: Message,
  ): Promise<Message | undefined> => {
    if (!this.isReachable(from, to) || this.dropsMessage(to, message)) return undefined;
    const { store, lease, keys } = this.member(to);
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
