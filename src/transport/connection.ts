/**
 * Connection between two processes of the cluster: messages in both directions over a TCP socket,
 * kept alive by heartbeats.
 */
import type { Socket } from "node:net";
import type { Clock, Timer } from "../common/clock.js";
import { countSentFrame, encodeFrame, FrameReader } from "./frame-codec.js";
import type { Message } from "./message.js";

export type { Message } from "./message.js";

/**
 * Interval after which a connection without outgoing traffic sends a heartbeat, and the time
 * without incoming traffic after which it is closed.
 */
export interface KeepAliveTimes {
  readonly heartbeatUs: number;
  readonly timeoutUs: number;
}

/**
 * Why a connection was closed.
 *
 * - `ended`: either side ended it.
 * - `silence`: nothing was received within the timeout.
 * - `unsent`: the peer read too slowly and the send buffer exceeded its limit.
 */
export type CloseReason = "ended" | "silence" | "unsent";

/** Message kind of a heartbeat on the wire. */
const KEEP_ALIVE_KIND = "pulse";
const KEEP_ALIVE: Message = { kind: KEEP_ALIVE_KIND };
/**
 * Fraction of the interval after which a heartbeat is due; below 1 because the timer may fire
 * slightly early or late.
 */
const HEARTBEAT_DUE_FRACTION = 0.9;
/** A connection with more unsent bytes than this is closed, since its peer reads too slowly. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/**
 * Length-prefixed MessagePack frames over a socket. A network partition sends no reset, so a
 * connection that has received nothing for `timeoutUs` is closed.
 */
export class Connection {
  /** Invariant: once true, `closed` stays true, and nothing more is sent or received. */
  private closed = false;
  private reason: CloseReason = "ended";
  private lastReceivedUs: number;
  private lastSentUs: number;
  private readonly keepAliveTimer: Timer;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    private readonly times: KeepAliveTimes,
  ) {
    this.lastReceivedUs = clock.nowUs();
    this.lastSentUs = this.lastReceivedUs;
    socket.setNoDelay(true);
    socket.on("error", () => this.close());
    socket.on("close", () => this.close());
    this.keepAliveTimer = clock.every(times.heartbeatUs, this.keepAlive);
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Why the connection was closed; `ended` while it is open. */
  get closeReason(): CloseReason {
    return this.reason;
  }

  /**
   * Sends a message; does nothing once the connection is closed. The message must not be modified
   * afterwards, since its encoded frame is cached.
   */
  readonly send = (message: Message): void => {
    if (this.closed) return;
    const frame = encodeFrame(message);
    countSentFrame(message.kind, frame.length);
    this.lastSentUs = this.clock.nowUs();
    this.corkUntilNextTick();
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.closeWithReason("unsent");
  };

  /** Buffers everything sent in one turn of the event loop into a single write. */
  private readonly corkUntilNextTick = (): void => {
    if (this.socket.writableCorked > 0) return;
    this.socket.cork();
    process.nextTick(() => this.socket.uncork());
  };

  /**
   * Ends the sending side. Resolves once everything sent has been flushed or the connection is
   * closed. Nothing may be sent afterwards.
   */
  readonly finish = (): Promise<void> =>
    new Promise((resolve) => {
      if (this.closed) resolve();
      else this.socket.end(() => resolve());
    });

  readonly close = (): void => {
    if (this.closed) return;
    this.closed = true;
    this.keepAliveTimer.stop();
    this.socket.destroy();
  };

  private readonly closeWithReason = (reason: CloseReason): void => {
    if (!this.closed) this.reason = reason;
    this.close();
  };

  /** Yields all incoming messages except heartbeats until the connection is closed. */
  async *incoming(): AsyncGenerator<Message, void, undefined> {
    const reader = new FrameReader();
    try {
      for await (const chunk of this.socket) {
        if (!Buffer.isBuffer(chunk)) break;
        this.lastReceivedUs = this.clock.nowUs();
        reader.append(chunk);
        for (let message = reader.next(); message !== undefined; message = reader.next())
          // eslint-disable-next-line max-depth -- a nested generator would cost a turn for each message
          if (message.kind !== KEEP_ALIVE_KIND) yield message;
      }
    } catch {
      // A malformed frame or a reset ends the connection like any other end; its owner notices and
      // reconnects.
    } finally {
      this.close();
    }
  }

  private readonly keepAlive = (): void => {
    const { heartbeatUs, timeoutUs } = this.times;
    const nowUs = this.clock.nowUs();
    if (nowUs - this.lastReceivedUs > timeoutUs) this.closeWithReason("silence");
    else if (nowUs - this.lastSentUs >= heartbeatUs * HEARTBEAT_DUE_FRACTION) this.send(KEEP_ALIVE);
  };
}
