import Emittery from "emittery";
import { err, ok, type Result } from "true-myth/result";
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import {
  asList,
  asRecord,
  readFlag,
  isRecord,
  readList,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import type { WriteAheadLog } from "../storage/write-ahead-log.js";
import {
  higherBallot,
  isHigherBallot,
  isSameBallot,
  NO_BALLOT,
  encodeBallot,
  decodeBallot,
  type Ballot,
} from "./ballot.js";
import {
  bucketOf,
  Replica,
  encodeProposal,
  encodeEntryReport,
  decodeItem,
  decodeProposal,
  decodeEntryReport,
  type Entry,
  type VoterSetProposal,
  type EntryReport,
} from "./replica.js";
import { applyWrite, makeRegister, encodeRegister, type Register } from "./register.js";
import {
  allMembersOf,
  isJoint,
  majoritySize,
  encodeVoterSet,
  quorumSize,
  readQuorumSize,
  decodeVoterSet,
  quorumSetsOf,
  type VoterSet,
} from "./voter-set.js";
import { Batcher } from "../common/batcher.js";
import {
  InvalidWriteError,
  NoQuorumError,
  StaleTermError,
  StaleVoterSetError,
  UnclearOutcomeError,
  VersionConflictError,
  type ReplicatedStoreError,
} from "./errors.js";
import { decodeTerm, encodeTerm, LEADER_LEASE_KEY, supersedes, termOf, type Term } from "./term.js";
import { READ_TIMEOUT_US, WRITE_TIMEOUT_US } from "./timeouts.js";

/** How the ledger reaches other copies; the links of signalling fit it, and so does a test's own net. */
export interface PeerTransport {
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly broadcast: (message: Message) => void;
}

export interface ReplicatedStoreOptions {
  readonly self: string;
  readonly writeAheadLog: WriteAheadLog;
  /** What the archive's snapshots are made of. */
  readonly replica: Replica;
  /** The roster of the first start, and whom to ask for as long as no roster is known. */
  readonly seeds: () => readonly string[];
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** From 0 to 1: names this life, and spreads the waits after a collision. */
  readonly random: () => number;
  readonly withstandMachines: number;
  readonly logger: Logger;
}

/** After a quorum has answered, so long is waited for the rest, so that all take part where all are well. */
const GRACE_US = 10 * MILLISECOND_US;
/** No try begins later than this after the call. */
const TRY_US = 900 * MILLISECOND_US;
const TRIES_MOST = 40;
const PAUSE_US = 8 * MILLISECOND_US;
const PAUSE_MOST_US = 200 * MILLISECOND_US;
const LOOK_AGAIN_US = 30 * MILLISECOND_US;
/** Contact is asked for once for all that came in so long. */
const CONTACT_GATHER_US = 40 * MILLISECOND_US;
/** A piece of a copy ends with the bucket that fills it. */
const PIECE_BYTES = 64 * 1024;
const PIECES_MOST = 64;
const FINISH_AT_ONCE = 256;
const CATCH_UP_TURNS = 3;

/** Why a try failed. */
type Setback =
  | { readonly kind: "no-quorum"; readonly error: NoQuorumError }
  /** Another try was promised more, or the roster has moved on: worth another try at once or soon. */
  | { readonly kind: "again"; readonly soon: boolean }
  | { readonly kind: "term" };

/** A try that a quorum has promised to. */
interface Attempt {
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly found: ReadonlyMap<string, EntryReport>;
  readonly lives: ReadonlyMap<string, string>;
}

type Content = Register | undefined;
type Items = readonly (readonly [string, Content])[];

/** What one copy holds, as told for a reading. */
interface View {
  readonly counts: boolean;
  readonly told: ReadonlyMap<string, EntryReport>;
  /** Buckets in which it holds the same ballots as the asker held when it asked. */
  readonly same: ReadonlySet<number>;
}

interface Gathering<T> {
  readonly sets: () => readonly (readonly string[])[];
  readonly needed: (members: readonly string[]) => number;
  readonly ask: (id: string) => Promise<T | undefined>;
  readonly graceUs?: number;
}

/**
 * One copy of the control state, and the reads and writes over quorums of copies.
 *
 * Each register is decided by its own chain of ballots: a quorum promises, what it has accepted is changed, a quorum
 * accepts. Invariants: a copy answers only for what is safe on its own disk; a copy that may have lost what it once
 * held is not `counting`, and neither promises nor accepts, until it has caught up from copies that share a member with
 * every quorum, which from then on take no try that began before; only what a quorum accepted is ever shown.
 */
export class ReplicatedStore {
  readonly events = new Emittery<{
    committed: readonly Register[];
    voting: undefined;
    voterSet: VoterSet;
    behind: undefined;
  }>();
  private readonly replica: Replica;
  private readonly ownIncarnation: string;
  /** What has changed and is not yet on its way to the disk. */
  private unsaved: readonly UnknownRecord[] = [];
  /** Whether the archive still holds what the disk refused; it goes with what is kept next, be that nothing. */
  private wasRefused = false;
  private keeping: Promise<boolean> | undefined;
  private whyNot = "it has not started";
  private readonly readings: Batcher<undefined, Result<void, ReplicatedStoreError>>;
  private readonly contacts: Batcher<undefined, boolean>;
  private changing = false;
  private heardTerm = 0;
  private refusals = 0;
  /** Whether a quorum has been read in this life. */
  private hasRead = false;
  /** The last floor raised for each copy that caught up; the further pieces of a reading bear the same one. */
  private readonly raised = new Map<string, Ballot>();

  constructor(private readonly options: ReplicatedStoreOptions) {
    this.replica = options.replica;
    this.ownIncarnation = Math.floor(options.random() * 2 ** 48).toString(36);
    this.readings = new Batcher(() => this.readNow());
    this.contacts = new Batcher(() => this.contactNow());
  }

  get isVoting(): boolean {
    return this.replica.isVoting;
  }

  /** Why this copy doesn't count; empty if it does. */
  get notVotingReason(): string {
    return this.isVoting ? "" : this.whyNot;
  }

  /** This life of this box, as terms and ballots name it. */
  get incarnation(): string {
    return this.ownIncarnation;
  }

  /** What is known to be agreed under the key. */
  readonly get = (key: string): Register | undefined => this.replica.committedAt(key);

  readonly committedRegisters = (): readonly Register[] => this.replica.allCommitted();

  /** The newest decided roster known here. */
  readonly voterSet = (): VoterSet => this.replica.voterSet;

  readonly quorumSets = (): readonly (readonly string[])[] => quorumSetsOf(this.replica.voterSet);

  /** Everyone whose copy counts, of both sets while the roster is joint. */
  readonly members = (): readonly string[] => allMembersOf(this.replica.voterSet);

  readonly isMember = (): boolean => this.members().includes(this.options.self);

  /** The newest term that this copy knows to be granted. */
  readonly term = (): Term | undefined => termOf(this.get(LEADER_LEASE_KEY));

  /** Whether this copy holds a term above this one, agreed or only offered. */
  readonly isSuperseded = (term: Term): boolean =>
    supersedes(this.replica.entry(LEADER_LEASE_KEY).register, term) ||
    supersedes(this.get(LEADER_LEASE_KEY), term);

  /** The first start of the whole system, a start with a disk that kept its files, or one that lost them. */
  readonly start = async (firstRun: boolean): Promise<void> => {
    const { self, writeAheadLog: archive, logger: log } = this.options;
    const seeds = this.options.seeds();
    const loaded = await archive.load();
    if (loaded.kind !== "empty") loaded.records.forEach(this.replica.replay);
    if (loaded.kind === "unverified") {
      this.replica.setUnverified();
      this.whyNot = loaded.reason;
      log.warn(`This copy does not count until it has caught up: ${loaded.reason}.`);
    } else if (loaded.kind === "empty" && firstRun && seeds.includes(self)) {
      this.replica.adoptVoterSet({ number: 1, members: [...seeds].sort(), from: [] });
      this.replica.setVoting();
      // One file holds all of it: a first start that is cut short leaves either nothing or the whole.
      if ((await archive.writeVerifiedSnapshot()).isErr) {
        this.replica.setUnverified();
        this.whyNot = "its disk refused the first state";
      }
    } else if (this.isVoting && !this.isMember()) {
      this.replica.setUnverified();
      this.whyNot = "it is not on the roster";
    } else if (!this.isVoting)
      this.whyNot = loaded.kind === "empty" ? "its disk is empty" : "it never caught up";
  };

  /** Resolves to true once everything noted before the call is safe on this machine's disk. */
  readonly persisted = (): Promise<boolean> => {
    const earlier = this.keeping;
    if (this.unsaved.length === 0 && !this.wasRefused) return earlier ?? Promise.resolve(true);
    const { writeAheadLog: archive, logger: log } = this.options;
    const records = this.unsaved;
    this.unsaved = [];
    this.wasRefused = false;
    const mine = archive.append(records).then((kept) => {
      if (kept.isErr) {
        this.wasRefused = true;
        log.warn(`The disk refused a version: ${kept.error.sentence}.`);
      }
      return kept.isOk;
    });
    const all = Promise.all([earlier ?? true, mine]).then((done) => done.every(Boolean));
    this.keeping = all;
    void all.then(() => {
      if (this.keeping === all) this.keeping = undefined;
    });
    return all;
  };

  // --- what colleagues ask ------------------------------------------------------------------------------------------

  /** Answers a colleague's question of one of LEDGER_KINDS. */
  readonly handleRequest = async (message: Message): Promise<Message> => {
    switch (message.kind) {
      case "promise":
        return this.answerPromise(message);
      case "accept":
        return this.answerAccept(message);
      case "read":
        return this.answerRead(message);
      case "roster-promise":
      case "roster-accept":
        return this.answerRoster(message);
      default: {
        this.hearRoster(message);
        const term = this.get(LEADER_LEASE_KEY);
        return {
          kind: "here",
          counts: this.isVoting,
          roster: encodeVoterSet(this.replica.voterSet),
          ...(term ? { grant: encodeRegister(term) } : {}),
        };
      }
    }
  };

  /** Hears from a colleague what a quorum has accepted; what this copy does not hold the same way waits for a reading. */
  readonly applyCommitted = (message: Message): void => {
    this.hearRoster(message);
    const marks = readList(message, "items", asList).map((item): readonly [string, Ballot] => [
      asString(item[0]),
      decodeBallot(item[1]),
    ]);
    marks.forEach(([, ballot]) => this.replica.observe(ballot));
    this.settle(marks);
    if (marks.some(([key, ballot]) => isHigherBallot(ballot, this.replica.entry(key).ballot)))
      void this.events.emit("behind");
  };

  private readonly answerPromise = async (message: Message): Promise<Message> => {
    const ballot = decodeBallot(message["ballot"]);
    const keys = readList(message, "keys", asString);
    const refusal = this.refusalOf(message) ?? this.lowerThanPromised(keys, ballot);
    if (refusal) return refusal;
    this.note(this.replica.prepare(keys, ballot));
    const entries = keys.map((key) => this.replica.entry(key));
    if (!(await this.persisted())) return refused("disk");
    const have = readList(message, "have", decodeBallot);
    const rows = entries.flatMap((entry, at) =>
      entry.ballot.number === 0
        ? []
        : [encodeEntryReport(entry, !isSameBallot(entry.ballot, have[at] ?? NO_BALLOT))],
    );
    return { kind: "promised", life: this.ownIncarnation, entries: rows };
  };

  private readonly answerAccept = async (message: Message): Promise<Message> => {
    const ballot = decodeBallot(message["ballot"]);
    const items = readList(message, "items", decodeItem);
    const isOtherLife = asRecord(message["lives"])[this.options.self] !== this.ownIncarnation;
    const refusal =
      this.refusalOf(message) ??
      (isOtherLife
        ? refused("life")
        : this.lowerThanPromised(
            items.map(([key]) => key),
            ballot,
          ));
    if (refusal) return refusal;
    this.note(this.replica.accept(ballot, items));
    return (await this.persisted()) ? { kind: "accepted" } : refused("disk");
  };

  private readonly lowerThanPromised = (
    keys: readonly string[],
    ballot: Ballot,
  ): Message | undefined =>
    keys.some((key) => isHigherBallot(this.replica.promisedFor(key), ballot))
      ? refused("ballot", this.replica.highestBallotNumber)
      : undefined;

  /** Why this copy takes part in nothing that the message asks for. */
  private readonly refusalOf = (message: Message): Message | undefined => {
    if (!this.isVoting) return refused("not-counting");
    const stale = this.refusalOfRoster(message);
    if (stale) return stale;
    const term = isRecord(message["term"]) ? decodeTerm(message["term"]) : undefined;
    return term && this.isSuperseded(term) ? refused("term") : undefined;
  };

  private readonly refusalOfRoster = (message: Message): Message | undefined => {
    this.hearRoster(message);
    const { voterSet } = this.replica;
    return decodeVoterSet(message["roster"]).number < voterSet.number
      ? { ...refused("roster", this.replica.highestBallotNumber), roster: encodeVoterSet(voterSet) }
      : undefined;
  };

  private readonly answerRead = async (message: Message): Promise<Message> => {
    const floor = message["floor"] === undefined ? undefined : decodeBallot(message["floor"]);
    if (!this.isVoting && floor) return refused("not-counting");
    const stale = this.refusalOfRoster(message);
    if (stale) return stale;
    if (floor && !isSameBallot(floor, this.raised.get(floor.proposer) ?? NO_BALLOT)) {
      if (floor.number <= this.replica.highestBallotNumber)
        return refused("ballot", this.replica.highestBallotNumber);
      this.note(this.replica.raiseFloor(floor));
      this.raised.set(floor.proposer, floor);
    }
    const sums = this.replica.bucketSums();
    const theirs = readList(message, "sums", asString);
    const same: number[] = [];
    const rows: (readonly unknown[])[] = [];
    let bucket = readNumber(message, "from");
    for (let bytes = 0; bucket < sums.length && bytes < PIECE_BYTES; bucket += 1) {
      if (sums[bucket] === theirs[bucket]) same.push(bucket);
      else
        this.replica.entriesInBucket(bucket).forEach((entry) => {
          rows.push(encodeEntryReport(entry, true));
          bytes += (entry.register?.body.length ?? 0) + 64;
        });
    }
    const unsure = readList(message, "unsure", asString);
    unsure
      .filter((key) => same.includes(bucketOf(key)))
      .forEach((key) => rows.push(encodeEntryReport(this.replica.entry(key), false)));
    const counts = (await this.persisted()) && this.isVoting;
    return {
      kind: "copy",
      counts,
      same,
      entries: rows,
      next: bucket,
      ...(this.replica.voterSetProposal
        ? { pending: encodeProposal(this.replica.voterSetProposal) }
        : {}),
    };
  };

  private readonly answerRoster = async (message: Message): Promise<Message> => {
    if (!this.isVoting) return refused("not-counting");
    const number = readNumber(message, "number");
    this.hearRoster(message);
    const { voterSet, voterSetProposal: pending } = this.replica;
    if (number <= voterSet.number)
      return {
        ...refused("roster", this.replica.highestBallotNumber),
        roster: encodeVoterSet(voterSet),
      };
    const ballot = decodeBallot(message["ballot"]);
    if (number > voterSet.number + 1) return refused("roster");
    if (isHigherBallot(this.replica.promisedForVoterSet(number), ballot))
      return refused("ballot", this.replica.highestBallotNumber);
    if (message.kind === "roster-promise") {
      this.note(
        this.replica.recordProposal({
          number,
          promised: ballot,
          ballot: pending?.ballot ?? NO_BALLOT,
          voterSet: pending?.voterSet,
        }),
      );
      if (!(await this.persisted())) return refused("disk");
      return {
        kind: "promised",
        life: this.ownIncarnation,
        pending: encodeProposal(
          pending ?? { number, promised: ballot, ballot: NO_BALLOT, voterSet: undefined },
        ),
      };
    }
    if (asRecord(message["lives"])[this.options.self] !== this.ownIncarnation)
      return refused("life");
    this.note(
      this.replica.recordProposal({
        number,
        promised: ballot,
        ballot,
        voterSet: decodeVoterSet(message["next"]),
      }),
    );
    return (await this.persisted()) ? { kind: "accepted" } : refused("disk");
  };

  // --- contact ------------------------------------------------------------------------------------------------------

  /** True once a majority of counting members has answered a question sent after this call; one round for all that wait. */
  readonly confirmQuorum = (): Promise<boolean> => this.contacts.add(undefined);

  private readonly contactNow = async (): Promise<boolean> => {
    await sleep(this.options.clock, CONTACT_GATHER_US);
    const heard = await this.collect<Message>({
      sets: this.quorumSets,
      needed: majoritySize,
      ask: async (id) => {
        const reply = await this.askOne(
          id,
          { kind: "contact", roster: encodeVoterSet(this.replica.voterSet) },
          READ_TIMEOUT_US,
        );
        if (!reply) return undefined;
        this.hearRoster(reply);
        if (reply["grant"] !== undefined && isRecord(reply["grant"]))
          this.hearGrant(reply["grant"]);
        return readFlag(reply, "counts") ? reply : undefined;
      },
    });
    return heard.isOk;
  };

  /** A newer grant that a colleague knows is reason enough to read, and to hold the duty no longer. */
  private readonly hearGrant = (packed: unknown): void => {
    const version = readNumber(asRecord(packed), "version");
    if (version > (this.get(LEADER_LEASE_KEY)?.version ?? 0)) void this.events.emit("behind");
    this.heardTerm = Math.max(this.heardTerm, version);
  };

  /** The number of the newest term heard of, granted. */
  readonly newestTerm = (): number => Math.max(this.heardTerm, this.term()?.number ?? 0);

  // --- orders -------------------------------------------------------------------------------------------------------

  /**
   * Decides one order of an operator, all items at one ballot. Ok: every item is held by a quorum, or was taken before
   * and is, or has since been overtaken. `problemOf` is given what stands, by key, and tells what makes the order invalid.
   */
  readonly propose = (
    call: readonly Register[],
    problemOf?: (get: (key: string) => Register | undefined) => string | undefined,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const keys = [...new Set(call.map(({ key }) => key))];
    let wasOffered = false;
    let result: Result<void, ReplicatedStoreError> = ok(undefined);
    return this.tryOften(async () => {
      const attempt = await this.prepare(keys);
      if (attempt.isErr) return err(attempt.error);
      const stands = new Map(
        keys.map((key): readonly [string, Content] => [key, this.contentOf(attempt.value, key)]),
      );
      const next = new Map(stands);
      let error: ReplicatedStoreError | undefined;
      // By what stood before: a call may name an item twice. One known item may be another order's; an order taken before has all.
      const known = call.filter(
        (order) => applyWrite(stands.get(order.key), order).kind === "known",
      ).length;
      const isSeen = known > 0;
      call.forEach((order) => {
        const applied = applyWrite(next.get(order.key), order);
        if (applied.kind === "fits") next.set(order.key, applied.next);
        if (applied.kind === "conflict")
          error ??= new VersionConflictError(order.key, order.version);
        if (applied.kind === "forgotten")
          error ??= new UnclearOutcomeError(
            `what ${order.key} was at version ${order.version} is no longer known`,
          );
      });
      if (!error && known < call.length && !wasOffered) {
        error = await this.problemNow(problemOf, stands);
      }
      if (error) {
        const isRefusal =
          error instanceof VersionConflictError || error instanceof InvalidWriteError;
        if (isRefusal && (wasOffered || isSeen))
          error = new UnclearOutcomeError(
            "another order has one of its numbers, and parts of this one were offered",
          );
        result = err(error);
        if (error instanceof UnclearOutcomeError) return ok(undefined);
      } else {
        result = ok(undefined);
        wasOffered = true;
      }
      // What stands is always accepted anew beside a refusal: a minority may have accepted parts of an earlier try at this
      // order above the ballot that was agreed, and they must not come up later.
      const items: Items = [...(error ? stands : next)];
      const isDone =
        !error &&
        items.every(([key, content]) => {
          const entry = this.replica.entry(key);
          return (
            content === stands.get(key) &&
            entry.isCommitted &&
            isSameBallot(entry.ballot, attempt.value.found.get(key)?.ballot ?? NO_BALLOT)
          );
        });
      return isDone ? ok(undefined) : this.accept(attempt.value, items);
    }).then((done) => done.andThen(() => result));
  };

  /** Compares and sets one register; `make` tells the new body, or undefined to leave it. Gives what stands afterwards. */
  readonly decide = async (
    key: string,
    make: (now: Register | undefined) => string | undefined,
    term?: Term,
  ): Promise<Result<Register | undefined, ReplicatedStoreError>> => {
    let result: Register | undefined;
    const done = await this.tryOften(async () => {
      const attempt = await this.prepare([key], term);
      if (attempt.isErr) return err(attempt.error);
      const now = this.contentOf(attempt.value, key);
      const body = make(now);
      result = body === undefined ? now : makeRegister(key, (now?.version ?? 0) + 1, body);
      return body === undefined ? ok(undefined) : this.accept(attempt.value, [[key, result]], term);
    });
    return done.map(() => result);
  };

  private readonly problemNow = async (
    problemOf: ((get: (key: string) => Register | undefined) => string | undefined) | undefined,
    stands: ReadonlyMap<string, Content>,
  ): Promise<ReplicatedStoreError | undefined> => {
    const look = () => problemOf?.((key) => stands.get(key) ?? this.get(key));
    if (look() === undefined) return undefined;
    // This copy may be old: nothing is called unknown, nor let pass, before a quorum was read.
    if ((await this.read()).isErr)
      return new UnclearOutcomeError("no quorum could be read for what the order names");
    const sentence = look();
    return sentence === undefined ? undefined : new InvalidWriteError(sentence);
  };

  private readonly tryOften = async (
    work: () => Promise<Result<void, Setback>>,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { clock, random } = this.options;
    const beganUs = clock.nowUs();
    for (let turn = 0; ; turn += 1) {
      const done = await work();
      if (done.isOk) return ok(undefined);
      const setback = done.error;
      if (setback.kind === "no-quorum") return err(setback.error);
      if (setback.kind === "term") return err(new StaleTermError());
      if (clock.nowUs() - beganUs > TRY_US || turn >= TRIES_MOST)
        return err(new UnclearOutcomeError("other orders were in the way"));
      if (setback.soon) continue;
      await sleep(clock, Math.round(random() * Math.min(PAUSE_MOST_US, PAUSE_US * 2 ** turn)));
    }
  };

  private readonly nextBallot = (): Ballot => {
    const ballot = {
      number: this.replica.highestBallotNumber + 1,
      proposer: `${this.options.self}/${this.ownIncarnation}`,
    };
    this.replica.observe(ballot);
    return ballot;
  };

  private readonly contentOf = (attempt: Attempt, key: string): Content => {
    const told = attempt.found.get(key);
    return told === undefined || told.register === "same" ? undefined : told.register;
  };

  /** Asks for promises; what was accepted at the highest ballot is found under each key. */
  private readonly prepare = async (
    keys: readonly string[],
    term?: Term,
  ): Promise<Result<Attempt, Setback>> => {
    const { voterSet } = this.replica;
    const ballot = this.nextBallot();
    const before = keys.map((key) => this.replica.entry(key));
    const message: Message = {
      kind: "promise",
      ballot: encodeBallot(ballot),
      roster: encodeVoterSet(voterSet),
      keys,
      have: before.map((entry) => encodeBallot(entry.ballot)),
      ...(term ? { term: encodeTerm(term) } : {}),
    };
    const lives = new Map<string, string>();
    const found = new Map<string, EntryReport>();
    const promised = await this.poll(
      voterSet,
      message,
      READ_TIMEOUT_US,
      "promised",
      (id, reply) => {
        lives.set(id, readString(reply, "life"));
        readList(reply, "entries", decodeEntryReport).forEach((told) => {
          const known = found.get(told.key);
          if (known && !isHigherBallot(told.ballot, known.ballot)) return;
          const at =
            told.register === "same"
              ? before.find(
                  (entry) => entry.key === told.key && isSameBallot(entry.ballot, told.ballot),
                )
              : undefined;
          found.set(told.key, at ? { ...told, register: at.register } : told);
        });
      },
    );
    return promised.map(() => ({ ballot, voterSet, found: new Map(found), lives: new Map(lives) }));
  };

  /** Asks those that promised to accept; then everyone is told. */
  private readonly accept = async (
    attempt: Attempt,
    items: Items,
    term?: Term,
  ): Promise<Result<void, Setback>> => {
    const { ballot, voterSet, lives } = attempt;
    const message: Message = {
      kind: "accept",
      ballot: encodeBallot(ballot),
      roster: encodeVoterSet(voterSet),
      lives: Object.fromEntries(lives),
      items: items.map(([key, content]) => [key, content ? encodeRegister(content) : null]),
      ...(term ? { term: encodeTerm(term) } : {}),
    };
    const accepted = await this.poll(
      voterSet,
      message,
      WRITE_TIMEOUT_US,
      "accepted",
      () => undefined,
      (id) => lives.has(id),
    );
    if (accepted.isErr) return err(accepted.error);
    // A proposer that is no member holds what it has brought about all the same.
    this.note(
      this.replica.learn(
        items.map(([key, register]): Entry => ({
          key,
          promised: NO_BALLOT,
          ballot,
          register,
          isAccepted: false,
          isCommitted: true,
        })),
      ),
    );
    const fresh = items.flatMap(([, register]) => register ?? []);
    if (fresh.length > 0) void this.events.emit("committed", fresh);
    this.tell(items.map(([key]): readonly [string, Ballot] => [key, ballot]));
    return ok(undefined);
  };

  private readonly tell = (marks: readonly (readonly [string, Ballot])[]): void =>
    this.options.transport.broadcast({
      kind: "settled",
      roster: encodeVoterSet(this.replica.voterSet),
      items: marks.map(([key, ballot]) => [key, encodeBallot(ballot)]),
    });

  /** Puts one question to the members of a roster; what stood in the way of a quorum is the setback. */
  private readonly poll = async (
    voterSet: VoterSet,
    message: Message,
    waitUs: number,
    wanted: string,
    take: (id: string, reply: Message) => void,
    isAsked: (id: string) => boolean = () => true,
  ): Promise<Result<void, Setback>> => {
    let setback: Setback | undefined;
    let isOpen = true;
    const { withstandMachines } = this.options;
    const polled = await this.collect<Message>({
      sets: () => quorumSetsOf(voterSet),
      needed: (members) => quorumSize(members, withstandMachines),
      graceUs: GRACE_US,
      ask: async (id) => {
        const reply = isAsked(id) ? await this.askOne(id, message, waitUs) : undefined;
        if (!reply || !isOpen) return undefined;
        if (reply.kind === wanted) {
          take(id, reply);
          return reply;
        }
        this.hearRefusal(reply);
        const why = reply["why"];
        if (why === "term") setback = { kind: "term" };
        else if (why === "ballot" || why === "life" || why === "roster")
          setback ??= { kind: "again", soon: why === "roster" };
        return undefined;
      },
    });
    isOpen = false;
    return polled.isOk ? ok(undefined) : err(setback ?? { kind: "no-quorum", error: polled.error });
  };

  // --- reading ------------------------------------------------------------------------------------------------------

  /**
   * Reads a quorum, adopts what is agreed, finishes what is found half accepted. Ok: everything confirmed before the
   * call is known here. A copy that doesn't count catches up by the same way. Calls made meanwhile share a reading.
   */
  readonly read = (): Promise<Result<void, ReplicatedStoreError>> => this.readings.add(undefined);

  private readonly readNow = async (): Promise<Result<void, ReplicatedStoreError>> => {
    if (!this.isVoting) {
      const caughtUp = await this.catchUp();
      if (caughtUp.isErr) return caughtUp;
    }
    const read = await this.readQuorum();
    if (read.isOk && !this.hasRead) {
      // What the disk already told to be agreed may be old until now, and is news to whoever listens.
      this.hasRead = true;
      await this.events.emit("committed", this.committedRegisters());
    }
    return read;
  };

  private readonly readQuorum = async (): Promise<Result<void, ReplicatedStoreError>> => {
    const first = await this.look();
    if (first.isErr) return err(first.error);
    if (first.value.length === 0) return ok(undefined);
    // Most of what is not settled is just being settled by whoever offered it.
    await sleep(this.options.clock, Math.round(LOOK_AGAIN_US * (1 + this.options.random())));
    const second = await this.look();
    if (second.isErr) return err(second.error);
    return this.finish(second.value);
  };

  /** Offers anew what stands, so that it is agreed. */
  private readonly finish = async (
    keys: readonly string[],
  ): Promise<Result<void, ReplicatedStoreError>> => {
    for (let at = 0; at < keys.length; at += FINISH_AT_ONCE) {
      const part = keys.slice(at, at + FINISH_AT_ONCE);
      const done = await this.tryOften(async () => {
        const attempt = await this.prepare(part);
        if (attempt.isErr) return err(attempt.error);
        const items = part
          .filter((key) => attempt.value.found.has(key))
          .map((key): readonly [string, Content] => [key, this.contentOf(attempt.value, key)]);
        return items.length === 0 ? ok(undefined) : this.accept(attempt.value, items);
      });
      if (done.isErr) return err(done.error);
    }
    return ok(undefined);
  };

  /** One look at a quorum: adopts what is agreed; gives the keys of which that is not sure. */
  private readonly look = async (): Promise<Result<readonly string[], ReplicatedStoreError>> => {
    const { self, withstandMachines } = this.options;
    const before = this.replica.copyOfEntries();
    const unsure = this.replica.uncommittedKeys();
    const sums = this.replica.bucketSums();
    const views = new Map<string, View>();
    const read = await this.collect<View>({
      sets: this.quorumSets,
      needed: (members) => quorumSize(members, withstandMachines),
      graceUs: GRACE_US,
      ask: async (id) => {
        const view = id === self ? await this.ownView() : await this.view(id, sums, unsure);
        if (!view?.counts) return undefined;
        views.set(id, view);
        return view;
      },
    });
    if (read.isErr) return err(read.error);
    const taken = new Map(views);
    const keys = new Set([
      ...unsure,
      ...[...taken.values()].flatMap(({ told }) => [...told.keys()]),
    ]);
    return ok(this.adopt([...keys], before, taken));
  };

  /** Takes what the views show to be agreed; gives the keys of which none can tell. */
  private readonly adopt = (
    keys: readonly string[],
    before: ReadonlyMap<string, Entry>,
    views: ReadonlyMap<string, View>,
  ): readonly string[] => {
    const { self, withstandMachines } = this.options;
    const learned: Entry[] = [];
    const left: string[] = [];
    keys.forEach((key) => {
      const own = before.get(key);
      const bucket = bucketOf(key);
      const toldBy = (id: string): EntryReport | undefined => {
        const view = views.get(id);
        if (id === self && view) return own && { ...own };
        const told = view?.told.get(key);
        if (told) return told;
        return view?.same.has(bucket) && own
          ? { ...own, isAccepted: false, isCommitted: false }
          : undefined;
      };
      const tellings = [...views.keys()].flatMap((id) => {
        const told = toldBy(id);
        return told ? [{ id, told }] : [];
      });
      const candidates =
        own && !views.has(self)
          ? [...tellings, { id: "", told: { ...own, isAccepted: false } }]
          : tellings;
      const top = candidates.reduce((most, { told }) => higherBallot(most, told.ballot), NO_BALLOT);
      if (top.number === 0) return;
      const atTop = candidates.filter(({ told }) => isSameBallot(told.ballot, top));
      const voters = new Set(atTop.filter(({ told }) => told.isAccepted).map(({ id }) => id));
      const isAgreed =
        atTop.some(({ told }) => told.isCommitted) ||
        this.quorumSets().every(
          (members) =>
            members.filter((id) => voters.has(id)).length >= quorumSize(members, withstandMachines),
        );
      if (!isAgreed) {
        left.push(key);
        return;
      }
      const content =
        own && isSameBallot(own.ballot, top)
          ? { register: own.register }
          : atTop.flatMap(({ told }) =>
              told.register === "same" ? [] : [{ register: told.register }],
            )[0];
      if (content)
        learned.push({
          key,
          promised: NO_BALLOT,
          ballot: top,
          register: content.register,
          isAccepted: false,
          isCommitted: true,
        });
    });
    this.takeAgreed(learned);
    return left;
  };

  private readonly takeAgreed = (entries: readonly Entry[]): void => {
    const fresh = entries.filter(
      ({ key, ballot }) =>
        !(
          this.replica.entry(key).isCommitted &&
          !isHigherBallot(ballot, this.replica.entry(key).ballot)
        ),
    );
    const marks = fresh
      .filter(({ key, ballot }) => isSameBallot(this.replica.entry(key).ballot, ballot))
      .map(({ key, ballot }): readonly [string, Ballot] => [key, ballot]);
    this.note(
      this.replica.learn(
        fresh.filter(({ key, ballot }) => !isSameBallot(this.replica.entry(key).ballot, ballot)),
      ),
    );
    this.settle(marks);
    const news = fresh
      .filter(({ key }) => !marks.some(([marked]) => marked === key))
      .flatMap(({ register }) => register ?? []);
    if (news.length > 0) void this.events.emit("committed", news);
  };

  private readonly settle = (marks: readonly (readonly [string, Ballot])[]): void => {
    const fresh = this.replica.markCommitted(marks);
    if (fresh.length > 0) void this.events.emit("committed", fresh);
  };

  private readonly ownView = async (): Promise<View> => {
    const counts = (await this.persisted()) && this.isVoting;
    return { counts, told: new Map(), same: new Set() };
  };

  /** What one colleague holds that differs, in pieces; undefined where it stops answering. */
  private readonly view = async (
    id: string,
    sums: readonly string[],
    unsure: readonly string[],
    floor?: Ballot,
  ): Promise<View | undefined> => {
    const told = new Map<string, EntryReport>();
    const same = new Set<number>();
    let from = 0;
    for (let piece = 0; piece < PIECES_MOST; piece += 1) {
      const message: Message = {
        kind: "read",
        roster: encodeVoterSet(this.replica.voterSet),
        sums,
        unsure,
        from,
        ...(floor ? { floor: encodeBallot(floor) } : {}),
      };
      const reply = await this.askOne(id, message, READ_TIMEOUT_US);
      if (!reply) return undefined;
      if (reply.kind !== "copy") {
        this.hearRefusal(reply);
        return undefined;
      }
      readList(reply, "entries", decodeEntryReport).forEach((row) => told.set(row.key, row));
      readList(reply, "same", asNumber).forEach((bucket) => same.add(bucket));
      if (floor && reply["pending"] !== undefined)
        this.note(
          this.replica.recordProposal({ ...decodeProposal(reply["pending"]), promised: NO_BALLOT }),
        );
      from = readNumber(reply, "next");
      if (from >= sums.length) return { counts: readFlag(reply, "counts"), told, same };
    }
    return undefined;
  };

  /**
   * What a copy does that may have lost something: it asks as many counting ones as share a member with every quorum to
   * take no try that began before, and holds the highest that any of them holds. From then on it counts.
   */
  private readonly catchUp = async (): Promise<Result<void, ReplicatedStoreError>> => {
    for (let turn = 1; ; turn += 1) {
      const refusals = this.refusals;
      const done = await this.catchUpOnce();
      // A refusal may only have told whom to ask, and with what number.
      if (done.isOk || turn >= CATCH_UP_TURNS || this.refusals === refusals) return done;
    }
  };

  private readonly catchUpOnce = async (): Promise<Result<void, ReplicatedStoreError>> => {
    const { logger: log, writeAheadLog: archive, withstandMachines } = this.options;
    const before = this.replica.copyOfEntries();
    const sums = this.replica.bucketSums();
    const floor = this.nextBallot();
    const rosterBefore = this.replica.voterSet.number;
    const views = new Map<string, View>();
    const read = await this.collect<View>({
      sets: () => (this.replica.voterSet.number === 0 ? [this.options.seeds()] : this.quorumSets()),
      needed: (members) =>
        this.replica.voterSet.number === 0 ? Infinity : readQuorumSize(members, withstandMachines),
      ask: async (id) => {
        if (id === this.options.self) return undefined;
        const view = await this.view(id, sums, [], floor);
        if (!view?.counts) return undefined;
        views.set(id, view);
        return view;
      },
    });
    if (read.isErr) return err(read.error);
    if (this.replica.voterSet.number !== rosterBefore) return err(new StaleVoterSetError());
    // A copy that is on no roster was one of no quorum that still counts; what it accepted long ago must not come up again.
    if (!this.isMember()) this.replica.dropUncommitted();
    const keys = new Set([
      ...before.keys(),
      ...[...views.values()].flatMap(({ told }) => [...told.keys()]),
    ]);
    const left = new Set(this.adopt([...keys], before, views));
    // What none knows to be agreed is held as it is: this copy may have been among those that accepted it.
    const held = [...views.values()].flatMap(({ told }) =>
      [...told.values()].flatMap((row): Entry[] =>
        left.has(row.key) && row.register !== "same"
          ? [
              {
                key: row.key,
                promised: NO_BALLOT,
                ballot: row.ballot,
                register: row.register,
                isAccepted: false,
                isCommitted: false,
              },
            ]
          : [],
      ),
    );
    this.note(this.replica.learn(held));
    this.note(this.replica.raiseFloor(floor));
    if (!(await this.persisted()) || (await archive.writeVerifiedSnapshot()).isErr)
      return err(new UnclearOutcomeError("the disk refused what was caught up"));
    this.note(this.replica.setVoting());
    if (!(await this.persisted())) {
      this.replica.setUnverified();
      return err(new UnclearOutcomeError("the disk refused what was caught up"));
    }
    log.info(`Caught up with ${keys.size} items, by roster ${this.replica.voterSet.number}.`);
    void this.events.emit("voting");
    return ok(undefined);
  };

  // --- the roster ---------------------------------------------------------------------------------------------------

  /**
   * Changes who the members are, in two decisions: a joint roster of old and new, and, once the new ones hold all that is
   * agreed, the new one. One change at a time; one begun by another is finished first. Ok: the wanted one stands.
   */
  readonly changeMembers = async (
    change: (members: readonly string[]) => readonly string[],
    moveMore: () => Promise<boolean> = async () => true,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    if (this.changing)
      return err(new UnclearOutcomeError("another change of the roster is under way"));
    this.changing = true;
    try {
      const settled = await this.finishRoster(moveMore);
      if (settled.isErr) return settled;
      const base = this.replica.voterSet;
      const wanted = [...new Set(change(base.members))].sort();
      if (wanted.join() === [...base.members].sort().join()) return ok(undefined);
      const joint = await this.decideRoster(base, {
        number: base.number + 1,
        from: base.members,
        members: wanted,
      });
      if (!joint || joint.members.join() !== wanted.join()) return err(new StaleVoterSetError());
      return await this.finishRoster(moveMore);
    } finally {
      this.changing = false;
    }
  };

  /** Ends a joint roster: everything agreed is brought to a quorum of the new members, then they stand alone. */
  private readonly finishRoster = async (
    moveMore: () => Promise<boolean>,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    for (let turn = 0; turn < 4; turn += 1) {
      const { voterSet } = this.replica;
      if (!isJoint(voterSet)) return ok(undefined);
      const moved = await this.spread(voterSet);
      if (moved.isErr) return moved;
      if (!(await moveMore()))
        return err(new UnclearOutcomeError("the new members don't hold everything yet"));
      await this.decideRoster(voterSet, {
        number: voterSet.number + 1,
        members: voterSet.members,
        from: [],
      });
    }
    return isJoint(this.replica.voterSet) ? err(new StaleVoterSetError()) : ok(undefined);
  };

  /** Ok once a quorum of each set holds all that was agreed before the roster became joint. */
  private readonly spread = async (
    voterSet: VoterSet,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { self, withstandMachines } = this.options;
    const read = await this.readNow();
    if (read.isErr) return read;
    const before = this.replica.copyOfEntries();
    const keys = [...before.values()]
      .filter(({ ballot }) => ballot.number > 0)
      .map(({ key }) => key);
    const missing = new Set(keys);
    const sums = this.replica.bucketSums();
    const views = new Map<string, View>();
    const looked = await this.collect<View>({
      sets: () => quorumSetsOf(voterSet),
      needed: (members) => quorumSize(members, withstandMachines),
      graceUs: GRACE_US,
      ask: async (id) => {
        const view = id === self ? await this.ownView() : await this.view(id, sums, []);
        if (!view?.counts) return undefined;
        views.set(id, view);
        return view;
      },
    });
    if (looked.isErr) return err(looked.error);
    const taken = new Map(views);
    keys.forEach((key) => {
      const own = before.get(key);
      if (!own) return;
      const holds = (id: string): boolean => {
        const view = taken.get(id);
        if (!view) return false;
        if (id === self || view.same.has(bucketOf(key))) return true;
        const told = view.told.get(key);
        return told !== undefined && !isHigherBallot(own.ballot, told.ballot);
      };
      if (
        quorumSetsOf(voterSet).every(
          (members) => members.filter(holds).length >= quorumSize(members, withstandMachines),
        )
      )
        missing.delete(key);
    });
    return this.finish([...missing]);
  };

  /** Decides the roster after `base`: the wanted one, or what is already half decided. */
  private readonly decideRoster = async (
    base: VoterSet,
    wanted: VoterSet,
  ): Promise<VoterSet | undefined> => {
    const { withstandMachines, logger: log } = this.options;
    const number = base.number + 1;
    for (let turn = 0; turn < 6 && this.replica.voterSet.number === base.number; turn += 1) {
      const ballot = this.nextBallot();
      const lives = new Map<string, string>();
      let found: VoterSetProposal | undefined;
      const ask = (
        message: Message,
        isAsked: (id: string) => boolean,
        take: (id: string, reply: Message) => void,
      ) => {
        let isOpen = true;
        return this.collect<Message>({
          sets: () => quorumSetsOf(base),
          needed: (members) => quorumSize(members, withstandMachines),
          ask: async (id) => {
            const reply = isAsked(id) ? await this.askOne(id, message, READ_TIMEOUT_US) : undefined;
            if (!reply || !isOpen) return undefined;
            if (reply.kind === "refused") {
              this.hearRefusal(reply);
              return undefined;
            }
            take(id, reply);
            return reply;
          },
        }).finally(() => {
          isOpen = false;
        });
      };
      const promised = await ask(
        {
          kind: "roster-promise",
          number,
          ballot: encodeBallot(ballot),
          roster: encodeVoterSet(base),
        },
        () => true,
        (id, reply) => {
          lives.set(id, readString(reply, "life"));
          const told = decodeProposal(reply["pending"]);
          if (
            told.number === number &&
            told.voterSet &&
            (!found || isHigherBallot(told.ballot, found.ballot))
          )
            found = told;
        },
      );
      const next: VoterSet = found?.voterSet ?? wanted;
      const accepted = promised.isOk
        ? await ask(
            {
              kind: "roster-accept",
              number,
              ballot: encodeBallot(ballot),
              roster: encodeVoterSet(base),
              lives: Object.fromEntries(lives),
              next: encodeVoterSet(next),
            },
            (id) => lives.has(id),
            () => undefined,
          )
        : promised;
      if (accepted.isOk) {
        this.takeRoster(next);
        log.info(
          `Roster ${next.number} is ${isJoint(next) ? `joint, to be ${next.members.join(", ")}` : next.members.join(", ")}.`,
        );
        this.tell([]);
        return next;
      }
      await sleep(this.options.clock, Math.round(this.options.random() * PAUSE_US * 2 ** turn));
    }
    return this.replica.voterSet.number > base.number ? this.replica.voterSet : undefined;
  };

  private readonly hearRefusal = (reply: Message): void => {
    this.refusals += 1;
    this.hearRoster(reply);
    if (typeof reply["top"] === "number")
      this.replica.observe({ number: reply["top"], proposer: "" });
  };

  private readonly hearRoster = (message: Message): void => {
    if (isRecord(message["roster"])) this.takeRoster(decodeVoterSet(message["roster"]));
  };

  private readonly takeRoster = (voterSet: VoterSet): void => {
    if (voterSet.number <= this.replica.voterSet.number) return;
    this.note(this.replica.adoptVoterSet(voterSet));
    if (!this.isMember() && this.isVoting) {
      this.replica.setUnverified();
      this.whyNot = "it is not on the roster";
    }
    void this.events.emit("voterSet", voterSet);
  };

  // --- asking -------------------------------------------------------------------------------------------------------

  private readonly note = (records: readonly UnknownRecord[]): void => {
    if (records.length > 0) this.unsaved = [...this.unsaved, ...records];
  };

  private readonly askOne = (
    id: string,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    const { self, transport, clock } = this.options;
    // Its own disk may stall, and then counts no more than a silent colleague.
    return id === self
      ? withTimeout(clock, waitUs, this.handleRequest(message), undefined)
      : transport.request(id, message, waitUs);
  };

  /** Asks every member of the sets; ok as soon as enough of each have answered, and the rest too or a grace is over. */
  private readonly collect = <T>({
    sets,
    needed,
    ask,
    graceUs = 0,
  }: Gathering<T>): Promise<Result<void, NoQuorumError>> => {
    const held = new Set<string>();
    const asked = new Set<string>();
    const missing = () =>
      sets().find(
        (members) =>
          members.length === 0 || members.filter((id) => held.has(id)).length < needed(members),
      );
    return new Promise((resolve) => {
      let open = 0;
      let isWaiting = false;
      const look = () => {
        const members = missing();
        if (members) {
          if (open === 0) resolve(err(new NoQuorumError(held.size, needed(members))));
        } else if (open === 0 || graceUs === 0) resolve(ok(undefined));
        else if (!isWaiting) {
          isWaiting = true;
          this.options.clock.after(graceUs, () => resolve(ok(undefined)));
        }
      };
      const askAll = () =>
        new Set(sets().flat()).forEach((id) => {
          if (asked.has(id)) return;
          asked.add(id);
          open += 1;
          void ask(id)
            .catch(() => undefined)
            .then((answer) => {
              if (answer !== undefined) held.add(id);
              open -= 1;
              askAll();
              look();
            });
        });
      askAll();
      if (open === 0) look();
    });
  };

  /** Puts a question to every member for other parts of the control state; ok once a quorum of each set has given an accepted answer. */
  readonly callQuorum = (
    message: Message,
    accepts: (reply: Message, id: string) => boolean,
    own: () => Promise<boolean>,
    waitUs: number,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { self, transport, withstandMachines } = this.options;
    return this.collect<true>({
      sets: this.quorumSets,
      needed: (members) => quorumSize(members, withstandMachines),
      ask: async (id) => {
        if (id === self) return (await own()) ? true : undefined;
        const reply = await transport.request(id, this.withVoterSet(message), waitUs);
        if (reply?.kind === "refused") this.hearRoster(reply);
        return reply !== undefined && accepts(reply, id) ? true : undefined;
      },
    });
  };

  /** The question with the roster that it is asked under, for other parts of the control state. */
  readonly withVoterSet = (message: Message): Message => ({
    ...message,
    under: this.replica.voterSet.number,
  });

  /** Why a question of theirs is not answered well: it is asked under an older roster, whose quorums no longer count. */
  readonly rejectIfOutdated = (message: Message): Message | undefined => {
    const { voterSet } = this.replica;
    const { under } = message;
    return typeof under === "number" && under < voterSet.number
      ? { ...refused("roster"), roster: encodeVoterSet(voterSet) }
      : undefined;
  };
}

const refused = (why: string, top?: number): Message => ({
  kind: "refused",
  why,
  ...(top === undefined ? {} : { top }),
});
