/**
 * Serves inbound connections from peers: dispatches their requests and receives their lists of node
 * sessions.
 */
import { MessageKind } from "../../membership/messages.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import { readString } from "../../common/decode.js";
import { messageOf } from "../../common/errors.js";
import type { Logger } from "../../common/logger.js";
import type { Connection, Message } from "../../transport/connection.js";
import type { MessageDispatcher } from "./message-dispatcher.js";

/** Dependencies of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly peers: Peers;
  readonly sessions: NodeSessions;
  readonly requests: MessageDispatcher;
  /** Sends the list of local node sessions to all peers after a short delay. */
  readonly announceToPeers: () => void;
  readonly log: Logger;
}

/**
 * The inbound side of the links between controllers. Invariant: `newestConnections` holds the
 * latest connection from each peer; only when that one ends are the peer's sessions removed.
 */
export class PeerServer {
  private readonly newestConnections = new Map<string, Connection>();

  constructor(private readonly options: PeerServerOptions) {}

  /** Serves a connection until it ends. */
  readonly serve = async (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    const { peers, sessions, announceToPeers } = this.options;
    const peer = readString(hello, "from");
    connection.send({ ...peers.hello(), kind: MessageKind.welcome });
    peers.learnFrom(hello);
    this.newestConnections.set(peer, connection);
    // A peer that reconnects may have dropped the sessions of this controller while disconnected.
    announceToPeers();
    for await (const message of incoming) {
      if (message.kind === MessageKind.sessions) sessions.applyPeerSessions(peer, message);
      else void this.answer(connection, message, peer);
    }
    if (this.newestConnections.get(peer) !== connection) return;
    this.newestConnections.delete(peer);
    if (!peers.isConnected(peer)) sessions.removePeer(peer);
  };

  /** Replies to a request on the connection that it came from. */
  private readonly answer = async (
    connection: Connection,
    message: Message,
    peer: string,
  ): Promise<void> => {
    const { requests, log } = this.options;
    try {
      const reply = await requests.dispatch(message, peer);
      if (reply && typeof message["ask"] === "number")
        connection.send({ ...reply, re: message["ask"] });
    } catch (error) {
      log.warn("request from peer failed", {
        peer,
        kind: message.kind,
        error: messageOf(error),
      });
    }
  };
}
