/** A worker on raw sockets that follows a script. */
import { createServer, type Server, type Socket } from "node:net";

/** A request as a worker received it. */
export interface WorkerRequest {
  readonly worker: string;
  /** The number of the worker's connection that it arrived on, from 1. */
  readonly connection: number;
  readonly method: string;
  readonly path: string;
  readonly head: string;
  readonly attemptId: string;
  readonly expectedWorker: string;
  /** The complete body, without chunked framing. */
  readonly body: string;
}

/**
 * The callbacks of a worker. They receive the raw socket, so that they can violate the protocol in
 * any way.
 */
export interface Script {
  readonly onConnect?: (socket: Socket, connection: number) => void;
  /** Called after the head of a request; may close the connection. */
  readonly onHead?: (head: Omit<WorkerRequest, "body">, socket: Socket) => void;
  readonly onRequest?: (request: WorkerRequest, socket: Socket) => void;
}

/** Returns the value of a header in a raw head; empty if it is missing. */
export const headValue = (head: string, name: string): string =>
  new RegExp(`^${name}:[ \\t]*(.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/**
 * Parses the body at the start of `unread` and returns it with the number of bytes it takes up;
 * undefined while it is incomplete.
 */
export const parseBody = (
  head: string,
  unread: string,
): { readonly body: string; readonly bytes: number } | undefined => {
  if (headValue(head, "transfer-encoding") === "") {
    const length = Number(headValue(head, "content-length") || 0);
    return unread.length < length ? undefined : { body: unread.slice(0, length), bytes: length };
  }
  let body = "";
  for (let at = 0; ;) {
    const line = unread.indexOf("\r\n", at);
    const size = line < 0 ? Number.NaN : Number.parseInt(unread.slice(at, line), 16);
    if (Number.isNaN(size) || unread.length < line + 2 + size + 2) return undefined;
    body += unread.slice(line + 2, line + 2 + size);
    at = line + 2 + size + 2;
    if (size === 0) return { body, bytes: at };
  }
};

/** A worker that follows a script and records every byte that it receives. */
export class ScriptedWorker {
  readonly requests: WorkerRequest[] = [];
  /** The bytes received on each connection, in the order of acceptance. */
  readonly bytes: string[] = [];
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly id: string,
    public script: Script = {},
  ) {}

  get address(): string {
    const address = this.server?.address();
    return `127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`;
  }

  get openConnections(): number {
    return this.sockets.size;
  }

  readonly start = (): Promise<void> =>
    new Promise((resolve) => {
      this.server = createServer({ noDelay: true }, this.serve);
      this.server.listen(0, "127.0.0.1", resolve);
    });

  /** Closes all connections and refuses new ones. */
  readonly stop = (): void => {
    this.sockets.forEach((socket) => socket.destroy());
    this.server?.close();
  };

  private readonly serve = (socket: Socket): void => {
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    const connection = this.bytes.push("");
    this.script.onConnect?.(socket, connection);
    let unread = "";
    let head: Omit<WorkerRequest, "body"> | undefined;
    socket.on("data", (chunk) => {
      const text = chunk.toString("latin1");
      this.bytes[connection - 1] = (this.bytes[connection - 1] ?? "") + text;
      unread += text;
      for (;;) {
        if (head === undefined) {
          const end = unread.indexOf("\r\n\r\n");
          if (end < 0) return;
          const raw = unread.slice(0, end);
          unread = unread.slice(end + 4);
          const [method = "", path = ""] = raw.split(" ");
          head = {
            worker: this.id,
            connection,
            method,
            path,
            head: raw,
            attemptId: headValue(raw, "yewreel-try-id"),
            expectedWorker: headValue(raw, "yewreel-expect-worker"),
          };
          this.script.onHead?.(head, socket);
        }
        const read = parseBody(head.head, unread);
        if (read === undefined) return;
        unread = unread.slice(read.bytes);
        const request: WorkerRequest = { ...head, body: read.body };
        head = undefined;
        this.requests.push(request);
        this.script.onRequest?.(request, socket);
      }
    });
  };
}

/** Serializes a response; headers whose value is undefined are omitted. */
export const responseBytes = (
  status: number,
  headers: Readonly<Record<string, string | undefined>>,
  body = "",
): string => {
  const all: Readonly<Record<string, string | undefined>> = {
    "Content-Length": String(Buffer.byteLength(body)),
    ...headers,
  };
  const lines = Object.entries(all).flatMap(([name, value]) =>
    value === undefined ? [] : [`${name}: ${value}\r\n`],
  );
  return `HTTP/1.1 ${status} Some Reason\r\n${lines.join("")}\r\n${body}`;
};
