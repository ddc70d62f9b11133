import { connect, type Socket } from "node:net";
import { bodyIn, headValue } from "./scripted-worker.js";

/** One answer as a caller's socket saw it. */
export interface Told {
  readonly status: number;
  readonly head: string;
  readonly tryId: string;
  readonly seal: string;
  readonly body: string;
}

/** Bytes on a bare connection to a front, and the answers that come back, whole ones only. */
export class RawCaller {
  readonly told: Told[] = [];
  /** Methods of what was sent, in order; an answer to HEAD has no body whatever its head says. */
  private readonly methods: string[] = [];
  private kept = "";
  /** Bytes that have come and are no whole answer. */
  held = "";
  isClosed = false;
  readonly socket: Socket;

  constructor(host: string, port: number) {
    this.socket = connect({ port, host, noDelay: true });
    this.socket.on("error", () => undefined);
    this.socket.on("close", () => {
      this.isClosed = true;
    });
    this.socket.on("data", (chunk) => {
      this.held += chunk.toString("latin1");
      this.read();
    });
  }

  /** Notes that a request is sent whose bytes the caller writes itself. */
  readonly expect = (method: string): void => {
    this.methods.push(method);
  };

  readonly send = (
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body = "",
  ): void => {
    this.expect(method);
    this.write(requestOf(method, path, headers, body));
  };

  readonly write = (bytes: string): void => {
    this.flush();
    this.socket.write(bytes, "latin1");
  };

  /** Keeps bytes back until more is written or they are flushed. */
  readonly hold = (bytes: string): void => {
    this.kept = bytes;
  };

  readonly flush = (): void => {
    if (this.kept !== "" && !this.socket.destroyed) this.socket.write(this.kept, "latin1");
    this.kept = "";
  };

  private readonly read = (): void => {
    for (;;) {
      const end = this.held.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = this.held.slice(0, end);
      const status = Number(head.split(" ")[1]);
      const isBare = this.methods[this.told.length] === "HEAD" || status === 204 || status === 304;
      const read = isBare ? { body: "", bytes: 0 } : bodyIn(head, this.held.slice(end + 4));
      if (read === undefined) return;
      this.held = this.held.slice(end + 4 + read.bytes);
      this.told.push({
        status,
        head,
        tryId: headValue(head, "yewreel-try-id"),
        seal: headValue(head, "yewreel-server-seal"),
        body: read.body,
      });
    }
  };
}

export const requestOf = (
  method: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body = "",
): string => {
  const length =
    body === "" && method !== "POST"
      ? {}
      : { "Content-Length": String(Buffer.byteLength(body, "latin1")) };
  const lines = Object.entries({ Host: "a.example", ...length, ...headers }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`;
};
