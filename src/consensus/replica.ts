import { createHash } from "node:crypto";
import { asList, asRecord, readList, asString, type UnknownRecord } from "../common/decode.js";
import {
  higherBallot,
  isHigherBallot,
  isSameBallot,
  NO_BALLOT,
  encodeBallot,
  decodeBallot,
  type Ballot,
} from "./ballot.js";
import { encodeRegister, decodeRegister, type Register } from "./register.js";
import { NO_VOTER_SET, encodeVoterSet, decodeVoterSet, type VoterSet } from "./voter-set.js";

/** What a copy holds under one key. */
export interface Entry {
  readonly key: string;
  readonly promised: Ballot;
  /** Of `register`; number 0 where nothing was ever offered. */
  readonly ballot: Ballot;
  /** Undefined where a ballot settled that nothing stands there. */
  readonly register: Register | undefined;
  /** Whether this copy itself accepted it at that ballot; else it was learned, and counts as no vote. */
  readonly isAccepted: boolean;
  /** Whether it is known that a quorum accepted it at that ballot. */
  readonly isCommitted: boolean;
}

/** The decision on the roster of one number, as far as this copy has taken part in it. */
export interface VoterSetProposal {
  readonly number: number;
  readonly promised: Ballot;
  readonly ballot: Ballot;
  readonly voterSet: VoterSet | undefined;
}

export const BUCKETS = 32;

export const bucketOf = (key: string): number => {
  let sum = 7;
  for (let at = 0; at < key.length; at += 1) sum = (sum * 31 + key.charCodeAt(at)) % 1_000_003;
  return sum % BUCKETS;
};

const packItem = ({ key, register }: Entry): readonly unknown[] => [
  key,
  register ? encodeRegister(register) : null,
];
const packRow = (entry: Entry): readonly unknown[] => [
  ...packItem(entry),
  encodeBallot(entry.ballot),
  entry.isAccepted,
  entry.isCommitted,
  ...(isHigherBallot(entry.promised, entry.ballot) ? [encodeBallot(entry.promised)] : []),
];

const readContent = (value: unknown): Register | undefined =>
  value === null || value === undefined ? undefined : decodeRegister(value);

const noEntry = (key: string): Entry => ({
  key,
  promised: NO_BALLOT,
  ballot: NO_BALLOT,
  register: undefined,
  isAccepted: false,
  isCommitted: false,
});

/**
 * The state of one copy: what it promised, accepted and learned. Every change is a record too, for the disk.
 * Invariants: for a key neither `promised` nor `ballot` ever falls; nothing is accepted below what is promised, for
 * that key or, by `floor`, for all; records may be replayed in any order and more than once, and give the same state.
 */
export class Replica {
  private readonly entries = new Map<string, Entry>();
  /** The newest that is known to be agreed; an entry may already hold a later offer. */
  private readonly committed = new Map<
    string,
    { readonly ballot: Ballot; readonly register: Register | undefined }
  >();
  /** Invariant: the keys whose entry is not known to be agreed. */
  private readonly uncommitted = new Set<string>();
  /** Invariant: each pair is the exclusive-or of the hashes of the ballots of that bucket's entries. */
  private readonly bucketHashes: (readonly [number, number])[] = new Array<
    readonly [number, number]
  >(BUCKETS).fill([0, 0]);
  private floor = NO_BALLOT;
  private highestNumber = 0;
  private voting = false;
  private currentVoterSet: VoterSet = NO_VOTER_SET;
  private proposal: VoterSetProposal | undefined;

  get isVoting(): boolean {
    return this.voting;
  }

  /** The newest decided roster known here. */
  get voterSet(): VoterSet {
    return this.currentVoterSet;
  }

  /** The decision after it, if this copy has taken part in it. */
  get voterSetProposal(): VoterSetProposal | undefined {
    return this.proposal;
  }

  /** The highest number of any ballot seen. */
  get highestBallotNumber(): number {
    return this.highestNumber;
  }

  readonly entry = (key: string): Entry => this.entries.get(key) ?? noEntry(key);

  readonly committedAt = (key: string): Register | undefined => this.committed.get(key)?.register;

  readonly allCommitted = (): readonly Register[] =>
    [...this.committed.values()].flatMap(({ register }) => register ?? []);

  readonly uncommittedKeys = (): readonly string[] => [...this.uncommitted];

  /** Below this nothing is accepted: what was promised, and what is held. */
  readonly promisedFor = (key: string): Ballot => {
    const { promised, ballot } = this.entry(key);
    return higherBallot(this.floor, higherBallot(promised, ballot));
  };

  readonly bucketSums = (): readonly string[] =>
    this.bucketHashes.map(([high, low]) => `${high.toString(36)}.${low.toString(36)}`);

  readonly entriesInBucket = (bucket: number): readonly Entry[] =>
    [...this.entries.values()].filter(
      ({ key, ballot }) => ballot.number > 0 && bucketOf(key) === bucket,
    );

  /** The entries by key, as they stand now. */
  readonly copyOfEntries = (): ReadonlyMap<string, Entry> => new Map(this.entries);

  readonly observe = (ballot: Ballot): void => {
    this.highestNumber = Math.max(this.highestNumber, ballot.number);
  };

  readonly raiseFloor = (ballot: Ballot): readonly UnknownRecord[] => {
    this.observe(ballot);
    if (!isHigherBallot(ballot, this.floor)) return [];
    this.floor = ballot;
    return [{ t: "floor", at: encodeBallot(ballot) }];
  };

  readonly prepare = (keys: readonly string[], ballot: Ballot): readonly UnknownRecord[] => {
    this.observe(ballot);
    keys.forEach((key) => {
      const entry = this.entry(key);
      if (isHigherBallot(ballot, entry.promised))
        this.entries.set(key, { ...entry, promised: ballot });
    });
    return [{ t: "promise", at: encodeBallot(ballot), keys }];
  };

  /** Accepts at a ballot that nothing higher was promised against; the caller has looked. */
  readonly accept = (
    ballot: Ballot,
    items: readonly (readonly [string, Register | undefined])[],
  ): readonly UnknownRecord[] => {
    items.forEach(([key, register]) =>
      this.put({ key, promised: ballot, ballot, register, isAccepted: true, isCommitted: false }),
    );
    return [
      {
        t: "vote",
        at: encodeBallot(ballot),
        items: items.map(([key, register]) => [key, register ? encodeRegister(register) : null]),
      },
    ];
  };

  /** Takes what others hold: agreed, or, for a copy that lost its own, whatever may have been accepted here before. */
  readonly learn = (entries: readonly Entry[]): readonly UnknownRecord[] => {
    const fresh = entries.filter((entry) => this.put({ ...entry, isAccepted: false }));
    return fresh.length === 0
      ? []
      : [
          {
            t: "learned",
            rows: fresh.map((entry) =>
              packRow({ ...entry, isAccepted: false, promised: NO_BALLOT }),
            ),
          },
        ];
  };

  /** Marks what is held at these ballots as agreed; returns the registers that are news. */
  readonly markCommitted = (marks: readonly (readonly [string, Ballot])[]): readonly Register[] => {
    const fresh = marks.flatMap(([key, ballot]) => {
      const entry = this.entry(key);
      if (entry.isCommitted || ballot.number === 0 || !isSameBallot(entry.ballot, ballot))
        return [];
      this.entries.set(key, { ...entry, isCommitted: true });
      this.uncommitted.delete(key);
      return this.recordCommitted(entry) && entry.register ? [entry.register] : [];
    });
    return fresh;
  };

  readonly adoptVoterSet = (voterSet: VoterSet): readonly UnknownRecord[] => {
    if (voterSet.number <= this.currentVoterSet.number) return [];
    this.currentVoterSet = voterSet;
    if (this.proposal && this.proposal.number <= voterSet.number) this.proposal = undefined;
    return [{ t: "roster", roster: encodeVoterSet(voterSet) }];
  };

  /** Takes part in deciding the roster of the next number. */
  readonly recordProposal = (pending: VoterSetProposal): readonly UnknownRecord[] => {
    this.observe(pending.promised);
    this.observe(pending.ballot);
    if (pending.number !== this.currentVoterSet.number + 1) return [];
    const before = this.proposal?.number === pending.number ? this.proposal : undefined;
    const isNewer = !before || !isHigherBallot(before.ballot, pending.ballot);
    this.proposal = {
      number: pending.number,
      promised: higherBallot(before?.promised ?? NO_BALLOT, pending.promised),
      ballot: isNewer ? pending.ballot : before.ballot,
      voterSet: isNewer ? pending.voterSet : before.voterSet,
    };
    return [encodeProposal(this.proposal)];
  };

  readonly promisedForVoterSet = (number: number): Ballot =>
    higherBallot(this.floor, this.proposal?.number === number ? this.proposal.promised : NO_BALLOT);

  readonly setVoting = (): readonly UnknownRecord[] => {
    this.voting = true;
    return [{ t: "counting" }];
  };

  /** Nothing on the disk proves that all is there that was accepted. */
  readonly setUnverified = (): void => {
    this.voting = false;
  };

  /** Leaves only what is known to be agreed, with no promise for single keys; a whole snapshot must follow. */
  readonly dropUncommitted = (): void => {
    [...this.entries.values()].forEach((entry) => {
      this.toggleBucketHash(entry);
      this.entries.delete(entry.key);
      this.uncommitted.delete(entry.key);
    });
    const agreed = [...this.committed];
    this.committed.clear();
    agreed.forEach(([key, { ballot, register }]) =>
      this.put({
        key,
        promised: NO_BALLOT,
        ballot,
        register,
        isAccepted: false,
        isCommitted: true,
      }),
    );
  };

  readonly snapshot = (): readonly UnknownRecord[] => [
    { t: "floor", at: encodeBallot(this.floor) },
    ...(this.currentVoterSet.number > 0
      ? [{ t: "roster", roster: encodeVoterSet(this.currentVoterSet) }]
      : []),
    ...(this.proposal ? [encodeProposal(this.proposal)] : []),
    { t: "learned", rows: [...this.entries.values()].map(packRow) },
    ...(this.voting ? [{ t: "counting" }] : []),
  ];

  readonly replay = (record: UnknownRecord): void => {
    switch (record["t"]) {
      case "floor":
        this.raiseFloor(decodeBallot(record["at"]));
        break;
      case "promise":
        this.prepare(readList(record, "keys", asString), decodeBallot(record["at"]));
        break;
      case "vote":
        this.accept(decodeBallot(record["at"]), readList(record, "items", decodeItem));
        break;
      case "learned":
        readList(record, "rows", asList).forEach((row) => {
          const [key, register] = decodeItem(row);
          const ballot = decodeBallot(row[2]);
          this.put({
            key,
            register,
            ballot,
            promised: row[5] === undefined ? NO_BALLOT : decodeBallot(row[5]),
            isAccepted: row[3] === true,
            isCommitted: row[4] === true,
          });
        });
        break;
      case "roster":
        this.adoptVoterSet(decodeVoterSet(record["roster"]));
        break;
      case "pending": {
        this.recordProposal(decodeProposal(record));
        break;
      }
      case "counting":
        this.voting = true;
        break;
      default:
        break;
    }
  };

  /** Holds the entry unless a higher one is held; true if anything but a promise changed. */
  private readonly put = (entry: Entry): boolean => {
    const before = this.entry(entry.key);
    this.observe(entry.ballot);
    this.observe(entry.promised);
    const promised = higherBallot(before.promised, entry.promised);
    const isUnchanged = isSameBallot(entry.ballot, before.ballot);
    if (entry.isCommitted) this.recordCommitted(entry);
    if (
      isHigherBallot(before.ballot, entry.ballot) ||
      entry.ballot.number === 0 ||
      (isUnchanged &&
        (before.isCommitted || !entry.isCommitted) &&
        (before.isAccepted || !entry.isAccepted))
    ) {
      if (promised !== before.promised) this.entries.set(entry.key, { ...before, promised });
      return false;
    }
    const now: Entry = {
      key: entry.key,
      promised,
      ballot: entry.ballot,
      register: entry.register,
      isAccepted: entry.isAccepted || (isUnchanged && before.isAccepted),
      isCommitted: entry.isCommitted || (isUnchanged && before.isCommitted),
    };
    this.entries.set(entry.key, now);
    if (!isUnchanged) {
      this.toggleBucketHash(before);
      this.toggleBucketHash(now);
    }
    if (now.isCommitted) this.uncommitted.delete(now.key);
    else this.uncommitted.add(now.key);
    return true;
  };

  private readonly recordCommitted = ({ key, ballot, register }: Entry): boolean => {
    const known = this.committed.get(key);
    if (known && !isHigherBallot(ballot, known.ballot)) return false;
    this.committed.set(key, { ballot, register });
    return true;
  };

  private readonly toggleBucketHash = ({ key, ballot }: Entry): void => {
    if (ballot.number === 0) return;
    const at = bucketOf(key);
    const hash = createHash("sha1").update(`${key}\n${ballot.number}\n${ballot.proposer}`).digest();
    const [high, low] = this.bucketHashes[at] ?? [0, 0];
    this.bucketHashes[at] = [
      (high ^ hash.readUInt32BE(0)) >>> 0,
      (low ^ hash.readUInt32BE(4)) >>> 0,
    ];
  };
}

export const decodeItem = (value: unknown): readonly [string, Register | undefined] => {
  const [key, content] = asList(value, "item");
  return [asString(key), readContent(content)];
};

export const encodeProposal = ({
  number,
  promised,
  ballot,
  voterSet,
}: VoterSetProposal): UnknownRecord => ({
  t: "pending",
  number,
  promised: encodeBallot(promised),
  ballot: encodeBallot(ballot),
  ...(voterSet ? { roster: encodeVoterSet(voterSet) } : {}),
});

export const decodeProposal = (value: unknown): VoterSetProposal => {
  const record = asRecord(value, "pending");
  const voterSet = record["roster"] === undefined ? undefined : decodeVoterSet(record["roster"]);
  return {
    number: Number(record["number"]),
    promised: decodeBallot(record["promised"]),
    ballot: decodeBallot(record["ballot"]),
    voterSet,
  };
};

export const encodeEntryReport = (entry: Entry, withRegister: boolean): readonly unknown[] => [
  entry.key,
  encodeBallot(entry.ballot),
  entry.isAccepted,
  entry.isCommitted,
  ...(withRegister ? [entry.register ? encodeRegister(entry.register) : null] : []),
];

/** What a colleague tells of an entry; `register` is "same" where it is left out since the asker holds that ballot. */
export interface EntryReport {
  readonly key: string;
  readonly ballot: Ballot;
  readonly isAccepted: boolean;
  readonly isCommitted: boolean;
  readonly register: Register | undefined | "same";
}

export const decodeEntryReport = (value: unknown): EntryReport => {
  const row = asList(value, "entry");
  return {
    key: asString(row[0]),
    ballot: decodeBallot(row[1]),
    isAccepted: row[2] === true,
    isCommitted: row[3] === true,
    register: row.length > 4 ? readContent(row[4]) : "same",
  };
};
