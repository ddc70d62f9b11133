/** All client connections of the server, and what happens to them when the node drains. */
import type { Socket } from "node:net";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { ClientConnection } from "./client-connection.js";

const outcomeOfParseError = (code: string | undefined): OutcomeName => {
  if (code === "HPE_HEADER_OVERFLOW") return "headTooLarge";
  return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "slowHead" : "malformed";
};

/** The number of open client connections by what they do. */
export interface ConnectionCounts {
  /** Without an open request. */
  readonly idle: number;
  /** With an open request, and further requests are accepted. */
  readonly serving: number;
  /** With an open request whose response, or that of a later one, closes the connection. */
  readonly closing: number;
}

/** Tracks all client connections of the server. */
export class ClientConnections {
  private readonly bySocket = new Map<Socket, ClientConnection>();

  /** Counts the open connections. */
  readonly count = (): ConnectionCounts => {
    const all = [...this.bySocket.values()];
    const busy = all.filter(({ openRequests }) => openRequests > 0);
    const closing = busy.filter(({ isClosing }) => isClosing).length;
    return { idle: all.length - busy.length, serving: busy.length - closing, closing };
  };

  /**
   * Gives every connection with open requests a last response, the one to its newest request.
   * Nothing that a client sends behind it is served.
   */
  readonly closeAfterNewest = (): void =>
    this.bySocket.forEach((connection) => connection.closeAfterNewest());

  /** Returns the connection of a socket, creating it when it is first seen. */
  readonly forSocket = (socket: Socket): ClientConnection => {
    const existing = this.bySocket.get(socket);
    if (existing) return existing;
    const connection = new ClientConnection(socket);
    this.bySocket.set(socket, connection);
    socket.once("close", () => this.bySocket.delete(socket));
    return connection;
  };

  /**
   * Handles a parser or socket error by sending an error response and closing the connection. While
   * earlier requests are open it closes the connection without a response, since the client would
   * attribute that response to one of them.
   */
  readonly handleClientError = (error: NodeJS.ErrnoException, socket: Socket): void => {
    const connection = this.bySocket.get(socket);
    if (!socket.writable || (connection !== undefined && connection.openRequests > 0)) {
      socket.destroy();
      return;
    }
    connection?.refuseFurther();
    if (error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const { status, problem } = HTTP_OUTCOMES[outcomeOfParseError(error.code)];
    socket.end(`HTTP/1.1 ${status} ${problem}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  };
}
