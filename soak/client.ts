/** Load clients that reuse their keep-alive connections until the gateway closes them. */
import { Agent, request, type IncomingMessage } from "node:http";
import type { HistoryRecorder } from "./history.js";
import type { Program } from "./program.js";
import type { SeededRandom } from "../simulator/seeded-random.js";

const BUDGET_MS = 2_000;
const CONNECTIONS = 3;
const HOST = "soak.example";

/** A route of the configuration, and the kind of requests it takes. */
export interface ClientRoute {
  readonly path: string;
  readonly isProbe: boolean;
  readonly isSafe: boolean;
}

/** The routes that clients send requests to. */
export const CLIENT_ROUTES: readonly ClientRoute[] = [
  { path: "/safe/", isProbe: false, isSafe: true },
  { path: "/unsafe/", isProbe: false, isSafe: false },
  { path: "/probe/", isProbe: true, isSafe: true },
];

/** Options of a {@link Client}. */
export interface ClientOptions {
  readonly gateway: Program;
  readonly history: HistoryRecorder;
  readonly nowUs: () => number;
  readonly random: SeededRandom;
  readonly seed: number;
  /** Milliseconds between requests. */
  readonly intervalMs: number;
}

/** Sends requests to one gateway at a fixed rate. */
export class Client {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS });
  private timer: NodeJS.Timeout | undefined;
  private count = 0;

  constructor(private readonly options: ClientOptions) {}

  readonly start = (): void => {
    this.timer = setInterval(this.send, this.options.intervalMs);
  };

  readonly stop = (): void => {
    clearInterval(this.timer);
    this.agent.destroy();
  };

  private readonly send = (): void => {
    const { gateway, nowUs, random, seed } = this.options;
    this.count += 1;
    const route = random.pick(CLIENT_ROUTES);
    const attemptId = `${seed}-${gateway.name}-${this.count}`;
    const sentUs = nowUs();
    let hasResponse = false;
    let isRecorded = false;
    const recordOutcome = (response?: IncomingMessage, body = ""): void => {
      if (isRecorded) return;
      isRecorded = true;
      this.options.history.requests.push({
        attemptId,
        gateway: gateway.name,
        isProbe: route.isProbe,
        isSafe: route.isSafe,
        sentUs,
        endedUs: nowUs(),
        status: response?.complete === true ? response.statusCode : undefined,
        hasSeal: response?.headers["yewreel-server-seal"] !== undefined,
        body,
      });
    };
    const clientRequest = request(
      `http://${gateway.front}${route.path}x`,
      {
        method: route.isSafe ? "GET" : "POST",
        agent: this.agent,
        headers: {
          Host: HOST,
          "Yewreel-Try-Id": attemptId,
          "Yewreel-Time-Left-Ms": String(BUDGET_MS),
        },
      },
      (response) => {
        hasResponse = true;
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => undefined);
        response.on("close", () => recordOutcome(response, Buffer.concat(chunks).toString()));
      },
    );
    const recordNoResponse = (): void => {
      if (!hasResponse) recordOutcome();
    };
    clientRequest.setTimeout(BUDGET_MS * 2, () => clientRequest.destroy());
    clientRequest.on("error", recordNoResponse);
    clientRequest.on("close", recordNoResponse);
    clientRequest.end();
  };
}
