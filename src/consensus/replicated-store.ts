/**
 * The replicated store: one replica of the control state, and reads and writes over quorums of
 * replicas. Each register is decided by its own sequence of ballots; there is no log of operations
 * and no leader. The voter set and the holder of the leader lease are decided in the same way.
 * docs/control-safety.md gives the safety argument.
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
import { RegisterWriter, type WriteOptions } from "./register-writer.js";
import type { Register } from "./register.js";
import { ReplicaViews } from "./replica-view.js";
import type { Replica } from "./replica.js";
import { LEADER_LEASE_KEY, supersedes, termOf, type Term } from "./term.js";
import { VoterSetFencing } from "./voter-set-fencing.js";
import { VoterSetProposer } from "./voter-set-proposer.js";
import type { VoterSet } from "./voter-set.js";

/** Dependencies of {@link ReplicatedStore}. */
export interface ReplicatedStoreOptions {
  readonly self: string;
  readonly writeAheadLog: WriteAheadLog;
  /** The state that the snapshots of the write-ahead log contain. */
  readonly replica: Replica;
  /** The initial voter set, and the controllers to ask while no voter set is known. */
  readonly seeds: () => readonly string[];
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /**
   * Random source from 0 to 1, used to name this incarnation and to spread the backoff after a
   * collision.
   */
  readonly random: () => number;
  /** How many machines may be lost at once without loss of what is committed. */
  readonly withstandMachines: number;
  readonly logger: Logger;
}

/**
 * Combines the components of a replica.
 *
 * Invariants: a replica answers only from what is durable on its own disk; a replica that may have
 * lost state does not vote, and neither promises nor accepts, until it has caught up from replicas
 * that share a member with every quorum, which from then on accept nothing that was proposed
 * before; only entries accepted by a quorum are ever exposed.
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
    // Calls the public methods, so that replacing one of them also affects the components.
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

  /** Why this replica does not vote; empty if it does. */
  get notVotingReason(): string {
    return this.local.notVotingReason;
  }

  /** Identifies this run of the process in terms and ballots. */
  get incarnation(): string {
    return this.local.incarnation;
  }

  /** The register that is known to be committed under the key. */
  readonly get = (key: string): Register | undefined => this.local.state.committedAt(key);

  /** All registers that are known to be committed. */
  readonly committedRegisters = (): readonly Register[] => this.local.state.allCommitted();

  /** The newest decided voter set known here. */
  readonly voterSet = (): VoterSet => this.local.voterSet;

  /** The sets of members of which each must provide a quorum. */
  readonly quorumSets = (): readonly (readonly string[])[] => this.local.quorumSets();

  /** All voters, of both sets while the voter set is joint. */
  readonly members = (): readonly string[] => this.local.members();

  /** Whether this replica is a voter, by the newest voter set known here. */
  readonly isMember = (): boolean => this.local.isMember();

  /** The newest term that this replica knows to be granted. */
  readonly term = (): Term | undefined => termOf(this.get(LEADER_LEASE_KEY));

  /** The number of the newest term known here or to a member that has responded. */
  readonly newestTerm = (): number => this.quorumCheck.newestTerm();

  /** Whether this replica holds a term above the given one, committed or only proposed. */
  readonly isSuperseded = (term: Term): boolean =>
    supersedes(this.local.state.entry(LEADER_LEASE_KEY).register, term) ||
    supersedes(this.get(LEADER_LEASE_KEY), term);

  /**
   * Loads the state from the disk. Until it has read a quorum, the replica knows only what was
   * committed before.
   *
   * @param firstRun - whether the whole system starts for the first time; only then does an empty
   *   disk count as complete
   */
  readonly start = (firstRun: boolean): Promise<void> => this.local.start(firstRun);

  /**
   * Resolves to true once everything recorded before the call is durable on this machine's disk.
   */
  readonly persisted = (): Promise<boolean> => this.local.persisted();

  /** Handles a peer's request whose kind is in CONSENSUS_MESSAGE_KINDS. */
  readonly handleRequest = (message: Message): Promise<Message> => this.acceptor.handle(message);

  /**
   * Applies a peer's notice that a quorum has accepted entries. Where this replica holds an older
   * entry, it reports that it is behind, and the next read brings the newer one.
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
   * Calls during a read share the next one.
   */
  readonly read = (): Promise<Result<void, ReplicatedStoreError>> => this.reader.read();

  /**
   * Decides one operator call, all registers at one ballot. Ok: every register, written by this
   * call or an earlier one, is held by a quorum or has since been replaced by a newer version.
   *
   * @param options - how the call is checked against the registers in force
   */
  readonly propose = (
    writes: readonly Register[],
    options?: WriteOptions,
  ): Promise<Result<void, ReplicatedStoreError>> => this.writer.write(writes, options);

  /**
   * Compares and sets one register. Returns the register in force afterwards.
   *
   * @param makeBody - returns the new body, or undefined to leave the register as it is
   * @param term - the term of the writer, if it writes as holder of the leader lease; the write
   *   fails once a newer term is granted
   */
  readonly decide = (
    key: string,
    makeBody: (current: Register | undefined) => string | undefined,
    term?: Term,
  ): Promise<Result<Register | undefined, ReplicatedStoreError>> =>
    this.writer.update(key, makeBody, term);

  /**
   * Changes the members of the voter set, by way of a joint one. Ok: the target voter set is
   * decided.
   *
   * @param change - returns the target members for the current ones
   * @param copyOtherState - copies other state that the new members must hold; true once done
   */
  readonly changeMembers = (
    change: MemberChange,
    copyOtherState?: () => Promise<boolean>,
  ): Promise<Result<void, ReplicatedStoreError>> =>
    this.reconfiguration.changeMembers(change, copyOtherState);

  /**
   * Sends a request of another part of the control state to every member; ok once a quorum of each
   * set has given an accepted response.
   */
  readonly callQuorum = (
    message: Message,
    accepts: (response: Message, id: string) => boolean,
    handleLocally: () => Promise<boolean>,
    timeoutUs: number,
  ): Promise<Result<void, ReplicatedStoreError>> =>
    this.fencing.callQuorum(message, accepts, handleLocally, timeoutUs);

  /** Adds the number of the current voter set to the message. */
  readonly withVoterSet = (message: Message): Message => this.fencing.withVoterSet(message);

  /** The rejection of a message that was sent under an older voter set; undefined if it was not. */
  readonly rejectIfOutdated = (message: Message): Message | undefined =>
    this.fencing.rejectIfOutdated(message);
}
