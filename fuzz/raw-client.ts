/** An HTTP client on a raw socket, which can send any bytes and disconnect in any way. */
import { connect, type Socket } from "node:net";
import { parseBody, headValue } from "./scripted-worker.js";

/** A response as a client received it. */
export interface ClientResponse {
  readonly status: number;
  readonly head: string;
  readonly attemptId: string;
  readonly seal: string;
  readonly body: string;
}

/** Writes bytes to a connection to a proxy server and parses the complete responses. */
export class RawClient {
  readonly responses: ClientResponse[] = [];
  /** Methods of the sent requests, in order: a response to HEAD has no body despite its headers. */
  private readonly methods: string[] = [];
  private deferred = "";
  /** Received bytes that do not form a complete response yet. */
  unread = "";
  isClosed = false;
  readonly socket: Socket;

  constructor(host: string, port: number) {
    this.socket = connect({ port, host, noDelay: true });
    this.socket.on("error", () => undefined);
    this.socket.on("close", () => {
      this.isClosed = true;
    });
    this.socket.on("data", (chunk) => {
      this.unread += chunk.toString("latin1");
      this.read();
    });
  }

  /** Records the method of a request whose bytes are written with `write`. */
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
    this.write(requestBytes(method, path, headers, body));
  };

  readonly write = (bytes: string): void => {
    this.flush();
    this.socket.write(bytes, "latin1");
  };

  /** Buffers bytes until the next write or flush. */
  readonly defer = (bytes: string): void => {
    this.deferred = bytes;
  };

  readonly flush = (): void => {
    if (this.deferred !== "" && !this.socket.destroyed) this.socket.write(this.deferred, "latin1");
    this.deferred = "";
  };

  private readonly read = (): void => {
    for (;;) {
      const end = this.unread.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = this.unread.slice(0, end);
      const status = Number(head.split(" ")[1]);
      const isBare =
        this.methods[this.responses.length] === "HEAD" || status === 204 || status === 304;
      const read = isBare ? { body: "", bytes: 0 } : parseBody(head, this.unread.slice(end + 4));
      if (read === undefined) return;
      this.unread = this.unread.slice(end + 4 + read.bytes);
      this.responses.push({
        status,
        head,
        attemptId: headValue(head, "yewreel-try-id"),
        seal: headValue(head, "yewreel-server-seal"),
        body: read.body,
      });
    }
  };
}

/** Serializes a request. */
export const requestBytes = (
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
