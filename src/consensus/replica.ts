/**
 * The durable state of one replica, as a plain state machine: the acceptor state of single-decree
 * Paxos for each register (Lamport, "Paxos Made Simple", 2001), what is known to be committed, and
 * the voter set.
 */
import type { UnknownRecord } from "../common/decode.js";
import { higherBallot, isHigherBallot, isSameBallot, NO_BALLOT, type Ballot } from "./ballot.js";
import { BucketHashes, bucketOf } from "./bucket-hashes.js";
import type { HistoryReport } from "./message-types.js";
import { ProposalHistory, summarizeItems, type ProposedCall } from "./proposal-history.js";
import {
  callRecord,
  decodeRecord,
  earlierRecord,
  encodeProposal,
  floorRecord,
  learnedRecord,
  promiseRecord,
  voteRecord,
  voterSetRecord,
  votingRecord,
  type Entry,
  type Item,
  type VoterSetProposal,
} from "./record-codec.js";
import type { Register } from "./register.js";
import { NO_VOTER_SET, type VoterSet } from "./voter-set.js";

/** A key and the ballot at which a quorum accepted its entry. */
export type CommitMark = readonly [key: string, ballot: Ballot];

const emptyEntry = (key: string): Entry => ({
  key,
  promised: NO_BALLOT,
  ballot: NO_BALLOT,
  register: undefined,
  isAccepted: false,
  isCommitted: false,
});

/** Creates an entry that a quorum is known to have accepted, as learned from other replicas. */
export const committedEntry = (
  key: string,
  ballot: Ballot,
  register: Register | undefined,
): Entry => ({
  key,
  promised: NO_BALLOT,
  ballot,
  register,
  isAccepted: false,
  isCommitted: true,
});

/**
 * Whether an entry adds information to the current one: a higher ballot, or that it is accepted or
 * committed.
 */
const addsInformation = (entry: Entry, current: Entry): boolean => {
  if (entry.ballot.number === 0 || isHigherBallot(current.ballot, entry.ballot)) return false;
  return (
    !isSameBallot(entry.ballot, current.ballot) ||
    (entry.isCommitted && !current.isCommitted) ||
    (entry.isAccepted && !current.isAccepted)
  );
};

/**
 * What one replica promised, accepted and learned. Each change returns the records that must be
 * durable before the change is acknowledged.
 *
 * Invariants: for a key, neither `promised` nor `ballot` ever decreases; nothing is accepted below
 * what is promised, for that key or, by `floor`, for all; records may be replayed in any order and
 * more than once, and give the same state.
 */
export class Replica {
  private readonly entries = new Map<string, Entry>();
  /** The newest committed state of each key; its entry may already hold a later proposal. */
  private readonly committed = new Map<
    string,
    { readonly ballot: Ballot; readonly register: Register | undefined }
  >();
  /** Invariant: contains exactly the keys whose entry is not known to be committed. */
  private readonly uncommitted = new Set<string>();
  /** Calls of uncommitted entries, and the entries held before them. */
  private readonly history = new ProposalHistory();
  private readonly hashes = new BucketHashes();
  /** Nothing below this ballot is accepted, whatever the key. */
  private floor = NO_BALLOT;
  private highestNumber = 0;
  private voting = false;
  private currentVoterSet: VoterSet = NO_VOTER_SET;
  private proposal: VoterSetProposal | undefined;

  /** Whether this replica may promise, accept and be counted in quorums. */
  get isVoting(): boolean {
    return this.voting;
  }

  /** The newest decided voter set known here. */
  get voterSet(): VoterSet {
    return this.currentVoterSet;
  }

  /** The decision on the next voter set, if this replica has taken part in it. */
  get voterSetProposal(): VoterSetProposal | undefined {
    return this.proposal;
  }

  /** The highest number of any ballot seen. */
  get highestBallotNumber(): number {
    return this.highestNumber;
  }

  /** The entry of the key; an entry without a ballot if there is none. */
  readonly entry = (key: string): Entry => this.entries.get(key) ?? emptyEntry(key);

  /** The newest committed register under the key. */
  readonly committedAt = (key: string): Register | undefined => this.committed.get(key)?.register;

  /** All committed registers. */
  readonly allCommitted = (): readonly Register[] =>
    [...this.committed.values()].flatMap(({ register }) => register ?? []);

  /** The keys whose entry is not known to be committed. */
  readonly uncommittedKeys = (): readonly string[] => [...this.uncommitted];

  /**
   * The calls that uncommitted entries of these keys belong to, and the entries held before them;
   * undefined if there are no such calls.
   */
  readonly historyOf = (keys: readonly string[]): HistoryReport | undefined => {
    const calls = new Set<ProposedCall>();
    const earlier: Entry[] = [];
    const forgottenKeys: string[] = [];
    keys.forEach((key) => {
      const before = this.history.earlierEntriesOf(key);
      if (!before) forgottenKeys.push(key);
      [this.entry(key), ...(before ?? [])].forEach(({ ballot, isCommitted }) => {
        const call = isCommitted ? undefined : this.history.callAt(ballot);
        if (call) calls.add(call);
      });
      earlier.push(...(before ?? []));
    });
    return calls.size === 0 ? undefined : { calls: [...calls], earlier, forgottenKeys };
  };

  /** The ballot below which nothing is accepted for the key, by promise or by the entry held. */
  readonly promisedFor = (key: string): Ballot => {
    const { promised, ballot } = this.entry(key);
    return higherBallot(this.floor, higherBallot(promised, ballot));
  };

  /** The hash of each bucket, for comparison with another replica. */
  readonly bucketHashes = (): readonly string[] => this.hashes.values();

  /** The entries of one bucket that have a ballot. */
  readonly entriesInBucket = (bucket: number): readonly Entry[] =>
    [...this.entries.values()].filter(
      ({ key, ballot }) => ballot.number > 0 && bucketOf(key) === bucket,
    );

  /** A copy of the current entries by key. */
  readonly copyOfEntries = (): ReadonlyMap<string, Entry> => new Map(this.entries);

  /** Records a ballot of another replica, so that the next ballot from here is higher. */
  readonly observe = (ballot: Ballot): void => {
    this.highestNumber = Math.max(this.highestNumber, ballot.number);
  };

  /** From now on, accepts nothing below the ballot. */
  readonly raiseFloor = (ballot: Ballot): readonly UnknownRecord[] => {
    this.observe(ballot);
    if (!isHigherBallot(ballot, this.floor)) return [];
    this.floor = ballot;
    return [floorRecord(ballot)];
  };

  /** Promises the ballot for the keys; the caller has checked that nothing higher was promised. */
  readonly prepare = (keys: readonly string[], ballot: Ballot): readonly UnknownRecord[] => {
    this.observe(ballot);
    keys.forEach((key) => {
      const entry = this.entry(key);
      if (isHigherBallot(ballot, entry.promised))
        this.entries.set(key, { ...entry, promised: ballot });
    });
    return [promiseRecord(ballot, keys)];
  };

  /** Accepts the items; the caller has checked that nothing above the ballot was promised. */
  readonly accept = (ballot: Ballot, items: readonly Item[]): readonly UnknownRecord[] => {
    this.history.addCall({ ballot, items: summarizeItems(items) });
    items.forEach(([key, register]) =>
      this.merge({ key, promised: ballot, ballot, register, isAccepted: true, isCommitted: false }),
    );
    return [voteRecord(ballot, items)];
  };

  /**
   * Stores entries of other replicas: committed ones or, for a replica that lost its own,
   * everything that it may have accepted before.
   */
  readonly learn = (entries: readonly Entry[]): readonly UnknownRecord[] => {
    const newEntries = entries.filter((entry) => this.merge({ ...entry, isAccepted: false }));
    if (newEntries.length === 0) return [];
    return [
      learnedRecord(
        newEntries.map((entry) => ({ ...entry, isAccepted: false, promised: NO_BALLOT })),
      ),
    ];
  };

  /**
   * Marks the entries held at these ballots as committed; returns the newly committed registers.
   */
  readonly markCommitted = (marks: readonly CommitMark[]): readonly Register[] => {
    return marks.flatMap(([key, ballot]) => {
      const entry = this.entry(key);
      if (entry.isCommitted || ballot.number === 0 || !isSameBallot(entry.ballot, ballot))
        return [];
      this.entries.set(key, { ...entry, isCommitted: true });
      this.markSettled(key);
      return this.recordCommitted(entry) && entry.register ? [entry.register] : [];
    });
  };

  /** Adopts a decided voter set, unless a newer one is known. */
  readonly adoptVoterSet = (voterSet: VoterSet): readonly UnknownRecord[] => {
    if (voterSet.number <= this.currentVoterSet.number) return [];
    this.currentVoterSet = voterSet;
    if (this.proposal && this.proposal.number <= voterSet.number) this.proposal = undefined;
    return [voterSetRecord(voterSet)];
  };

  /** Updates the decision on the voter set of the next number. */
  readonly recordProposal = (proposal: VoterSetProposal): readonly UnknownRecord[] => {
    this.observe(proposal.promised);
    this.observe(proposal.ballot);
    if (proposal.number !== this.currentVoterSet.number + 1) return [];
    const before = this.proposal?.number === proposal.number ? this.proposal : undefined;
    const isNewer = !before || !isHigherBallot(before.ballot, proposal.ballot);
    this.proposal = {
      number: proposal.number,
      promised: higherBallot(before?.promised ?? NO_BALLOT, proposal.promised),
      ballot: isNewer ? proposal.ballot : before.ballot,
      voterSet: isNewer ? proposal.voterSet : before.voterSet,
    };
    return [encodeProposal(this.proposal)];
  };

  /** The ballot below which nothing is accepted for the voter set of that number. */
  readonly promisedForVoterSet = (number: number): Ballot =>
    higherBallot(this.floor, this.proposal?.number === number ? this.proposal.promised : NO_BALLOT);

  /** From now on, takes part in quorums: what may have been lost was learned again. */
  readonly setVoting = (): readonly UnknownRecord[] => {
    this.voting = true;
    return [votingRecord()];
  };

  /**
   * No longer takes part in quorums: nothing on the disk proves that it holds all that was
   * accepted.
   */
  readonly setNonVoting = (): void => {
    this.voting = false;
  };

  /**
   * Keeps only committed entries, without promises for single keys. A full snapshot must follow.
   */
  readonly dropUncommitted = (): void => {
    this.history.clear();
    [...this.entries.values()].forEach((entry) => {
      this.hashes.toggle(entry.key, entry.ballot);
      this.entries.delete(entry.key);
      this.uncommitted.delete(entry.key);
    });
    const committed = [...this.committed];
    this.committed.clear();
    committed.forEach(([key, { ballot, register }]) =>
      this.merge(committedEntry(key, ballot, register)),
    );
  };

  /** Records that reproduce this state when they are replayed. */
  readonly snapshot = (): readonly UnknownRecord[] => [
    floorRecord(this.floor),
    ...(this.currentVoterSet.number > 0 ? [voterSetRecord(this.currentVoterSet)] : []),
    ...(this.proposal ? [encodeProposal(this.proposal)] : []),
    learnedRecord([...this.entries.values()]),
    // After the entries, since a replica drops the history once it holds nothing uncommitted.
    ...this.historyRecords(),
    ...(this.voting ? [votingRecord()] : []),
  ];

  /** The calls of uncommitted entries, and the entries held before them. */
  private readonly historyRecords = (): readonly UnknownRecord[] => {
    const history = this.historyOf(this.uncommittedKeys());
    const earlier = this.history.allEarlierEntries();
    return [
      ...(history?.calls ?? []).map(callRecord),
      ...(earlier.length === 0 ? [] : [earlierRecord(earlier)]),
    ];
  };

  /** Applies one record from the disk. */
  readonly replay = (stored: UnknownRecord): void => {
    const record = decodeRecord(stored);
    switch (record?.type) {
      case "floor":
        this.raiseFloor(record.ballot);
        break;
      case "promise":
        this.prepare(record.keys, record.ballot);
        break;
      case "vote":
        this.accept(record.ballot, record.items);
        break;
      case "call":
        this.history.addCall(record.call);
        break;
      case "earlier":
      case "learned":
        record.entries.forEach(this.merge);
        break;
      case "voter-set":
        this.adoptVoterSet(record.voterSet);
        break;
      case "proposal":
        this.recordProposal(record.proposal);
        break;
      case "voting":
        this.voting = true;
        break;
      case undefined:
        break;
    }
  };

  /** Stores the entry unless a higher one is held; true if anything but a promise changed. */
  private readonly merge = (entry: Entry): boolean => {
    const before = this.entry(entry.key);
    this.observe(entry.ballot);
    this.observe(entry.promised);
    const promised = higherBallot(before.promised, entry.promised);
    if (entry.isCommitted) this.recordCommitted(entry);
    if (!addsInformation(entry, before)) {
      if (promised !== before.promised) this.entries.set(entry.key, { ...before, promised });
      if (isHigherBallot(before.ballot, entry.ballot) && !before.isCommitted)
        this.history.addEarlierEntry(entry);
      return false;
    }
    const isSame = isSameBallot(entry.ballot, before.ballot);
    const now: Entry = {
      key: entry.key,
      promised,
      ballot: entry.ballot,
      register: entry.register,
      isAccepted: entry.isAccepted || (isSame && before.isAccepted),
      isCommitted: entry.isCommitted || (isSame && before.isCommitted),
    };
    this.entries.set(entry.key, now);
    if (!isSame) {
      this.hashes.toggle(before.key, before.ballot);
      this.hashes.toggle(now.key, now.ballot);
    }
    if (now.isCommitted) this.markSettled(now.key);
    else this.trackUncommitted(now, before);
    return true;
  };

  private readonly trackUncommitted = (now: Entry, before: Entry): void => {
    this.uncommitted.add(now.key);
    if (!isSameBallot(now.ballot, before.ballot)) this.history.addEarlierEntry(before);
  };

  /** Removes the key from the uncommitted ones and drops its history, which no longer matters. */
  private readonly markSettled = (key: string): void => {
    this.uncommitted.delete(key);
    this.history.discard(key);
    if (this.uncommitted.size === 0) this.history.clear();
  };

  /** Records committed contents; true if they are newer than those known for the key. */
  private readonly recordCommitted = ({ key, ballot, register }: Entry): boolean => {
    const known = this.committed.get(key);
    if (known && !isHigherBallot(ballot, known.ballot)) return false;
    this.committed.set(key, { ballot, register });
    return true;
  };
}
