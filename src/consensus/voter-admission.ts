/** Admission and removal of voters by the holder of the leader lease. */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { Message } from "../transport/connection.js";
import { LEASE_REASONS, type LeaseResponse } from "./lease-messages.js";
import { decodeContactResponse, encodeContactRequest } from "./messages.js";
import type { MemberChange } from "./reconfiguration.js";
import type { ReplicatedStore } from "./replicated-store.js";
import { READ_TIMEOUT_US, WRITE_TIMEOUT_US } from "./timeouts.js";
import { isJoint } from "./voter-set.js";

/**
 * A member that has been disconnected for this long may be replaced by a replica that asks to join.
 */
const REPLACE_AFTER_US = 1_500 * MILLISECOND_US;

/** Dependencies of {@link VoterAdmission}. */
export interface VoterAdmissionOptions {
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
  readonly withstandMachines: number;
  /**
   * Copies other state that new members must hold before the old ones stop voting; true once done.
   */
  readonly copyOtherState?: (() => Promise<boolean>) | undefined;
  readonly isHolder: () => boolean;
}

/**
 * Handles the join and leave requests of replicas.
 *
 * Invariant: silence alone never shrinks the voter set; a disconnected member is removed only if
 * another takes its place.
 */
export class VoterAdmission {
  /** Since when each member has been disconnected from here, in microseconds of the clock. */
  private readonly unseenSinceUs = new Map<string, number>();

  constructor(private readonly options: VoterAdmissionOptions) {}

  /** Records which members are connected now. */
  readonly observeMembers = (): void => {
    const { store, isConnected, clock } = this.options;
    const members = store.members();
    [...this.unseenSinceUs.keys()]
      .filter((id) => !members.includes(id))
      .forEach((id) => this.unseenSinceUs.delete(id));
    members.forEach((id) => {
      if (isConnected(id)) this.unseenSinceUs.delete(id);
      else if (!this.unseenSinceUs.has(id)) this.unseenSinceUs.set(id, clock.nowUs());
    });
  };

  /**
   * Adds a replica in place of the member that has been disconnected longest, or as an additional
   * member if all are connected.
   */
  readonly join = async (id: string): Promise<LeaseResponse> => {
    const { store, clock, request, isHolder } = this.options;
    if (!isHolder()) return { isGranted: false, reason: LEASE_REASONS.notHolder };
    if (store.members().includes(id))
      return { isGranted: !isJoint(store.voterSet()), reason: LEASE_REASONS.voterSetChanging };
    // Contacted now, so that a delayed request does not add a replica that has since left and does
    // not know it.
    const reply = await request(id, encodeContactRequest(store.voterSet()), WRITE_TIMEOUT_US);
    if (!this.hasCaughtUp(reply)) return { isGranted: false, reason: LEASE_REASONS.notCaughtUp };
    this.observeMembers();
    const unseen = this.longestUnseenOf(store.members());
    if (unseen && clock.nowUs() - unseen.sinceUs < REPLACE_AFTER_US)
      return { isGranted: false, reason: LEASE_REASONS.mayComeBack(unseen.id) };
    // A connection may still seem open for a while after a freeze or a partition, so if all members
    // seem connected, each of them is contacted.
    const unresponsive = unseen ? undefined : await this.findUnresponsiveMember();
    if (unresponsive !== undefined)
      return { isGranted: false, reason: LEASE_REASONS.silent(unresponsive) };
    // Chosen from the members at the time of the change. A change that had already begun may have
    // replaced the disconnected member, or added this replica, in which case nobody is replaced.
    const isGranted = await this.changeVoters((members) => {
      if (members.includes(id)) return members;
      const replaced = this.longestUnseenOf(members)?.id;
      return [...members.filter((member) => member !== replaced), id];
    });
    return { isGranted, reason: LEASE_REASONS.noQuorum };
  };

  /**
   * Removes a member, unless too few would be left. Granted once the other members hold all state.
   */
  readonly leave = async (id: string): Promise<LeaseResponse> => {
    const { store, withstandMachines, isHolder } = this.options;
    if (!isHolder()) return { isGranted: false, reason: LEASE_REASONS.notHolder };
    const { members } = store.voterSet();
    if (!members.includes(id))
      return { isGranted: !isJoint(store.voterSet()), reason: LEASE_REASONS.voterSetChanging };
    const wouldBeTooFew = (all: readonly string[]) => all.length - 1 < 2 * withstandMachines + 1;
    if (wouldBeTooFew(members)) return { isGranted: false, reason: LEASE_REASONS.tooFewLeft };
    const isChanged = await this.changeVoters((all) =>
      wouldBeTooFew(all) ? all : all.filter((member) => member !== id),
    );
    return {
      isGranted: isChanged && !store.members().includes(id),
      reason: LEASE_REASONS.stateNotCopied,
    };
  };

  /** Whether a newcomer reports that it votes and knows the newest voter set. */
  private readonly hasCaughtUp = (reply: Message | undefined): boolean => {
    if (!reply) return false;
    const { isVoting, voterSet } = decodeContactResponse(reply);
    return isVoting && voterSet?.number === this.options.store.voterSet().number;
  };

  private readonly longestUnseenOf = (
    members: readonly string[],
  ): { readonly id: string; readonly sinceUs: number } | undefined => {
    const [longest] = [...this.unseenSinceUs]
      .filter(([member]) => members.includes(member))
      .sort(([, one], [, other]) => one - other);
    return longest && { id: longest[0], sinceUs: longest[1] };
  };

  private readonly findUnresponsiveMember = async (): Promise<string | undefined> => {
    const { store, self, request } = this.options;
    const others = store.members().filter((id) => id !== self);
    const replies = await Promise.all(
      others.map((id) => request(id, encodeContactRequest(store.voterSet()), READ_TIMEOUT_US)),
    );
    return others.find((_id, at) => replies[at] === undefined);
  };

  private readonly changeVoters = async (change: MemberChange): Promise<boolean> => {
    const { store, copyOtherState, logger } = this.options;
    const changed = await store.changeMembers(change, copyOtherState);
    if (changed.isOk) logger.info("voter set changed", { members: store.members() });
    return changed.isOk;
  };
}
