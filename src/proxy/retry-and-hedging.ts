/**
 * All attempts of a request: retries and hedged requests, limited by the route's `maxAttempts` and
 * the retry budget.
 */
import { withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import { toRouteKind } from "../quota/retry-limits.js";
import { isBodyBuffered } from "./body-reader.js";
import { isAfterClosingResponse } from "./client-connection.js";
import type { Worker } from "./worker.js";
import type { WorkerDirectory } from "./worker-directory.js";
import { mayForwardStatus } from "./delivery-state.js";
import type { Forwarder } from "./forwarding.js";
import type { KeyedRequests } from "./keyed-requests.js";
import type { MemoryBudget } from "./memory-budget.js";
import type { ObjectSource } from "./object-source.js";
import type { RequestCompletion } from "./request-completion.js";
import type { RequestContext } from "./request-context.js";
import type { ResponseWriter } from "./response-writer.js";
import type { RetryBudgets } from "./retry-budget.js";
import type { Route, RouteTable } from "./route-table.js";
import { twoEventLoopTurns, type StallDetector } from "./stall-detector.js";
import type { CancellableRequest, UpstreamResponse, UpstreamResult } from "./upstream-request.js";

/** Interval at which the first worker of a safe request is checked for unresponsiveness. */
const SILENCE_CHECK_US = 120 * MILLISECOND_US;
/** Number of unreachable workers that a request may try in addition to its attempts. */
const MAX_UNREACHABLE_WORKERS = 2;

/** Dependencies and options of {@link RetryingForwarder}. */
export interface RetryingForwarderOptions {
  readonly clock: Clock;
  readonly routes: RouteTable;
  readonly workers: WorkerDirectory;
  readonly retryBudgets: RetryBudgets;
  readonly forwarder: Forwarder;
  readonly keyed: KeyedRequests;
  readonly writer: ResponseWriter;
  readonly completion: RequestCompletion;
  readonly memory: MemoryBudget;
  readonly stalls: StallDetector;
  /** Grants requests to services with a rate limit; if undefined, no rate limit applies. */
  readonly objects: ObjectSource | undefined;
  readonly actsOnForecast: boolean;
}

/** Forwards requests until a response can be sent to the client. */
export class RetryingForwarder {
  constructor(private readonly options: RetryingForwarderOptions) {}

  /** Forwards a routed request, retries it where permitted, and sends the response. */
  // eslint-disable-next-line complexity -- one loop over the attempts, whose early ends are easier to follow in one place
  readonly forward = async (context: RequestContext): Promise<void> => {
    const { stalls, forwarder, keyed, writer, objects } = this.options;
    const { route } = context;
    if (!route) return;
    if (!route.isSafe) {
      await context.previousAnswered;
      if (context.position > 1 && stalls.observeRequest()) await twoEventLoopTurns();
    }
    this.startDeadline(context);
    if (route.kind === "keyed" && !(await keyed.claim(context, route))) return;
    if (
      objects &&
      this.isRateLimited(context.service) &&
      !(await objects.permit(context.service))
    ) {
      writer.reject(context, "noRate");
      return;
    }
    let lastResponse: UpstreamResponse | undefined;
    while (this.mayAttempt(context, route)) {
      const worker = await forwarder.waitForWorker(context, route);
      if (context.isFinished || !worker) break;
      if (forwarder.isPastDeadline(context)) {
        writer.reject(context, "tooLate");
        return;
      }
      if (forwarder.wouldBeLate(context, route, worker)) break;
      const result = await this.attempt(context, route, worker);
      if (result.kind === "answered") {
        const { response } = result;
        // The request has run, so a status that guarantees the opposite must not be forwarded.
        const mayForward = mayForwardStatus(response.status, route.isSafe);
        if (mayForward && context.claim) await keyed.store(context, response);
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- the request may end during an await
        if (context.isFinished || !mayForward) {
          response.remainder?.abort();
          break;
        }
        const isFault = response.status >= 500;
        if (!isFault || !route.isSafe || context.attempts >= route.maxAttempts) {
          writer.send(context, response);
          return;
        }
        lastResponse = response;
        continue;
      }
      const mayHaveRun = result.kind === "lost" && !route.isSafe;
      // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- the request may end during the attempt
      if (context.isFinished || result.kind === "cancelled" || mayHaveRun) break;
      if (result.kind === "not-sent" && result.reason === "invalid-request") {
        writer.reject(context, "malformed");
        return;
      }
    }
    this.conclude(context, lastResponse);
  };

  /**
   * Rejects the request once its deadline has passed, with 504 or the outcome that the delivery
   * state allows. Work that a worker still does for it is of no use.
   */
  private readonly startDeadline = (context: RequestContext): void => {
    const { clock, writer } = this.options;
    const timer = clock.after(context.deadlineUs - clock.nowUs(), () =>
      writer.reject(context, "tooLate"),
    );
    context.onFinished.push(timer.stop);
  };

  private readonly isRateLimited = (service: string): boolean =>
    (this.options.routes.service(service)?.maxRequestsPerS ?? 0) > 0;

  /** Returns whether another worker may be tried. A retry is taken from the retry budget here. */
  private readonly mayAttempt = (context: RequestContext, route: Route): boolean => {
    if (context.isFinished || isAfterClosingResponse(context)) return false;
    if (context.triedWorkers.size >= route.maxAttempts + MAX_UNREACHABLE_WORKERS) return false;
    if (context.attempts === 0) return true;
    return (
      context.attempts < route.maxAttempts &&
      isBodyBuffered(context) &&
      !this.isOverloaded(context, route) &&
      this.spendRetry(context, route)
    );
  };

  /** Safe requests are not retried while a service is short of capacity. */
  private readonly isOverloaded = (context: RequestContext, route: Route): boolean =>
    this.options.actsOnForecast &&
    route.isSafe &&
    this.options.workers.capacityForecast(context.service) !== "";

  private readonly spendRetry = (context: RequestContext, route: Route): boolean =>
    this.options.retryBudgets.budgetFor(context.service, toRouteKind(route.kind)).trySpend();

  /**
   * Makes one attempt. If the worker of a safe request becomes unresponsive, a hedged request is
   * sent to a second worker.
   */
  private readonly attempt = async (
    context: RequestContext,
    route: Route,
    worker: Worker,
  ): Promise<UpstreamResult> => {
    const { clock, forwarder } = this.options;
    const first = forwarder.send(context, route, worker);
    if (!route.isSafe) return first.result;
    for (;;) {
      const early = await withTimeout(clock, SILENCE_CHECK_US, first.result, undefined);
      if (early) return early;
      if (context.isFinished) return { kind: "cancelled" };
      const second = this.hedge(context, route, worker);
      if (!second) continue;
      const [winner, loser] = await Promise.race([
        first.result.then(() => [first, second] as const),
        second.result.then(() => [second, first] as const),
      ]);
      const result = await winner.result;
      if (result.kind !== "answered") return loser.result;
      loser.cancel();
      return result;
    }
  };

  /** Sends a hedged request if the first worker is unresponsive and a retry is allowed. */
  private readonly hedge = (
    context: RequestContext,
    route: Route,
    first: Worker,
  ): CancellableRequest | undefined => {
    const { forwarder } = this.options;
    if (
      !first.isUnresponsive() ||
      forwarder.isPastDeadline(context) ||
      this.isOverloaded(context, route) ||
      context.attempts >= route.maxAttempts ||
      !isBodyBuffered(context)
    )
      return undefined;
    const other = forwarder.choose(context);
    if (!other || !this.spendRetry(context, route)) return undefined;
    return forwarder.send(context, route, other);
  };

  /** Ends the request after its last attempt, with the last failed response if there is one. */
  private readonly conclude = (
    context: RequestContext,
    lastResponse: UpstreamResponse | undefined,
  ): void => {
    const { completion, memory, writer } = this.options;
    if (context.isFinished) {
      completion.releaseClaim(context);
      memory.release(context);
    } else if (lastResponse) writer.send(context, lastResponse);
    else writer.reject(context, "lostAnswer");
  };
}
