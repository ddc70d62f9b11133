/**
 * All client connections of the server, and everything that ends one from this side: draining, idle
 * and header time-outs, malformed requests, and the end of the grace period.
 */
import type { Socket } from "node:net";
import type { Clock } from "../common/clock.js";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { ClientConnection, CUT_REASONS, type CutReason } from "./client-connection.js";

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
  private readonly cuts = new Map<CutReason, number>(CUT_REASONS.map((reason) => [reason, 0]));

  constructor(private readonly clock: Clock) {}

  /** Number of open connections. */
  get size(): number {
    return this.bySocket.size;
  }

  /** Number of connections that were cut, by reason. */
  get cutCounts(): ReadonlyMap<CutReason, number> {
    return this.cuts;
  }

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

  /** Ends each connection as soon as it is idle. */
  readonly endWhenIdle = (): void =>
    this.bySocket.forEach((connection) => connection.endWhenIdle());

  /** Cuts all connections. */
  readonly cutAll = (reason: CutReason): void =>
    this.bySocket.forEach((connection) => connection.cut(reason));

  /**
   * Ends a connection on which nothing was open or read for the idle time-out. The rest of a body
   * that was read after its response does not keep it open.
   */
  readonly handleIdleTimeout = (socket: Socket): void => {
    const connection = this.forSocket(socket);
    if (connection.openRequests === 0) connection.end();
  };

  /** Returns the connection of a socket, creating it when it is first seen. */
  readonly forSocket = (socket: Socket): ClientConnection => {
    const existing = this.bySocket.get(socket);
    if (existing) return existing;
    const { clock, countCut } = this;
    const connection = new ClientConnection(socket, { clock, countCut });
    this.bySocket.set(socket, connection);
    socket.once("close", () => this.bySocket.delete(socket));
    return connection;
  };

  /**
   * Handles a parser or socket error. A request that can't be read gets an error response, after
   * which the connection ends. If earlier requests are open, they are answered, the last of them
   * closes the connection, and the unreadable one counts as unprocessed: an error response of its
   * own might be taken for theirs.
   */
  readonly handleClientError = (error: NodeJS.ErrnoException, socket: Socket): void => {
    const connection = this.forSocket(socket);
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    if (connection.isReadingBody) {
      connection.cut("malformed-body");
      return;
    }
    if (connection.isClosing) return;
    connection.refuseFurther();
    if (connection.openRequests > 0) return;
    const { status, problem } = HTTP_OUTCOMES[outcomeOfParseError(error.code)];
    socket.write(`HTTP/1.1 ${status} ${problem}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    connection.end();
  };

  private readonly countCut = (reason: CutReason): void => {
    this.cuts.set(reason, (this.cuts.get(reason) ?? 0) + 1);
  };
}
