/** The first stage of a request: reads a small body into memory, and lets a large one stream. */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { withTimeout, type Clock } from "../common/clock.js";
import type { OutcomeName } from "../common/http-outcomes.js";
import type { MemoryBudget } from "./memory-budget.js";
import type { RequestContext } from "./request-context.js";
import type { RouteTable } from "./route-table.js";
import { twoEventLoopTurns, type StallDetector } from "./stall-detector.js";

/**
 * Bodies up to this size are buffered, so that they can be sent again; larger ones are streamed.
 */
const MAX_BUFFERED_BODY_BYTES = 128 * 1024;

/** Why a body could not be buffered. */
interface BodyFailure {
  readonly kind: "aborted" | "too-large" | "no-memory" | "timed-out";
  /** What the client is told; undefined where nobody is left to be told. */
  readonly outcome: OutcomeName | undefined;
}

const ABORTED: BodyFailure = { kind: "aborted", outcome: undefined };
const TOO_LARGE: BodyFailure = { kind: "too-large", outcome: "bodyTooLarge" };
const NO_MEMORY: BodyFailure = { kind: "no-memory", outcome: "full" };
const TIMED_OUT: BodyFailure = { kind: "timed-out", outcome: "slowBody" };

/** What the reader of request bodies is made with. */
export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly memory: MemoryBudget;
  readonly routes: RouteTable;
  readonly stalls: StallDetector;
  /** Takes the request once its body is buffered or about to stream. */
  readonly next: (context: RequestContext) => void;
  /** Answers a request whose body can't be taken. */
  readonly reject: (context: RequestContext, outcome: OutcomeName) => void;
  /** Ends a request whose client broke off amid its body. */
  readonly finish: (context: RequestContext) => void;
}

/** Whether the body can be sent more than once. */
export const isBodyBuffered = (context: RequestContext): boolean =>
  context.body === null || Buffer.isBuffer(context.body);

/**
 * A body as it comes. The client's connection outlives it: whoever stops reading it early still
 * owes a response.
 */
const toStream = (req: IncomingMessage): Readable => {
  const stream = req.pipe(new PassThrough());
  // The error is that of `destroy`, or of the client, whose connection reports its own end.
  stream.on("error", () => undefined);
  // After the listener of pipe itself, which pauses the request.
  stream.once("close", () => req.resume());
  req.once("close", () => {
    if (!req.complete) stream.destroy();
  });
  return stream;
};

/** Reads the bodies of requests. */
export class BodyReader {
  constructor(private readonly options: BodyReaderOptions) {}

  /** Reads the body if it is small enough to be buffered, and hands the request on. */
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
      // The client reset its connection or left amid the body; there is nobody to tell.
      return ABORTED;
    }
    return context.req.complete ? Buffer.concat(chunks) : ABORTED;
  };
}
