/** Completion of a request, after it was answered or its client has disconnected. */
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import type { IdempotencyClient } from "../idempotency/key-client.js";
import { closeDelivery, hasNotRun } from "./delivery-state.js";
import type { RequestContext } from "./request-context.js";

/**
 * How long after the deadline a keyed request whose client has disconnected keeps waiting for its
 * response.
 */
const KEYED_GRACE_US = 1 * SECOND_US;

/** Finishes requests: cancels their upstream requests and releases their resources. */
export class RequestCompletion {
  constructor(
    private readonly clock: Clock,
    private readonly idempotency: IdempotencyClient | undefined,
  ) {}

  /** Finishes a request that was answered or whose client has disconnected. */
  readonly finish = (context: RequestContext): void => {
    context.isFinished = true;
    this.releaseClaim(context);
    closeDelivery(context.deliveryState);
    const cancel = () => {
      context.upstreamRequests.forEach((request) => request.cancel());
      if (context.body !== null && !Buffer.isBuffer(context.body)) context.body.destroy();
    };
    // A keyed request whose client has disconnected continues while its worker may run it, so that
    // its response can be stored.
    if (!context.claim || context.res.writableEnded) cancel();
    else this.clock.after(context.deadlineUs - this.clock.nowUs() + KEYED_GRACE_US, cancel);
    context.onFinished.splice(0).forEach((act) => act());
  };

  /** Releases the claim on the idempotency key, unless a worker may have run the request. */
  readonly releaseClaim = (context: RequestContext): void => {
    if (!context.claim || !hasNotRun(context.deliveryState)) return;
    this.idempotency?.release(context.claim.key, context.claim.token);
    context.claim = undefined;
  };
}
