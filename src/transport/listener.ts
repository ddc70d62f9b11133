/** Accepts connections from other processes of the cluster. */
import { createServer, type Server } from "node:net";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { Connection, type Message, type KeepAliveTimes } from "./connection.js";

/**
 * Serves one connection until it ends. `hello` is its first message; `incoming` yields all later
 * ones.
 */
export type SessionHandler = (
  connection: Connection,
  hello: Message,
  incoming: AsyncIterable<Message>,
) => Promise<void>;

/**
 * Accepts connections and passes each to the handler for the kind of its first message. A
 * connection without a matching handler is closed.
 */
export class Listener {
  private server: Server | undefined;
  private readonly connections = new Set<Connection>();

  constructor(
    private readonly clock: Clock,
    private readonly times: KeepAliveTimes,
    private readonly handlers: Readonly<Record<string, SessionHandler>>,
    private readonly logger: Logger,
  ) {}

  /** Starts listening; rejects with the socket error if the address cannot be bound. */
  readonly listen = (ip: string, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      this.server = createServer(
        (socket) => void this.serve(new Connection(socket, this.clock, this.times)),
      );
      this.server.once("error", reject);
      this.server.listen(port, ip, resolve);
    });

  /** Stops listening and closes every connection. */
  readonly close = (): void => {
    this.server?.close();
    this.connections.forEach((connection) => connection.close());
  };

  /** Serves one connection. Never rejects: an error in a handler ends only its own connection. */
  private readonly serve = async (connection: Connection): Promise<void> => {
    this.connections.add(connection);
    const incoming = connection.incoming();
    try {
      const first = await incoming.next();
      if (first.done) return;
      const handle = this.handlers[first.value.kind];
      if (handle) await handle(connection, first.value, incoming);
    } catch (error) {
      this.logger.warn("session failed", { err: error });
    } finally {
      this.connections.delete(connection);
      connection.close();
    }
  };
}
