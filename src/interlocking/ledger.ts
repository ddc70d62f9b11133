import Emittery from "emittery";
import { err, ok, type Result } from "true-myth/result";
import type { Clock } from "../trackbed/clock.js";
import type { Log } from "../trackbed/log.js";
import { asRec, flag, list, parseJson, textOf, whole } from "../trackbed/shape.js";
import type { Message } from "../trackbed/wire.js";
import { MS } from "../trackbed/span.js";
import type { Archive } from "./archive.js";
import { makeRegister, packRegister, readRegister, type Register, type Registers } from "./register.js";

export type LedgerMishap =
  | { readonly kind: "no-quorum"; readonly held: number; readonly needed: number }
  | { readonly kind: "stale"; readonly what: "epoch" | "roster" };

export const GRANT_KEY = "duty/grant";
export const ROSTER_KEY = "duty/roster";

/** How the ledger reaches other copies; the links of signalling fit it, and so does a test's own net. */
export interface Asker {
  readonly ask: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly send: (message: Message) => void;
}

export interface LedgerOptions {
  readonly self: string;
  readonly registers: Registers;
  readonly archive: Archive;
  /** Whom to ask for as long as no roster is known. */
  readonly seeds: readonly string[];
  readonly asker: Asker;
  readonly clock: Clock;
  readonly withstandMachines: number;
  readonly log: Log;
}

export const READ_WAIT_US = 350 * MS;
export const STORE_WAIT_US = 600 * MS;

export const rosterRegister = (version: number, members: readonly string[]): Register =>
  makeRegister(ROSTER_KEY, version, JSON.stringify([...members].sort()));

export const membersOf = (roster: Register | undefined): readonly string[] => {
  if (!roster) return [];
  const value = parseJson(roster.body);
  return Array.isArray(value) ? value.map(textOf) : [];
};

export const quorumOf = (members: readonly string[], withstandMachines: number): number =>
  Math.min(members.length, Math.max(Math.floor(members.length / 2) + 1, withstandMachines + 1));

/** As many copies as share a member with every quorum. */
export const readQuorumOf = (members: readonly string[], withstandMachines: number): number => members.length - quorumOf(members, withstandMachines) + 1;

/**
 * One copy of the control state, and the reads and writes over a quorum of copies.
 * Invariants: a copy answers for a register only once it is safe on its own disk; a copy that may have lost what it
 * once held is not `counting`, and its answers fill no quorum, until it has read a majority of counting ones.
 */
export class Ledger {
  readonly events = new Emittery<{ settled: readonly Register[]; counting: undefined }>();
  private counting = false;
  /** The digests, by key, of what is known to be held by a quorum. */
  private readonly settled = new Map<string, string>();
  private dirty = false;
  private keeping: Promise<boolean> | undefined;

  constructor(private readonly options: LedgerOptions) {}

  get isCounting(): boolean {
    return this.counting;
  }

  readonly get = (key: string): Register | undefined => this.options.registers.get(key);

  readonly all = (): readonly Register[] => this.options.registers.all();

  readonly members = (): readonly string[] => membersOf(this.get(ROSTER_KEY));

  readonly isMember = (): boolean => this.members().includes(this.options.self);

  readonly isSettled = (key: string): boolean => {
    const register = this.get(key);
    return register !== undefined && this.settled.get(key) === register.digest;
  };

  /** The first start of the whole system, a start with a disk that kept its files, or one that lost them. */
  readonly start = async (firstRun: boolean): Promise<void> => {
    const { seeds, self } = this.options;
    const loaded = await this.options.archive.load();
    if (loaded) {
      this.options.registers.merge(loaded);
      this.counting = true;
    } else if (firstRun && seeds.includes(self)) {
      this.merge([rosterRegister(1, seeds)]);
      this.counting = true;
      await this.safe();
    }
  };

  readonly merge = (registers: readonly Register[]): readonly Register[] => {
    const changed = this.options.registers.merge(registers);
    if (changed.length > 0) this.dirty = true;
    return changed;
  };

  /** Resolves to true once everything merged before the call is safe on this machine's disk. */
  readonly safe = async (): Promise<boolean> => {
    while (this.dirty || this.keeping) {
      if (this.dirty) {
        this.dirty = false;
        const keeping = this.options.archive.keep().then((kept) => {
          if (kept.isErr) {
            this.dirty = true;
            this.options.log.warn(`The disk refused a version: ${kept.error.sentence}.`);
          }
          return kept.isOk;
        });
        this.keeping = keeping;
        const safe = await keeping;
        if (this.keeping === keeping) this.keeping = undefined;
        if (!safe) return false;
        return true;
      }
      if (!(await this.keeping)) return false;
    }
    return true;
  };

  /** Answers a colleague's read or store. */
  readonly answer = async (message: Message): Promise<Message> => {
    const roster = this.get(ROSTER_KEY)?.version ?? 0;
    if (message.kind === "store") {
      const epoch = typeof message["epoch"] === "number" ? message["epoch"] : undefined;
      if (epoch !== undefined && epoch < this.epoch()) return { kind: "refused", why: "epoch" };
      this.merge(list(message, "registers", readRegister));
      const safe = await this.safe();
      return { kind: "stored", safe: safe && this.counting, roster };
    }
    const safe = await this.safe();
    const theirs = String(message["digest"]);
    const digest = this.options.registers.digest();
    const registers = theirs === digest ? [] : this.options.registers.inBucketsThatDiffer(theirs).map(packRegister);
    return { kind: "copy", counts: safe && this.counting, digest, registers };
  };

  /** Reads a majority and merges what it holds; the answer says whether all of it already agreed. */
  readonly read = async (waitUs = READ_WAIT_US): Promise<Result<{ readonly agreed: boolean }, LedgerMishap>> => {
    const { registers } = this.options;
    const digest = registers.digest();
    const copies: (readonly Register[])[] = [];
    const others = new Set<string>();
    const gathered = await this.gather(
      { kind: "read", digest },
      (reply) => {
        const theirs = list(reply, "registers", readRegister);
        this.merge(theirs);
        copies.push(theirs);
        others.add(String(reply["digest"]));
        return flag(reply, "counts");
      },
      async () => this.counting && (await this.safe()),
      () => [this.members().length > 0 ? this.members() : this.options.seeds],
      waitUs,
      // A copy that lost its own fills no quorum, so where as many are lost as may be, no more than these may be left.
      this.counting ? quorumOf : readQuorumOf,
    );
    if (gathered.isErr) return err(gathered.error);
    if (!this.counting && (await this.safe())) {
      this.counting = true;
      this.options.log.info("Caught up with a majority.");
      void this.events.emit("counting");
    }
    const agreed = registers.digest() === digest && [...others].every((other) => other === digest);
    if (agreed) this.settle(this.all());
    return ok({ agreed });
  };

  /** Reads a majority, and writes back whatever some copy of it lacked, so that what is returned can't be lost. */
  readonly readAndMend = async (): Promise<Result<void, LedgerMishap>> => {
    const read = await this.read();
    if (read.isErr) return err(read.error);
    if (read.value.agreed) return ok(undefined);
    return this.write(this.all().filter((register) => this.settled.get(register.key) !== register.digest));
  };

  /**
   * Makes a quorum hold the registers, or for the keys of which as high a version is held already, what is held: an
   * equal version changes nothing. After a read of a majority that covers every acknowledged version; only writes made
   * at the same moment are told apart by their digests.
   */
  readonly write = async (registers: readonly Register[], epoch?: number): Promise<Result<void, LedgerMishap>> => {
    const rosterBefore = this.members();
    this.merge(registers.filter((register) => register.version > (this.get(register.key)?.version ?? -1)));
    const current = registers.map((register) => this.get(register.key) ?? register);
    let stale: "epoch" | "roster" | undefined;
    const gathered = await this.gather(
      { kind: "store", registers: current.map(packRegister), ...(epoch === undefined ? {} : { epoch }) },
      (reply) => {
        if (reply.kind === "refused") stale = "epoch";
        else if (whole(reply, "roster") > (this.get(ROSTER_KEY)?.version ?? 0)) stale = "roster";
        return reply.kind === "stored" && flag(reply, "safe") && stale === undefined;
      },
      async () => (await this.safe()) && this.counting,
      () => [this.members(), rosterBefore],
      STORE_WAIT_US,
    );
    if (stale) return err({ kind: "stale", what: stale });
    if (gathered.isErr) return err(gathered.error);
    this.settle(current);
    this.options.asker.send({ kind: "settled", items: current.map(({ key, digest }) => ({ key, digest })) });
    return ok(undefined);
  };

  /** Hears from a colleague what a quorum holds; what this copy does not hold the same way waits for the sweep. */
  readonly hearSettled = (message: Message): void => {
    const same = list(message, "items", asRec).flatMap((item) => {
      const register = this.get(String(item["key"]));
      return register !== undefined && register.digest === item["digest"] ? [register] : [];
    });
    this.settle(same);
  };

  readonly epoch = (): number => this.get(GRANT_KEY)?.version ?? 0;

  /** Asks every member of the rosters; ok as soon as a quorum of each has given an accepted answer. */
  readonly gather = (
    message: Message,
    accepts: (reply: Message) => boolean,
    own: () => Promise<boolean>,
    rosters: () => readonly (readonly string[])[],
    waitUs: number,
    neededOf: (members: readonly string[], withstandMachines: number) => number = quorumOf,
  ): Promise<Result<void, LedgerMishap>> => {
    const { self, asker, withstandMachines } = this.options;
    const held = new Set<string>();
    const missing = () =>
      rosters().find((members) => members.filter((id) => held.has(id)).length < neededOf(members, withstandMachines) || members.length === 0);
    return new Promise((resolve) => {
      const asked = new Set<string>();
      let open = 0;
      const settle = () => {
        const members = missing();
        if (!members) resolve(ok(undefined));
        else if (open === 0) resolve(err({ kind: "no-quorum", held: held.size, needed: neededOf(members, withstandMachines) }));
      };
      const askAll = () => {
        const ids = rosters().flat().filter((id) => !asked.has(id));
        ids.forEach((id) => {
          if (asked.has(id)) return;
          asked.add(id);
          open += 1;
          const answered = id === self ? own() : asker.ask(id, message, waitUs).then((reply) => reply !== undefined && accepts(reply));
          void answered
            .catch(() => false)
            .then((accepted) => {
              if (accepted) held.add(id);
              open -= 1;
              if (missing()) askAll();
              settle();
            });
        });
      };
      askAll();
      if (open === 0) settle();
    });
  };

  private readonly settle = (registers: readonly Register[]): void => {
    const fresh = registers.filter((register) => this.settled.get(register.key) !== register.digest);
    fresh.forEach((register) => this.settled.set(register.key, register.digest));
    if (fresh.length > 0) void this.events.emit("settled", fresh);
  };
}
