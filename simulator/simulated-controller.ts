import { WriteAheadLog } from "../src/storage/write-ahead-log.js";
import { Replica } from "../src/consensus/replica.js";
import { LeaderLease, type LeaderLeaseOptions } from "../src/consensus/leader-lease.js";
import { CONSENSUS_MESSAGE_KINDS } from "../src/consensus/messages.js";
import { ReplicatedStore, type ReplicatedStoreOptions } from "../src/consensus/replicated-store.js";
import type { Register } from "../src/consensus/register.js";
import type { Clock } from "../src/common/clock.js";
import { silentLogger } from "../src/common/logger.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import type { Message } from "../src/transport/connection.js";
import type { FileSystem } from "../src/storage/file-system.js";
import type { Chance } from "./seeded-random.js";
import type { SimDisk } from "./simulated-disk.js";
import type { History } from "./history.js";
import type { Link, Net } from "./simulated-network.js";
import type { World } from "./virtual-time.js";

/** What a test may replace by something broken. */
export interface Parts {
  readonly disk: (disk: FileSystem) => FileSystem;
  readonly copy: () => Replica;
  readonly store: (options: ReplicatedStoreOptions) => ReplicatedStore;
  readonly lease: (options: LeaderLeaseOptions) => LeaderLease;
  /** Sees every message that a box answers, and may answer in its place. */
  readonly answer: (
    box: Box,
    message: Message,
    answer: (message: Message) => Promise<Message | undefined>,
  ) => Promise<Message | undefined>;
}

export const REAL_PARTS: Parts = {
  disk: (disk) => disk,
  copy: () => new Replica(),
  store: (options) => new ReplicatedStore(options),
  lease: (options) => new LeaderLease(options),
  answer: (_box, message, answer) => answer(message),
};

export interface BoxOptions {
  readonly id: string;
  readonly seeds: readonly string[];
  readonly firstRun: boolean;
  readonly world: World;
  readonly net: Net;
  readonly disk: SimDisk;
  readonly chance: Chance;
  readonly history: History;
  readonly parts: Parts;
  readonly withstandMachines: number;
}

const SWEEP_US = 1 * SECOND_US;
const EARLY_SWEEP_US = 100 * MILLISECOND_US;
const ACT_US = 900 * MILLISECOND_US;
const LOOK_US = 700 * MILLISECOND_US;
export const ACT_KEY = "duty/act";

/**
 * One life of a signalbox: its ledger, archive and duty, and what src/programs/signalbox.ts does around them.
 * Invariant: nothing of a dead life runs any more; of a frozen one, all that came meanwhile runs after the thaw.
 */
export class Box {
  readonly id: string;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly links = new Map<string, Link>();
  isAlive = true;
  isListening = false;
  /** Whether its end was told to others at once: a killed process resets its connections, a machine without power doesn't. */
  wasReset = false;
  private isFrozen = false;
  private backlog: (() => void)[] = [];
  private hasMended = false;
  private readonly heard = new Map<Box, number>();
  private readonly echoed = new Map<string, number>();

  constructor(private readonly options: BoxOptions) {
    const { id, world, seeds, disk, parts, withstandMachines, chance } = options;
    this.id = id;
    this.clock = world.clockBehind(this.run);
    const copy = parts.copy();
    const archive = new WriteAheadLog({
      folder: "disk/plan",
      fileSystem: parts.disk(disk.openFor(this)),
      snapshot: copy.snapshot,
    });
    this.store = parts.store({
      self: id,
      writeAheadLog: archive,
      replica: copy,
      seeds: () => [...new Set([...seeds, ...this.links.keys()])],
      transport: { request: this.ask, broadcast: this.tell },
      clock: this.clock,
      random: chance.share,
      withstandMachines,
      logger: silentLogger,
    });
    this.lease = parts.lease({
      self: id,
      store: this.store,
      clock: this.clock,
      logger: silentLogger,
      isConnected: this.stands,
      request: this.ask,
      hasDisk: true,
      withstandMachines,
      holderTimeoutUs: 500 * MILLISECOND_US,
    });
  }

  get isAwake(): boolean {
    return this.isAlive && !this.isFrozen;
  }

  readonly start = async (): Promise<void> => {
    const { firstRun, seeds, history, world } = this.options;
    this.store.events.on("committed", (registers) => {
      history.told.push({ atUs: world.nowUs(), box: this.id, registers });
    });
    this.store.events.on("voterSet", () => this.learn(this.store.members()));
    this.store.events.on("behind", () => void this.sweep());
    await this.store.start(firstRun);
    this.isListening = true;
    this.learn([...seeds, ...this.store.members()]);
    const early = this.clock.every(EARLY_SWEEP_US, () => {
      if (this.hasMended) early.stop();
      else void this.sweep();
    });
    this.clock.every(SWEEP_US, () => void this.sweep());
    this.clock.every(ACT_US, () => void this.act());
    this.clock.every(LOOK_US, () => void this.look());
    this.lease.start();
  };

  readonly run = (act: () => void): void => {
    if (!this.isAlive) return;
    if (this.isFrozen) this.backlog.push(act);
    else act();
  };

  readonly freeze = (): void => {
    this.isFrozen = true;
  };

  /** Timers and messages that came meanwhile run at once, in the order in which they came. */
  readonly thaw = (): void => {
    this.isFrozen = false;
    const acts = this.backlog;
    this.backlog = [];
    acts.forEach((act) => this.options.world.after(0, () => this.run(act)));
  };

  readonly end = (wasReset: boolean): void => {
    this.isAlive = false;
    this.wasReset = wasReset;
  };

  /** An orderly end. */
  readonly leave = (): Promise<void> => this.lease.stepDown();

  readonly knows = (): readonly string[] => [this.id, ...this.links.keys()];

  readonly learn = (ids: readonly string[]): void => {
    new Set(ids).forEach((id) => {
      if (id !== this.id && !this.links.has(id)) this.links.set(id, this.options.net.newLink(this));
    });
  };

  readonly stands = (id: string): boolean =>
    id === this.id || this.links.get(id)?.peer !== undefined;

  readonly heardOf = (other: Box): number => this.heard.get(other) ?? -1;

  readonly receive = (from: Box, message: Message, sentUs: number, echoUs: number): void => {
    if (!this.isListening) return;
    this.heard.set(from, Math.max(sentUs, this.heardOf(from)));
    this.echoed.set(from.id, Math.max(echoUs, this.echoed.get(from.id) ?? -1));
    if (typeof message["re"] === "number") {
      const link = this.links.get(from.id);
      if (link?.peer === from) link.asks.settle(message);
      return;
    }
    void this.options.parts
      .answer(this, message, this.answer)
      .then((reply) => {
        if (reply && typeof message["ask"] === "number")
          this.options.net.send(this, from, { ...reply, re: message["ask"] });
      })
      .catch((error: unknown) =>
        this.options.history.mishaps.push(
          `${this.id} failed on ${message.kind}: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`,
        ),
      );
  };

  /** One order of an operator, as the control calls take it; the answer is recorded as it leaves the box. */
  readonly take = async (order: {
    readonly id: number;
    readonly registers: readonly Register[];
    readonly needs: string;
  }): Promise<"ok" | "conflict" | "invalid" | "unclear"> => {
    const { history, world } = this.options;
    const attempt = history.begin(order.id, this.id, world.nowUs());
    const { needs } = order;
    const problemOf = (get: (key: string) => Register | undefined) =>
      needs === "" || get(needs)?.dropped === false ? undefined : `there is no ${needs}`;
    const offered = await this.store.propose(order.registers, problemOf);
    attempt.toUs = world.nowUs();
    attempt.result = offered.isOk
      ? "ok"
      : offered.error.code === "VERSION_CONFLICT"
        ? "conflict"
        : offered.error.code === "INVALID_WRITE"
          ? "invalid"
          : "unclear";
    attempt.why = offered.isOk ? "" : offered.error.code;
    return attempt.result;
  };

  readonly read = async (): Promise<boolean> => {
    const { history, world } = this.options;
    const fromUs = world.nowUs();
    const read = await this.store.read();
    if (read.isOk)
      history.reads.push({
        box: this.id,
        fromUs,
        toUs: world.nowUs(),
        registers: this.store.committedRegisters(),
      });
    return read.isOk;
  };

  private readonly sweep = async (): Promise<void> => {
    const read = await this.store.read();
    if (read.isOk && this.store.isVoting) this.hasMended = true;
    else await this.store.confirmQuorum();
  };

  /** What a holder does: a change of a register under its term. */
  private readonly act = async (): Promise<void> => {
    const { history, world } = this.options;
    const term = this.lease.activeTerm();
    if (!term) return;
    history.holders.push({
      atUs: world.nowUs(),
      box: this.id,
      number: term.number,
      holder: term.holder,
    });
    const act = { box: this.id, number: term.number, fromUs: world.nowUs(), toUs: -1 };
    const decided = await this.store.decide(
      ACT_KEY,
      () => JSON.stringify({ number: term.number, box: this.id }),
      term,
    );
    if (decided.isOk) history.acts.push({ ...act, toUs: world.nowUs() });
  };

  /** Asks for a confirmation of the duty or, as all others do before they serve, for contact. */
  private readonly look = async (): Promise<void> => {
    const { history, world } = this.options;
    const fromUs = world.nowUs();
    const number = this.lease.activeTerm()?.number ?? 0;
    if (number > 0) {
      if (await this.lease.confirm())
        history.confirms.push({ box: this.id, number, fromUs, toUs: world.nowUs() });
      return;
    }
    const before = this.store.quorumSets();
    if (!this.store.isVoting || !(await this.store.confirmQuorum())) return;
    const heard = [
      this.id,
      ...[...this.echoed].filter(([, echoUs]) => echoUs >= fromUs).map(([id]) => id),
    ];
    history.contacts.push({
      box: this.id,
      atUs: world.nowUs(),
      heard,
      rosters: [before, this.store.quorumSets()],
    });
  };

  private readonly answer = async (message: Message): Promise<Message | undefined> => {
    if (CONSENSUS_MESSAGE_KINDS.has(message.kind)) return this.store.handleRequest(message);
    switch (message.kind) {
      case "unseen":
      case "join":
      case "leave":
      case "succeed":
        return this.lease.handleRequest(message);
      case "settled":
        this.store.applyCommitted(message);
        return undefined;
      default:
        throw new Error(`nobody takes ${message.kind}`);
    }
  };

  private readonly ask = (
    id: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    const link = this.links.get(id);
    const peer = link?.peer;
    if (!link || !peer) return Promise.resolve(undefined);
    return link.asks.ask((sent) => this.options.net.send(this, peer, sent), message, waitUs);
  };

  private readonly tell = (message: Message): void =>
    this.links.forEach(({ peer }) => {
      if (peer) this.options.net.send(this, peer, message);
    });
}
