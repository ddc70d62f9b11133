/**
 * A client that always has several safe requests open on one connection, and uses the connection
 * until a response or the gateway closes it.
 */
import { connect, type Socket } from "node:net";
import type { HistoryRecorder } from "./history.js";
import type { Program } from "./program.js";

const BUDGET_MS = 2_000;
const DEPTH = 3;
const RECONNECT_MS = 100;
const HEAD_END = "\r\n\r\n";

interface OpenRequest {
  readonly attemptId: string;
  readonly sentUs: number;
}

/** Options of a {@link PipeliningClient}. */
export interface PipeliningClientOptions {
  readonly gateway: Program;
  readonly history: HistoryRecorder;
  readonly nowUs: () => number;
  readonly seed: number;
}

/** Keeps {@link DEPTH} requests open at one gateway, on one connection after the other. */
export class PipeliningClient {
  private socket: Socket | undefined;
  private timer: NodeJS.Timeout | undefined;
  private open: OpenRequest[] = [];
  private unread = "";
  private count = 0;
  private isStopped = false;
  private isClosing = false;

  constructor(private readonly options: PipeliningClientOptions) {}

  readonly start = (): void => {
    if (this.isStopped) return;
    this.open = [];
    this.unread = "";
    this.isClosing = false;
    const [host, port] = this.options.gateway.front.split(":");
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.socket.on("connect", this.fill);
    this.socket.on("data", this.read);
    this.socket.on("error", () => undefined);
    this.socket.on("close", this.handleClose);
  };

  /** Ends the connection without recording the requests that are open on it. */
  readonly stop = (): void => {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.socket?.destroy();
  };

  private readonly fill = (): void => {
    while (this.open.length < DEPTH) {
      this.count += 1;
      const { gateway, nowUs, seed } = this.options;
      const attemptId = `${seed}-${gateway.name}-p${this.count}`;
      this.open.push({ attemptId, sentUs: nowUs() });
      this.socket?.write(
        `GET /safe/x HTTP/1.1\r\nHost: soak.example\r\nYewreel-Try-Id: ${attemptId}\r\n` +
          `Yewreel-Time-Left-Ms: ${BUDGET_MS}${HEAD_END}`,
      );
    }
  };

  private readonly read = (chunk: Buffer): void => {
    this.unread += chunk.toString("latin1");
    while (!this.isClosing && this.readResponse());
  };

  /** Takes one complete response from what was received; returns false if there is none. */
  private readonly readResponse = (): boolean => {
    const end = this.unread.indexOf(HEAD_END);
    if (end < 0) return false;
    const head = this.unread.slice(0, end);
    const bodyStart = end + HEAD_END.length;
    const bodyEnd = bodyStart + Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
    if (this.unread.length < bodyEnd) return false;
    const body = this.unread.slice(bodyStart, bodyEnd);
    this.unread = this.unread.slice(bodyEnd);
    this.isClosing = /^connection: *close/im.test(head);
    this.record(this.open.shift(), head, body);
    if (this.isClosing) this.socket?.end();
    else this.fill();
    return true;
  };

  /** Requests behind a response that closed the connection count as unread and are left out. */
  private readonly handleClose = (): void => {
    if (this.isStopped) return;
    if (!this.isClosing) this.open.forEach((request) => this.record(request));
    this.timer = setTimeout(this.start, RECONNECT_MS);
  };

  private readonly record = (request: OpenRequest | undefined, head?: string, body = ""): void => {
    if (!request) return;
    const { gateway, history, nowUs } = this.options;
    history.requests.push({
      ...request,
      gateway: gateway.name,
      isProbe: false,
      isSafe: true,
      endedUs: nowUs(),
      status: head === undefined ? undefined : Number(head.split(" ")[1]),
      hasSeal: head !== undefined && /^yewreel-server-seal:/im.test(head),
      body,
    });
  };
}
