/**
 * Requests with an idempotency key: claims the key before the first attempt and replays the stored
 * response for repeated requests.
 */
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { OutcomeName } from "../common/http-outcomes.js";
import type { IdempotencyClient } from "../idempotency/key-client.js";
import type { StoredResponse } from "../idempotency/key-codec.js";
import { ATTEMPT_ID_HEADER, forwardedHeaders, IDEMPOTENCY_KEY_HEADER } from "./headers.js";
import type { RequestContext } from "./request-context.js";
import type { ResponseWriter } from "./response-writer.js";
import type { Route } from "./route-table.js";
import type { UpstreamResponse } from "./upstream-request.js";

const MAX_KEY_LENGTH = 200;
/** Claiming a key may take at most the latency target divided by this. */
const CLAIM_TARGET_DIVISOR = 5;
/**
 * Storing the response may take this fraction of the remaining latency target, and at least
 * `MIN_STORE_WAIT_US`.
 */
const STORE_TARGET_FRACTION = 0.5;
const MIN_STORE_WAIT_US = 300 * MILLISECOND_US;
/**
 * Maximum age of a claim when the request is sent. Claims are kept for at least 5 s beyond the
 * window of their key, so a run that begins within this limit is covered for the entire window.
 */
const MAX_CLAIM_AGE_US = 4 * SECOND_US;
/** Mean delay before another claim after one that was not won. */
const CLAIM_RETRY_US = 30 * MILLISECOND_US;
/** Headers that belong to one attempt rather than to the operation. */
const NOT_STORED: ReadonlySet<string> = new Set([
  ATTEMPT_ID_HEADER,
  "content-length",
  "date",
  "yewreel-worker-load",
]);
/** How a request is rejected whose last claim had this result. */
const REJECTIONS = {
  working: "keyAtWork",
  unavailable: "responseUnavailable",
  split: "noQuorum",
  none: "noQuorum",
} as const satisfies Readonly<Record<string, OutcomeName>>;
const NO_REPLY = { kind: "none" } as const;

/** Dependencies of {@link KeyedRequests}. */
export interface KeyedRequestsOptions {
  readonly clock: Clock;
  /** Client of the key service; if undefined, all keyed requests are rejected. */
  readonly idempotency: IdempotencyClient | undefined;
  readonly writer: ResponseWriter;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Idempotency keys are separate for each host and, where there are customers, each customer. */
const scopeKey = ({ customer }: RequestContext, { host }: Route, key: string): string =>
  [host, ...(customer ? [customer.name] : []), key].join("\n");

/** The idempotency key that the client sent; undefined if it is missing or its length is invalid. */
const readKeyHeader = ({ req }: RequestContext): string | undefined => {
  const value = req.headers[IDEMPOTENCY_KEY_HEADER];
  const isValid = typeof value === "string" && value !== "" && value.length <= MAX_KEY_LENGTH;
  return isValid ? value : undefined;
};

/** Ensures that the operation of an idempotency key runs only once. */
export class KeyedRequests {
  constructor(private readonly options: KeyedRequestsOptions) {}

  /**
   * Claims the idempotency key. Resolves to false if the request was answered instead or its client
   * has disconnected.
   */
  readonly claim = async (context: RequestContext, route: Route): Promise<boolean> => {
    const { clock, idempotency, writer, random } = this.options;
    const keyHeader = readKeyHeader(context);
    if (keyHeader === undefined) {
      writer.reject(context, "noKey");
      return false;
    }
    const key = scopeKey(context, route, keyHeader);
    const untilUs = Math.min(
      context.arrivedUs + route.latencyTargetUs / CLAIM_TARGET_DIVISOR,
      context.deadlineUs,
    );
    let rejection: OutcomeName = "noQuorum";
    let token = this.newToken(context);
    let requestedUs = clock.nowUs();
    while (idempotency) {
      if (context.isFinished || clock.nowUs() >= untilUs) break;
      const result = await withTimeout(
        clock,
        untilUs - clock.nowUs(),
        idempotency.claim(key, token),
        NO_REPLY,
      );
      if (result.kind === "won") {
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- the client may have left during the claim
        if (!context.isFinished) {
          context.claim = { key, token, requestedUs };
          return true;
        }
        break;
      }
      if (result.kind === "done") {
        const { status, heads, body } = result.answer;
        writer.sendStored(context, status, heads, Buffer.from(body));
        return false;
      }
      rejection = REJECTIONS[result.kind];
      if (result.kind === "working") break;
      if (result.kind !== "none") {
        idempotency.release(key, token);
        token = this.newToken(context);
        requestedUs = clock.nowUs();
      }
      await sleep(clock, CLAIM_RETRY_US * (0.5 + random()));
    }
    idempotency?.release(key, token);
    writer.reject(context, rejection);
    return false;
  };

  private readonly newToken = ({ attemptId }: RequestContext): string =>
    `${attemptId}.${this.options.random().toString(36).slice(2)}`;

  /** Returns whether the request holds a claim that covers an execution that begins now. */
  readonly isClaimed = ({ claim }: RequestContext): boolean =>
    claim !== undefined && this.options.clock.nowUs() - claim.requestedUs <= MAX_CLAIM_AGE_US;

  /**
   * Stores the response for repeated requests, before it is sent to the client. Of a response that
   * is too large to be buffered, only the completion is stored: repeats are then told that the
   * response is unavailable, not that the operation is in progress.
   */
  readonly store = async (context: RequestContext, response: UpstreamResponse): Promise<void> => {
    const { idempotency, clock } = this.options;
    if (!idempotency || !context.claim) return;
    const stored: StoredResponse = {
      status: response.status,
      heads: forwardedHeaders(response.headers, NOT_STORED),
      body: response.remainder ? undefined : response.body,
    };
    const targetLeftUs = context.arrivedUs + (context.route?.latencyTargetUs ?? 0) - clock.nowUs();
    const waitUs = Math.max(targetLeftUs * STORE_TARGET_FRACTION, MIN_STORE_WAIT_US);
    await idempotency.complete(context.claim.key, context.claim.token, stored, waitUs);
  };
}
