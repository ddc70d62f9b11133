/**
 * The connections of clients: the order of their pipelined requests, and which of these count as
 * never read.
 */
import type { Socket } from "node:net";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import type { RequestContext } from "./request-context.js";

/** The requests of one client connection, in the order in which they were read. */
export interface ClientConnection {
  /** Kept here because a request may lose its socket before it ends. */
  readonly socket: Socket;
  /** Requests read and not yet answered in full. */
  openRequests: number;
  /** Resolves once all requests read so far have been answered or dropped. */
  lastAnswered: Promise<void>;
  /** Requests read so far. */
  received: number;
  /**
   * The position, from 1, of the request whose response closes the connection; `Infinity` while
   * there is none. Requests behind it count as not read: the client sends them again, so they must
   * not run.
   */
  closedAfter: number;
}

/**
 * Whether a response that closes the connection is due or was sent: nothing read after it is
 * served.
 */
export const isClosing = (connection: ClientConnection): boolean =>
  connection.closedAfter !== Infinity;

/**
 * Whether a response before this request's closes the connection, so that its client counts it as
 * not read.
 */
export const isAfterClosingResponse = (context: RequestContext): boolean =>
  context.position > context.connection.closedAfter;

/**
 * Resolves once the response has been written or the connection is gone, and counts the request as
 * open until then.
 *
 * @param context - the request, already counted in `openRequests` of its connection
 * @param onClosed - called once, right before the promise resolves
 */
export const untilClosed = (
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
    // A response that waits behind another one gets no "close" event when the connection ends.
    if (connection.openRequests > 1) connection.socket.once("close", close);
  });
};

const outcomeOfParseError = (code: string | undefined): OutcomeName => {
  if (code === "HPE_HEADER_OVERFLOW") return "headTooLarge";
  return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "slowHead" : "malformed";
};

/** All client connections of the server. */
export class ClientConnections {
  private readonly bySocket = new WeakMap<Socket, ClientConnection>();

  /** The connection of a socket, created with its first request. */
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
    return connection;
  };

  /**
   * Answers what the parser could not read and closes the connection. While earlier requests are
   * open it only closes: a response now would be taken for one of theirs.
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
