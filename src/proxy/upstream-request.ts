/** One request on one connection to a worker, and what its response proves. */
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Worker } from "./worker.js";
import { headerValue, WORKER_LOAD_HEADER, type FlatHeaders } from "./headers.js";
import {
  isRejection,
  readWorkerLoad,
  findResponseDefect,
  type SentRequest,
} from "./response-check.js";

/** What is sent, and under which conditions. */
export interface UpstreamRequestOptions extends SentRequest {
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | Readable | null;
  /**
   * Reserves memory for a chunk of the response; without it the response is streamed instead of
   * buffered.
   */
  readonly reserveMemory: (bytes: number) => boolean;
  /**
   * Asked once, right before the first byte leaves; false keeps all of it from leaving, with the
   * reason `withheld`.
   */
  readonly maySend: () => boolean;
}

/** A worker's own response. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: FlatHeaders;
  /** All of the body, or what had come when it grew too large to be buffered. */
  readonly body: Buffer;
  /** Set when the body goes on beyond `body`. */
  readonly remainder: BodyStream | undefined;
}

/** The part of a large body that is passed on as it comes. */
export interface BodyStream {
  /**
   * Starts the stream.
   *
   * @param onData - takes a chunk; false pauses the stream until `resume`
   * @param onEnd - called once at the end; false when the body broke off
   */
  readonly read: (onData: (chunk: Buffer) => boolean, onEnd: (isComplete: boolean) => void) => void;
  readonly resume: () => void;
  /** Nobody wants the rest any more: the connection is given up. */
  readonly abort: () => void;
}

/** What came of a request to one worker. */
export type UpstreamResult =
  | { readonly kind: "answered"; readonly response: UpstreamResponse }
  /** The worker says, in a response to this very attempt, that it did not run the request. */
  | { readonly kind: "rejected"; readonly reason: "overloaded" | "wrong-worker" }
  /**
   * No byte of the request has left: the worker refused the connection or could not be reached, the
   * request was withheld, or it can't be written as HTTP.
   */
  | {
      readonly kind: "not-sent";
      readonly reason: "connection-refused" | "unreachable" | "withheld" | "invalid-request";
    }
  /**
   * It may have run: a broken response, another request's or one without an id, one without its
   * seal, a reset.
   */
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "cancelled" };

/** A request under way. */
export interface CancellableRequest {
  /** Always resolves, once. */
  readonly result: Promise<UpstreamResult>;
  /** Gives up the request and its connection, if it is still under way. */
  readonly cancel: () => void;
}

/**
 * A response up to this size is buffered until it is complete, so that a broken one never reaches
 * the client.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;

const EMPTY = Buffer.alloc(0);

/**
 * The worker's own machine refused, as against a time-out, a path that is not there, or an invalid
 * request.
 */
const reasonNotSent = (error: Error): "connection-refused" | "unreachable" | "invalid-request" => {
  const code = "code" in error ? error.code : undefined;
  if (code === "UND_ERR_INVALID_ARG" || code === "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH")
    return "invalid-request";
  return code === "ECONNREFUSED" || code === "ECONNRESET" || code === "UND_ERR_SOCKET"
    ? "connection-refused"
    : "unreachable";
};

/**
 * Sends one request. The connection goes back to the pool only after a complete response beyond
 * doubt.
 */
export class UpstreamRequest implements Dispatcher.DispatchHandler, CancellableRequest {
  readonly result: Promise<UpstreamResult>;
  private resolve: (result: UpstreamResult) => void = () => undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private isSent = false;
  private isFinished = false;
  private status = 0;
  private headers: FlatHeaders = [];
  private readonly chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private streamHandlers:
    | {
        readonly onData: (chunk: Buffer) => boolean;
        readonly onEnd: (isComplete: boolean) => void;
      }
    | undefined;
  private isStreaming = false;
  private readonly connection;
  private readonly inFlightRequest;

  constructor(
    private readonly worker: Worker,
    private readonly request: UpstreamRequestOptions,
    private readonly nowUs: () => number,
  ) {
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.inFlightRequest = worker.begin();
    this.connection = worker.acquireConnection(request.usesOwnConnection === true);
    const { method, path, headers, body } = request;
    try {
      this.connection.client.dispatch(
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
      // The client library throws at once for a method, path or header that HTTP does not allow.
      this.finish(false, false, { kind: "not-sent", reason: "invalid-request" });
    }
  }

  readonly cancel = (): void => {
    if (!this.isFinished) this.finish(false, false, { kind: "cancelled" });
  };

  /** The connection is up, and the library writes as soon as this returns. */
  readonly onRequestStart = (controller: Dispatcher.DispatchController): void => {
    this.controller = controller;
    if (this.isFinished) {
      controller.abort(new Error("cancelled"));
      return;
    }
    if (!this.request.maySend()) {
      this.finish(false, false, { kind: "not-sent", reason: "withheld" });
      return;
    }
    this.isSent = true;
  };

  /** The head of a response has come; interim responses (1xx) are skipped. */
  readonly onResponseStart = (
    controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void => {
    if (statusCode < 200) return;
    const raw = controller.rawHeaders;
    this.headers = Array.isArray(raw)
      ? raw.map((entry) => (typeof entry === "string" ? entry : entry.toString("latin1")))
      : [];
    this.status = statusCode;
    const reason = findResponseDefect(statusCode, this.headers, this.request);
    if (reason !== undefined) {
      this.finish(true, false, { kind: "lost", reason });
      return;
    }
    const load = readWorkerLoad(headerValue(this.headers, WORKER_LOAD_HEADER));
    if (load) this.worker.reportLoad(...load);
  };

  /** A chunk of the body has come. */
  readonly onResponseData = (controller: Dispatcher.DispatchController, chunk: Buffer): void => {
    if (this.isFinished && !this.isStreaming) return;
    if (this.streamHandlers) {
      if (!this.streamHandlers.onData(chunk)) controller.pause();
      return;
    }
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (
      !this.request.reserveMemory(chunk.length) ||
      this.bufferedBytes > MAX_BUFFERED_RESPONSE_BYTES
    )
      this.startStreaming(controller);
  };

  /** The response is complete. */
  readonly onResponseEnd = (): void => {
    const isShared = this.request.usesOwnConnection !== true;
    if (this.isStreaming) {
      this.isStreaming = false;
      this.release(true, isShared);
      this.streamHandlers?.onEnd(true);
      return;
    }
    if (this.isFinished) return;
    const isReusable =
      isShared && headerValue(this.headers, "connection")?.toLowerCase() !== "close";
    if (this.status === 421) this.finish(true, false, { kind: "rejected", reason: "wrong-worker" });
    else if (isRejection(this.status, this.headers))
      this.finish(true, isReusable, { kind: "rejected", reason: "overloaded" });
    else {
      this.worker.latency.record(this.nowUs() - this.inFlightRequest.startedUs);
      this.finish(true, isReusable, {
        kind: "answered",
        response: {
          status: this.status,
          headers: this.headers,
          body: this.bufferedBody(),
          remainder: undefined,
        },
      });
    }
  };

  /** The connection failed, before or after bytes have left. */
  readonly onResponseError = (_controller: Dispatcher.DispatchController, error: Error): void => {
    if (this.isStreaming) {
      this.isStreaming = false;
      this.release(false, false);
      this.streamHandlers?.onEnd(false);
      return;
    }
    if (this.isFinished) return;
    if (this.isSent) this.finish(false, false, { kind: "lost", reason: error.message });
    else this.finish(false, false, { kind: "not-sent", reason: reasonNotSent(error) });
  };

  private readonly bufferedBody = (): Buffer =>
    this.chunks.length === 1 ? (this.chunks[0] ?? EMPTY) : Buffer.concat(this.chunks);

  private readonly startStreaming = (controller: Dispatcher.DispatchController): void => {
    this.isStreaming = true;
    this.isFinished = true;
    controller.pause();
    const remainder: BodyStream = {
      read: (onData, onEnd) => {
        this.streamHandlers = { onData, onEnd };
        controller.resume();
      },
      resume: () => controller.resume(),
      abort: () => {
        if (!this.isStreaming) return;
        this.isStreaming = false;
        this.release(true, false);
      },
    };
    this.resolve({
      kind: "answered",
      response: {
        status: this.status,
        headers: this.headers,
        body: this.bufferedBody(),
        remainder,
      },
    });
  };

  /**
   * Resolves the result and gives the connection back.
   *
   * @param hasResponded - whether the worker said anything
   * @param isReusable - whether the connection can serve another request
   */
  private readonly finish = (
    hasResponded: boolean,
    isReusable: boolean,
    result: UpstreamResult,
  ): void => {
    this.isFinished = true;
    this.release(hasResponded, isReusable);
    this.resolve(result);
  };

  private readonly release = (hasResponded: boolean, isReusable: boolean): void => {
    this.worker.finish(this.inFlightRequest, hasResponded);
    this.worker.releaseConnection(this.connection, isReusable);
    if (!isReusable) this.controller?.abort(new Error("done with"));
  };
}
