import { withTimeout, type Clock } from "../common/clock.js";
import type { Message } from "./connection.js";

/** Questions asked over one connection and not yet answered. Invariant: each resolves once, at the latest when its wait is over. */
export class PendingRequests {
  private last = 0;
  private readonly pending = new Map<number, (reply: Message | undefined) => void>();

  constructor(private readonly clock: Clock) {}

  /** Resolves to the reply, or to undefined when the connection ends or the wait is over first. */
  readonly ask = (
    send: (message: Message) => void,
    message: Message,
    waitUs: number,
  ): Promise<Message | undefined> => {
    this.last += 1;
    const id = this.last;
    const reply = new Promise<Message | undefined>((resolve) => this.pending.set(id, resolve));
    send({ ...message, ask: id });
    return withTimeout(this.clock, waitUs, reply, undefined).finally(() => this.pending.delete(id));
  };

  /** Takes a message if it is a reply, whether or not anyone still waits for it. */
  readonly settle = (message: Message): boolean => {
    if (typeof message["re"] !== "number") return false;
    this.pending.get(message["re"])?.(message);
    return true;
  };

  readonly drop = (): void => {
    this.pending.forEach((resolve) => resolve(undefined));
    this.pending.clear();
  };
}
