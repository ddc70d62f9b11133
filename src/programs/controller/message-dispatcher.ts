/** Dispatch of messages by their kind, to handlers that the subsystems contribute. */
import type { Message } from "../../transport/connection.js";

/**
 * Answers a message from `sender` (a controller's id or a node's name); undefined means that there
 * is no reply.
 */
export type MessageHandler = (
  message: Message,
  sender: string,
) => Message | undefined | Promise<Message | undefined>;

/** Handlers by the kind of message that each takes. */
export type MessageHandlers = Readonly<Record<string, MessageHandler>>;

/**
 * One table from message kind to handler.
 * Invariant: a kind has one handler; registering a second one is an error of the program.
 */
export class MessageDispatcher {
  private readonly handlers = new Map<string, MessageHandler>();

  /** @param fallback - answers the kinds that have no handler */
  constructor(private readonly fallback: MessageHandler = () => undefined) {}

  readonly register = (handlers: MessageHandlers): void =>
    Object.entries(handlers).forEach(([kind, handler]) => {
      if (this.handlers.has(kind)) throw new Error(`Two handlers for messages of kind ${kind}.`);
      this.handlers.set(kind, handler);
    });

  /** Calls the handler at once; its reply comes later. Rejects with whatever the handler throws. */
  readonly dispatch = async (message: Message, sender: string): Promise<Message | undefined> =>
    (this.handlers.get(message.kind) ?? this.fallback)(message, sender);
}
