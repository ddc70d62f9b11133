import { createHash } from "node:crypto";
import { asList, asRecord, readList, asString, type UnknownRecord } from "../common/decode.js";
import {
  higherOf,
  isHigher,
  isSame,
  NO_BALLOT,
  packBallot,
  readBallot,
  type Ballot,
} from "./ballot.js";
import { packRegister, readRegister, type Register } from "./register.js";
import { NO_VOTER_SET, packVoterSet, readVoterSet, type VoterSet } from "./voter-set.js";

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
export interface Pending {
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
  register ? packRegister(register) : null,
];
const packRow = (entry: Entry): readonly unknown[] => [
  ...packItem(entry),
  packBallot(entry.ballot),
  entry.isAccepted,
  entry.isCommitted,
  ...(isHigher(entry.promised, entry.ballot) ? [packBallot(entry.promised)] : []),
];

const readContent = (value: unknown): Register | undefined =>
  value === null || value === undefined ? undefined : readRegister(value);

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
  private readonly agreed = new Map<
    string,
    { readonly ballot: Ballot; readonly register: Register | undefined }
  >();
  /** Invariant: the keys whose entry is not known to be agreed. */
  private readonly unsure = new Set<string>();
  /** Invariant: each pair is the exclusive-or of the hashes of the ballots of that bucket's entries. */
  private readonly sums: (readonly [number, number])[] = new Array<readonly [number, number]>(
    BUCKETS,
  ).fill([0, 0]);
  private floor = NO_BALLOT;
  private top = 0;
  private counts = false;
  private now: VoterSet = NO_VOTER_SET;
  private next: Pending | undefined;

  get isVoting(): boolean {
    return this.counts;
  }

  /** The newest decided roster known here. */
  get voterSet(): VoterSet {
    return this.now;
  }

  /** The decision after it, if this copy has taken part in it. */
  get pending(): Pending | undefined {
    return this.next;
  }

  /** The highest number of any ballot seen. */
  get highest(): number {
    return this.top;
  }

  readonly entry = (key: string): Entry => this.entries.get(key) ?? noEntry(key);

  readonly committedAt = (key: string): Register | undefined => this.agreed.get(key)?.register;

  readonly allCommitted = (): readonly Register[] =>
    [...this.agreed.values()].flatMap(({ register }) => register ?? []);

  readonly unsureKeys = (): readonly string[] => [...this.unsure];

  /** Below this nothing is accepted: what was promised, and what is held. */
  readonly promisedFor = (key: string): Ballot => {
    const { promised, ballot } = this.entry(key);
    return higherOf(this.floor, higherOf(promised, ballot));
  };

  readonly bucketSums = (): readonly string[] =>
    this.sums.map(([high, low]) => `${high.toString(36)}.${low.toString(36)}`);

  readonly inBucket = (bucket: number): readonly Entry[] =>
    [...this.entries.values()].filter(
      ({ key, ballot }) => ballot.number > 0 && bucketOf(key) === bucket,
    );

  /** The entries by key, as they stand now. */
  readonly entriesNow = (): ReadonlyMap<string, Entry> => new Map(this.entries);

  readonly see = (ballot: Ballot): void => {
    this.top = Math.max(this.top, ballot.number);
  };

  readonly raiseFloor = (ballot: Ballot): readonly UnknownRecord[] => {
    this.see(ballot);
    if (!isHigher(ballot, this.floor)) return [];
    this.floor = ballot;
    return [{ t: "floor", at: packBallot(ballot) }];
  };

  readonly prepare = (keys: readonly string[], ballot: Ballot): readonly UnknownRecord[] => {
    this.see(ballot);
    keys.forEach((key) => {
      const entry = this.entry(key);
      if (isHigher(ballot, entry.promised)) this.entries.set(key, { ...entry, promised: ballot });
    });
    return [{ t: "promise", at: packBallot(ballot), keys }];
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
        at: packBallot(ballot),
        items: items.map(([key, register]) => [key, register ? packRegister(register) : null]),
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
      if (entry.isCommitted || ballot.number === 0 || !isSame(entry.ballot, ballot)) return [];
      this.entries.set(key, { ...entry, isCommitted: true });
      this.unsure.delete(key);
      return this.knowAgreed(entry) && entry.register ? [entry.register] : [];
    });
    return fresh;
  };

  readonly adoptVoterSet = (voterSet: VoterSet): readonly UnknownRecord[] => {
    if (voterSet.number <= this.now.number) return [];
    this.now = voterSet;
    if (this.next && this.next.number <= voterSet.number) this.next = undefined;
    return [{ t: "roster", roster: packVoterSet(voterSet) }];
  };

  /** Takes part in deciding the roster of the next number. */
  readonly takePending = (pending: Pending): readonly UnknownRecord[] => {
    this.see(pending.promised);
    this.see(pending.ballot);
    if (pending.number !== this.now.number + 1) return [];
    const before = this.next?.number === pending.number ? this.next : undefined;
    const isNewer = !before || !isHigher(before.ballot, pending.ballot);
    this.next = {
      number: pending.number,
      promised: higherOf(before?.promised ?? NO_BALLOT, pending.promised),
      ballot: isNewer ? pending.ballot : before.ballot,
      voterSet: isNewer ? pending.voterSet : before.voterSet,
    };
    return [packPending(this.next)];
  };

  readonly promisedForRoster = (number: number): Ballot =>
    higherOf(this.floor, this.next?.number === number ? this.next.promised : NO_BALLOT);

  readonly setVoting = (): readonly UnknownRecord[] => {
    this.counts = true;
    return [{ t: "counting" }];
  };

  /** Nothing on the disk proves that all is there that was accepted. */
  readonly doubt = (): void => {
    this.counts = false;
  };

  /** Leaves only what is known to be agreed, with no promise for single keys; a whole snapshot must follow. */
  readonly forgetOffers = (): void => {
    [...this.entries.values()].forEach((entry) => {
      this.toggle(entry);
      this.entries.delete(entry.key);
      this.unsure.delete(entry.key);
    });
    const agreed = [...this.agreed];
    this.agreed.clear();
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
    { t: "floor", at: packBallot(this.floor) },
    ...(this.now.number > 0 ? [{ t: "roster", roster: packVoterSet(this.now) }] : []),
    ...(this.next ? [packPending(this.next)] : []),
    { t: "learned", rows: [...this.entries.values()].map(packRow) },
    ...(this.counts ? [{ t: "counting" }] : []),
  ];

  readonly replay = (record: UnknownRecord): void => {
    switch (record["t"]) {
      case "floor":
        this.raiseFloor(readBallot(record["at"]));
        break;
      case "promise":
        this.prepare(readList(record, "keys", asString), readBallot(record["at"]));
        break;
      case "vote":
        this.accept(readBallot(record["at"]), readList(record, "items", readItem));
        break;
      case "learned":
        readList(record, "rows", asList).forEach((row) => {
          const [key, register] = readItem(row);
          const ballot = readBallot(row[2]);
          this.put({
            key,
            register,
            ballot,
            promised: row[5] === undefined ? NO_BALLOT : readBallot(row[5]),
            isAccepted: row[3] === true,
            isCommitted: row[4] === true,
          });
        });
        break;
      case "roster":
        this.adoptVoterSet(readVoterSet(record["roster"]));
        break;
      case "pending": {
        this.takePending(readPending(record));
        break;
      }
      case "counting":
        this.counts = true;
        break;
      default:
        break;
    }
  };

  /** Holds the entry unless a higher one is held; true if anything but a promise changed. */
  private readonly put = (entry: Entry): boolean => {
    const before = this.entry(entry.key);
    this.see(entry.ballot);
    this.see(entry.promised);
    const promised = higherOf(before.promised, entry.promised);
    const isSameBallot = isSame(entry.ballot, before.ballot);
    if (entry.isCommitted) this.knowAgreed(entry);
    if (
      isHigher(before.ballot, entry.ballot) ||
      entry.ballot.number === 0 ||
      (isSameBallot &&
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
      isAccepted: entry.isAccepted || (isSameBallot && before.isAccepted),
      isCommitted: entry.isCommitted || (isSameBallot && before.isCommitted),
    };
    this.entries.set(entry.key, now);
    if (!isSameBallot) {
      this.toggle(before);
      this.toggle(now);
    }
    if (now.isCommitted) this.unsure.delete(now.key);
    else this.unsure.add(now.key);
    return true;
  };

  private readonly knowAgreed = ({ key, ballot, register }: Entry): boolean => {
    const known = this.agreed.get(key);
    if (known && !isHigher(ballot, known.ballot)) return false;
    this.agreed.set(key, { ballot, register });
    return true;
  };

  private readonly toggle = ({ key, ballot }: Entry): void => {
    if (ballot.number === 0) return;
    const at = bucketOf(key);
    const hash = createHash("sha1").update(`${key}\n${ballot.number}\n${ballot.by}`).digest();
    const [high, low] = this.sums[at] ?? [0, 0];
    this.sums[at] = [(high ^ hash.readUInt32BE(0)) >>> 0, (low ^ hash.readUInt32BE(4)) >>> 0];
  };
}

export const readItem = (value: unknown): readonly [string, Register | undefined] => {
  const [key, content] = asList(value, "item");
  return [asString(key), readContent(content)];
};

export const packPending = ({ number, promised, ballot, voterSet }: Pending): UnknownRecord => ({
  t: "pending",
  number,
  promised: packBallot(promised),
  ballot: packBallot(ballot),
  ...(voterSet ? { roster: packVoterSet(voterSet) } : {}),
});

export const readPending = (value: unknown): Pending => {
  const record = asRecord(value, "pending");
  const voterSet = record["roster"] === undefined ? undefined : readVoterSet(record["roster"]);
  return {
    number: Number(record["number"]),
    promised: readBallot(record["promised"]),
    ballot: readBallot(record["ballot"]),
    voterSet,
  };
};

export const packEntryReport = (entry: Entry, withRegister: boolean): readonly unknown[] => [
  entry.key,
  packBallot(entry.ballot),
  entry.isAccepted,
  entry.isCommitted,
  ...(withRegister ? [entry.register ? packRegister(entry.register) : null] : []),
];

/** What a colleague tells of an entry; `register` is "same" where it is left out since the asker holds that ballot. */
export interface EntryReport {
  readonly key: string;
  readonly ballot: Ballot;
  readonly isAccepted: boolean;
  readonly isCommitted: boolean;
  readonly register: Register | undefined | "same";
}

export const readEntryReport = (value: unknown): EntryReport => {
  const row = asList(value, "entry");
  return {
    key: asString(row[0]),
    ballot: readBallot(row[1]),
    isAccepted: row[2] === true,
    isCommitted: row[3] === true,
    register: row.length > 4 ? readContent(row[4]) : "same",
  };
};
