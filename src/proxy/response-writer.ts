/** Writes the one response of a request: a worker's, a stored one, or the gateway's own. */
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { clientOutcome, closeDelivery } from "./delivery-state.js";
import { forwardedHeaders } from "./headers.js";
import type { OutcomeRecorder } from "./outcome-recorder.js";
import type { RequestCompletion } from "./request-completion.js";
import type { RequestContext } from "./request-context.js";
import type { Route } from "./route-table.js";
import type { BodyStream, UpstreamResponse } from "./upstream-request.js";

/** What the writer of responses is made with. */
export interface ResponseWriterOptions {
  readonly outcomes: OutcomeRecorder;
  readonly completion: RequestCompletion;
  /** Whether responses close their connections, so that clients go elsewhere. */
  readonly isDraining: () => boolean;
  /** Counts a request of a service that was rejected as full, for the capacity forecast. */
  readonly countRejected?: (service: string) => void;
}

const NO_HEADERS: ReadonlySet<string> = new Set();
const CONTENT_LENGTH: ReadonlySet<string> = new Set(["content-length"]);
const MIN_RETRY_AFTER_US = 50 * MILLISECOND_US;
const RETRY_AFTER_WITHOUT_ROUTE_US = 250 * MILLISECOND_US;
/** A client is asked to come back after the latency target divided by this. */
const RETRY_AFTER_TARGET_DIVISOR = 4;

const retryAfterSeconds = (route: Route | undefined, minUs: number): string => {
  const usualUs = route
    ? Math.max(MIN_RETRY_AFTER_US, route.latencyTargetUs / RETRY_AFTER_TARGET_DIVISOR)
    : RETRY_AFTER_WITHOUT_ROUTE_US;
  return (Math.max(minUs, usualUs) / SECOND_US).toFixed(3);
};

/** Whether a response of this status to this method may have a length of its own. */
const hasLength = (context: RequestContext, status: number): boolean =>
  context.req.method !== "HEAD" && status !== 204 && status !== 304;

/** Answers clients; a request that was answered already is left alone. */
export class ResponseWriter {
  constructor(private readonly options: ResponseWriterOptions) {}

  /** Sends a worker's response, unchanged but for the headers of one connection. */
  readonly send = (context: RequestContext, response: UpstreamResponse): void => {
    const { res } = context;
    const { status, body, remainder } = response;
    if (context.isFinished || res.headersSent) return remainder?.abort();
    const headers = forwardedHeaders(response.headers, remainder ? NO_HEADERS : CONTENT_LENGTH);
    if (!remainder && hasLength(context, status))
      headers.push("Content-Length", String(body.length));
    this.options.outcomes.recordResponse(context, status);
    this.closeAfter(context, false);
    res.writeHead(status, headers);
    context.isFinished = true;
    closeDelivery(context.deliveryState);
    if (remainder) this.stream(context, body, remainder);
    else res.end(body);
  };

  /** Sends what was stored of a worker's response to another request. */
  readonly sendStored = (
    context: RequestContext,
    status: number,
    headers: readonly string[],
    body: Buffer,
  ): void => {
    if (context.isFinished || context.res.headersSent) return;
    const allHeaders = [...headers, "Yewreel-Try-Id", context.attemptId];
    this.send(context, { status, headers: allHeaders, body, remainder: undefined });
  };

  /**
   * Sends the gateway's own response, and ends the request.
   *
   * @param intended - the outcome; where it would promise too much, the delivery state replaces it
   * @param minRetryAfterUs - the client is asked to come back no sooner, where it is asked at all
   */
  readonly reject = (context: RequestContext, intended: OutcomeName, minRetryAfterUs = 0): void => {
    const { res, route } = context;
    if (context.isFinished || res.headersSent) return;
    const name = clientOutcome(context.deliveryState, intended);
    const outcome = HTTP_OUTCOMES[name];
    if (name === "full" && context.service !== "") this.options.countRejected?.(context.service);
    this.options.outcomes.recordRejection(context, name);
    this.closeAfter(context, outcome.closes);
    const body = JSON.stringify({ problem: outcome.problem });
    if (outcome.retryAfter) res.setHeader("Retry-After", retryAfterSeconds(route, minRetryAfterUs));
    res.writeHead(outcome.status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    res.end(body);
    this.options.completion.finish(context);
  };

  /** Passes a large body on as it comes, at the pace at which the client reads it. */
  private readonly stream = (
    { res, onFinished }: RequestContext,
    start: Buffer,
    remainder: BodyStream,
  ): void => {
    onFinished.push(remainder.abort);
    res.write(start);
    res.on("drain", remainder.resume);
    remainder.read(
      (chunk) => res.write(chunk),
      (isComplete) => {
        if (isComplete) res.end();
        else res.destroy();
      },
    );
  };

  /**
   * Closes the connection with this response, where that is asked for or the node drains and
   * nothing else is open.
   */
  private readonly closeAfter = (context: RequestContext, closes: boolean): void => {
    const { connection } = context;
    if (!closes && !(this.options.isDraining() && connection.openRequests === 1)) return;
    connection.closedAfter = context.position;
    context.res.setHeader("Connection", "close");
  };
}
