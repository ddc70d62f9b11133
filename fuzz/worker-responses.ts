/** The correct and faulty responses of scripted workers, and a record of those written. */
import type { Socket } from "node:net";
import { digestOf, type WrittenResponse } from "./checks.js";
import type { WorkerAction } from "./scenario.js";
import { responseBytes, type WorkerRequest } from "./scripted-worker.js";

const LARGE_BODY = "y".repeat(400_000);
const NOT_RUN = { "Yewreel-Not-Run": "1" };

/** A request to respond to. */
interface Exchange {
  readonly request: WorkerRequest;
  readonly socket: Socket;
  readonly delayMs: number;
}

type Respond = (exchange: Exchange) => void;

/** Dependencies of {@link WorkerResponses}. */
export interface WorkerResponsesOptions {
  /** Schedules an action `waitMs` milliseconds from now. */
  readonly after: (waitMs: number, act: () => void) => void;
  /** Whether stray responses carry the id of the current attempt. */
  readonly forgesAttemptIds: boolean;
}

const rejectionBytes = (status: number, request: WorkerRequest, body = ""): string =>
  responseBytes(status, { "Yewreel-Try-Id": request.attemptId, ...NOT_RUN }, body);

/** Writes and records the responses of all workers of a scenario. */
export class WorkerResponses {
  readonly written: WrittenResponse[] = [];
  /** Attempts whose response was truncated or replaced by a connection reset. */
  readonly interrupted = new Set<string>();

  constructor(private readonly options: WorkerResponsesOptions) {}

  /** Responds to a request as the action says. */
  readonly respond = (action: WorkerAction, exchange: Exchange): void =>
    this.actions[action](exchange);

  /** Serializes a response to this attempt and records it. */
  readonly write = (
    request: WorkerRequest,
    status: number,
    body: string,
    headers: Readonly<Record<string, string | undefined>> = {},
  ): string => {
    const seal = `s.${request.worker}.${request.attemptId}.${this.written.length}`;
    this.written.push({ attemptId: request.attemptId, status, seal, digest: digestOf(body) });
    return responseBytes(
      status,
      { "Yewreel-Try-Id": request.attemptId, "Yewreel-Server-Seal": seal, ...headers },
      request.method === "HEAD" ? "" : body,
    );
  };

  private readonly attemptResponse = (request: WorkerRequest, status = 200): string =>
    this.write(request, status, `ran ${request.attemptId}`);

  /** A stray response to another attempt; its status depends on the delay. */
  private readonly strayResponse = ({ request, delayMs }: Exchange): string => {
    const id = this.options.forgesAttemptIds ? request.attemptId : "t-somebody-else";
    const responses: readonly [number, Readonly<Record<string, string>>, string][] = [
      [200, { "Yewreel-Server-Seal": "s.extra" }, "EXTRA"],
      [503, NOT_RUN, ""],
      [421, {}, ""],
      [500, { "Yewreel-Server-Seal": "s.extra" }, "EXTRA"],
    ];
    const [status, headers, body] = responses[delayMs % responses.length] ?? [200, {}, ""];
    return responseBytes(status, { "Yewreel-Try-Id": id, ...headers }, body);
  };

  private readonly writeTruncated = ({ request, socket }: Exchange, bytes: string): void => {
    this.interrupted.add(request.attemptId);
    socket.end(bytes);
  };

  private readonly reset: Respond = ({ request, socket }) => {
    this.interrupted.add(request.attemptId);
    socket.resetAndDestroy();
  };

  private readonly answer: Respond = ({ request, socket }) => {
    socket.write(this.attemptResponse(request));
  };

  private readonly answerInPieces: Respond = ({ request, socket }) => {
    const bytes = this.attemptResponse(request);
    for (let at = 0; at < bytes.length; at += 40)
      this.options.after(10 + at / 4, () => socket.write(bytes.slice(at, at + 40)));
  };

  private readonly answerInChunks: Respond = ({ request, socket }) => {
    const body = `ran ${request.attemptId}`;
    const [head = ""] = this.write(request, 200, body, {
      "Content-Length": undefined,
      "Transfer-Encoding": "chunked",
    }).split("\r\n\r\n");
    const chunks =
      request.method === "HEAD" ? "" : `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
    socket.write(`${head}\r\n\r\n${chunks}`);
  };

  /** Responds, and misuses the connection a moment later. */
  private readonly answerAndThen =
    (later: Respond): Respond =>
    (exchange) => {
      exchange.socket.write(this.attemptResponse(exchange.request));
      this.options.after(exchange.delayMs / 4, () => later(exchange));
    };

  private readonly actions: Readonly<Record<WorkerAction, Respond>> = {
    answers: this.answer,
    "answers early": this.answer,
    "is another": this.answer,
    "answers in pieces": this.answerInPieces,
    "answers in chunks": this.answerInChunks,
    "answers slowly": (exchange) =>
      this.options.after(exchange.delayMs, () => this.answer(exchange)),
    "answers large": ({ request, socket }) =>
      void socket.write(this.write(request, 200, LARGE_BODY)),
    "answers and closes": ({ request, socket }) =>
      void socket.end(
        this.write(request, 200, `ran ${request.attemptId}`, { Connection: "close" }),
      ),
    "answers and doubles": (exchange) =>
      void exchange.socket.write(
        this.attemptResponse(exchange.request) + this.strayResponse(exchange),
      ),
    "answers behind a hint": ({ request, socket }) =>
      void socket.write(
        `HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${this.attemptResponse(request)}`,
      ),
    "answers behind a late one": (exchange) =>
      void exchange.socket.write(
        this.strayResponse(exchange) + this.attemptResponse(exchange.request),
      ),
    "answers and doubles late": this.answerAndThen(
      (exchange) => void exchange.socket.write(this.strayResponse(exchange)),
    ),
    "answers and writes rubbish late": this.answerAndThen(
      ({ socket }) => void socket.write("\u0001\u0002\r\n\r\n"),
    ),
    "answers and resets late": this.answerAndThen(({ socket }) => void socket.resetAndDestroy()),
    fails: ({ request, socket }) => void socket.write(this.attemptResponse(request, 500)),
    "knows nothing of it": ({ request, socket }) =>
      void socket.write(this.attemptResponse(request, 404)),
    sheds: ({ request, socket }) => void socket.write(rejectionBytes(503, request)),
    limits: ({ request, socket }) => void socket.write(rejectionBytes(429, request)),
    "fails without saying whether it ran": ({ request, socket, delayMs }) =>
      void socket.write(this.attemptResponse(request, [503, 429, 408][delayMs % 3])),
    "forgets the seal": ({ request, socket }) =>
      void socket.write(
        responseBytes(200, { "Yewreel-Try-Id": request.attemptId }, `ran ${request.attemptId}`),
      ),
    "tells two ids": ({ request, socket }) =>
      void socket.write(
        this.attemptResponse(request).replace(
          "Yewreel-Server-Seal",
          "Yewreel-Try-Id: t-somebody-else\r\nYewreel-Server-Seal",
        ),
      ),
    "tells another id": (exchange) => void exchange.socket.write(this.strayResponse(exchange)),
    "tells no id": ({ socket }) => void socket.write(responseBytes(503, NOT_RUN)),
    "cuts the head": (exchange) =>
      this.writeTruncated(exchange, this.attemptResponse(exchange.request).slice(0, 40)),
    "cuts the body": (exchange) =>
      this.writeTruncated(exchange, this.attemptResponse(exchange.request).slice(0, -2)),
    "cuts a large body": (exchange) =>
      this.writeTruncated(exchange, this.write(exchange.request, 200, LARGE_BODY).slice(0, -2)),
    "cuts its refusal": (exchange) =>
      this.writeTruncated(exchange, rejectionBytes(503, exchange.request, "full").slice(0, -2)),
    "loses the answer": this.reset,
    "resets at the head": this.reset,
    "continues unasked": ({ request, socket }) =>
      void socket.write(`HTTP/1.1 100 Continue\r\n\r\n${this.attemptResponse(request)}`),
    "is silent": () => undefined,
  };
}
