/**
 * Client connections: the order of their pipelined requests, and which of those requests the client
 * treats as unprocessed because an earlier response closed the connection.
 */
import type { Socket } from "node:net";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import type { RequestContext } from "./request-context.js";

/**
 * State of one client connection, whose requests are numbered in the order in which they were read.
 */
export interface ClientConnection {
  /** Stored here because a request may lose its socket before it finishes. */
  readonly socket: Socket;
  /** Number of requests that were read and not yet fully answered. */
  openRequests: number;
  /** Resolves once all requests read so far have been answered or dropped. */
  lastAnswered: Promise<void>;
  /** Number of requests read so far. */
  received: number;
  /**
   * The 1-based position of the request whose response closes the connection; `Infinity` if there
   * is none. The client treats the requests after it as unprocessed and resends them, so they must
   * not run.
   */
  closedAfter: number;
}

/**
 * Returns whether a response that closes the connection is pending or was sent. Requests read after
 * that are not served.
 */
export const isClosing = (connection: ClientConnection): boolean =>
  connection.closedAfter !== Infinity;

/**
 * Returns whether a response to an earlier request closes the connection, which makes the client
 * treat this request as unprocessed.
 */
export const isAfterClosingResponse = (context: RequestContext): boolean =>
  context.position > context.connection.closedAfter;

/**
 * Resolves once the response has been written or the connection is closed. The request counts as
 * open until then.
 *
 * @param context - the request, already counted in `openRequests` of its connection
 * @param onClosed - called once, right before the promise resolves
 */
export const waitUntilClosed = (
  context: RequestContext,
  onClosed: (context: RequestContext) => void,
): Promise<void> => {
  const { connection, res } = context;
  return new Promise((resolve) => {
    let isOpen = true;
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      connection.socket.off("close", close);
      connection.openRequests -= 1;
      onClosed(context);
      resolve();
    };
    res.once("close", close);
    // A response queued behind another one gets no "close" event when the connection closes.
    if (connection.openRequests > 1) connection.socket.once("close", close);
  });
};

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
    const closing = busy.filter(isClosing).length;
    return { idle: all.length - busy.length, serving: busy.length - closing, closing };
  };

  /** Returns the connection of a socket, creating it when it is first seen. */
  readonly forSocket = (socket: Socket): ClientConnection => {
    const existing = this.bySocket.get(socket);
    if (existing) return existing;
    const connection: ClientConnection = {
      socket,
      openRequests: 0,
      lastAnswered: Promise.resolve(),
      received: 0,
      closedAfter: Infinity,
    };
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
    if (connection) connection.closedAfter = connection.received;
    if (error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const { status, problem } = HTTP_OUTCOMES[outcomeOfParseError(error.code)];
    socket.end(`HTTP/1.1 ${status} ${problem}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  };
}
