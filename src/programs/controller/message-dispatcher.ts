/** Dispatches messages by kind to the handlers that the subsystems register. */
import type { Message } from "../../transport/connection.js";

/**
 * Handles a message from `sender`, a controller's id or a node's name. Returns the reply, or
 * undefined for none.
 */
export type MessageHandler = (
  message: Message,
  sender: string,
) => Message | undefined | Promise<Message | undefined>;

/** Handlers by message kind. */
export type MessageHandlers = Readonly<Record<string, MessageHandler>>;

/**
 * A table of handlers by message kind. Invariant: a kind has at most one handler; registering a
 * second one is a programming error.
 */
export class MessageDispatcher {
  private readonly handlers = new Map<string, MessageHandler>();

  /** @param fallback - handles messages of kinds without a handler */
  constructor(private readonly fallback: MessageHandler = () => undefined) {}

  readonly register = (handlers: MessageHandlers): void =>
    Object.entries(handlers).forEach(([kind, handler]) => {
      if (this.handlers.has(kind))
        throw new Error(`Duplicate handler for messages of kind ${kind}.`);
      this.handlers.set(kind, handler);
    });

  /**
   * Calls the handler synchronously and resolves to its reply. Rejects with whatever the handler
   * throws.
   */
  readonly dispatch = async (message: Message, sender: string): Promise<Message | undefined> =>
    (this.handlers.get(message.kind) ?? this.fallback)(message, sender);
}
