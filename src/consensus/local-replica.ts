/**
 * The replica of this process: connects its durable state to the disk and to listeners, and records
 * why it does not vote, if so. The protocols of this folder access the state through it.
 */
import Emittery from "emittery";
import type { UnknownRecord } from "../common/decode.js";
import type { Logger } from "../common/logger.js";
import type { WriteAheadLog } from "../storage/write-ahead-log.js";
import { isHigherBallot, isSameBallot, type Ballot } from "./ballot.js";
import type { Rejection } from "./message-types.js";
import type { Entry, Item } from "./record-codec.js";
import { RecordPersistence } from "./record-persistence.js";
import type { Register } from "./register.js";
import { committedEntry, type CommitMark, type Replica } from "./replica.js";
import { allMembersOf, quorumSetsOf, type VoterSet } from "./voter-set.js";

/** One of the reasons that `ctl duty` shows; docs/operations.md lists them. */
const NOT_A_MEMBER = "it is not on the roster";

/** Events of a replicated store. */
export interface ReplicatedStoreEvents {
  /** Registers that have become known to be committed. */
  readonly committed: readonly Register[];
  /** This replica has caught up and votes. */
  readonly voting: undefined;
  /** A newer voter set was decided. */
  readonly voterSet: VoterSet;
  /** Other replicas hold newer entries, so a read is due. */
  readonly behind: undefined;
}

/** Dependencies of {@link LocalReplica}. */
export interface LocalReplicaOptions {
  readonly self: string;
  readonly writeAheadLog: WriteAheadLog;
  /** The state that the snapshots of the write-ahead log contain. */
  readonly replica: Replica;
  /** The initial voter set, for the first start of the whole system. */
  readonly seeds: () => readonly string[];
  /** Random source from 0 to 1, used to name this incarnation. */
  readonly random: () => number;
  readonly logger: Logger;
}

/**
 * State, persistence and events of the replica of this process.
 *
 * Invariants: a replica answers only from what is durable on its own disk; a replica that may have
 * lost state does not vote; only entries accepted by a quorum are ever exposed.
 */
export class LocalReplica {
  readonly events = new Emittery<ReplicatedStoreEvents>();
  readonly state: Replica;
  /** Identifies this run of the process in terms and ballots. */
  readonly incarnation: string;
  private readonly records: RecordPersistence;
  private reason = "it has not started";
  private rejections = 0;

  constructor(private readonly options: LocalReplicaOptions) {
    this.state = options.replica;
    this.records = new RecordPersistence(options);
    this.incarnation = Math.floor(options.random() * 2 ** 48).toString(36);
  }

  get isVoting(): boolean {
    return this.state.isVoting;
  }

  /** Why this replica does not vote; empty if it does. */
  get notVotingReason(): string {
    return this.isVoting ? "" : this.reason;
  }

  /** The newest decided voter set known here. */
  get voterSet(): VoterSet {
    return this.state.voterSet;
  }

  /** How many requests from this replica were rejected. */
  get rejectionCount(): number {
    return this.rejections;
  }

  /** The sets of members of which each must provide a quorum. */
  readonly quorumSets = (): readonly (readonly string[])[] => quorumSetsOf(this.voterSet);

  /** All voters, of both sets while the voter set is joint. */
  readonly members = (): readonly string[] => allMembersOf(this.voterSet);

  readonly isMember = (): boolean => this.members().includes(this.options.self);

  /**
   * Restores the state from disk. Distinguishes the first start of the whole system, a start with a
   * disk that kept its files, and one with a disk that lost them.
   */
  readonly start = async (firstRun: boolean): Promise<void> => {
    const { self, writeAheadLog, logger } = this.options;
    const seeds = this.options.seeds();
    const loaded = await writeAheadLog.load();
    if (loaded.kind !== "empty") loaded.records.forEach(this.state.replay);
    if (loaded.kind === "unverified") {
      this.stopVoting(loaded.reason);
      logger.warn("replica does not vote until it has caught up", { reason: loaded.reason });
    } else if (loaded.kind === "empty" && firstRun && seeds.includes(self)) {
      this.state.adoptVoterSet({ number: 1, members: [...seeds].sort(), from: [] });
      this.state.setVoting();
      // The initial state is written as one file, so an interrupted first start leaves either
      // nothing or all of it.
      if ((await writeAheadLog.writeVerifiedSnapshot()).isErr)
        this.stopVoting("its disk refused the first state");
    } else if (this.isVoting && !this.isMember()) {
      this.stopVoting(NOT_A_MEMBER);
    } else if (!this.isVoting) {
      this.reason = loaded.kind === "empty" ? "its disk is empty" : "it never caught up";
    }
  };

  /** Queues records that must be durable before the change that produced them is acknowledged. */
  readonly record = (records: readonly UnknownRecord[]): void => this.records.add(records);

  /**
   * Resolves to true once everything recorded before the call is durable on this machine's disk.
   */
  readonly persisted = (): Promise<boolean> => this.records.persisted();

  /** Writes the whole state to disk; ok once it was read back. */
  readonly writeSnapshot: WriteAheadLog["writeVerifiedSnapshot"] = () =>
    this.options.writeAheadLog.writeVerifiedSnapshot();

  /** Withdraws this replica from quorums. */
  readonly stopVoting = (reason: string): void => {
    this.state.setNonVoting();
    this.reason = reason;
  };

  /** A ballot higher than any that this replica has seen. */
  readonly nextBallot = (): Ballot => {
    const ballot = {
      number: this.state.highestBallotNumber + 1,
      proposer: `${this.options.self}/${this.incarnation}`,
    };
    this.state.observe(ballot);
    return ballot;
  };

  /** Adopts the voter set and ballot number of a rejection, which the next attempt needs. */
  readonly learnFromRejection = ({ voterSet, highestBallotNumber }: Rejection): void => {
    this.rejections += 1;
    this.learnVoterSet(voterSet);
    if (highestBallotNumber !== undefined)
      this.state.observe({ number: highestBallotNumber, proposer: "" });
  };

  /**
   * Adopts a decided voter set, unless a newer one is known. A replica that is not a member of it
   * stops voting.
   */
  readonly learnVoterSet = (voterSet: VoterSet | undefined): void => {
    if (!voterSet || voterSet.number <= this.voterSet.number) return;
    this.record(this.state.adoptVoterSet(voterSet));
    if (!this.isMember() && this.isVoting) this.stopVoting(NOT_A_MEMBER);
    void this.events.emit("voterSet", voterSet);
  };

  /**
   * Stores items of a proposal from this replica that a quorum accepted, even if it is not a
   * member.
   */
  readonly learnChosen = (ballot: Ballot, items: readonly Item[]): void => {
    this.record(
      this.state.learn(items.map(([key, register]) => committedEntry(key, ballot, register))),
    );
    this.emitCommitted(items.flatMap(([, register]) => register ?? []));
  };

  /** Stores entries that other replicas show to be committed. */
  readonly learnCommitted = (entries: readonly Entry[]): void => {
    const isUnchanged = ({ key, ballot }: Entry): boolean =>
      isSameBallot(this.state.entry(key).ballot, ballot);
    const newEntries = entries.filter(({ key, ballot }) => {
      const own = this.state.entry(key);
      return !own.isCommitted || isHigherBallot(ballot, own.ballot);
    });
    const marks = newEntries
      .filter(isUnchanged)
      .map(({ key, ballot }): CommitMark => [key, ballot]);
    this.record(this.state.learn(newEntries.filter((entry) => !isUnchanged(entry))));
    this.markCommitted(marks);
    this.emitCommitted(
      newEntries
        .filter(({ key }) => !marks.some(([marked]) => marked === key))
        .flatMap(({ register }) => register ?? []),
    );
  };

  /** Marks the entries held at these ballots as committed. */
  readonly markCommitted = (marks: readonly CommitMark[]): void =>
    this.emitCommitted(this.state.markCommitted(marks));

  private readonly emitCommitted = (registers: readonly Register[]): void => {
    if (registers.length > 0) void this.events.emit("committed", registers);
  };
}
