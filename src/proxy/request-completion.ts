/** The end of a request: answered, or its client gone. */
import type { Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";
import type { IdempotencyClient } from "../idempotency/key-client.js";
import { closeDelivery, hasNotRun } from "./delivery-state.js";
import type { RequestContext } from "./request-context.js";

/**
 * For how long beyond its deadline the response to a keyed request whose client is gone is still
 * waited for.
 */
const KEYED_GRACE_US = 1 * SECOND_US;

/** Ends requests: cancels what still runs for them and gives back what they hold. */
export class RequestCompletion {
  constructor(
    private readonly clock: Clock,
    private readonly idempotency: IdempotencyClient | undefined,
  ) {}

  /** Ends a request that was answered or whose client is gone. */
  readonly finish = (context: RequestContext): void => {
    context.isFinished = true;
    this.releaseClaim(context);
    closeDelivery(context.deliveryState);
    const cancel = () => {
      context.upstreamRequests.forEach((request) => request.cancel());
      if (context.body !== null && !Buffer.isBuffer(context.body)) context.body.destroy();
    };
    // A keyed request whose client is gone goes on while its worker may run it, so that its
    // response can be stored.
    if (!context.claim || context.res.writableEnded) cancel();
    else this.clock.after(context.deadlineUs - this.clock.nowUs() + KEYED_GRACE_US, cancel);
    context.onFinished.splice(0).forEach((act) => act());
  };

  /** Gives the claim on the idempotency key back, if no worker can have run the request. */
  readonly releaseClaim = (context: RequestContext): void => {
    if (!context.claim || !hasNotRun(context.deliveryState)) return;
    this.idempotency?.release(context.claim.key, context.claim.token);
    context.claim = undefined;
  };
}
