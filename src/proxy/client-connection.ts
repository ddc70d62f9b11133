/**
 * Client connections: the order of their pipelined requests, and the last of those requests that is
 * served. The client treats the requests behind it as unprocessed (RFC 9112, section 9.6).
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import type { RequestContext } from "./request-context.js";

/** How long the client may take to close its side after the gateway has closed its own. */
const LINGER_US = 1 * SECOND_US;

/** Why the gateway cut a connection instead of ending it after its last response. */
export const CUT_REASONS = ["grace-period", "linger", "malformed-body"] as const;
/** One of {@link CUT_REASONS}. */
export type CutReason = (typeof CUT_REASONS)[number];

/** Dependencies of {@link ClientConnection}. */
export interface ClientConnectionOptions {
  readonly clock: Clock;
  readonly countCut: (reason: CutReason) => void;
}

/** A client connection, whose requests are numbered in the order in which they were read. */
export class ClientConnection {
  /** Number of requests that were read and not yet fully answered. */
  openRequests = 0;
  /** Resolves once all requests read so far have been answered or dropped. */
  lastAnswered: Promise<void> = Promise.resolve();
  private received = 0;
  private closesAfter = Infinity;
  private newestRequest: IncomingMessage | undefined;
  private newestResponse: ServerResponse | undefined;
  /** `bytesRead` of the socket when the last open request was answered. */
  private bytesReadWhenAnswered = 0;
  /** Called when the socket closes; one listener of the socket serves all requests. */
  readonly closeListeners = new Set<() => void>();
  private endsWhenIdle = false;
  private hasEnded = false;

  /**
   * @param socket - stored here because a request may lose its socket before it finishes
   */
  constructor(
    readonly socket: Socket,
    private readonly options: ClientConnectionOptions,
  ) {
    socket.once("close", () => this.closeListeners.forEach((listener) => listener()));
    // Node calls this method after the last response; its own version closes in one step.
    socket.destroySoon = this.end;
  }

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

  /** Whether nothing is open and nothing of a further request has been read. */
  get isIdle(): boolean {
    return this.openRequests === 0 && this.socket.bytesRead === this.bytesReadWhenAnswered;
  }

  /** Whether the body of the newest request is still being read. */
  get isReadingBody(): boolean {
    return this.openRequests > 0 && this.newestRequest?.complete === false;
  }

  /** Counts a request that was read, and returns its 1-based position. */
  readonly addRequest = (request: IncomingMessage, response: ServerResponse): number => {
    this.received += 1;
    this.openRequests += 1;
    this.newestRequest = request;
    this.newestResponse = response;
    if (!response.shouldKeepAlive) this.closeAfter(this.received);
    return this.received;
  };

  /** Counts a request whose response has left the process, or that was dropped. */
  readonly removeRequest = (): void => {
    this.openRequests -= 1;
    if (this.openRequests > 0) return;
    this.bytesReadWhenAnswered = this.socket.bytesRead;
    if (this.isClosing || this.endsWhenIdle) this.end();
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

  /** Ends the connection as soon as it is idle. */
  readonly endWhenIdle = (): void => {
    this.endsWhenIdle = true;
    if (this.isIdle) this.end();
  };

  /**
   * Closes the connection in two steps (RFC 9112, section 9.6): ends the sending side once every
   * byte has left the process, then reads and drops what still arrives until the client closes its
   * side, for a bounded time. Closing with unread bytes would send a reset, which may take the last
   * response out of the client's hands.
   */
  readonly end = (): void => {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.refuseFurther();
    this.socket.end(this.linger);
  };

  /** Closes the connection at once, with whatever is open or unsent on it. */
  readonly cut = (reason: CutReason): void => {
    if (this.socket.destroyed) return;
    this.options.countCut(reason);
    this.socket.destroy();
  };

  private readonly linger = (): void => {
    if (this.socket.destroyed) return;
    const timer = this.options.clock.after(LINGER_US, () => this.cut("linger"));
    this.socket.once("close", timer.stop);
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
      connection.closeListeners.delete(close);
      connection.removeRequest();
      onClosed(context);
      resolve();
    };
    res.once("close", close);
    // A response queued behind another one gets no "close" event when the connection closes.
    if (connection.openRequests > 1) connection.closeListeners.add(close);
  });
};
