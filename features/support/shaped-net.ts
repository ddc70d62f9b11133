import { connect, createServer, type Server, type Socket } from "node:net";
import { asRecord } from "../../src/common/decode.js";
import { unpackValue } from "../../src/transport/frame-codec.js";
import type { Clock } from "../../src/common/clock.js";

const LENGTH_BYTES = 4;
/** Maximum size of a keep-alive; every other frame is longer. */
const KEEP_ALIVE_BYTES = 20;
const PACKET_BYTES = 16_384;
/** Bytes in flight on a connection at which its sender is paused. */
const WINDOW_BYTES = 65_536;

/** Sending direction of one machine's link; transfers over it are serialized. */
export class Uplink {
  private freeAtUs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly bytesPerS: number,
  ) {}

  readonly send = (byteCount: number, deliver: () => void): void => {
    const startUs = Math.max(this.clock.nowUs(), this.freeAtUs);
    this.freeAtUs = startUs + Math.ceil((byteCount / this.bytesPerS) * 1_000_000);
    this.clock.after(this.freeAtUs - this.clock.nowUs(), deliver);
  };
}

/** Address at which clients connect, address at which the program listens, and its machine. */
export interface ShapedAddress {
  readonly machine: string;
  readonly ip: string;
  readonly listensAt: string;
  readonly port: number;
}

/** Name of the sender, taken from the first message of a connection. */
const senderOf = (first: Buffer): string => {
  const size = first.readUInt32BE(0);
  const hello = asRecord(unpackValue(first.subarray(LENGTH_BYTES, LENGTH_BYTES + size)));
  const node = hello["node"];
  return String(node === undefined ? hello["name"] : asRecord(node)["name"]);
};

/**
 * Proxies the connections between the machines of a test and limits each sender to the rate of its
 * link, as measured on the test's clock. All connections of a machine share its link.
 */
export class ShapedNet {
  private readonly uplinks = new Map<string, Uplink>();
  private readonly servers: Server[] = [];
  private readonly sockets = new Set<Socket>();
  /** Deliveries held back, by machine whose listener may send only keep-alives. */
  private readonly held = new Map<string, (() => void)[]>();

  constructor(private readonly clock: Clock) {}

  /** From now on, holds back all that a machine's listener sends, except keep-alives. */
  readonly hold = (machine: string): void => void this.held.set(machine, []);

  /** Delivers what was held back, and stops holding back. */
  readonly release = (machine: string): void => {
    const waiting = this.held.get(machine) ?? [];
    this.held.delete(machine);
    waiting.forEach((deliver) => deliver());
  };

  readonly addMachine = (machine: string, mbps: number): void =>
    void this.uplinks.set(machine, new Uplink(this.clock, (mbps * 1_000_000) / 8));

  readonly open = ({ machine, ip, listensAt, port }: ShapedAddress): Promise<void> =>
    new Promise((resolve) => {
      const server = createServer({ noDelay: true }, (socket) =>
        this.proxy(socket, machine, listensAt, port),
      );
      this.servers.push(server);
      server.listen(port, ip, resolve);
    });

  readonly close = (): void => {
    this.servers.forEach((server) => server.close());
    this.sockets.forEach((socket) => socket.destroy());
  };

  private readonly proxy = (client: Socket, machine: string, ip: string, port: number): void => {
    this.sockets.add(client);
    client.on("error", () => client.destroy());
    client.once("data", (first: Buffer) => {
      const target = connect({ host: ip, port, noDelay: true });
      this.sockets.add(target);
      target.on("error", () => target.destroy());
      target.write(first);
      this.forward(client, target, senderOf(first), "");
      this.forward(target, client, machine, machine);
    });
  };

  /** Forwards bytes in one direction over the sender's link, and closes the target after them. */
  private readonly forward = (from: Socket, to: Socket, sender: string, listener: string): void => {
    const uplink = this.uplinks.get(sender);
    let inFlight = 0;
    let isOver = false;
    const finish = (): void => {
      if (isOver && inFlight === 0) to.destroy();
    };
    const deliver = (packet: Buffer): void => {
      const queue = packet.length > KEEP_ALIVE_BYTES ? this.held.get(listener) : undefined;
      if (queue) {
        queue.push(() => deliver(packet));
        return;
      }
      inFlight -= packet.length;
      to.write(packet);
      if (inFlight < WINDOW_BYTES) from.resume();
      finish();
    };
    from.on("data", (bytes: Buffer) => {
      for (let start = 0; start < bytes.length; start += PACKET_BYTES) {
        const packet = bytes.subarray(start, start + PACKET_BYTES);
        inFlight += packet.length;
        if (uplink) uplink.send(packet.length, () => deliver(packet));
        else deliver(packet);
      }
      if (inFlight >= WINDOW_BYTES) from.pause();
    });
    from.once("close", () => {
      this.sockets.delete(from);
      isOver = true;
      finish();
    });
  };
}
