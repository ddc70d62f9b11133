/**
 * The leader lease: one controller at a time changes the voters, decides ejections and leases
 * shares. The lease has no time of its own. It is a term that fences: whoever holds an older one is
 * rejected (see term.ts).
 */
import { sleep, type Clock, type Timer } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { Message } from "../transport/connection.js";
import {
  decodeLeaseRequest,
  decodeLeaseResponse,
  encodeLeaseRequest,
  encodeLeaseResponse,
} from "./lease-messages.js";
import type { ReplicatedStore } from "./replicated-store.js";
import { encodeGrant, LEADER_LEASE_KEY, termOf, type Term } from "./term.js";
import { WRITE_TIMEOUT_US } from "./timeouts.js";
import { VoterAdmission } from "./voter-admission.js";
import { isJoint } from "./voter-set.js";

const TICK_US = 250 * MILLISECOND_US;
/** Members propose themselves one after the other, so that they don't collide. */
const CANDIDATE_STAGGER_US = 300 * MILLISECOND_US;
/**
 * For how long a controller that stops tries to be let go where nothing else is said, and how
 * often.
 */
const LEAVE_TIMEOUT_US = 5_000 * MILLISECOND_US;
const LEAVE_RETRY_US = 200 * MILLISECOND_US;

/** What a `LeaderLease` is made of. */
export interface LeaderLeaseOptions {
  readonly self: string;
  readonly store: ReplicatedStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isConnected: (id: string) => boolean;
  readonly request: (
    id: string,
    message: Message,
    timeoutUs: number,
  ) => Promise<Message | undefined>;
  /** Whether this controller has a disk; without one it does not ask to become a voter. */
  readonly hasDisk: boolean;
  readonly withstandMachines: number;
  /** For how long a holder must be unseen before others propose themselves. */
  readonly holderTimeoutUs: number;
  /** How long this controller tries to be let go before it stops. */
  readonly leaveTimeoutUs?: number;
  /** What else new members must hold before the old ones stop voting. */
  readonly copyOtherState?: () => Promise<boolean>;
}

/**
 * Invariants: a term is a register's version, decided like any other, so it has one holder, in one
 * of its incarnations; a holder acts only while it knows of no newer term, and every act carries
 * its term, which no quorum accepts once it has accepted a newer grant.
 */
export class LeaderLease {
  private readonly admission: VoterAdmission;
  private wonTerm: Term | undefined;
  private holderUnseenSinceUs: number | undefined;
  private isBusy = false;
  private timer: Timer | undefined;

  constructor(private readonly options: LeaderLeaseOptions) {
    this.admission = new VoterAdmission({ ...options, isHolder: () => this.isHolder() });
  }

  /** Begins to watch the holder and the voters. */
  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  readonly stop = (): void => this.timer?.stop();

  /** Who holds the lease, by the newest term known here; empty before the first. */
  readonly holder = (): string => this.options.store.term()?.holder ?? "";

  /** The number of the newest term known here; 0 before the first. */
  readonly term = (): number => this.options.store.newestTerm();

  /**
   * The term under which this controller may act; undefined unless it holds the lease as far as it
   * knows.
   */
  readonly activeTerm = (): Term | undefined => {
    const { store } = this.options;
    return this.wonTerm &&
      store.newestTerm() <= this.wonTerm.number &&
      !store.isSuperseded(this.wonTerm)
      ? this.wonTerm
      : undefined;
  };

  /** Whether this controller holds the lease as far as it knows. */
  readonly isHolder = (): boolean => this.activeTerm() !== undefined;

  /**
   * Whether this controller still holds the lease, confirmed by a majority asked after this call.
   */
  readonly confirm = async (): Promise<boolean> =>
    this.isHolder() && (await this.options.store.confirmQuorum()) && this.isHolder();

  /**
   * Whether more than half of each set of voters is connected, this one included if it votes; a
   * belief, no proof.
   */
  readonly seesMajority = (): boolean => {
    const { self, store, isConnected } = this.options;
    return store
      .quorumSets()
      .every(
        (members) =>
          members.filter((id) => isConnected(id) && (id !== self || store.isVoting)).length >
          members.length / 2,
      );
  };

  /**
   * Answers what peers ask of the lease: whether its holder is seen here, to join, to leave, to
   * succeed.
   */
  readonly handleRequest = async (message: Message): Promise<Message> => {
    const request = decodeLeaseRequest(message);
    switch (request.type) {
      case "candidate":
        return encodeLeaseResponse({
          isGranted: this.isFreeFor(request.candidate, request.namedBy),
        });
      case "join":
        return encodeLeaseResponse(await this.admission.join(request.id));
      case "leave":
        return encodeLeaseResponse(await this.admission.leave(request.id));
      case "succeed":
        return encodeLeaseResponse({ isGranted: await this.propose(request.namedBy) });
    }
  };

  /** Hands the lease to a connected member that fits and takes it. */
  readonly transferTo = async (isEligible: (id: string) => boolean): Promise<boolean> => {
    const { self, store, isConnected, request } = this.options;
    const message = encodeLeaseRequest({ type: "succeed", namedBy: self });
    const candidates = store
      .members()
      .filter((id) => id !== self && isConnected(id) && isEligible(id));
    for (const candidate of candidates) {
      if (!this.isHolder()) return false;
      const reply = await request(candidate, message, WRITE_TIMEOUT_US);
      if (reply && decodeLeaseResponse(reply).isGranted) return true;
    }
    return false;
  };

  /**
   * Before an orderly end: names a successor if this one holds the lease, then asks to be let go
   * until the others hold everything.
   */
  readonly stepDown = async (): Promise<void> => {
    this.stop();
    const { self, store, request, clock, logger } = this.options;
    const { leaveTimeoutUs = LEAVE_TIMEOUT_US } = this.options;
    if (!store.isMember()) return;
    const message = encodeLeaseRequest({ type: "leave", id: self });
    const beganUs = clock.nowUs();
    let reason = "no holder of the leader lease is in reach";
    while (clock.nowUs() - beganUs < leaveTimeoutUs) {
      if (this.isHolder()) await this.transferTo(() => true);
      const holder = this.holder();
      const reply =
        holder === self || holder === ""
          ? undefined
          : await request(holder, message, WRITE_TIMEOUT_US * 2);
      const response = reply && decodeLeaseResponse(reply);
      if (response?.isGranted) return;
      reason = response?.reason ?? reason;
      await sleep(clock, LEAVE_RETRY_US);
    }
    logger.warn("stopped while still in the voter set", { reason });
  };

  /**
   * The wanted state: one connected holder, a voter set that is not joint, and every caught-up
   * controller with a disk in it.
   */
  private readonly tick = async (): Promise<void> => {
    this.admission.observeMembers();
    if (this.isBusy) return;
    this.isBusy = true;
    try {
      const { self, store, isConnected, request, hasDisk, copyOtherState } = this.options;
      if (!store.isVoting) return;
      const holder = this.holder();
      if (!store.isMember()) {
        if (hasDisk && holder !== "" && isConnected(holder))
          await request(
            holder,
            encodeLeaseRequest({ type: "join", id: self }),
            WRITE_TIMEOUT_US * 3,
          );
        return;
      }
      const members = store.members();
      if (this.isHolder() && isJoint(store.voterSet()))
        await store.changeMembers((all) => all, copyOtherState);
      const isHolderSeen =
        holder === self ? this.isHolder() : members.includes(holder) && isConnected(holder);
      if (this.shouldPropose(isHolderSeen, holder, members)) await this.propose("");
    } finally {
      this.isBusy = false;
    }
  };

  /** Whether the holder has been unseen for long enough that this member should propose itself. */
  private readonly shouldPropose = (
    isHolderSeen: boolean,
    holder: string,
    members: readonly string[],
  ): boolean => {
    const { self, clock, holderTimeoutUs } = this.options;
    if (isHolderSeen) {
      this.holderUnseenSinceUs = undefined;
      return false;
    }
    const nowUs = clock.nowUs();
    this.holderUnseenSinceUs ??= nowUs;
    const canProposeImmediately = holder === "" || holder === self;
    const waitUs =
      (canProposeImmediately ? 0 : holderTimeoutUs) + members.indexOf(self) * CANDIDATE_STAGGER_US;
    return nowUs - this.holderUnseenSinceUs >= waitUs;
  };

  /** Takes the lease by deciding the next term, if a quorum doesn't see the holder either. */
  private readonly propose = async (namedBy: string): Promise<boolean> => {
    const { self, store, logger } = this.options;
    // One that is partitioned proposes nothing: its terms would rise and unseat the holder once it
    // is joined again.
    if (!store.isMember() || !store.isVoting || !this.seesMajority()) return false;
    const approval = await store.callQuorum(
      encodeLeaseRequest({ type: "candidate", candidate: self, namedBy }),
      (response) => decodeLeaseResponse(response).isGranted,
      async () => this.isFreeFor(self, namedBy),
      WRITE_TIMEOUT_US,
    );
    if (approval.isErr) return false;
    const previousNumber = store.term()?.number ?? 0;
    const decided = await store.decide(LEADER_LEASE_KEY, (grant) => {
      const known = termOf(grant);
      const isOwn = known?.holder === self && known.incarnation === store.incarnation;
      return isOwn || (known?.number ?? 0) <= previousNumber
        ? encodeGrant(self, store.incarnation)
        : undefined;
    });
    const term = decided.isOk ? termOf(decided.value) : undefined;
    if (term?.holder !== self || term.incarnation !== store.incarnation) return false;
    this.wonTerm = term;
    this.holderUnseenSinceUs = undefined;
    logger.info("leader lease taken", { term: term.number });
    return true;
  };

  /** Whether the lease is free for this candidate, as seen from here. */
  private readonly isFreeFor = (candidate: string, namedBy: string): boolean => {
    const { isConnected, self, store } = this.options;
    const holder = this.holder();
    if (!store.isVoting) return false;
    const isHolderSeen = holder !== "" && (holder === self ? this.isHolder() : isConnected(holder));
    return !isHolderSeen || holder === candidate || namedBy === holder;
  };
}
