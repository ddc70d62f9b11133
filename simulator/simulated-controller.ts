/**
 * A simulated controller process: the real replicated store and leader lease on a simulated
 * network, disk and clock.
 */
import { WriteAheadLog } from "../src/storage/write-ahead-log.js";
import { Replica } from "../src/consensus/replica.js";
import { LeaderLease, type LeaderLeaseOptions } from "../src/consensus/leader-lease.js";
import { CONSENSUS_MESSAGE_KINDS } from "../src/consensus/messages.js";
import { ReplicatedStore, type ReplicatedStoreOptions } from "../src/consensus/replicated-store.js";
import { findSharedKey, serializationOf } from "../src/config/customer-keys.js";
import type { Register } from "../src/consensus/register.js";
import type { WriteCheck } from "../src/consensus/register-writer.js";
import type { Clock } from "../src/common/clock.js";
import { silentLogger } from "../src/common/logger.js";
import { MILLISECOND_US, SECOND_US } from "../src/common/duration.js";
import type { Message } from "../src/transport/connection.js";
import type { FileSystem } from "../src/storage/file-system.js";
import type { SeededRandom } from "./seeded-random.js";
import type { SimulatedDisk } from "./simulated-disk.js";
import type { History } from "./history.js";
import type { Link, SimulatedNetwork } from "./simulated-network.js";
import type { VirtualTime } from "./virtual-time.js";

/** Factories of the parts of a controller that a test may replace with defective ones. */
export interface Components {
  readonly disk: (disk: FileSystem) => FileSystem;
  readonly replica: () => Replica;
  readonly store: (options: ReplicatedStoreOptions) => ReplicatedStore;
  readonly lease: (options: LeaderLeaseOptions) => LeaderLease;
  /** Intercepts every request to a controller, and may reply instead of it. */
  readonly handleMessage: (
    controller: SimulatedController,
    message: Message,
    answer: (message: Message) => Promise<Message | undefined>,
  ) => Promise<Message | undefined>;
}

/** The components without injected defects. */
export const REAL_COMPONENTS: Components = {
  disk: (disk) => disk,
  replica: () => new Replica(),
  store: (options) => new ReplicatedStore(options),
  lease: (options) => new LeaderLease(options),
  handleMessage: (_controller, message, answer) => answer(message),
};

/** Dependencies and settings of {@link SimulatedController}. */
export interface SimulatedControllerOptions {
  readonly id: string;
  readonly seeds: readonly string[];
  readonly isFirstRun: boolean;
  readonly time: VirtualTime;
  readonly network: SimulatedNetwork;
  readonly disk: SimulatedDisk;
  readonly random: SeededRandom;
  readonly history: History;
  readonly components: Components;
  readonly withstandMachines: number;
}

const READ_INTERVAL_US = 1 * SECOND_US;
const FIRST_READ_INTERVAL_US = 100 * MILLISECOND_US;
const LEADER_WRITE_INTERVAL_US = 900 * MILLISECOND_US;
const CONTACT_CHECK_INTERVAL_US = 700 * MILLISECOND_US;
/** Results of a rejected change by error code; with any other code the result is unclear. */
const RESULT_BY_ERROR_CODE: ReadonlyMap<string, "conflict" | "invalid"> = new Map([
  ["VERSION_CONFLICT", "conflict"],
  ["INVALID_WRITE", "invalid"],
]);
export const LEADER_WRITE_KEY = "duty/act";

/**
 * One process of a controller: its replicated store, write-ahead log and leader lease, and the
 * periodic work of src/programs/controller. Invariant: no callback of a terminated process runs;
 * callbacks that fall due while the process is frozen run after it is thawed.
 */
export class SimulatedController {
  readonly id: string;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly links = new Map<string, Link>();
  isAlive = true;
  isListening = false;
  /**
   * Whether its peers detect its termination at once: the connections of a killed process are
   * reset, those of a machine that lost power are not.
   */
  resetsConnections = false;
  private isFrozen = false;
  private frozenWork: (() => void)[] = [];
  private hasReadOnce = false;
  private readonly lastHeardUs = new Map<SimulatedController, number>();
  private readonly lastEchoUs = new Map<string, number>();

  constructor(private readonly options: SimulatedControllerOptions) {
    const { id, time, seeds, disk, components, withstandMachines, random } = options;
    this.id = id;
    this.clock = time.clockThrough(this.run);
    const replica = components.replica();
    const log = new WriteAheadLog({
      folder: "disk/plan",
      fileSystem: components.disk(disk.openFor(this)),
      snapshot: replica.snapshot,
    });
    this.store = components.store({
      self: id,
      writeAheadLog: log,
      replica,
      seeds: () => [...new Set([...seeds, ...this.links.keys()])],
      transport: { request: this.request, broadcast: this.broadcast },
      clock: this.clock,
      random: random.fraction,
      withstandMachines,
      logger: silentLogger,
    });
    this.lease = components.lease({
      self: id,
      store: this.store,
      clock: this.clock,
      logger: silentLogger,
      isConnected: this.isConnected,
      request: this.request,
      hasDisk: true,
      withstandMachines,
      holderTimeoutUs: 500 * MILLISECOND_US,
    });
  }

  get isRunning(): boolean {
    return this.isAlive && !this.isFrozen;
  }

  readonly start = async (): Promise<void> => {
    const { isFirstRun, seeds, history, time } = this.options;
    this.store.events.on("committed", (registers) => {
      history.publications.push({ atUs: time.nowUs(), controller: this.id, registers });
    });
    this.store.events.on("voterSet", () => this.addPeers(this.store.members()));
    this.store.events.on("behind", () => void this.readFromQuorum());
    await this.store.start(isFirstRun);
    this.isListening = true;
    this.addPeers([...seeds, ...this.store.members()]);
    const initialReads = this.clock.every(FIRST_READ_INTERVAL_US, () => {
      if (this.hasReadOnce) initialReads.stop();
      else void this.readFromQuorum();
    });
    this.clock.every(READ_INTERVAL_US, () => void this.readFromQuorum());
    this.clock.every(LEADER_WRITE_INTERVAL_US, () => void this.writeAsLeader());
    this.clock.every(CONTACT_CHECK_INTERVAL_US, () => void this.checkLeaseOrQuorum());
    this.lease.start();
  };

  readonly run = (work: () => void): void => {
    if (!this.isAlive) return;
    if (this.isFrozen) this.frozenWork.push(work);
    else work();
  };

  readonly freeze = (): void => {
    this.isFrozen = true;
  };

  /** Runs the timers and messages that fell due while it was frozen at once, in their order. */
  readonly thaw = (): void => {
    this.isFrozen = false;
    const pending = this.frozenWork;
    this.frozenWork = [];
    pending.forEach((work) => this.options.time.after(0, () => this.run(work)));
  };

  readonly terminate = (resetsConnections: boolean): void => {
    this.isAlive = false;
    this.resetsConnections = resetsConnections;
  };

  /** Shuts down gracefully: gives up the leader lease and leaves the voter set. */
  readonly shutDown = (): Promise<void> => this.lease.stepDown();

  readonly knownIds = (): readonly string[] => [this.id, ...this.links.keys()];

  readonly addPeers = (ids: readonly string[]): void => {
    new Set(ids).forEach((id) => {
      if (id !== this.id && !this.links.has(id))
        this.links.set(id, this.options.network.newLink(this));
    });
  };

  readonly isConnected = (id: string): boolean =>
    id === this.id || this.links.get(id)?.peer !== undefined;

  readonly lastHeardFromUs = (other: SimulatedController): number =>
    this.lastHeardUs.get(other) ?? -1;

  readonly receive = (
    from: SimulatedController,
    message: Message,
    sentUs: number,
    echoUs: number,
  ): void => {
    if (!this.isListening) return;
    this.lastHeardUs.set(from, Math.max(sentUs, this.lastHeardFromUs(from)));
    this.lastEchoUs.set(from.id, Math.max(echoUs, this.lastEchoUs.get(from.id) ?? -1));
    if (typeof message["re"] === "number") {
      const link = this.links.get(from.id);
      if (link?.peer === from) link.requests.resolve(message);
      return;
    }
    void this.options.components
      .handleMessage(this, message, this.handleMessage)
      .then((reply) => {
        if (reply && typeof message["ask"] === "number")
          this.options.network.send(this, from, { ...reply, re: message["ask"] });
      })
      .catch((error: unknown) =>
        this.options.history.errors.push(
          `${this.id} failed to handle ${message.kind}: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`,
        ),
      );
  };

  /** Submits an operator's change as the admin API does, and records the controller's response. */
  readonly submitChange = async (change: {
    readonly id: number;
    readonly registers: readonly Register[];
    readonly requires: string;
  }): Promise<"ok" | "conflict" | "invalid" | "unclear"> => {
    const { history, time } = this.options;
    const attempt = history.beginAttempt(change.id, this.id, time.nowUs());
    const { requires } = change;
    const findProblem: WriteCheck = ({ get, all }) => {
      if (requires !== "" && get(requires)?.dropped !== false) return `${requires} does not exist`;
      return findSharedKey(change.registers, get, all) && "two customers would share an API key";
    };
    const proposed = await this.store.propose(change.registers, {
      findProblem,
      ...serializationOf(change.registers),
    });
    attempt.endUs = time.nowUs();
    if (proposed.isOk) {
      attempt.result = "ok";
      return "ok";
    }
    const { code } = proposed.error;
    const result = RESULT_BY_ERROR_CODE.get(code) ?? "unclear";
    attempt.result = result;
    attempt.reason = code;
    return result;
  };

  readonly read = async (): Promise<boolean> => {
    const { history, time } = this.options;
    const startUs = time.nowUs();
    const read = await this.store.read();
    if (read.isOk)
      history.reads.push({
        controller: this.id,
        startUs,
        endUs: time.nowUs(),
        registers: this.store.committedRegisters(),
      });
    return read.isOk;
  };

  private readonly readFromQuorum = async (): Promise<void> => {
    const read = await this.store.read();
    if (read.isOk && this.store.isVoting) this.hasReadOnce = true;
    else await this.store.confirmQuorum();
  };

  /** Writes a register under the current term if this controller holds the leader lease. */
  private readonly writeAsLeader = async (): Promise<void> => {
    const { history, time } = this.options;
    const term = this.lease.activeTerm();
    if (!term) return;
    history.leaderClaims.push({
      atUs: time.nowUs(),
      controller: this.id,
      term: term.number,
      holder: term.holder,
    });
    const startUs = time.nowUs();
    const decided = await this.store.decide(
      LEADER_WRITE_KEY,
      () => JSON.stringify({ number: term.number, box: this.id }),
      term,
    );
    if (!decided.isOk) return;
    const { number } = term;
    history.leaderWrites.push({ controller: this.id, term: number, startUs, endUs: time.nowUs() });
  };

  /**
   * Confirms the leader lease if this controller holds it, and otherwise the contact with a quorum,
   * as controllers do before they serve.
   */
  private readonly checkLeaseOrQuorum = async (): Promise<void> => {
    const { history, time } = this.options;
    const startUs = time.nowUs();
    const number = this.lease.activeTerm()?.number ?? 0;
    if (number > 0) {
      if (await this.lease.confirm())
        history.leaseConfirmations.push({
          controller: this.id,
          term: number,
          startUs,
          endUs: time.nowUs(),
        });
      return;
    }
    const before = this.store.quorumSets();
    if (!this.store.isVoting || !(await this.store.confirmQuorum())) return;
    const heardFrom = [
      this.id,
      ...[...this.lastEchoUs].filter(([, echoUs]) => echoUs >= startUs).map(([id]) => id),
    ];
    history.quorumContacts.push({
      controller: this.id,
      atUs: time.nowUs(),
      heardFrom,
      voterSets: [before, this.store.quorumSets()],
    });
  };

  private readonly handleMessage = async (message: Message): Promise<Message | undefined> => {
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
        throw new Error(`no handler for message kind ${message.kind}`);
    }
  };

  private readonly request = (
    id: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    const link = this.links.get(id);
    const peer = link?.peer;
    if (!link || !peer) return Promise.resolve(undefined);
    return link.requests.request(
      (sent) => this.options.network.send(this, peer, sent),
      message,
      waitUs,
    );
  };

  private readonly broadcast = (message: Message): void =>
    this.links.forEach(({ peer }) => {
      if (peer) this.options.network.send(this, peer, message);
    });
}
