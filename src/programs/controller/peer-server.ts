/**
 * Serves the connections that peers dial: answers their requests by kind, and takes the sessions
 * that they list.
 */
import { MessageKind } from "../../membership/messages.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import { readString } from "../../common/decode.js";
import { messageOf } from "../../common/errors.js";
import type { Logger } from "../../common/logger.js";
import type { Connection, Message } from "../../transport/connection.js";
import type { MessageDispatcher } from "./message-dispatcher.js";

/** What a {@link PeerServer} hands messages on to. */
export interface PeerServerOptions {
  readonly peers: Peers;
  readonly sessions: NodeSessions;
  readonly requests: MessageDispatcher;
  /** Sends the sessions here to all peers soon. */
  readonly announceToPeers: () => void;
  readonly log: Logger;
}

/**
 * The inbound side of the links between controllers. Invariant: `newest` holds the newest
 * connection that each peer has dialled; only its end may end the peer's sessions.
 */
export class PeerServer {
  private readonly newestConnections = new Map<string, Connection>();

  constructor(private readonly options: PeerServerOptions) {}

  /** Serves one connection for as long as it lasts. */
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
    // A peer that dials anew may have forgotten the sessions here while its link was down.
    announceToPeers();
    for await (const message of incoming) {
      if (message.kind === MessageKind.sessions) sessions.applyPeerSessions(peer, message);
      else void this.answer(connection, message, peer);
    }
    if (this.newestConnections.get(peer) !== connection) return;
    this.newestConnections.delete(peer);
    if (!peers.isConnected(peer)) sessions.forget(peer);
  };

  /** Answers a request on the connection that brought it. */
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
      log.warn("request of a peer failed", {
        peer,
        kind: message.kind,
        error: messageOf(error),
      });
    }
  };
}
