/** Writes the single response to a request: a worker's, a stored one, or the gateway's own. */
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { clientOutcome, closeDelivery } from "./delivery-state.js";
import { forwardedHeaders } from "./headers.js";
import type { OutcomeRecorder } from "./outcome-recorder.js";
import type { RequestCompletion } from "./request-completion.js";
import type { RequestContext } from "./request-context.js";
import type { Route } from "./route-table.js";
import type { BodyStream, UpstreamResponse } from "./upstream-request.js";

/** Dependencies of {@link ResponseWriter}. */
export interface ResponseWriterOptions {
  readonly outcomes: OutcomeRecorder;
  readonly completion: RequestCompletion;
  /** Counts a request rejected with the outcome `full`, for the capacity forecast. */
  readonly countRejected?: (service: string) => void;
}

const UNAUTHORIZED = 401;
/** A response with 401 names the scheme to use (RFC 9110, section 11.6.1). */
const CHALLENGE = "Yewreel-Credential";
const NO_HEADERS: ReadonlySet<string> = new Set();
const CONTENT_LENGTH: ReadonlySet<string> = new Set(["content-length"]);
const MIN_RETRY_AFTER_US = 50 * MILLISECOND_US;
const RETRY_AFTER_WITHOUT_ROUTE_US = 250 * MILLISECOND_US;
/** `Retry-After` is the latency target divided by this. */
const RETRY_AFTER_TARGET_DIVISOR = 4;

const retryAfterSeconds = (route: Route | undefined, minUs: number): string => {
  const usualUs = route
    ? Math.max(MIN_RETRY_AFTER_US, route.latencyTargetUs / RETRY_AFTER_TARGET_DIVISOR)
    : RETRY_AFTER_WITHOUT_ROUTE_US;
  return (Math.max(minUs, usualUs) / SECOND_US).toFixed(3);
};

/**
 * Returns whether a response of this status to the request's method carries its own
 * `Content-Length`.
 */
const hasLength = (context: RequestContext, status: number): boolean =>
  context.req.method !== "HEAD" && status !== 204 && status !== 304;

/** Responds to clients. Requests that were already answered are ignored. */
export class ResponseWriter {
  constructor(private readonly options: ResponseWriterOptions) {}

  /** Sends a worker's response unchanged, except for hop-by-hop headers and `Content-Length`. */
  readonly send = (context: RequestContext, response: UpstreamResponse): void => {
    const { res } = context;
    const { status, body, remainder } = response;
    if (context.isFinished || res.headersSent) return remainder?.abort();
    const headers = forwardedHeaders(response.headers, remainder ? NO_HEADERS : CONTENT_LENGTH);
    if (!remainder && hasLength(context, status))
      headers.push("Content-Length", String(body.length));
    this.options.outcomes.recordResponse(context, status);
    this.announceClose(context);
    res.writeHead(status, headers);
    context.isFinished = true;
    closeDelivery(context.deliveryState);
    if (remainder) this.stream(context, body, remainder);
    else res.end(body);
  };

  /** Sends the stored response of a worker to another request. */
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
   * Sends the gateway's own response and finishes the request.
   *
   * @param intended - the outcome, replaced if the delivery state does not allow what it guarantees
   * @param minRetryAfterUs - the lower limit of `Retry-After`, if the outcome has one
   */
  readonly reject = (context: RequestContext, intended: OutcomeName, minRetryAfterUs = 0): void => {
    const { res, route } = context;
    if (context.isFinished || res.headersSent) return;
    const name = clientOutcome(context.deliveryState, intended);
    const outcome = HTTP_OUTCOMES[name];
    if (name === "full" && context.service !== "") this.options.countRejected?.(context.service);
    this.options.outcomes.recordRejection(context, name);
    if (outcome.closesConnection) context.connection.closeAfter(context.position);
    this.announceClose(context);
    const body = JSON.stringify({ problem: outcome.problem });
    if (outcome.status === UNAUTHORIZED) res.setHeader("WWW-Authenticate", CHALLENGE);
    if (outcome.retryAfter) res.setHeader("Retry-After", retryAfterSeconds(route, minRetryAfterUs));
    res.writeHead(outcome.status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    res.end(body);
    this.options.completion.finish(context);
  };

  /** Streams a large body at the rate at which the client reads it. */
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

  /** Says that the connection closes after this response, if it does. */
  private readonly announceClose = ({ connection, position, res }: RequestContext): void => {
    if (connection.closedAfter === position) res.setHeader("Connection", "close");
  };
}
