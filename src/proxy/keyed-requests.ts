/**
 * Requests with an idempotency key: the claim before the first attempt, and the stored response for
 * repeats.
 */
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { IdempotencyClient, KeyedResponse } from "../idempotency/key-client.js";
import { ATTEMPT_ID_HEADER, forwardedHeaders, IDEMPOTENCY_KEY_HEADER } from "./headers.js";
import type { RequestContext } from "./request-context.js";
import type { ResponseWriter } from "./response-writer.js";
import type { Route } from "./route-table.js";
import type { UpstreamResponse } from "./upstream-request.js";

const MAX_KEY_LENGTH = 200;
/** Claiming may take the latency target divided by this. */
const CLAIM_TARGET_DIVISOR = 5;
/**
 * Storing the response may take this part of what is left of the latency target, and at least the
 * minimum.
 */
const STORE_TARGET_FRACTION = 0.5;
const MIN_STORE_WAIT_US = 300 * MILLISECOND_US;
/**
 * A request begins at most this long after its claim was asked for. Claims are kept for 5 s and
 * more beyond the window of their key, so the run is covered for all of the window.
 */
const MAX_CLAIM_AGE_US = 4 * SECOND_US;
/** Mean pause before the next claim when no quorum decided the last one. */
const CLAIM_RETRY_US = 30 * MILLISECOND_US;
/** Headers that belong to one attempt, not to the operation. */
const NOT_STORED: ReadonlySet<string> = new Set([
  ATTEMPT_ID_HEADER,
  "content-length",
  "date",
  "yewreel-worker-load",
]);
const NO_REPLY = { kind: "none" } as const;

/** What the handling of requests with an idempotency key is made with. */
export interface KeyedRequestsOptions {
  readonly clock: Clock;
  /** Without it every keyed request is rejected. */
  readonly idempotency: IdempotencyClient | undefined;
  readonly writer: ResponseWriter;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Sees to it that the operation of a key runs once. */
export class KeyedRequests {
  constructor(private readonly options: KeyedRequestsOptions) {}

  /**
   * Claims the idempotency key; false when the request was answered instead, or its client is gone.
   */
  readonly claim = async (context: RequestContext, route: Route): Promise<boolean> => {
    const { clock, idempotency, writer, random } = this.options;
    const keyHeader = context.req.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof keyHeader !== "string" || keyHeader === "" || keyHeader.length > MAX_KEY_LENGTH) {
      writer.reject(context, "noKey");
      return false;
    }
    const key = `${route.host}\n${keyHeader}`;
    const untilUs = Math.min(
      context.arrivedUs + route.latencyTargetUs / CLAIM_TARGET_DIVISOR,
      context.deadlineUs,
    );
    let isInProgress = false;
    for (let round = 0; idempotency; round += 1) {
      if (context.isFinished || clock.nowUs() >= untilUs) break;
      const requestedUs = clock.nowUs();
      const token = `${context.attemptId}.${round}.${random().toString(36).slice(2)}`;
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
        idempotency.release(key, token);
        return false;
      }
      if (result.kind === "done") {
        const { status, heads, body } = result.answer;
        writer.sendStored(context, status, heads, Buffer.from(body));
        return false;
      }
      idempotency.release(key, token);
      isInProgress = result.kind === "working";
      if (isInProgress) break;
      await sleep(clock, CLAIM_RETRY_US * (0.5 + random()));
    }
    writer.reject(context, isInProgress ? "keyAtWork" : "noQuorum");
    return false;
  };

  /** Whether the request holds a claim that covers a run begun now. */
  readonly isClaimed = ({ claim }: RequestContext): boolean =>
    claim !== undefined && this.options.clock.nowUs() - claim.requestedUs <= MAX_CLAIM_AGE_US;

  /** Stores the response for repeats of the operation, before its own client gets it. */
  readonly store = async (context: RequestContext, response: UpstreamResponse): Promise<void> => {
    const { idempotency, clock } = this.options;
    if (!idempotency || !context.claim || response.remainder) return;
    const stored: KeyedResponse = {
      status: response.status,
      heads: forwardedHeaders(response.headers, NOT_STORED),
      body: response.body,
    };
    const targetLeftUs = context.arrivedUs + (context.route?.latencyTargetUs ?? 0) - clock.nowUs();
    const waitUs = Math.max(targetLeftUs * STORE_TARGET_FRACTION, MIN_STORE_WAIT_US);
    await idempotency.complete(context.claim.key, context.claim.token, stored, waitUs);
  };
}
