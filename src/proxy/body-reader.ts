/** First pipeline stage: buffers small request bodies in memory and streams large ones. */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { withTimeout, type Clock } from "../common/clock.js";
import type { OutcomeName } from "../common/http-outcomes.js";
import type { MemoryBudget } from "./memory-budget.js";
import type { RequestContext } from "./request-context.js";
import type { RouteTable } from "./route-table.js";
import { twoEventLoopTurns, type StallDetector } from "./stall-detector.js";

/**
 * Bodies up to this size are buffered so that retries can resend them; larger ones are streamed.
 */
const MAX_BUFFERED_BODY_BYTES = 128 * 1024;

/** Reason why a body could not be buffered. */
interface BodyFailure {
  readonly kind: "aborted" | "too-large" | "no-memory" | "timed-out";
  /** The outcome sent to the client; undefined if the client has disconnected. */
  readonly outcome: OutcomeName | undefined;
}

const ABORTED: BodyFailure = { kind: "aborted", outcome: undefined };
const TOO_LARGE: BodyFailure = { kind: "too-large", outcome: "bodyTooLarge" };
const NO_MEMORY: BodyFailure = { kind: "no-memory", outcome: "full" };
const TIMED_OUT: BodyFailure = { kind: "timed-out", outcome: "slowBody" };

/** Dependencies of {@link BodyReader}. */
export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly memory: MemoryBudget;
  readonly routes: RouteTable;
  readonly stalls: StallDetector;
  /** Receives the request once its body is buffered or ready to be streamed. */
  readonly next: (context: RequestContext) => void;
  /** Rejects a request whose body cannot be accepted. */
  readonly reject: (context: RequestContext, outcome: OutcomeName) => void;
  /** Finishes a request whose client disconnected while sending the body. */
  readonly finish: (context: RequestContext) => void;
}

/** Returns whether the body can be sent more than once. */
export const isBodyBuffered = (context: RequestContext): boolean =>
  context.body === null || Buffer.isBuffer(context.body);

/**
 * Returns the request body as a stream. The client connection outlives the stream: a response is
 * still due when a consumer stops reading early.
 */
const toStream = (req: IncomingMessage): Readable => {
  const stream = req.pipe(new PassThrough());
  // Errors come from `destroy` or from the client, whose connection emits its own close event.
  stream.on("error", () => undefined);
  // Registered after the listener of `pipe`, which pauses the request when the stream closes.
  stream.once("close", () => req.resume());
  req.once("close", () => {
    if (!req.complete) stream.destroy();
  });
  return stream;
};

/** Reads request bodies. */
export class BodyReader {
  constructor(private readonly options: BodyReaderOptions) {}

  /** Buffers the body if it is small enough and passes the request to the next stage. */
  readonly read = async (context: RequestContext): Promise<void> => {
    const { clock, routes, stalls, next, reject, finish } = this.options;
    const { req } = context;
    const length = Number(req.headers["content-length"] ?? 0);
    const hasBody = length > 0 || req.headers["transfer-encoding"] !== undefined;
    if (length > routes.limits.maxBodyBytes) {
      reject(context, "bodyTooLarge");
      return;
    }
    if (!hasBody || length > MAX_BUFFERED_BODY_BYTES) {
      if (hasBody) context.body = toStream(req);
      if (stalls.observeRequest()) await twoEventLoopTurns();
      next(context);
      return;
    }
    const body = await withTimeout(
      clock,
      context.deadlineUs - clock.nowUs(),
      this.buffer(context),
      TIMED_OUT,
    );
    if (stalls.observeRequest()) await twoEventLoopTurns();
    if (context.isFinished) return;
    if (Buffer.isBuffer(body)) {
      context.body = body;
      next(context);
      return;
    }
    if (body.outcome === undefined) {
      finish(context);
      return;
    }
    reject(context, body.outcome);
  };

  private readonly buffer = async (context: RequestContext): Promise<Buffer | BodyFailure> => {
    const { memory, routes } = this.options;
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of context.req) {
        if (!Buffer.isBuffer(chunk)) continue;
        size += chunk.length;
        if (size > routes.limits.maxBodyBytes) return TOO_LARGE;
        if (!memory.reserve(context, chunk.length)) return NO_MEMORY;
        chunks.push(chunk);
      }
    } catch {
      // The client reset or closed the connection mid-body, so no response can be sent.
      return ABORTED;
    }
    return context.req.complete ? Buffer.concat(chunks) : ABORTED;
  };
}
