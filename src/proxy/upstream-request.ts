import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import {
  headerValue,
  isRepeated,
  NOT_RUN_HEADER,
  SERVER_SEAL_HEADER,
  ATTEMPT_ID_HEADER,
  WORKER_LOAD_HEADER,
  type FlatHeaders,
} from "./headers.js";
import type { Worker } from "./connection-pool.js";

export interface UpstreamRequestOptions {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | Readable | null;
  readonly attemptId: string;
  /**
   * Set where the worker need not give the id back, as with reads of the system's own: an answer then can't be told from
   * another's that comes late, so the connection serves this one request only.
   */
  readonly usesOwnConnection?: boolean;
  /** Takes room for a part of the answer; when there is none left, the answer flows on without being held. */
  readonly reserveMemory: (bytes: number) => boolean;
  /** Asked once, right before the first byte leaves; false keeps it all from leaving, and the verdict is `withheld`. */
  readonly maySend: () => boolean;
}

export interface UpstreamResponse {
  readonly status: number;
  readonly headers: FlatHeaders;
  /** All of the body, or what had come when it grew too large to hold. */
  readonly body: Buffer;
  /** Set when the body goes on beyond `start`. */
  readonly remainder: BodyStream | undefined;
}

/** The part of a large body that is passed on as it comes; a false `end` means that it broke off. */
export interface BodyStream {
  readonly read: (onData: (chunk: Buffer) => boolean, onEnd: (isWhole: boolean) => void) => void;
  readonly resume: () => void;
  /** Nobody wants the rest any more: the connection is given up. */
  readonly abort: () => void;
}

export type UpstreamResult =
  | { readonly kind: "answered"; readonly response: UpstreamResponse }
  /** The worker says, in an answer to this very try, that it did not run the request. */
  | { readonly kind: "rejected"; readonly reason: "overloaded" | "wrong-worker" }
  /**
   * No byte of the request has left: the worker refused the connection or could not be reached, the sending was
   * withheld, or the request is one that can't be written.
   */
  | {
      readonly kind: "not-sent";
      readonly reason: "connection-refused" | "unreachable" | "withheld" | "invalid-request";
    }
  /** It may have run: a broken answer, another request's answer or one without an id, one without its seal, a reset. */
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "cancelled" };

export interface CancellableRequest {
  readonly result: Promise<UpstreamResult>;
  readonly cancel: () => void;
}

/** An answer up to this size is held until it is whole, so that a broken one never reaches the caller. */
const HELD_BYTES = 256 * 1024;

const usageOf = (value: string | undefined): readonly [number, number, number] | undefined => {
  const [running, waiting, slots] = (value ?? "").split(",").map(Number);
  if (running === undefined || waiting === undefined || slots === undefined) return undefined;
  return [running, waiting, slots].every(Number.isFinite) ? [running, waiting, slots] : undefined;
};

const EMPTY = Buffer.alloc(0);

/** Whether an answer is to this very try. Nothing may be concluded from one that isn't: not even that it did not run. */
const isOwn = (
  headers: FlatHeaders,
  { attemptId: tryId, usesOwnConnection: alone }: UpstreamRequestOptions,
): boolean => {
  const told = headerValue(headers, ATTEMPT_ID_HEADER);
  return (
    (told === tryId && !isRepeated(headers, ATTEMPT_ID_HEADER)) ||
    (alone === true && told === undefined)
  );
};

/** Whether the worker says that it turned the request away. Only to be asked of an own answer. */
const isTurnedAway = (status: number, headers: FlatHeaders): boolean =>
  status === 421 || headerValue(headers, NOT_RUN_HEADER) !== undefined;

/** Why an answer can't be this request's whole own answer, or undefined if it can. */
const doubt = (
  status: number,
  headers: FlatHeaders,
  order: UpstreamRequestOptions,
): string | undefined => {
  const { method } = order;
  if (!isOwn(headers, order)) return "another id";
  if (isTurnedAway(status, headers)) return status < 400 ? "a success that did not run" : undefined;
  if (headerValue(headers, "content-encoding") !== undefined) return "an encoding";
  const isBounded =
    headerValue(headers, "content-length") !== undefined ||
    headerValue(headers, "transfer-encoding")?.trim().toLowerCase() === "chunked";
  if (!isBounded && status !== 204 && status !== 304 && method !== "HEAD") return "no bound";
  if (status >= 200 && status < 300 && headerValue(headers, SERVER_SEAL_HEADER) === undefined)
    return "no seal";
  return undefined;
};

/** One request on one connection of a worker. The connection goes back only after a whole answer beyond doubt. */
export class UpstreamRequest implements Dispatcher.DispatchHandler, CancellableRequest {
  readonly result: Promise<UpstreamResult>;
  private resolve: (result: UpstreamResult) => void = () => undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private started = false;
  private over = false;
  private status = 0;
  private heads: FlatHeaders = [];
  private readonly chunks: Buffer[] = [];
  private heldBytes = 0;
  private restSinks:
    | { readonly onData: (chunk: Buffer) => boolean; readonly onEnd: (isWhole: boolean) => void }
    | undefined;
  private streaming = false;
  private readonly coupling;
  private readonly mark;

  constructor(
    private readonly worker: Worker,
    private readonly order: UpstreamRequestOptions,
    private readonly nowUs: () => number,
  ) {
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.mark = worker.begin();
    this.coupling = worker.couple(order.usesOwnConnection === true);
    const { method, path, headers, body } = order;
    try {
      this.coupling.client.dispatch(
        {
          method,
          path,
          headers,
          body,
          idempotent: false,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        this,
      );
    } catch {
      this.finish(false, false, { kind: "not-sent", reason: "invalid-request" });
    }
  }

  readonly cancel = (): void => {
    if (!this.over) this.finish(false, false, { kind: "cancelled" });
  };

  readonly onRequestStart = (controller: Dispatcher.DispatchController): void => {
    this.controller = controller;
    if (this.over) return controller.abort(new Error("cancelled"));
    if (!this.order.maySend())
      return this.finish(false, false, { kind: "not-sent", reason: "withheld" });
    this.started = true;
  };

  readonly onResponseStart = (
    controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void => {
    if (statusCode < 200) return;
    const raw = controller.rawHeaders;
    this.heads = Array.isArray(raw)
      ? raw.map((entry) => (typeof entry === "string" ? entry : entry.toString("latin1")))
      : [];
    this.status = statusCode;
    const reason = doubt(statusCode, this.heads, this.order);
    if (reason !== undefined) return this.finish(true, false, { kind: "lost", reason });
    const usage = usageOf(headerValue(this.heads, WORKER_LOAD_HEADER));
    if (usage) this.worker.tell(...usage);
  };

  readonly onResponseData = (controller: Dispatcher.DispatchController, chunk: Buffer): void => {
    if (this.over && !this.streaming) return;
    if (this.restSinks) {
      if (!this.restSinks.onData(chunk)) controller.pause();
      return;
    }
    this.chunks.push(chunk);
    this.heldBytes += chunk.length;
    if (!this.order.reserveMemory(chunk.length) || this.heldBytes > HELD_BYTES)
      this.startStreaming(controller);
  };

  readonly onResponseEnd = (): void => {
    if (this.streaming) {
      this.streaming = false;
      this.release(true, this.order.usesOwnConnection !== true);
      this.restSinks?.onEnd(true);
      return;
    }
    if (this.over) return;
    const isSound =
      this.order.usesOwnConnection !== true &&
      headerValue(this.heads, "connection")?.toLowerCase() !== "close";
    if (this.status === 421) this.finish(true, false, { kind: "rejected", reason: "wrong-worker" });
    else if (isTurnedAway(this.status, this.heads))
      this.finish(true, isSound, { kind: "rejected", reason: "overloaded" });
    else {
      this.worker.learn(this.nowUs() - this.mark.sinceUs);
      this.finish(true, isSound, {
        kind: "answered",
        response: {
          status: this.status,
          headers: this.heads,
          body: this.body(),
          remainder: undefined,
        },
      });
    }
  };

  readonly onResponseError = (_controller: Dispatcher.DispatchController, error: Error): void => {
    if (this.streaming) {
      this.streaming = false;
      this.release(false, false);
      this.restSinks?.onEnd(false);
      return;
    }
    if (this.over) return;
    if (this.started) this.finish(false, false, { kind: "lost", reason: error.message });
    else this.finish(false, false, { kind: "not-sent", reason: whyUnsent(error) });
  };

  private readonly body = (): Buffer =>
    this.chunks.length === 1 ? (this.chunks[0] ?? EMPTY) : Buffer.concat(this.chunks);

  private readonly startStreaming = (controller: Dispatcher.DispatchController): void => {
    this.streaming = true;
    this.over = true;
    controller.pause();
    const rest: BodyStream = {
      read: (onData, onEnd) => {
        this.restSinks = { onData, onEnd };
        controller.resume();
      },
      resume: () => controller.resume(),
      abort: () => {
        if (!this.streaming) return;
        this.streaming = false;
        this.release(true, false);
      },
    };
    this.resolve({
      kind: "answered",
      response: { status: this.status, headers: this.heads, body: this.body(), remainder: rest },
    });
  };

  private readonly finish = (heard: boolean, isSound: boolean, result: UpstreamResult): void => {
    this.over = true;
    this.release(heard, isSound);
    this.resolve(result);
  };

  private readonly release = (heard: boolean, isSound: boolean): void => {
    this.worker.finish(this.mark, heard);
    this.worker.uncouple(this.coupling, isSound);
    if (!isSound) this.controller?.abort(new Error("done with"));
  };
}

/** The worker's own machine said no, as against silence, a path that is not there, or a request that is none. */
const whyUnsent = (error: Error): "connection-refused" | "unreachable" | "invalid-request" => {
  const code = "code" in error ? error.code : undefined;
  if (code === "UND_ERR_INVALID_ARG" || code === "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH")
    return "invalid-request";
  return code === "ECONNREFUSED" || code === "ECONNRESET" || code === "UND_ERR_SOCKET"
    ? "connection-refused"
    : "unreachable";
};
