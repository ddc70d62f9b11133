/** The controller's replica, the replicated store over it, and the leader lease. */
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
 * How long the lease holder must be unseen before others propose themselves; a link notices silence
 * after a second.
 */
const HOLDER_TIMEOUT_US = 500 * MILLISECOND_US;

/** What consensus is opened on. */
export interface ConsensusOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly fileSystem: NodeFileSystem;
  readonly peers: Peers;
  /**
   * Copies what else new voters must hold before the old ones stop counting; true once that is
   * done.
   */
  readonly copyOtherState: () => Promise<boolean>;
}

/** The open replicated store and leader lease. */
export interface Consensus {
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  /**
   * Whether this controller's links reach no majority: a belief, reason enough to refuse, while the
   * contrary proves nothing.
   */
  readonly isWithoutQuorum: () => boolean;
  /**
   * Asks the holder of the leader lease, as far as it is known here; undefined where it doesn't
   * reply in time.
   */
  readonly askHolder: (message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly peerHandlers: MessageHandlers;
  /** Loads what the disk holds and takes part from then on. */
  readonly start: () => Promise<void>;
  /** Hands over the lease and leaves the voters, if that can be done in time. */
  readonly close: () => Promise<void>;
}

/**
 * Opens the replica on disk, the replicated store and the leader lease. Nothing is sent before
 * `start`.
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
    // At the first start no peer is known; later the seed nodes may all be gone.
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
    holderTimeoutUs: HOLDER_TIMEOUT_US,
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
