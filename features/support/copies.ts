import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Archive } from "../../src/interlocking/archive.js";
import { Duty } from "../../src/interlocking/duty.js";
import { KeyBook, type Purge } from "../../src/interlocking/keybook.js";
import { Keys } from "../../src/interlocking/keys.js";
import { Ledger } from "../../src/interlocking/ledger.js";
import { Registers } from "../../src/interlocking/register.js";
import { silentLog } from "../../src/trackbed/log.js";
import type { Message } from "../../src/trackbed/wire.js";
import { ManualClock, settle } from "./manual-clock.js";

export interface Copy {
  readonly id: string;
  readonly ledger: Ledger;
  readonly duty: Duty;
  readonly keys: Keys;
  readonly book: KeyBook;
  readonly learned: Purge[];
}

export const KEY_WINDOW_US = 60_000_000;

/** Several signalboxes' control state over a net of the test's own, with real files for disks. */
export class Copies {
  readonly clock = new ManualClock();
  readonly cut = new Set<string>();
  readonly running = new Map<string, Copy>();
  private readonly folders = new Map<string, string>();

  constructor(readonly ids: readonly string[], private readonly withstandMachines = 1, private readonly diskBytes = 8_000_000) {}

  readonly startAll = async (): Promise<void> => {
    for (const id of this.ids) await this.start(id, true);
  };

  readonly start = async (id: string, firstRun: boolean): Promise<Copy> => {
    const folder = this.folders.get(id) ?? (await mkdtemp(join(tmpdir(), "yewreel-")));
    this.folders.set(id, folder);
    const registers = new Registers();
    const archive = new Archive(folder, registers.all);
    const asker = {
      ask: (to: string, message: Message) => this.carry(id, to, message),
      send: (message: Message) => this.ids.filter((to) => to !== id).forEach((to) => void this.carry(id, to, message)),
    };
    const ledger = new Ledger({
      self: id,
      registers,
      archive,
      seeds: this.ids.slice(0, 3),
      asker,
      clock: this.clock,
      withstandMachines: this.withstandMachines,
      log: silentLog,
    });
    const duty = new Duty({
      self: id,
      ledger,
      clock: this.clock,
      log: silentLog,
      stands: (to) => this.reaches(id, to),
      ask: asker.ask,
      hasDisk: true,
      withstandMachines: this.withstandMachines,
      patienceUs: 1_500_000,
    });
    await ledger.start(firstRun);
    const book = new KeyBook({ folder: join(folder, "keys"), clock: this.clock, keyWindowUs: KEY_WINDOW_US, diskBytes: this.diskBytes });
    const learned: Purge[] = [];
    const keys = new Keys({
      self: id,
      book,
      ledger,
      ask: asker.ask,
      stands: (to) => this.reaches(id, to),
      send: asker.send,
      withstandMachines: this.withstandMachines,
      log: silentLog,
      onPurge: (purge) => learned.push(purge),
    });
    await keys.start(firstRun);
    const copy = { id, ledger, duty, keys, book, learned };
    this.running.set(id, copy);
    return copy;
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
    await copy?.ledger.safe();
    await copy?.book.stop();
    await settle(4);
  };

  readonly wipe = async (id: string): Promise<void> => {
    await this.kill(id);
    await rm(this.folderOf(id), { recursive: true, force: true });
  };

  readonly folderOf = (id: string): string => this.folders.get(id) ?? "";

  readonly clean = async (): Promise<void> => {
    await this.killAll();
    for (const folder of this.folders.values()) await rm(folder, { recursive: true, force: true });
  };

  private readonly reaches = (from: string, to: string): boolean =>
    this.running.has(to) && this.running.has(from) && (from === to || (!this.cut.has(from) && !this.cut.has(to)));

  private readonly carry = async (from: string, to: string, message: Message): Promise<Message | undefined> => {
    if (!this.reaches(from, to)) return undefined;
    const { ledger, duty, keys } = this.copy(to);
    if (message.kind.startsWith("key-")) return keys.answer(message);
    switch (message.kind) {
      case "settled":
        ledger.hearSettled(message);
        return undefined;
      case "read":
      case "store":
        return ledger.answer(message);
      default:
        return duty.answer(message);
    }
  };
}
