import { connect, createServer, type Server, type Socket } from "node:net";
import { asRecord } from "../../src/common/decode.js";
import { unpackValue } from "../../src/transport/frame-codec.js";
import type { Clock } from "../../src/common/clock.js";

const LENGTH_BYTES = 4;
/** No frame but a keep-alive is as short. */
const KEEP_ALIVE_BYTES = 20;
const PACKET_BYTES = 16_384;
/** A connection's sender is held up while so much of it is on its way. */
const WINDOW_BYTES = 65_536;

/** The sending side of one machine's link: what is sent over it goes out one after the other. */
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

/** Where a program is dialled, where it listens, and the machine that it runs on. */
export interface ShapedAddress {
  readonly machine: string;
  readonly ip: string;
  readonly listensAt: string;
  readonly port: number;
}

/** Who a connection's first message says that it is from. */
const senderOf = (first: Buffer): string => {
  const size = first.readUInt32BE(0);
  const hello = asRecord(unpackValue(first.subarray(LENGTH_BYTES, LENGTH_BYTES + size)));
  const node = hello["node"];
  return String(node === undefined ? hello["name"] : asRecord(node)["name"]);
};

/**
 * Stands between the machines of a test and carries what they send at the rate of the sender's link,
 * on the test's clock. All connections of a machine share its link.
 */
export class ShapedNet {
  private readonly uplinks = new Map<string, Uplink>();
  private readonly servers: Server[] = [];
  private readonly sockets = new Set<Socket>();
  /** Machines whose listeners send nothing but keep-alives, and what they hold back. */
  private readonly held = new Map<string, (() => void)[]>();

  constructor(private readonly clock: Clock) {}

  /** From now on a machine's listener sends its callers keep-alives only; the rest is held back. */
  readonly hold = (machine: string): void => void this.held.set(machine, []);

  /** Sends what was held back. */
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
        this.carry(socket, machine, listensAt, port),
      );
      this.servers.push(server);
      server.listen(port, ip, resolve);
    });

  readonly close = (): void => {
    this.servers.forEach((server) => server.close());
    this.sockets.forEach((socket) => socket.destroy());
  };

  private readonly carry = (dialler: Socket, machine: string, ip: string, port: number): void => {
    this.sockets.add(dialler);
    dialler.on("error", () => dialler.destroy());
    dialler.once("data", (first: Buffer) => {
      const target = connect({ host: ip, port, noDelay: true });
      this.sockets.add(target);
      target.on("error", () => target.destroy());
      target.write(first);
      this.pump(dialler, target, senderOf(first), "");
      this.pump(target, dialler, machine, machine);
    });
  };

  /** Carries bytes one way over the sender's link, and then the end. */
  private readonly pump = (from: Socket, to: Socket, sender: string, listener: string): void => {
    const uplink = this.uplinks.get(sender);
    let inFlight = 0;
    let isOver = false;
    const finish = (): void => {
      if (isOver && inFlight === 0) to.destroy();
    };
    const deliver = (packet: Buffer): void => {
      const held = packet.length > KEEP_ALIVE_BYTES ? this.held.get(listener) : undefined;
      if (held) {
        held.push(() => deliver(packet));
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
