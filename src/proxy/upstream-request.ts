/** Sends one request on one connection to a worker and validates the response. */
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Worker } from "./worker.js";
import {
  headerValue,
  NOT_RUN_HEADER,
  WORKER_ID_HEADER,
  WORKER_LOAD_HEADER,
  type FlatHeaders,
} from "./headers.js";
import {
  isRejection,
  readWorkerLoad,
  findResponseDefect,
  type SentRequest,
} from "./response-check.js";

/** The request to send, and the conditions for sending it. */
export interface UpstreamRequestOptions extends SentRequest {
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | Readable | null;
  /**
   * Reserves memory for a chunk of the response. If it returns false, the response is streamed
   * instead of buffered.
   */
  readonly reserveMemory: (bytes: number) => boolean;
  /**
   * Called once, right before the first byte is sent. If it returns false, nothing is sent and the
   * result has the reason `withheld`.
   */
  readonly maySend: () => boolean;
  /** Whether the worker may reject the request because it does not hold its shard key. */
  readonly isSharded?: boolean;
}

/** A validated response of the worker. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: FlatHeaders;
  /** The entire body, or the part received before it grew too large to be buffered. */
  readonly body: Buffer;
  /** The rest of the body after `body`; undefined if there is none. */
  readonly remainder: BodyStream | undefined;
}

/** The part of a large body that is streamed. */
export interface BodyStream {
  /**
   * Starts the stream.
   *
   * @param onData - receives a chunk; returning false pauses the stream until `resume`
   * @param onEnd - called once at the end, with false if the body is incomplete
   */
  readonly read: (onData: (chunk: Buffer) => boolean, onEnd: (isComplete: boolean) => void) => void;
  readonly resume: () => void;
  /** Discards the rest of the body and closes the connection. */
  readonly abort: () => void;
}

/** Result of a request to one worker. */
export type UpstreamResult =
  | { readonly kind: "answered"; readonly response: UpstreamResponse }
  /** The worker reported, in a response to this attempt, that it did not run the request. */
  | { readonly kind: "rejected"; readonly reason: "overloaded" | "wrong-worker" | "not-owner" }
  /**
   * No byte of the request was sent: the worker refused the connection or was unreachable, it gets no
   * request now because it warms up or its zone is evacuated, the request was withheld, or it is not
   * valid HTTP.
   */
  | {
      readonly kind: "not-sent";
      readonly reason:
        "connection-refused" | "unreachable" | "withheld" | "worker-limited" | "invalid-request";
    }
  /**
   * The request may have run: the connection was reset, or the response was incomplete, had no
   * attempt id or another one, or lacked its seal.
   */
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "cancelled" };

/** A request in flight that can be cancelled. */
export interface CancellableRequest {
  /** Always resolves, exactly once. */
  readonly result: Promise<UpstreamResult>;
  /** Aborts the request and its connection if the request is still in flight. */
  readonly cancel: () => void;
}

/**
 * Responses up to this size are buffered until complete, so that an incomplete one never reaches
 * the client.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;

const EMPTY = Buffer.alloc(0);

/**
 * Distinguishes a connection refused by the worker's host from an unreachable worker (such as a
 * time-out or a missing network path) and from an invalid request.
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
 * Sends one request. The connection returns to the pool only after a complete and valid response.
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
    this.connection = worker.acquireConnection(request.usesDedicatedConnection === true);
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
      // The client library throws synchronously if the method, path or a header is not valid HTTP.
      this.finish(false, false, { kind: "not-sent", reason: "invalid-request" });
    }
  }

  readonly cancel = (): void => {
    if (!this.isFinished) this.finish(false, false, { kind: "cancelled" });
  };

  /** The connection is established, and the library sends the request as soon as this returns. */
  readonly onRequestStart = (controller: Dispatcher.DispatchController): void => {
    this.controller = controller;
    if (this.isFinished) {
      controller.abort(new Error("cancelled"));
      return;
    }
    if (!this.worker.trySend()) {
      this.finish(false, false, { kind: "not-sent", reason: "worker-limited" });
      return;
    }
    if (!this.request.maySend()) {
      this.finish(false, false, { kind: "not-sent", reason: "withheld" });
      return;
    }
    this.isSent = true;
  };

  /** A response head was received; interim responses (1xx) are ignored. */
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

  /** A chunk of the body was received. */
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
    const isShared = this.request.usesDedicatedConnection !== true;
    if (this.isStreaming) {
      this.isStreaming = false;
      this.release(true, isShared);
      this.streamHandlers?.onEnd(true);
      return;
    }
    if (this.isFinished) return;
    const isReusable =
      isShared && headerValue(this.headers, "connection")?.toLowerCase() !== "close";
    if (this.status === 421 && this.isFromExpectedWorker())
      this.finish(true, isReusable, { kind: "rejected", reason: "not-owner" });
    else if (this.status === 421)
      this.finish(true, false, { kind: "rejected", reason: "wrong-worker" });
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

  /** The connection failed, before or after bytes were sent. */
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

  /**
   * Whether a 421 says that the expected worker does not hold the request's shard key, rather than
   * that another worker has its address.
   */
  private readonly isFromExpectedWorker = (): boolean =>
    this.request.isSharded === true &&
    headerValue(this.headers, NOT_RUN_HEADER) !== undefined &&
    (headerValue(this.headers, WORKER_ID_HEADER) ?? this.worker.id) === this.worker.id;

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
   * Resolves the result and releases the connection.
   *
   * @param hasResponded - whether the worker has responded, even with an invalid response
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
    if (!isReusable) this.controller?.abort(new Error("connection not reusable"));
  };
}
