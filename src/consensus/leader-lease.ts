import { sleep, type Clock, type Timer } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { asRecord, readFlag, isRecord, readString } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { encodeGrant, LEADER_LEASE_KEY, termOf, type Term } from "./term.js";
import { READ_TIMEOUT_US, WRITE_TIMEOUT_US } from "./timeouts.js";
import type { ReplicatedStore } from "./replicated-store.js";
import { isJoint, encodeVoterSet, decodeVoterSet } from "./voter-set.js";

const TICK_US = 250 * MILLISECOND_US;
/** A member unseen for so long is replaced by a newcomer that asks to join. */
const REPLACE_US = 1_500 * MILLISECOND_US;
/** How long a box that leaves tries to be let go where nothing else is said, and how often. */
const LEAVE_US = 5_000 * MILLISECOND_US;
const LEAVE_AGAIN_US = 200 * MILLISECOND_US;

export interface LeaderLeaseOptions {
  readonly self: string;
  readonly store: ReplicatedStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isConnected: (id: string) => boolean;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly hasDisk: boolean;
  readonly withstandMachines: number;
  /** For how long a holder must be unseen before others propose themselves. */
  readonly holderTimeoutUs: number;
  /** How long this box tries to be let go before it ends. */
  readonly leaveTimeoutUs?: number;
  /** What else new members must hold before the old ones stop counting. */
  readonly copyOtherState?: () => Promise<boolean>;
}

/**
 * The duty that one signalbox does: changing the roster, deciding ejections, leasing shares.
 * Invariants: a term is a register's version, decided like any other, so it has one holder, in one of its lives; a
 * holder acts only while it knows of no newer term, and every act carries its term, which no quorum accepts once it has
 * accepted a newer grant.
 */
export class LeaderLease {
  private won: Term | undefined;
  private holderUnseenUs: number | undefined;
  /** Since when each member has been unseen here. */
  private readonly unseenUs = new Map<string, number>();
  private isBusy = false;
  private pulse: Timer | undefined;

  constructor(private readonly options: LeaderLeaseOptions) {}

  readonly start = (): void => {
    this.pulse = this.options.clock.every(TICK_US, () => void this.tick());
  };

  readonly stop = (): void => this.pulse?.stop();

  readonly holder = (): string => this.options.store.term()?.holder ?? "";

  /** The number of the newest term known here; 0 before the first. */
  readonly term = (): number => this.options.store.newestTerm();

  /** The term under which this box may act; undefined unless it holds the duty as far as it knows. */
  readonly activeTerm = (): Term | undefined => {
    const { store } = this.options;
    return this.won && store.newestTerm() <= this.won.number && !store.isSuperseded(this.won)
      ? this.won
      : undefined;
  };

  readonly isHolder = (): boolean => this.activeTerm() !== undefined;

  /** Whether this box still holds the duty, by the word of a majority asked after this call. */
  readonly confirm = async (): Promise<boolean> =>
    this.isHolder() && (await this.options.store.confirmQuorum()) && this.isHolder();

  /** Whether more than half of each set of the roster stands, this one included if its copy counts; a belief, no proof. */
  readonly seesMajority = (): boolean => {
    const { self, store, isConnected: stands } = this.options;
    return store
      .quorumSets()
      .every(
        (members) =>
          members.filter((id) => stands(id) && (id !== self || store.isVoting)).length >
          members.length / 2,
      );
  };

  /** Answers what colleagues ask of the duty: whether its holder is seen here, to join, to leave, to succeed. */
  readonly handleRequest = async (message: Message): Promise<Message> => {
    switch (message.kind) {
      case "unseen":
        return {
          kind: "done",
          yes: this.isFree(readString(message, "holder"), readString(message, "namedBy")),
        };
      case "join":
        return { kind: "done", ...(await this.join(readString(message, "id"))) };
      case "leave":
        return { kind: "done", ...(await this.leave(readString(message, "id"))) };
      default:
        return { kind: "done", yes: await this.propose(readString(message, "namedBy")) };
    }
  };

  /** Gives the duty to a standing member that fits and takes it. */
  readonly transferTo = async (fits: (id: string) => boolean): Promise<boolean> => {
    const { self, store, isConnected: stands, request: ask } = this.options;
    for (const other of store.members().filter((id) => id !== self && stands(id) && fits(id))) {
      if (!this.isHolder()) return false;
      const reply = await ask(other, { kind: "succeed", namedBy: self }, WRITE_TIMEOUT_US);
      if (reply !== undefined && readFlag(reply, "yes")) return true;
    }
    return false;
  };

  /** Before an orderly end: names a successor if this one holds the duty, then asks to be let go until the others hold everything. */
  readonly stepDown = async (): Promise<void> => {
    this.stop();
    const {
      self,
      store,
      request: ask,
      clock,
      logger: log,
      leaveTimeoutUs: leaveUs = LEAVE_US,
    } = this.options;
    if (!store.isMember()) return;
    const beganUs = clock.nowUs();
    let why = "no holder of the duty is in reach";
    while (clock.nowUs() - beganUs < leaveUs) {
      if (this.isHolder()) await this.transferTo(() => true);
      const holder = this.holder();
      const reply =
        holder === self || holder === ""
          ? undefined
          : await ask(holder, { kind: "leave", id: self }, WRITE_TIMEOUT_US * 2);
      if (reply && readFlag(reply, "yes")) return;
      if (reply && typeof reply["why"] === "string") why = reply["why"];
      await sleep(clock, LEAVE_AGAIN_US);
    }
    log.warn(`Ends while still on the roster: ${why}.`);
  };

  /** The wanted state is one standing holder, a roster that is not joint, and every caught-up signalbox with a disk on it. */
  private readonly tick = async (): Promise<void> => {
    this.watch();
    if (this.isBusy) return;
    this.isBusy = true;
    try {
      const {
        self,
        store,
        isConnected: stands,
        request: ask,
        hasDisk,
        clock,
        holderTimeoutUs: patienceUs,
      } = this.options;
      if (!store.isVoting) return;
      const holder = this.holder();
      const members = store.members();
      if (!store.isMember()) {
        if (hasDisk && holder !== "" && stands(holder))
          await ask(holder, { kind: "join", id: self }, WRITE_TIMEOUT_US * 3);
        return;
      }
      if (this.isHolder() && isJoint(store.voterSet()))
        await store.changeMembers((all) => all, this.options.copyOtherState);
      const isSeen = holder === self ? this.isHolder() : members.includes(holder) && stands(holder);
      if (isSeen) {
        this.holderUnseenUs = undefined;
        return;
      }
      const nowUs = clock.nowUs();
      this.holderUnseenUs ??= nowUs;
      const isFirst = holder === "" || holder === self;
      const waitUs = (isFirst ? 0 : patienceUs) + members.indexOf(self) * 300 * MILLISECOND_US;
      if (nowUs - this.holderUnseenUs >= waitUs) await this.propose("");
    } finally {
      this.isBusy = false;
    }
  };

  private readonly watch = (): void => {
    const { store, isConnected: stands, clock } = this.options;
    const members = store.members();
    [...this.unseenUs.keys()]
      .filter((id) => !members.includes(id))
      .forEach((id) => this.unseenUs.delete(id));
    members.forEach((id) => {
      if (stands(id)) this.unseenUs.delete(id);
      else if (!this.unseenUs.has(id)) this.unseenUs.set(id, clock.nowUs());
    });
  };

  /** Takes the duty by deciding the next term, if a majority doesn't see the holder either. */
  private readonly propose = async (namedBy: string): Promise<boolean> => {
    const { self, store, logger: log } = this.options;
    // One that is cut off proposes nothing: its terms would rise and unseat the holder once it is joined.
    if (!store.isMember() || !store.isVoting || !this.seesMajority()) return false;
    const question: Message = { kind: "unseen", holder: self, namedBy };
    const free = await store.callQuorum(
      question,
      (reply) => readFlag(reply, "yes"),
      async () => this.isFree(self, namedBy),
      WRITE_TIMEOUT_US,
    );
    if (free.isErr) return false;
    const before = store.term()?.number ?? 0;
    const decided = await store.decide(LEADER_LEASE_KEY, (now) => {
      const known = termOf(now);
      const isMine = known?.holder === self && known.incarnation === store.incarnation;
      return isMine || (known?.number ?? 0) <= before
        ? encodeGrant(self, store.incarnation)
        : undefined;
    });
    const term = decided.isOk ? termOf(decided.value) : undefined;
    if (!term || term.holder !== self || term.incarnation !== store.incarnation) return false;
    this.won = term;
    this.holderUnseenUs = undefined;
    log.info(`Took the duty with term ${term.number}.`);
    return true;
  };

  /** Whether the duty is free for this proposer, as seen from here. */
  private readonly isFree = (proposer: string, namedBy: string): boolean => {
    const { isConnected: stands, self, store } = this.options;
    const holder = this.holder();
    if (!store.isVoting) return false;
    const isSeen = holder !== "" && (holder === self ? this.isHolder() : stands(holder));
    return !isSeen || holder === proposer || namedBy === holder;
  };

  /** A newcomer takes the place of the member that has been unseen longest, or a new one if all are seen. */
  private readonly join = async (
    id: string,
  ): Promise<{ readonly yes: boolean; readonly why: string }> => {
    const { store, clock, request: ask } = this.options;
    if (!this.isHolder()) return { yes: false, why: "this box does not hold the duty" };
    if (store.members().includes(id))
      return { yes: !isJoint(store.voterSet()), why: "the roster is changing" };
    // Asked now, so that a request that was long on its way adds nobody who doesn't know that it was let go.
    const reply = await ask(
      id,
      { kind: "contact", roster: encodeVoterSet(store.voterSet()) },
      WRITE_TIMEOUT_US,
    );
    const isReady =
      reply !== undefined &&
      readFlag(reply, "counts") &&
      isRecord(reply["roster"]) &&
      decodeVoterSet(asRecord(reply["roster"])).number === store.voterSet().number;
    if (!isReady) return { yes: false, why: "the newcomer has not caught up" };
    this.watch();
    const unseenOf = (members: readonly string[]) =>
      [...this.unseenUs]
        .filter(([member]) => members.includes(member))
        .sort(([, a], [, b]) => a - b)[0];
    const unseen = unseenOf(store.members());
    if (unseen && clock.nowUs() - unseen[1] < REPLACE_US)
      return { yes: false, why: `${unseen[0]} may come back` };
    // A link may seem to stand for a while after a thaw or a cut: where all seem to be there, each is asked.
    const silent = unseen ? undefined : await this.silentMember();
    if (silent !== undefined) return { yes: false, why: `${silent} does not answer` };
    // Chosen among those who are members then: a change that had begun may have replaced the one seen now.
    // It may have brought this one in too: then there is nobody to replace.
    const changed = await this.change((members) =>
      members.includes(id)
        ? members
        : [...members.filter((member) => member !== unseenOf(members)?.[0]), id],
    );
    return { yes: changed, why: "no quorum" };
  };

  private readonly silentMember = async (): Promise<string | undefined> => {
    const { store, self, request: ask } = this.options;
    const others = store.members().filter((id) => id !== self);
    const replies = await Promise.all(
      others.map((id) =>
        ask(id, { kind: "contact", roster: encodeVoterSet(store.voterSet()) }, READ_TIMEOUT_US),
      ),
    );
    return others.find((_id, at) => replies[at] === undefined);
  };

  private readonly leave = async (
    id: string,
  ): Promise<{ readonly yes: boolean; readonly why: string }> => {
    const { store, withstandMachines } = this.options;
    if (!this.isHolder()) return { yes: false, why: "this box does not hold the duty" };
    const { members } = store.voterSet();
    if (!members.includes(id))
      return { yes: !isJoint(store.voterSet()), why: "the roster is changing" };
    const areTooFew = (all: readonly string[]) => all.length - 1 < 2 * withstandMachines + 1;
    if (areTooFew(members)) return { yes: false, why: "too few would be left" };
    const changed = await this.change((all) =>
      areTooFew(all) ? all : all.filter((member) => member !== id),
    );
    return {
      yes: changed && !store.members().includes(id),
      why: "the others don't hold everything yet",
    };
  };

  private readonly change = async (
    to: (members: readonly string[]) => readonly string[],
  ): Promise<boolean> => {
    const { store, copyOtherState: moveMore, logger: log } = this.options;
    const changed = await store.changeMembers(to, moveMore);
    if (changed.isOk) log.info(`The roster is now ${store.members().join(", ")}.`);
    return changed.isOk;
  };
}
