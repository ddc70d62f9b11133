import Emittery from "emittery";
import { Asks } from "./pending-requests.js";
import { rest, type Clock } from "../common/clock.js";
import { dial, type Message, type Wire, type WireTimes } from "./connection.js";

export interface LinkOptions {
  readonly ip: string;
  readonly port: number;
  readonly clock: Clock;
  readonly times: WireTimes;
  readonly dialUs: number;
  readonly restUs: number;
  /** Said first on every new connection. */
  readonly hello: () => Message;
}

export type LinkState = "dialling" | "greeting" | "standing" | "resting" | "stopped";

/** The dialling side of a session with a colleague: one task that dials, greets, reads, rests and dials again. */
export class Link {
  readonly events = new Emittery<{ up: Message; down: undefined; message: Message }>();
  /** Invariant: `wire` is set exactly while greeting or standing. */
  private wire: Wire | undefined;
  private state: LinkState = "dialling";
  private readonly asks: Asks;
  private stopping = false;

  constructor(private readonly options: LinkOptions) {
    this.asks = new Asks(options.clock);
  }

  get stands(): boolean {
    return this.state === "standing";
  }

  readonly run = async (): Promise<void> => {
    for await (const state of this.life()) this.state = state;
  };

  readonly stop = (): void => {
    this.stopping = true;
    this.wire?.close();
  };

  readonly send = (message: Message): void => {
    if (this.stands) this.wire?.send(message);
  };

  /** Resolves to the reply, or to undefined when the session ends or the wait is over first. */
  readonly ask = (message: Message, waitUs: number): Promise<Message | undefined> => {
    return this.stands && this.wire
      ? this.asks.ask(this.wire.send, message, waitUs)
      : Promise.resolve(undefined);
  };

  private async *life(): AsyncGenerator<LinkState, void, undefined> {
    const { ip, port, clock, dialUs, restUs, times, hello } = this.options;
    while (!this.stopping) {
      yield "dialling";
      this.wire = await dial(ip, port, clock, dialUs, times);
      if (this.wire && !this.stopping) {
        yield "greeting";
        this.wire.send(hello());
        let greeted = false;
        for await (const message of this.wire.incoming()) {
          if (this.asks.settle(message)) continue;
          if (!greeted) {
            greeted = true;
            yield "standing";
            void this.events.emit("up", message);
          } else {
            void this.events.emit("message", message);
          }
        }
        yield "resting";
        this.asks.drop();
        if (greeted) void this.events.emit("down");
      }
      this.wire?.close();
      this.wire = undefined;
      if (this.stopping) break;
      yield "resting";
      await rest(clock, restUs);
    }
    yield "stopped";
  }
}
