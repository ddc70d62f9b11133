/**
 * Matches requests and replies over one connection: a request carries an id, and its reply refers
 * to the same id.
 */
import { withTimeout, type Clock } from "../common/clock.js";
import type { Message } from "./message.js";

/** Field on the wire that holds the id of a request. */
const REQUEST_ID = "ask";
/** Field on the wire that holds the id of the request a message replies to. */
const IN_REPLY_TO = "re";

/** Returns the id of a request; undefined if the message expects no reply. */
export const requestIdOf = (message: Message): number | undefined => {
  const id = message[REQUEST_ID];
  return typeof id === "number" ? id : undefined;
};

/** Marks a message as the reply to a request. */
export const asReply = (message: Message, requestId: number): Message => ({
  ...message,
  [IN_REPLY_TO]: requestId,
});

/**
 * Requests sent over one connection that have not been answered yet. Invariant: each settles
 * exactly once, at the latest on its timeout.
 */
export class PendingRequests {
  private lastId = 0;
  private readonly pending = new Map<number, (reply: Message | undefined) => void>();

  constructor(private readonly clock: Clock) {}

  /**
   * Sends a request. Resolves to the reply, or to undefined if the connection ends or `timeoutUs`
   * elapses first.
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
   * Handles a message if it is a reply, whether or not its request is still pending. Returns false
   * if it is not a reply.
   */
  readonly resolve = (message: Message): boolean => {
    const id = message[IN_REPLY_TO];
    if (typeof id !== "number") return false;
    this.pending.get(id)?.(message);
    return true;
  };

  /** Resolves all pending requests without a reply, because the connection has ended. */
  readonly abandonAll = (): void => {
    this.pending.forEach((resolve) => resolve(undefined));
    this.pending.clear();
  };
}
