/**
 * The replica of this process: its durable state joined with the disk, with the listeners, and with
 * the reason why it doesn't vote where that is so. What the protocols of this folder do to the
 * state, they do through it.
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

/** What listeners of a replicated store are told. */
export interface ReplicatedStoreEvents {
  /** Registers that were not known to be committed until now. */
  readonly committed: readonly Register[];
  /** This replica has caught up and votes. */
  readonly voting: undefined;
  /** A newer voter set was decided. */
  readonly voterSet: VoterSet;
  /** Others hold something newer: a read is due. */
  readonly behind: undefined;
}

/** What a `LocalReplica` is made of. */
export interface LocalReplicaOptions {
  readonly self: string;
  readonly writeAheadLog: WriteAheadLog;
  /** What the snapshots of the write-ahead log are made of. */
  readonly replica: Replica;
  /** The voter set of the first start. */
  readonly seeds: () => readonly string[];
  /** From 0 to 1; names this incarnation. */
  readonly random: () => number;
  readonly logger: Logger;
}

/**
 * Invariants: a replica answers only for what is safe on its own disk; one that may have lost what
 * it once held does not vote; only what a quorum accepted is ever shown.
 */
export class LocalReplica {
  readonly events = new Emittery<ReplicatedStoreEvents>();
  readonly state: Replica;
  /** This run of this process, as terms and ballots name it. */
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

  /** Why this replica doesn't vote; empty if it does. */
  get notVotingReason(): string {
    return this.isVoting ? "" : this.reason;
  }

  /** The newest decided voter set known here. */
  get voterSet(): VoterSet {
    return this.state.voterSet;
  }

  /** How often a request from here was rejected. */
  get rejectionCount(): number {
    return this.rejections;
  }

  /** Of each of these a quorum is needed. */
  readonly quorumSets = (): readonly (readonly string[])[] => quorumSetsOf(this.voterSet);

  /** All voters, of both sets while the voter set is joint. */
  readonly members = (): readonly string[] => allMembersOf(this.voterSet);

  readonly isMember = (): boolean => this.members().includes(this.options.self);

  /**
   * The first start of the whole system, a start with a disk that kept its files, or one that lost
   * them.
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
      // One file holds all of it: a first start that is cut short leaves either nothing or
      // everything.
      if ((await writeAheadLog.writeVerifiedSnapshot()).isErr)
        this.stopVoting("its disk refused the first state");
    } else if (this.isVoting && !this.isMember()) {
      this.stopVoting(NOT_A_MEMBER);
    } else if (!this.isVoting) {
      this.reason = loaded.kind === "empty" ? "its disk is empty" : "it never caught up";
    }
  };

  /** Takes records that must be safe on the disk before what made them is answered. */
  readonly record = (records: readonly UnknownRecord[]): void => this.records.add(records);

  /** Resolves to true once everything recorded before the call is safe on this machine's disk. */
  readonly persisted = (): Promise<boolean> => this.records.persisted();

  /** Ok once the whole state is on the disk and was read back. */
  readonly writeSnapshot: WriteAheadLog["writeVerifiedSnapshot"] = () =>
    this.options.writeAheadLog.writeVerifiedSnapshot();

  /** From now on takes no part in quorums. */
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

  /** Learns from a rejection what the next attempt must know. */
  readonly learnFromRejection = ({ voterSet, highestBallotNumber }: Rejection): void => {
    this.rejections += 1;
    this.learnVoterSet(voterSet);
    if (highestBallotNumber !== undefined)
      this.state.observe({ number: highestBallotNumber, proposer: "" });
  };

  /**
   * Takes a decided voter set, unless a newer one is known. A replica that it leaves out votes no
   * more.
   */
  readonly learnVoterSet = (voterSet: VoterSet | undefined): void => {
    if (!voterSet || voterSet.number <= this.voterSet.number) return;
    this.record(this.state.adoptVoterSet(voterSet));
    if (!this.isMember() && this.isVoting) this.stopVoting(NOT_A_MEMBER);
    void this.events.emit("voterSet", voterSet);
  };

  /**
   * Takes what a quorum accepted on a proposal from here; a proposer that is no member holds it all
   * the same.
   */
  readonly learnChosen = (ballot: Ballot, items: readonly Item[]): void => {
    this.record(
      this.state.learn(items.map(([key, register]) => committedEntry(key, ballot, register))),
    );
    this.emitCommitted(items.flatMap(([, register]) => register ?? []));
  };

  /** Takes what others show to be committed. */
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

  /** Marks what is held at these ballots as committed. */
  readonly markCommitted = (marks: readonly CommitMark[]): void =>
    this.emitCommitted(this.state.markCommitted(marks));

  private readonly emitCommitted = (registers: readonly Register[]): void => {
    if (registers.length > 0) void this.events.emit("committed", registers);
  };
}
