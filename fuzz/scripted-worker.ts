/** A worker on bare sockets that follows a script. */
import { createServer, type Server, type Socket } from "node:net";

/** One request as a worker's socket saw it. */
export interface WorkerRequest {
  readonly worker: string;
  /** Which of the worker's connections it came on, from 1. */
  readonly connection: number;
  readonly method: string;
  readonly path: string;
  readonly head: string;
  readonly attemptId: string;
  readonly expectedWorker: string;
  /** All of the body, without the framing of chunks. */
  readonly body: string;
}

/**
 * What a worker does at each moment; it is given the bare socket, so that it can misbehave in every
 * way.
 */
export interface Script {
  readonly onConnect?: (socket: Socket, connection: number) => void;
  /** After the head; an action may end the connection here. */
  readonly onHead?: (head: Omit<WorkerRequest, "body">, socket: Socket) => void;
  readonly onRequest?: (request: WorkerRequest, socket: Socket) => void;
}

/** The value of a header in the text of a head; empty if there is none. */
export const headValue = (head: string, name: string): string =>
  new RegExp(`^${name}:[ \\t]*(.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/**
 * The body at the start of the bytes, and how many bytes it took; undefined while it is not all
 * there.
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

/** A worker that follows a script and remembers every byte its sockets saw. */
export class ScriptedWorker {
  readonly requests: WorkerRequest[] = [];
  /** What each connection brought, in the order they were accepted. */
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

  /** Connections end, and new ones are refused. */
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

/** The bytes of a response as workers write it; headers given as undefined are left out. */
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
