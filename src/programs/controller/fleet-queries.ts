/**
 * Operators' queries about the fleet, the leader lease, and this replica. Field names are part of
 * the admin API and of the messages between controllers, and must not change.
 */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Peers } from "../../membership/peers.js";
import type { UnknownRecord } from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { pathArgument } from "./admin-api.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import type { QuorumFreshness } from "./quorum-freshness.js";

/** Query handlers by name; the name is a segment of the path. */
export type QueryHandlers = Readonly<Record<string, () => unknown>>;

/** Dependencies of {@link ReplicaStatus}. */
export interface ReplicaStatusOptions {
  /** The id of this controller. */
  readonly self: string;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly peers: Peers;
  readonly freshness: QuorumFreshness;
}

/**
 * Describes this replica and, by querying the other controllers, the leader lease and every
 * controller.
 */
export class ReplicaStatus {
  readonly peerHandlers: MessageHandlers;

  constructor(private readonly options: ReplicaStatusOptions) {
    this.peerHandlers = {
      [PEER_REQUEST.describeReplica]: () => ({ kind: PEER_REPLY.done, ...this.describeReplica() }),
    };
  }

  /**
   * The local view of this replica, available even without a quorum. It may differ from the state
   * of the fleet.
   */
  readonly describeReplica = (): UnknownRecord => {
    const { self, store, lease, freshness } = this.options;
    const { number, members, from } = store.voterSet();
    const term = store.term();
    return {
      view: "this copy's own",
      box: self,
      counting: store.isVoting,
      why: store.notVotingReason,
      majorityInReach: lease.seesMajority(),
      unansweredMs: Math.round(freshness.contactAgeUs() / MILLISECOND_US),
      roster: number,
      members,
      leaving: from.filter((id) => !members.includes(id)),
      isJoint: from.length > 0,
      term: term?.number ?? 0,
      holder: term?.holder ?? "",
    };
  };

  /**
   * The holder and term of the leader lease, the voter set, and the status of every controller with
   * the reason if it does not vote.
   */
  readonly describeLeaderLease = async (): Promise<UnknownRecord> => {
    const { self, store, lease, peers } = this.options;
    const controllers = [...new Set([self, ...store.members(), ...peers.known()])].sort();
    const rows = await Promise.all(controllers.map(this.describeController));
    const { number, members, from } = store.voterSet();
    return {
      holder: lease.holder(),
      term: lease.term(),
      here: lease.isHolder(),
      roster: { number, is: from.length > 0 ? "joint" : "simple", members, from },
      boxes: rows.filter(({ isMember, seen }) => isMember === true || seen === true),
    };
  };

  /** The status of one controller as it reports it; without an answer it is marked as unseen. */
  private readonly describeController = async (controller: string): Promise<UnknownRecord> => {
    const { self, store, peers } = this.options;
    const status =
      controller === self
        ? this.describeReplica()
        : await peers.request(controller, { kind: PEER_REQUEST.describeReplica }, WRITE_TIMEOUT_US);
    const isMember = store.members().includes(controller);
    if (!status)
      return {
        box: controller,
        isMember,
        seen: false,
        counting: false,
        why: "it does not answer",
      };
    return {
      box: controller,
      isMember,
      seen: true,
      counting: status["counting"],
      why: status["why"],
      roster: status["roster"],
      term: status["term"],
      majorityInReach: status["majorityInReach"],
    };
  };
}

/**
 * The route that answers queries by name.
 *
 * @param fleetQueries - answered only once a majority asked after the call has answered
 * @param localQueries - answered at any time
 */
export const queryRoutes = (
  store: ReplicatedStore,
  fleetQueries: QueryHandlers,
  localQueries: QueryHandlers,
): readonly ApiRoute[] => {
  const answer = async (request: ApiRequest): Promise<ApiResponse> => {
    const name = pathArgument(request);
    const query = localQueries[name] ?? fleetQueries[name];
    if (!query) return { outcome: "unknownCall" };
    if (localQueries[name] === undefined && !(await store.confirmQuorum()))
      return { outcome: "noMajority" };
    return { outcome: "taken", body: { [name]: await query() } };
  };
  return [{ method: "GET", path: "/tell/*", handle: answer }];
};
