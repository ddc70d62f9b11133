/** Stand-in worker: implements the worker protocol, sends heartbeats and fails some requests. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { HistoryRecorder } from "./history.js";
import { callApi } from "./http-call.js";
import { KEYED_PATH, keyedAnswerTo } from "./keyed-client.js";
import type { SeededRandom } from "../simulator/seeded-random.js";

const MAX_WORK_MS = 60;
const CAPACITY = 8;
/** Fraction of requests whose connection is closed without a response after they were executed. */
const LOST_FRACTION = 0.01;
/** Fraction of requests that are rejected with 503 before they are executed. */
const BUSY_FRACTION = 0.03;

/** Options of a {@link Worker}. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly ip: string;
  readonly controllers: readonly string[];
  readonly history: HistoryRecorder;
  readonly nowUs: () => number;
  readonly random: SeededRandom;
}

const isAddress = (value: AddressInfo | string | null): value is AddressInfo =>
  typeof value === "object" && value !== null;

/** A worker that serves requests until it is closed. */
export class Worker {
  private readonly server: Server;
  private callCount = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: WorkerOptions) {
    this.server = createServer((request, response) => this.serve(request, response));
  }

  /** Starts to listen and to send heartbeats. */
  readonly start = async (heartbeatMs: number): Promise<void> => {
    await new Promise<void>((resolve) => this.server.listen(0, this.options.ip, resolve));
    await this.sendHeartbeat();
    this.timer = setInterval(() => void this.sendHeartbeat(), heartbeatMs);
  };

  readonly close = (): void => {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  };

  /** Tries the controllers in order until one acknowledges the heartbeat. */
  private readonly sendHeartbeat = async (): Promise<void> => {
    const { id, service, zone, controllers } = this.options;
    const address = this.server.address();
    if (!isAddress(address)) return;
    this.callCount += 1;
    const body = JSON.stringify({
      service,
      address: `${this.options.ip}:${address.port}`,
      cell: zone,
      version: "v1",
      capacity: CAPACITY,
      state: "ready",
      warmLeft: "0ms",
      callCount: this.callCount,
    });
    for (const controller of controllers) {
      const reply = await callApi(controller, "POST", `/workers/${id}/heartbeat`, body, 1_000);
      if (reply?.status === 200) return;
    }
  };

  private readonly serve = (request: IncomingMessage, response: ServerResponse): void => {
    const { id, history, nowUs, random, service } = this.options;
    const attemptId = String(request.headers["yewreel-try-id"] ?? "");
    response.setHeader("Yewreel-Try-Id", attemptId);
    request.resume();
    const expected = request.headers["yewreel-expect-worker"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { "Yewreel-Worker-Id": id }).end();
      return;
    }
    if (random.occurs(BUSY_FRACTION)) {
      response.writeHead(503, { "Yewreel-Not-Run": "1" }).end();
      return;
    }
    history.runs.push({ attemptId, service, atUs: nowUs() });
    const isLost = random.occurs(LOST_FRACTION);
    setTimeout(
      () => {
        if (isLost) response.destroy();
        else {
          const isKeyed = request.url?.startsWith(KEYED_PATH) === true;
          const body = isKeyed ? keyedAnswerTo(attemptId) : `answer to ${attemptId}`;
          response
            .writeHead(200, {
              "Yewreel-Server-Seal": "s",
              "Content-Length": Buffer.byteLength(body),
            })
            .end(body);
        }
      },
      random.integer(0, MAX_WORK_MS),
    );
  };
}
