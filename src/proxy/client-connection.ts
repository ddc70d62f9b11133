/**
 * Client connections: the order of their pipelined requests, and the last of those requests that is
 * served. The client treats the requests behind it as unprocessed (RFC 9112, section 9.6).
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { RequestContext } from "./request-context.js";

/** A client connection, whose requests are numbered in the order in which they were read. */
export class ClientConnection {
  /** Number of requests that were read and not yet fully answered. */
  openRequests = 0;
  /** Resolves once all requests read so far have been answered or dropped. */
  lastAnswered: Promise<void> = Promise.resolve();
  private received = 0;
  private closesAfter = Infinity;
  /** The response to the request that was read last. */
  private newestResponse: ServerResponse | undefined;

  /**
   * @param socket - stored here because a request may lose its socket before it finishes
   */
  constructor(readonly socket: Socket) {}

  /**
   * The 1-based position of the request whose response closes the connection; `Infinity` if there
   * is none. The client treats the requests after it as unprocessed and resends them, so they must
   * not run.
   */
  get closedAfter(): number {
    return this.closesAfter;
  }

  /** Whether a response that closes the connection is pending or was sent. */
  get isClosing(): boolean {
    return this.closesAfter !== Infinity;
  }

  /** Counts a request that was read, and returns its 1-based position. */
  readonly addRequest = (response: ServerResponse): number => {
    this.received += 1;
    this.openRequests += 1;
    this.newestResponse = response;
    return this.received;
  };

  /** Makes the response at this position close the connection, unless an earlier one does. */
  readonly closeAfter = (position: number): void => {
    this.closesAfter = Math.min(this.closesAfter, position);
  };

  /** Serves no request that is read from now on. */
  readonly refuseFurther = (): void => this.closeAfter(this.received);

  /**
   * Makes the response to the newest request that was read close the connection, so that the
   * connection has a last response however many requests the client sends behind one another. If
   * nothing is open or that response's head was already written, the next request is the last.
   */
  readonly closeAfterNewest = (): void => {
    if (this.openRequests > 0 && this.newestResponse?.headersSent === false)
      this.closeAfter(this.received);
  };
}

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
