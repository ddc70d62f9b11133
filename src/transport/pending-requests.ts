/**
 * Requests and replies over one connection: a request carries a number, and its reply the same
 * number.
 */
import { withTimeout, type Clock } from "../common/clock.js";
import type { Message } from "./message.js";

/** The key of a request's number on the wire. */
const REQUEST_ID = "ask";
/** The key on the wire of the number of the request that a message replies to. */
const IN_REPLY_TO = "re";

/** The number of a request that wants a reply; undefined where the message wants none. */
export const requestIdOf = (message: Message): number | undefined => {
  const id = message[REQUEST_ID];
  return typeof id === "number" ? id : undefined;
};

/** The message as the reply to a request. */
export const asReply = (message: Message, requestId: number): Message => ({
  ...message,
  [IN_REPLY_TO]: requestId,
});

/**
 * Requests sent over one connection and not yet answered. Invariant: each resolves once, at the
 * latest at its time-out.
 */
export class PendingRequests {
  private lastId = 0;
  private readonly pending = new Map<number, (reply: Message | undefined) => void>();

  constructor(private readonly clock: Clock) {}

  /**
   * Sends a request. Resolves to the reply, or to undefined when the connection ends or `timeoutUs`
   * is over first.
   */
  readonly request = (
    send: (message: Message) => void,
    message: Message,
    timeoutUs: number,
  ): Promise<Message | undefined> => {
    this.lastId += 1;
    const id = this.lastId;
    const reply = new Promise<Message | undefined>((resolve) => this.pending.set(id, resolve));
    send({ ...message, [REQUEST_ID]: id });
    return withTimeout(this.clock, timeoutUs, reply, undefined).finally(() =>
      this.pending.delete(id),
    );
  };

  /**
   * Takes a message if it is a reply, whether or not its request still waits; false if it is none.
   */
  readonly resolve = (message: Message): boolean => {
    const id = message[IN_REPLY_TO];
    if (typeof id !== "number") return false;
    this.pending.get(id)?.(message);
    return true;
  };

  /** Ends all waits without a reply, since the connection is over. */
  readonly abandonAll = (): void => {
    this.pending.forEach((resolve) => resolve(undefined));
    this.pending.clear();
  };
}
