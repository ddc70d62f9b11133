/**
 * A persistent link to one process of the cluster, which reconnects whenever its connection ends.
 */
import Emittery from "emittery";
import { sleep, type Clock } from "../common/clock.js";
import { connectTo } from "./connect.js";
import type { Message, Connection, KeepAliveTimes } from "./connection.js";
import { PendingRequests } from "./pending-requests.js";

/** Options of {@link PeerLink}; times are in microseconds. */
export interface PeerLinkOptions {
  readonly ip: string;
  readonly port: number;
  readonly clock: Clock;
  readonly times: KeepAliveTimes;
  /** Timeout of a connection attempt. */
  readonly connectTimeoutUs: number;
  /** Delay between the end of a connection, or a failed attempt, and the next attempt. */
  readonly backoffUs: number;
  /** Returns the first message to send over each new connection. */
  readonly hello: () => Message;
}

/**
 * State of a link.
 *
 * - `handshaking`: the hello has been sent and nothing has been received yet.
 * - `backing-off`: the connection has ended or failed; waiting for the next attempt.
 * - `closed`: stopped for good.
 */
export type PeerLinkState = "connecting" | "handshaking" | "connected" | "backing-off" | "closed";

/**
 * The connecting side of a link. The peer's first message is emitted as `connected`, all later ones
 * except replies as `message`.
 */
export class PeerLink {
  readonly events = new Emittery<{
    connected: Message;
    disconnected: undefined;
    message: Message;
  }>();
  /** Invariant: set exactly while handshaking or connected. */
  private connection: Connection | undefined;
  private state: PeerLinkState = "connecting";
  private readonly pendingRequests: PendingRequests;
  private isStopping = false;

  constructor(private readonly options: PeerLinkOptions) {
    this.pendingRequests = new PendingRequests(options.clock);
  }

  get isConnected(): boolean {
    return this.state === "connected";
  }

  /** Keeps the link connected until `stop` is called. */
  readonly run = async (): Promise<void> => {
    for await (const state of this.states()) this.state = state;
  };

  readonly stop = (): void => {
    this.isStopping = true;
    this.connection?.close();
  };

  /** Sends a message; does nothing unless the link is connected. */
  readonly send = (message: Message): void => {
    if (this.isConnected) this.connection?.send(message);
  };

  /**
   * Sends a request. Resolves to the reply, or to undefined if the link is not connected, is lost,
   * or the request times out.
   */
  readonly request = (message: Message, timeoutUs: number): Promise<Message | undefined> => {
    return this.isConnected && this.connection
      ? this.pendingRequests.request(this.connection.send, message, timeoutUs)
      : Promise.resolve(undefined);
  };

  private async *states(): AsyncGenerator<PeerLinkState, void, undefined> {
    const { ip, port, clock, connectTimeoutUs, backoffUs, times, hello } = this.options;
    while (!this.isStopping) {
      yield "connecting";
      this.connection = await connectTo(ip, port, clock, connectTimeoutUs, times);
      // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by `stop` during the await
      if (this.connection && !this.isStopping) {
        yield "handshaking";
        this.connection.send(hello());
        let isAccepted = false;
        for await (const message of this.connection.incoming()) {
          // eslint-disable-next-line max-depth -- each yield is a state; a nested generator would add event loop turns between them
          if (this.pendingRequests.resolve(message)) continue;
          // eslint-disable-next-line max-depth -- as above
          if (isAccepted) {
            void this.events.emit("message", message);
            continue;
          }
          isAccepted = true;
          yield "connected";
          void this.events.emit("connected", message);
        }
        yield "backing-off";
        this.pendingRequests.abandonAll();
        if (isAccepted) void this.events.emit("disconnected");
      }
      this.connection?.close();
      this.connection = undefined;
      // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- set by `stop` during an await
      if (this.isStopping) break;
      yield "backing-off";
      await sleep(clock, backoffUs);
    }
    yield "closed";
  }
}
