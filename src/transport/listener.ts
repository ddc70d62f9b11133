import { createServer, type Server } from "node:net";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { Connection, type Message, type KeepAliveTimes } from "./connection.js";

/** What serves one kind of caller for as long as its connection stands. */
export type Receiver = (
  connection: Connection,
  hello: Message,
  incoming: AsyncIterable<Message>,
) => Promise<void>;

/** The listening side of sessions: one task for each connection, handed on by what the hello says. */
export class Listener {
  private server: Server | undefined;
  private readonly wires = new Set<Connection>();

  constructor(
    private readonly clock: Clock,
    private readonly times: KeepAliveTimes,
    private readonly receivers: Readonly<Record<string, Receiver>>,
    private readonly log: Logger,
  ) {}

  readonly listen = (ip: string, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      this.server = createServer(
        (socket) => void this.serve(new Connection(socket, this.clock, this.times)),
      );
      this.server.once("error", reject);
      this.server.listen(port, ip, resolve);
    });

  readonly close = (): void => {
    this.server?.close();
    this.wires.forEach((connection) => connection.close());
  };

  private readonly serve = async (connection: Connection): Promise<void> => {
    this.wires.add(connection);
    const incoming = connection.incoming();
    try {
      const first = await incoming.next();
      if (first.done) return;
      const receiver = this.receivers[first.value.kind];
      if (receiver) await receiver(connection, first.value, incoming);
    } catch (error) {
      this.log.warn(`A session broke off: ${error instanceof Error ? error.message : "unknown"}.`);
    } finally {
      this.wires.delete(connection);
      connection.close();
    }
  };
}
