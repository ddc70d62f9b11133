/**
 * One connection between processes of the cluster: messages both ways over a TCP socket, kept alive
 * by heartbeats.
 */
import type { Socket } from "node:net";
import type { Clock, Timer } from "../common/clock.js";
import { countSentFrame, encodeFrame, FrameReader } from "./frame-codec.js";
import type { Message } from "./message.js";

export type { Message } from "./message.js";

/**
 * How often a connection without traffic sends a heartbeat, and how long it may receive nothing
 * before it is closed.
 */
export interface KeepAliveTimes {
  readonly heartbeatUs: number;
  readonly timeoutUs: number;
}

/**
 * Why a connection is over: it ended at either side, nothing came for the time-out, or the peer took
 * too little of what was sent.
 */
export type CloseReason = "ended" | "silence" | "unsent";

/** The kind of the heartbeat on the wire. */
const KEEP_ALIVE_KIND = "pulse";
const KEEP_ALIVE: Message = { kind: KEEP_ALIVE_KIND };
/**
 * A heartbeat is due when this part of the interval has passed, since the timer itself fires a
 * little early or late.
 */
const HEARTBEAT_DUE_PART = 0.9;
/** A connection whose peer takes so little that more than this waits to be sent is closed. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/**
 * Length-prefixed msgpack frames over a socket. A network partition sends no reset, so a connection
 * that has received nothing for `timeoutUs` is closed.
 */
export class Connection {
  /**
   * Invariant: `closed` never goes back to false; after it nothing is sent and nothing more comes
   * in.
   */
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

  /** Why the connection is over; `ended` while it isn't. */
  get closeReason(): CloseReason {
    return this.reason;
  }

  /**
   * Sends a message; does nothing once the connection is closed. The message must not change
   * afterwards.
   */
  readonly send = (message: Message): void => {
    if (this.closed) return;
    const frame = encodeFrame(message);
    countSentFrame(message.kind, frame.length);
    this.lastSentUs = this.clock.nowUs();
    this.corkForThisTurn();
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.giveUp("unsent");
  };

  /** What is sent in one turn of the event loop goes out in one write. */
  private readonly corkForThisTurn = (): void => {
    if (this.socket.writableCorked > 0) return;
    this.socket.cork();
    process.nextTick(() => this.socket.uncork());
  };

  /** Resolves once what was sent is out, or the connection is closed; nothing is sent after it. */
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

  private readonly giveUp = (reason: CloseReason): void => {
    if (!this.closed) this.reason = reason;
    this.close();
  };

  /** All messages that come in until the connection is closed, without heartbeats. */
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
      // A broken frame or a reset ends the connection like any other end: its owner sees that and
      // connects again.
    } finally {
      this.close();
    }
  }

  private readonly keepAlive = (): void => {
    const { heartbeatUs, timeoutUs } = this.times;
    const nowUs = this.clock.nowUs();
    if (nowUs - this.lastReceivedUs > timeoutUs) this.giveUp("silence");
    else if (nowUs - this.lastSentUs >= heartbeatUs * HEARTBEAT_DUE_PART) this.send(KEEP_ALIVE);
  };
}
