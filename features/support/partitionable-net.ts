import { connect, createServer, type Server, type Socket } from "node:net";
import { asRecord } from "../../src/common/decode.js";
import { unpackValue } from "../../src/transport/frame-codec.js";

const DEFLATED_FLAG = 0x4000_0000;
/** Keep-alive frames are the only ones this short. */
const MAX_KEEP_ALIVE_BYTES = 20;

/**
 * TCP proxy between controllers. It listens at each controller's advertised address and forwards
 * to the address that the controller listens on. Each direction between two controllers can be
 * blocked; blocked frames and connection ends are buffered and delivered once the block is
 * removed. Connections of nodes are never blocked.
 */
export class PartitionableNet {
  private readonly blockedDirections = new Set<string>();
  private readonly keepAlivesOnly = new Set<string>();
  private readonly servers: Server[] = [];
  private readonly links = new Set<{
    readonly ends: readonly string[];
    readonly sockets: readonly Socket[];
    readonly flush: () => void;
  }>();

  /** Starts proxying for a controller; `id` is its control address. */
  readonly open = (id: string, ip: string, listensAt: string, port: number): Promise<void> =>
    new Promise((resolve) => {
      const server = createServer({ noDelay: true }, (socket) =>
        this.proxy(socket, id, listensAt, port),
      );
      this.servers.push(server);
      server.listen(port, ip, resolve);
    });

  readonly cut = (from: string, to: string): void =>
    void this.blockedDirections.add(`${from}>${to}`);

  /** Forwards keep-alive frames in this direction and drops all others. */
  readonly passKeepAlivesOnly = (from: string, to: string): void =>
    void this.keepAlivesOnly.add(`${from}>${to}`);

  readonly heal = (): void => {
    this.blockedDirections.clear();
    this.keepAlivesOnly.clear();
    this.links.forEach(({ flush }) => flush());
  };

  readonly healBetween = (one: string, other: string): void => {
    [`${one}>${other}`, `${other}>${one}`].forEach((direction) =>
      this.blockedDirections.delete(direction),
    );
    this.links.forEach(({ flush }) => flush());
  };

  /** Resets the connections that one controller opened to another. */
  readonly reset = (from: string, to: string): void =>
    this.links.forEach(({ ends, sockets }) => {
      if (ends[0] === from && ends[1] === to) sockets.forEach((socket) => socket.resetAndDestroy());
    });

  readonly close = (): void => {
    this.servers.forEach((server) => server.close());
    this.links.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
  };

  private readonly proxy = (dialler: Socket, id: string, ip: string, port: number): void => {
    dialler.once("error", () => dialler.destroy());
    dialler.once("data", (first: Buffer) => {
      const hello = asRecord(unpackValue(first.subarray(4, 4 + first.readUInt32BE(0))));
      const from = hello["kind"] === "colleague" ? String(hello["from"]) : "";
      const target = connect({ host: ip, port, noDelay: true });
      target.write(first);
      const flushes = [
        this.forward(dialler, target, `${from}>${id}`),
        this.forward(target, dialler, `${id}>${from}`),
      ];
      const link = {
        ends: [from, id],
        sockets: [dialler, target],
        flush: () => flushes.forEach((flush) => flush()),
      };
      this.links.add(link);
      target.once("close", () => this.links.delete(link));
    });
  };

  /** Forwards whole frames in one direction, then the end of the connection. */
  private readonly forward = (from: Socket, to: Socket, direction: string): (() => void) => {
    let buffered: Buffer = Buffer.alloc(0);
    let hasEnded = false;
    const flush = () => {
      if (this.blockedDirections.has(direction)) return;
      while (buffered.length >= 4) {
        const end = 4 + (buffered.readUInt32BE(0) & ~DEFLATED_FLAG);
        if (buffered.length < end) break;
        if (end <= MAX_KEEP_ALIVE_BYTES || !this.keepAlivesOnly.has(direction))
          to.write(buffered.subarray(0, end));
        buffered = buffered.subarray(end);
      }
      if (hasEnded) to.end();
    };
    from.on("data", (bytes: Buffer) => {
      buffered = Buffer.concat([buffered, bytes]);
      flush();
    });
    from.on("error", () => from.destroy());
    from.once("close", () => {
      hasEnded = true;
      flush();
    });
    return flush;
  };
}
