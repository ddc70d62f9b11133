import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export interface Seen {
  readonly head: string;
  readonly body: string;
  readonly tryId: string;
  readonly expected: string;
}

export type Manner =
  | "well"
  | "silent"
  | "resets"
  | "full"
  | "other"
  | "wrong id"
  | "no seal"
  | "breaks off"
  | "no bytes of the protocol"
  | "an extra answer"
  | "fails"
  | "says close";

const headValue = (head: string, name: string): string =>
  new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/** A worker that behaves as told, over a bare socket so that it can misbehave in every way. */
export class StandIn {
  readonly seen: Seen[] = [];
  connections = 0;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly id: string,
    public manner: Manner = "well",
    public body = "the bytes of the worker",
  ) {}

  get address(): string {
    const address = this.server?.address();
    return `127.0.0.1:${isPort(address) ? address.port : 0}`;
  }

  readonly start = (): Promise<void> =>
    new Promise((resolve) => {
      this.server = createServer(this.serve);
      this.server.listen(0, "127.0.0.1", resolve);
    });

  readonly stop = (): void => {
    this.sockets.forEach((socket) => socket.destroy());
    this.server?.close();
  };

  readonly answerOf = (tryId: string, body = this.body): string =>
    `HTTP/1.1 200 OK\r\nYewreel-Try-Id: ${tryId}\r\nYewreel-Server-Seal: s.${body.length}\r\nYewreel-Worker-Load: 1,0,3\r\nX-Mark: kept\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

  private readonly serve = (socket: Socket): void => {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    let held = "";
    socket.on("data", (chunk) => {
      held += chunk.toString("latin1");
      for (;;) {
        const end = held.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = held.slice(0, end);
        const length = Number(headValue(head, "content-length") || 0);
        if (held.length < end + 4 + length) return;
        const body = held.slice(end + 4, end + 4 + length);
        held = held.slice(end + 4 + length);
        const tryId = headValue(head, "yewreel-try-id");
        this.seen.push({ head, body, tryId, expected: headValue(head, "yewreel-expect-worker") });
        this.reply(socket, tryId);
      }
    });
  };

  private readonly reply = (socket: Socket, tryId: string): void => {
    const whole = this.answerOf(tryId);
    switch (this.manner) {
      case "well":
        return void socket.write(whole);
      case "silent":
        return undefined;
      case "resets":
        return void socket.resetAndDestroy();
      case "full":
        return void socket.write(
          `HTTP/1.1 503 Service Unavailable\r\nYewreel-Try-Id: ${tryId}\r\nYewreel-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
        );
      case "other":
        return void socket.write(
          `HTTP/1.1 421 Misdirected Request\r\nYewreel-Try-Id: ${tryId}\r\nYewreel-Worker-Id: i-other\r\nContent-Length: 0\r\n\r\n`,
        );
      case "wrong id":
        return void socket.write(this.answerOf("somebody-else"));
      case "no seal":
        return void socket.write(whole.replace(/Yewreel-Server-Seal: [^\r]*\r\n/, ""));
      case "breaks off":
        socket.write(whole.slice(0, -5));
        return void setImmediate(() => socket.destroy());
      case "no bytes of the protocol":
        return void socket.write("\u0001\u0002 this is no answer\r\n\r\n");
      case "an extra answer":
        return void socket.write(whole + this.answerOf("late-extra", "EXTRA"));
      case "fails":
        return void socket.write(
          `HTTP/1.1 500 Internal Server Error\r\nYewreel-Try-Id: ${tryId}\r\nContent-Length: 4\r\n\r\noops`,
        );
      case "says close":
        socket.end(whole.replace("X-Mark", "Connection: close\r\nX-Mark"));
        return undefined;
    }
  };
}

const isPort = (address: AddressInfo | string | null | undefined): address is AddressInfo =>
  typeof address === "object" && address !== null;
