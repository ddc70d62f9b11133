/**
 * The leader lease: one controller at a time changes the voter set, decides ejections and leases
 * shares. The lease does not expire. Its term is a fencing token: requests under an older term are
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
/** Delay between the candidacies of successive members, so that they do not collide. */
const CANDIDATE_STAGGER_US = 300 * MILLISECOND_US;
/**
 * Default time for which a stopping controller tries to leave the voter set, and the interval
 * between its attempts.
 */
const LEAVE_TIMEOUT_US = 5_000 * MILLISECOND_US;
const LEAVE_RETRY_US = 200 * MILLISECOND_US;

/** Dependencies of {@link LeaderLease}. */
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
  /** Whether this controller has a disk; without one, it does not ask to become a voter. */
  readonly hasDisk: boolean;
  readonly withstandMachines: number;
  /** How long the holder must be unreachable before other members propose themselves. */
  readonly holderTimeoutUs: number;
  /** How long this controller tries to leave the voter set before it stops. */
  readonly leaveTimeoutUs?: number;
  /**
   * Copies other state that new members must hold before the old ones stop voting; true once done.
   */
  readonly copyOtherState?: () => Promise<boolean>;
}

/**
 * Acquires, holds and transfers the leader lease.
 *
 * Invariants: a term is a register's version, decided like any other, so it has one holder, in one
 * of its incarnations; a holder acts only while it knows of no newer term; every action carries its
 * term, which no quorum accepts once it has accepted a newer grant.
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

  /** Starts monitoring the holder and the voter set. */
  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  readonly stop = (): void => this.timer?.stop();

  /** The holder by the newest term known here; empty before the first term. */
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
   * Whether more than half of each set of voters is connected, including this replica if it votes.
   * This is an estimate, not a proof.
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

  /** Answers requests of peers about the lease: candidacy, join, leave and succession. */
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

  /** Transfers the lease to a connected, eligible member that accepts it. */
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
   * Prepares an orderly shutdown: transfers the lease if this controller holds it, then asks to
   * leave the voter set until the other members hold all state.
   */
  readonly stepDown = async (): Promise<void> => {
    this.stop();
    const { self, store, request, clock, logger } = this.options;
    const { leaveTimeoutUs = LEAVE_TIMEOUT_US } = this.options;
    if (!store.isMember()) return;
    const message = encodeLeaseRequest({ type: "leave", id: self });
    const beganUs = clock.nowUs();
    let reason = "no holder of the leader lease is reachable";
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
   * Converges on the target state: one connected holder, a voter set that is not joint, and every
   * caught-up controller with a disk in the voter set.
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

  /** Whether the holder has been unreachable long enough for this member to propose itself. */
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

  /**
   * Takes the lease by deciding the next term, provided that a quorum does not see the holder
   * either.
   */
  private readonly propose = async (namedBy: string): Promise<boolean> => {
    const { self, store, logger } = this.options;
    // A partitioned member does not propose: its rising terms would depose the holder once the
    // partition heals.
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

  /** Whether the lease is available to this candidate, as far as this member knows. */
  private readonly isFreeFor = (candidate: string, namedBy: string): boolean => {
    const { isConnected, self, store } = this.options;
    const holder = this.holder();
    if (!store.isVoting) return false;
    const isHolderSeen = holder !== "" && (holder === self ? this.isHolder() : isConnected(holder));
    return !isHolderSeen || holder === candidate || namedBy === holder;
  };
}
