/**
 * The sessions of nodes with this controller: who has one is told to the peers, and the size of the
 * cluster to the nodes. A node's session begins at the listener (`peer-server.ts`), is served by
 * NodeSessions, and its requests are dispatched by kind to the handlers that the other subsystems
 * register in `requests`.
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
 * Nodes join in crowds: what is announced about sessions is announced once for all that came within
 * this time.
 */
const ANNOUNCE_DELAY_US = 60 * MILLISECOND_US;

/** What the nodes' sessions work on. */
export interface NodeSessionsOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly publisher: UpdatePublisher;
  readonly peers: Peers;
  readonly isWithoutQuorum: () => boolean;
  /**
   * Whether nodes may be served: the state here is fresh, and a majority was heard after the call.
   */
  readonly mayServeNodes: () => Promise<boolean>;
  /** The zone that a maintenance window has emptied; "" where none is. */
  readonly drainedZone: () => string;
}

/** The open sessions of nodes. */
export interface OpenNodeSessions {
  readonly sessions: NodeSessions;
  /** Answers what nodes ask over their sessions; other subsystems register their handlers here. */
  readonly requests: MessageDispatcher;
  readonly queries: NodeQueries;
  readonly peerHandlers: MessageHandlers;
  /** Sends the sessions here to all peers soon, once for all who asked for it meanwhile. */
  readonly announceToPeers: () => void;
}

/** Opens the sessions of nodes; they end with the listener that brings them. */
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
    sessions.forget(id);
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
