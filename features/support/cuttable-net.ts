import { connect, createServer, type Server, type Socket } from "node:net";
import { asRecord } from "../../src/common/decode.js";
import { unpackValue } from "../../src/transport/frame-codec.js";

const DEFLATED = 0x4000_0000;
/** No frame but a pulse is as short. */
const PULSE_BYTES = 20;

/**
 * Stands between signalboxes: dialled at the address that a box is known by, it carries to where
 * the box listens. What a cut holds up, ends of connections too, comes through once it is healed;
 * nodes' connections are never cut.
 */
export class CuttableNet {
  private readonly cuts = new Set<string>();
  private readonly pulsesOnly = new Set<string>();
  private readonly servers: Server[] = [];
  private readonly pipes = new Set<{
    readonly ends: readonly string[];
    readonly sockets: readonly Socket[];
    readonly flush: () => void;
  }>();

  /** `id` is the box's control address. */
  readonly open = (id: string, ip: string, listensAt: string, port: number): Promise<void> =>
    new Promise((resolve) => {
      const server = createServer({ noDelay: true }, (socket) =>
        this.carry(socket, id, listensAt, port),
      );
      this.servers.push(server);
      server.listen(port, ip, resolve);
    });

  readonly cut = (from: string, to: string): void => void this.cuts.add(`${from}>${to}`);

  /** The way stands and says so, but carries nothing else. */
  readonly passPulsesOnly = (from: string, to: string): void =>
    void this.pulsesOnly.add(`${from}>${to}`);

  readonly heal = (): void => {
    this.cuts.clear();
    this.pulsesOnly.clear();
    this.pipes.forEach(({ flush }) => flush());
  };

  readonly healBetween = (one: string, other: string): void => {
    [`${one}>${other}`, `${other}>${one}`].forEach((way) => this.cuts.delete(way));
    this.pipes.forEach(({ flush }) => flush());
  };

  /** Resets what one box has dialled at another. */
  readonly reset = (from: string, to: string): void =>
    this.pipes.forEach(({ ends, sockets }) => {
      if (ends[0] === from && ends[1] === to) sockets.forEach((socket) => socket.resetAndDestroy());
    });

  readonly close = (): void => {
    this.servers.forEach((server) => server.close());
    this.pipes.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
  };

  private readonly carry = (dialler: Socket, id: string, ip: string, port: number): void => {
    dialler.once("error", () => dialler.destroy());
    dialler.once("data", (first: Buffer) => {
      const hello = asRecord(unpackValue(first.subarray(4, 4 + first.readUInt32BE(0))));
      const from = hello["kind"] === "colleague" ? String(hello["from"]) : "";
      const target = connect({ host: ip, port, noDelay: true });
      target.write(first);
      const flushes = [
        this.pump(dialler, target, `${from}>${id}`),
        this.pump(target, dialler, `${id}>${from}`),
      ];
      const pipe = {
        ends: [from, id],
        sockets: [dialler, target],
        flush: () => flushes.forEach((flush) => flush()),
      };
      this.pipes.add(pipe);
      target.once("close", () => this.pipes.delete(pipe));
    });
  };

  /** Carries whole frames one way, and then the end. */
  private readonly pump = (from: Socket, to: Socket, way: string): (() => void) => {
    let held: Buffer = Buffer.alloc(0);
    let isOver = false;
    const flush = () => {
      if (this.cuts.has(way)) return;
      while (held.length >= 4) {
        const end = 4 + (held.readUInt32BE(0) & ~DEFLATED);
        if (held.length < end) break;
        if (end <= PULSE_BYTES || !this.pulsesOnly.has(way)) to.write(held.subarray(0, end));
        held = held.subarray(end);
      }
      if (isOver) to.end();
    };
    from.on("data", (bytes: Buffer) => {
      held = Buffer.concat([held, bytes]);
      flush();
    });
    from.on("error", () => from.destroy());
    from.once("close", () => {
      isOver = true;
      flush();
    });
    return flush;
  };
}
