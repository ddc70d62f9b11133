/** Sets up the controller's replica, its replicated store, and the leader lease. */
import { NodeFileSystem } from "../../storage/file-system.js";
import { WriteAheadLog } from "../../storage/write-ahead-log.js";
import { LeaderLease } from "../../consensus/leader-lease.js";
import { Replica } from "../../consensus/replica.js";
import { CONSENSUS_MESSAGE_KINDS } from "../../consensus/messages.js";
import { ReplicatedStore } from "../../consensus/replicated-store.js";
import { allMembersOf } from "../../consensus/voter-set.js";
import type { Peers } from "../../membership/peers.js";
import type { Clock } from "../../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { LEASE_REQUESTS, PEER_REQUEST } from "./peer-messages.js";

/**
 * How long the leader must be disconnected before other controllers stand for election. This comes
 * on top of the one second after which a link detects silence.
 */
const LEADER_TIMEOUT_US = 500 * MILLISECOND_US;

/** Dependencies of {@link openConsensus}. */
export interface ConsensusOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly fileSystem: NodeFileSystem;
  readonly peers: Peers;
  /**
   * Copies the state outside the store that new voters need before the old ones stop voting; true
   * once complete.
   */
  readonly copyOtherState: () => Promise<boolean>;
}

/** The replicated store and the leader lease, with their message handlers. */
export interface Consensus {
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  /**
   * Whether this controller's links reach no majority. This is a local estimate: true suffices to
   * reject calls, but false does not prove that there is a quorum.
   */
  readonly isWithoutQuorum: () => boolean;
  /**
   * Sends a request to the leader, as far as it is known locally; undefined if it does not reply in
   * time.
   */
  readonly askHolder: (message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly peerHandlers: MessageHandlers;
  /** Loads the state on disk and joins the cluster. */
  readonly start: () => Promise<void>;
  /** Transfers the lease and leaves the voter set, if possible within the grace period. */
  readonly close: () => Promise<void>;
}

/**
 * Creates the replica, the replicated store and the leader lease. Sends no messages before `start`.
 */
export const openConsensus = (options: ConsensusOptions): Consensus => {
  const { settings, clock, fileSystem, peers, copyOtherState } = options;
  const self = settings.control;
  const replica = new Replica();
  const writeAheadLog = new WriteAheadLog({
    folder: settings.dataFolder,
    fileSystem,
    snapshot: replica.snapshot,
  });
  const store = new ReplicatedStore({
    self,
    writeAheadLog,
    replica,
    // No peer is known at the first start; later, all seed nodes may have been replaced.
    seeds: () => [...new Set([...settings.seedNodes, ...peers.known()])],
    transport: { request: peers.request, broadcast: peers.broadcast },
    clock,
    random: Math.random,
    withstandMachines: settings.withstandMachines,
    logger: loggerFor("replicated-store"),
  });
  const lease = new LeaderLease({
    self,
    store,
    clock,
    logger: loggerFor("leader-lease"),
    isConnected: peers.isConnected,
    request: peers.request,
    hasDisk: writeAheadLog.hasDisk,
    withstandMachines: settings.withstandMachines,
    holderTimeoutUs: LEADER_TIMEOUT_US,
    leaveTimeoutUs: Math.max(SECOND_US, settings.graceUs - SECOND_US),
    copyOtherState,
  });
  store.events.on("voterSet", (voterSet) => peers.learn(allMembersOf(voterSet)));

  return {
    store,
    lease,
    isWithoutQuorum: () => !lease.seesMajority(),
    askHolder: (message, waitUs) => peers.request(lease.holder(), message, waitUs),
    peerHandlers: {
      ...Object.fromEntries(
        [...CONSENSUS_MESSAGE_KINDS].map((kind) => [kind, store.handleRequest]),
      ),
      ...Object.fromEntries(LEASE_REQUESTS.map((kind) => [kind, lease.handleRequest])),
      [PEER_REQUEST.applyCommitted]: (message) => {
        store.applyCommitted(message);
        return undefined;
      },
    },
    start: () => store.start(settings.firstRun),
    close: lease.stepDown,
  };
};
