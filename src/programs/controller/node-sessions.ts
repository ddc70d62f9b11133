/**
 * Wires the sessions of nodes with this controller: announces the list of sessions to the peers,
 * and the size of the cluster to the nodes. The listener passes a node's connection to
 * NodeSessions, and the node's requests are dispatched by kind to the handlers that other
 * subsystems register in `requests`.
 */
import { MessageKind } from "../../membership/messages.js";
import { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import { debounce, type Clock } from "../../common/clock.js";
import { MILLISECOND_US } from "../../common/duration.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import { MessageDispatcher, type MessageHandlers } from "./message-dispatcher.js";
import { NodeQueries } from "./node-queries.js";

/**
 * Nodes often join in large numbers at once, so changes of sessions within this time share one
 * announcement.
 */
const ANNOUNCE_DELAY_US = 60 * MILLISECOND_US;

/** Dependencies of {@link openNodeSessions}. */
export interface NodeSessionsOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly publisher: UpdatePublisher;
  readonly peers: Peers;
  readonly isWithoutQuorum: () => boolean;
  /**
   * Whether nodes may be served: the local state is recent, and a majority asked after the call has
   * answered.
   */
  readonly mayServeNodes: () => Promise<boolean>;
  /** The zone drained by a maintenance window, or empty. */
  readonly drainedZone: () => string;
}

/** The node sessions with their queries and message handlers. */
export interface OpenNodeSessions {
  readonly sessions: NodeSessions;
  /** Dispatches requests from nodes; other subsystems register their handlers here. */
  readonly requests: MessageDispatcher;
  readonly queries: NodeQueries;
  readonly peerHandlers: MessageHandlers;
  /** Sends the list of local sessions to all peers after a short delay; calls are debounced. */
  readonly announceToPeers: () => void;
}

/** Creates the node sessions. They end when the listener closes their connections. */
export const openNodeSessions = (options: NodeSessionsOptions): OpenNodeSessions => {
  const { settings, clock, publisher, peers, isWithoutQuorum } = options;
  const requests = new MessageDispatcher();
  const sessions = new NodeSessions({
    clock,
    publisher,
    log: loggerFor("node-sessions"),
    mayServe: options.mayServeNodes,
    controllers: peers.connectedControllers,
    zone: settings.zone,
    linkMbps: settings.linkMbps,
    drainedZone: options.drainedZone,
    answer: async (message, node): Promise<Message> =>
      (await requests.dispatch(message, node)) ?? { kind: MessageKind.unknown },
  });
  const queries = new NodeQueries(sessions, peers);
  const announceClusterSize = debounce(clock, ANNOUNCE_DELAY_US, () =>
    publisher.setClusterSize(sessions.clusterSize()),
  );
  const announceToPeers = debounce(clock, ANNOUNCE_DELAY_US, () =>
    peers.broadcast(sessions.packNodes()),
  );
  sessions.events.on("localChanged", () => {
    announceToPeers();
    announceClusterSize();
  });
  sessions.events.on("peersChanged", announceClusterSize);
  peers.events.on("connected", () => {
    peers.broadcast(sessions.packNodes());
    sessions.announceControllers();
  });
  peers.events.on("disconnected", (id) => {
    sessions.removePeer(id);
    sessions.announceControllers();
    if (isWithoutQuorum()) sessions.closeAll();
  });
  return {
    sessions,
    requests,
    queries,
    peerHandlers: { [MessageKind.queryNodes]: queries.answerPeer },
    announceToPeers,
  };
};
