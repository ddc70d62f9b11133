import Emittery from "emittery";
import { rest, within, type Clock } from "../trackbed/clock.js";
import { dial, type Message, type Wire, type WireTimes } from "../trackbed/wire.js";

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
  private lastAsk = 0;
  private readonly pending = new Map<number, (reply: Message | undefined) => void>();
  private stopping = false;

  constructor(private readonly options: LinkOptions) {}

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
    if (!this.stands || !this.wire) return Promise.resolve(undefined);
    this.lastAsk += 1;
    const id = this.lastAsk;
    const reply = new Promise<Message | undefined>((resolve) => this.pending.set(id, resolve));
    this.wire.send({ ...message, ask: id });
    return within(this.options.clock, waitUs, reply, undefined).finally(() => this.pending.delete(id));
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
          if (typeof message["re"] === "number") {
            this.pending.get(message["re"])?.(message);
          } else if (!greeted) {
            greeted = true;
            yield "standing";
            void this.events.emit("up", message);
          } else {
            void this.events.emit("message", message);
          }
        }
        yield "resting";
        this.settle();
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

  private readonly settle = (): void => {
    this.pending.forEach((resolve) => resolve(undefined));
    this.pending.clear();
  };
}
