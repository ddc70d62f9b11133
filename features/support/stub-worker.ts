import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
  readonly attemptId: string;
  readonly expectedWorker: string;
}

export type WorkerBehavior =
  | "well"
  | "silent"
  | "resets"
  | "full"
  | "other worker"
  | "wrong id"
  | "no seal"
  | "truncated"
  | "not HTTP"
  | "extra response"
  | "fails"
  | "closes";

const headerValue = (head: string, name: string): string =>
  new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/** A stub worker with a configurable behavior. Uses raw sockets, so that it can violate HTTP. */
export class StubWorker {
  readonly requests: ReceivedRequest[] = [];
  connections = 0;
  /** Whether a request with this head may run; otherwise it is rejected with 421. */
  mayRun: (head: string) => boolean = () => true;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly id: string,
    public behavior: WorkerBehavior = "well",
    public body = "the bytes of the worker",
  ) {}

  get address(): string {
    const address = this.server?.address();
    return `127.0.0.1:${isAddressInfo(address) ? address.port : 0}`;
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

  readonly responseFor = (attemptId: string, body = this.body): string =>
    `HTTP/1.1 200 OK\r\nYewreel-Try-Id: ${attemptId}\r\nYewreel-Server-Seal: s.${body.length}\r\nYewreel-Worker-Load: 1,0,3\r\nX-Mark: kept\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

  private readonly serve = (socket: Socket): void => {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    let unread = "";
    socket.on("data", (chunk) => {
      unread += chunk.toString("latin1");
      for (;;) {
        const end = unread.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = unread.slice(0, end);
        const length = Number(headerValue(head, "content-length") || 0);
        if (unread.length < end + 4 + length) return;
        const body = unread.slice(end + 4, end + 4 + length);
        unread = unread.slice(end + 4 + length);
        const attemptId = headerValue(head, "yewreel-try-id");
        if (!this.mayRun(head)) {
          socket.write(
            `HTTP/1.1 421 Misdirected Request\r\nYewreel-Try-Id: ${attemptId}\r\nYewreel-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
          );
          continue;
        }
        this.requests.push({
          head,
          body,
          attemptId,
          expectedWorker: headerValue(head, "yewreel-expect-worker"),
        });
        this.respond(socket, attemptId);
      }
    });
  };

  private readonly respond = (socket: Socket, attemptId: string): void => {
    const response = this.responseFor(attemptId);
    switch (this.behavior) {
      case "well":
        return void socket.write(response);
      case "silent":
        return undefined;
      case "resets":
        return void socket.resetAndDestroy();
      case "full":
        return void socket.write(
          `HTTP/1.1 503 Service Unavailable\r\nYewreel-Try-Id: ${attemptId}\r\nYewreel-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
        );
      case "other worker":
        return void socket.write(
          `HTTP/1.1 421 Misdirected Request\r\nYewreel-Try-Id: ${attemptId}\r\nYewreel-Worker-Id: i-other\r\nContent-Length: 0\r\n\r\n`,
        );
      case "wrong id":
        return void socket.write(this.responseFor("somebody-else"));
      case "no seal":
        return void socket.write(response.replace(/Yewreel-Server-Seal: [^\r]*\r\n/, ""));
      case "truncated":
        socket.write(response.slice(0, -5));
        return void setImmediate(() => socket.destroy());
      case "not HTTP":
        return void socket.write("\u0001\u0002 this is no answer\r\n\r\n");
      case "extra response":
        return void socket.write(response + this.responseFor("late-extra", "EXTRA"));
      case "fails":
        return void socket.write(
          `HTTP/1.1 500 Internal Server Error\r\nYewreel-Try-Id: ${attemptId}\r\nContent-Length: 4\r\n\r\noops`,
        );
      case "closes":
        socket.end(response.replace("X-Mark", "Connection: close\r\nX-Mark"));
        return undefined;
    }
  };
}

const isAddressInfo = (address: AddressInfo | string | null | undefined): address is AddressInfo =>
  typeof address === "object" && address !== null;
