import { createServer, type Server } from "node:net";
import type { Clock } from "../common/clock.js";
import type { Log } from "../common/logger.js";
import { Wire, type Message, type WireTimes } from "./connection.js";

/** What serves one kind of caller for as long as its connection stands. */
export type Receiver = (
  wire: Wire,
  hello: Message,
  incoming: AsyncIterable<Message>,
) => Promise<void>;

/** The listening side of sessions: one task for each connection, handed on by what the hello says. */
export class Switchboard {
  private server: Server | undefined;
  private readonly wires = new Set<Wire>();

  constructor(
    private readonly clock: Clock,
    private readonly times: WireTimes,
    private readonly receivers: Readonly<Record<string, Receiver>>,
    private readonly log: Log,
  ) {}

  readonly listen = (ip: string, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      this.server = createServer(
        (socket) => void this.serve(new Wire(socket, this.clock, this.times)),
      );
      this.server.once("error", reject);
      this.server.listen(port, ip, resolve);
    });

  readonly close = (): void => {
    this.server?.close();
    this.wires.forEach((wire) => wire.close());
  };

  private readonly serve = async (wire: Wire): Promise<void> => {
    this.wires.add(wire);
    const incoming = wire.incoming();
    try {
      const first = await incoming.next();
      if (first.done) return;
      const receiver = this.receivers[first.value.kind];
      if (receiver) await receiver(wire, first.value, incoming);
    } catch (mishap) {
      this.log.warn(
        `A session broke off: ${mishap instanceof Error ? mishap.message : "unknown"}.`,
      );
    } finally {
      this.wires.delete(wire);
      wire.close();
    }
  };
}
