import { createServer, type Server, type Socket } from "node:net";

/** One request as a worker's socket saw it. */
export interface Arrival {
  readonly worker: string;
  /** Which of the worker's connections it came on, from 1. */
  readonly connection: number;
  readonly method: string;
  readonly path: string;
  readonly head: string;
  readonly tryId: string;
  readonly expected: string;
  /** All of the body, without the marks of chunks. */
  readonly body: string;
}

/** What a worker does at each moment; each act is given the bare socket, so that it can misbehave in every way. */
export interface Script {
  readonly onConnect?: (socket: Socket, connection: number) => void;
  /** After the head; false keeps the request's body from being read as one, for acts that end the connection. */
  readonly onHead?: (head: Omit<Arrival, "body">, socket: Socket) => void;
  readonly onRequest?: (arrival: Arrival, socket: Socket) => void;
}

export const headValue = (head: string, name: string): string =>
  new RegExp(`^${name}:[ \\t]*(.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/** The body at the start of the bytes, and how many bytes it took; undefined while it is not all there. */
export const bodyIn = (
  head: string,
  held: string,
): { readonly body: string; readonly bytes: number } | undefined => {
  if (headValue(head, "transfer-encoding") === "") {
    const length = Number(headValue(head, "content-length") || 0);
    return held.length < length ? undefined : { body: held.slice(0, length), bytes: length };
  }
  let body = "";
  for (let at = 0; ;) {
    const line = held.indexOf("\r\n", at);
    const size = line < 0 ? Number.NaN : Number.parseInt(held.slice(at, line), 16);
    if (Number.isNaN(size) || held.length < line + 2 + size + 2) return undefined;
    body += held.slice(line + 2, line + 2 + size);
    at = line + 2 + size + 2;
    if (size === 0) return { body, bytes: at };
  }
};

/** A stand-in worker that follows a script and remembers every byte its sockets saw. */
export class ScriptedWorker {
  readonly arrivals: Arrival[] = [];
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
    let held = "";
    let head: Omit<Arrival, "body"> | undefined;
    socket.on("data", (chunk) => {
      const text = chunk.toString("latin1");
      this.bytes[connection - 1] += text;
      held += text;
      for (;;) {
        if (head === undefined) {
          const end = held.indexOf("\r\n\r\n");
          if (end < 0) return;
          const raw = held.slice(0, end);
          held = held.slice(end + 4);
          const [method = "", path = ""] = raw.split(" ");
          head = {
            worker: this.id,
            connection,
            method,
            path,
            head: raw,
            tryId: headValue(raw, "yewreel-try-id"),
            expected: headValue(raw, "yewreel-expect-worker"),
          };
          this.script.onHead?.(head, socket);
        }
        const read = bodyIn(head.head, held);
        if (read === undefined) return;
        held = held.slice(read.bytes);
        const arrival: Arrival = { ...head, body: read.body };
        head = undefined;
        this.arrivals.push(arrival);
        this.script.onRequest?.(arrival, socket);
      }
    });
  };
}

/** An answer as workers write them; heads given as undefined are left out. */
export const answerOf = (
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
