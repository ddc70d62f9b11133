/** The accepting side of connections between processes of the cluster. */
import { createServer, type Server } from "node:net";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { Connection, type Message, type KeepAliveTimes } from "./connection.js";

/**
 * Serves one connection for as long as it lasts. `hello` is its first message, `incoming` gives all
 * that follow.
 */
export type SessionHandler = (
  connection: Connection,
  hello: Message,
  incoming: AsyncIterable<Message>,
) => Promise<void>;

/**
 * Accepts connections, and hands each to the handler of its first message's kind; where there is
 * none, closes it.
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

  /** Rejects with the error of the socket where the address can't be listened at. */
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

  /** Never rejects: an error of a handler ends its own connection only. */
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
