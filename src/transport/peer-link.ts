import Emittery from "emittery";
import { PendingRequests } from "./pending-requests.js";
import { sleep, type Clock } from "../common/clock.js";
import { connectTo, type Message, type Connection, type KeepAliveTimes } from "./connection.js";

export interface PeerLinkOptions {
  readonly ip: string;
  readonly port: number;
  readonly clock: Clock;
  readonly times: KeepAliveTimes;
  readonly dialUs: number;
  readonly restUs: number;
  /** Said first on every new connection. */
  readonly hello: () => Message;
}

export type LinkState = "dialling" | "greeting" | "standing" | "resting" | "stopped";

/** The dialling side of a session with a colleague: one task that dials, greets, reads, rests and dials again. */
export class PeerLink {
  readonly events = new Emittery<{ up: Message; down: undefined; message: Message }>();
  /** Invariant: `wire` is set exactly while greeting or standing. */
  private connection: Connection | undefined;
  private state: LinkState = "dialling";
  private readonly pendingRequests: PendingRequests;
  private stopping = false;

  constructor(private readonly options: PeerLinkOptions) {
    this.pendingRequests = new PendingRequests(options.clock);
  }

  get isConnected(): boolean {
    return this.state === "standing";
  }

  readonly run = async (): Promise<void> => {
    for await (const state of this.states()) this.state = state;
  };

  readonly stop = (): void => {
    this.stopping = true;
    this.connection?.close();
  };

  readonly send = (message: Message): void => {
    if (this.isConnected) this.connection?.send(message);
  };

  /** Resolves to the reply, or to undefined when the session ends or the wait is over first. */
  readonly ask = (message: Message, waitUs: number): Promise<Message | undefined> => {
    return this.isConnected && this.connection
      ? this.pendingRequests.ask(this.connection.send, message, waitUs)
      : Promise.resolve(undefined);
  };

  private async *states(): AsyncGenerator<LinkState, void, undefined> {
    const { ip, port, clock, dialUs, restUs, times, hello } = this.options;
    while (!this.stopping) {
      yield "dialling";
      this.connection = await connectTo(ip, port, clock, dialUs, times);
      if (this.connection && !this.stopping) {
        yield "greeting";
        this.connection.send(hello());
        let greeted = false;
        for await (const message of this.connection.incoming()) {
          if (this.pendingRequests.settle(message)) continue;
          if (!greeted) {
            greeted = true;
            yield "standing";
            void this.events.emit("up", message);
          } else {
            void this.events.emit("message", message);
          }
        }
        yield "resting";
        this.pendingRequests.drop();
        if (greeted) void this.events.emit("down");
      }
      this.connection?.close();
      this.connection = undefined;
      if (this.stopping) break;
      yield "resting";
      await sleep(clock, restUs);
    }
    yield "stopped";
  }
}
