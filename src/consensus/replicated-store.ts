/**
 * The replicated store: one replica of the control state, and reads and writes over quorums of
 * replicas. Each register is decided by its own chain of ballots; there is no log of operations and
 * no leader. The voter set is decided the same way, and so is who holds the leader lease.
 * docs/control-safety.md gives the argument.
 */
import type Emittery from "emittery";
import type { Result } from "true-myth/result";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import type { WriteAheadLog } from "../storage/write-ahead-log.js";
import type { Message } from "../transport/connection.js";
import { Acceptor } from "./acceptor.js";
import { isHigherBallot } from "./ballot.js";
import { CatchUp } from "./catch-up.js";
import type { ReplicatedStoreError } from "./errors.js";
import { LocalReplica, type ReplicatedStoreEvents } from "./local-replica.js";
import { decodeCommittedNotice } from "./messages.js";
import { Proposer } from "./proposer.js";
import { QuorumCalls, type PeerTransport } from "./quorum-calls.js";
import { QuorumCheck } from "./quorum-check.js";
import { QuorumReader } from "./quorum-reader.js";
import { Reconfiguration, type MemberChange } from "./reconfiguration.js";
import { RegisterWriter, type WriteCheck } from "./register-writer.js";
import type { Register } from "./register.js";
import { ReplicaViews } from "./replica-view.js";
import type { Replica } from "./replica.js";
import { LEADER_LEASE_KEY, supersedes, termOf, type Term } from "./term.js";
import { VoterSetFencing } from "./voter-set-fencing.js";
import { VoterSetProposer } from "./voter-set-proposer.js";
import type { VoterSet } from "./voter-set.js";

/** What a `ReplicatedStore` is made of. */
export interface ReplicatedStoreOptions {
  readonly self: string;
  readonly writeAheadLog: WriteAheadLog;
  /** What the snapshots of the write-ahead log are made of. */
  readonly replica: Replica;
  /** The voter set of the first start, and whom to ask for as long as none is known. */
  readonly seeds: () => readonly string[];
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** From 0 to 1: names this incarnation, and spreads the waits after a collision. */
  readonly random: () => number;
  /** How many machines may be lost at once without loss of what is committed. */
  readonly withstandMachines: number;
  readonly logger: Logger;
}

/**
 * Joins the parts that make up a member. Invariants: a replica answers only for what is safe on its
 * own disk; a replica that may have lost what it once held does not vote, and neither promises nor
 * accepts, until it has caught up from replicas that share a member with every quorum, which from
 * then on accept nothing that was proposed before; only what a quorum accepted is ever shown.
 */
export class ReplicatedStore {
  readonly events: Emittery<ReplicatedStoreEvents>;
  private readonly local: LocalReplica;
  private readonly acceptor: Acceptor;
  private readonly writer: RegisterWriter;
  private readonly reader: QuorumReader;
  private readonly quorumCheck: QuorumCheck;
  private readonly reconfiguration: Reconfiguration;
  private readonly fencing: VoterSetFencing;

  constructor(options: ReplicatedStoreOptions) {
    const local = new LocalReplica(options);
    // Through the public methods, so that whoever replaces one of them replaces it for the parts
    // too.
    const handleLocally = (message: Message) => this.handleRequest(message);
    const read = () => this.read();
    const isSuperseded = (term: Term) => this.isSuperseded(term);
    const calls = new QuorumCalls({ ...options, handleLocally });
    const views = new ReplicaViews(local, calls);
    const shared = { ...options, local, calls, views };
    const proposer = new Proposer(shared);
    const writer = new RegisterWriter({ local, proposer, read });
    const catchUp = new CatchUp(shared);
    const reader = new QuorumReader({ ...shared, writer, catchUp });
    this.local = local;
    this.events = local.events;
    this.acceptor = new Acceptor({ self: options.self, local, isSuperseded });
    this.writer = writer;
    this.reader = reader;
    this.quorumCheck = new QuorumCheck(shared);
    this.reconfiguration = new Reconfiguration({
      ...shared,
      reader,
      writer,
      proposer: new VoterSetProposer(shared),
    });
    this.fencing = new VoterSetFencing(shared);
  }

  /** Whether this replica takes part in quorums. */
  get isVoting(): boolean {
    return this.local.isVoting;
  }

  /** Why this replica doesn't vote; empty if it does. */
  get notVotingReason(): string {
    return this.local.notVotingReason;
  }

  /** This run of this process, as terms and ballots name it. */
  get incarnation(): string {
    return this.local.incarnation;
  }

  /** What is known to be committed under the key. */
  readonly get = (key: string): Register | undefined => this.local.state.committedAt(key);

  /** All registers that are known to be committed. */
  readonly committedRegisters = (): readonly Register[] => this.local.state.allCommitted();

  /** The newest decided voter set known here. */
  readonly voterSet = (): VoterSet => this.local.voterSet;

  /** The sets of which each needs a quorum of its own. */
  readonly quorumSets = (): readonly (readonly string[])[] => this.local.quorumSets();

  /** All voters, of both sets while the voter set is joint. */
  readonly members = (): readonly string[] => this.local.members();

  /** Whether this replica is a voter, by the newest voter set known here. */
  readonly isMember = (): boolean => this.local.isMember();

  /** The newest term that this replica knows to be granted. */
  readonly term = (): Term | undefined => termOf(this.get(LEADER_LEASE_KEY));

  /** The number of the newest term known here or to a member that has responded. */
  readonly newestTerm = (): number => this.quorumCheck.newestTerm();

  /** Whether this replica holds a term above this one, committed or only proposed. */
  readonly isSuperseded = (term: Term): boolean =>
    supersedes(this.local.state.entry(LEADER_LEASE_KEY).register, term) ||
    supersedes(this.get(LEADER_LEASE_KEY), term);

  /**
   * Loads what the disk holds. Until it has read a quorum, the replica knows only what was
   * committed before.
   *
   * @param firstRun - whether the whole system starts for the first time; only then does an empty
   *   disk count as complete
   */
  readonly start = (firstRun: boolean): Promise<void> => this.local.start(firstRun);

  /** Resolves to true once everything recorded before the call is safe on this machine's disk. */
  readonly persisted = (): Promise<boolean> => this.local.persisted();

  /** Answers a peer's request of one of CONSENSUS_MESSAGE_KINDS. */
  readonly handleRequest = (message: Message): Promise<Message> => this.acceptor.handle(message);

  /**
   * Takes a peer's notice of what a quorum has accepted; what is held otherwise here waits for a
   * read.
   */
  readonly applyCommitted = (message: Message): void => {
    const { state } = this.local;
    const { voterSet, marks } = decodeCommittedNotice(message);
    this.local.learnVoterSet(voterSet);
    marks.forEach(([, ballot]) => state.observe(ballot));
    this.local.markCommitted(marks);
    if (marks.some(([key, ballot]) => isHigherBallot(ballot, state.entry(key).ballot)))
      void this.events.emit("behind");
  };

  /** True once a majority of each set of voters has responded to a request sent after this call. */
  readonly confirmQuorum = (): Promise<boolean> => this.quorumCheck.confirm();

  /**
   * Reads a quorum. Ok: everything confirmed before the call is known here, and this replica votes.
   * Calls that come while a read runs share the next one.
   */
  readonly read = (): Promise<Result<void, ReplicatedStoreError>> => this.reader.read();

  /**
   * Decides one call of an operator, all registers at one ballot. Ok: every one is held by a
   * quorum, or was written before and is, or has since been replaced by a newer one.
   *
   * @param findProblem - given what is in force, by key, tells what makes the call invalid
   */
  readonly propose = (
    writes: readonly Register[],
    findProblem?: WriteCheck,
  ): Promise<Result<void, ReplicatedStoreError>> => this.writer.write(writes, findProblem);

  /**
   * Compares and sets one register. Gives what is in force afterwards.
   *
   * @param makeBody - gives the new body, or undefined to leave the register as it is
   * @param term - where the write is made as holder of the leader lease: it fails once a newer term
   *   is granted
   */
  readonly decide = (
    key: string,
    makeBody: (current: Register | undefined) => string | undefined,
    term?: Term,
  ): Promise<Result<Register | undefined, ReplicatedStoreError>> =>
    this.writer.update(key, makeBody, term);

  /**
   * Changes who the voters are, by way of a joint voter set. Ok: the wanted one is decided.
   *
   * @param change - tells the wanted members, given the present ones
   * @param copyOtherState - brings what else the new members must hold to them; true once that is
   *   done
   */
  readonly changeMembers = (
    change: MemberChange,
    copyOtherState?: () => Promise<boolean>,
  ): Promise<Result<void, ReplicatedStoreError>> =>
    this.reconfiguration.changeMembers(change, copyOtherState);

  /**
   * Puts a question of another part of the control state to every member; ok once a quorum of each
   * set has given an accepted response.
   */
  readonly callQuorum = (
    message: Message,
    accepts: (response: Message, id: string) => boolean,
    handleLocally: () => Promise<boolean>,
    timeoutUs: number,
  ): Promise<Result<void, ReplicatedStoreError>> =>
    this.fencing.callQuorum(message, accepts, handleLocally, timeoutUs);

  /** The message with the number of the voter set that it is sent under. */
  readonly withVoterSet = (message: Message): Message => this.fencing.withVoterSet(message);

  /**
   * The rejection of a message that was sent under an older voter set; undefined where it was not.
   */
  readonly rejectIfOutdated = (message: Message): Message | undefined =>
    this.fencing.rejectIfOutdated(message);
}
