/** Single attempts of a request: waits for a worker, sends the request and records the result. */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import { AdmissionQueue } from "./admission-queue.js";
import { isBodyBuffered } from "./body-reader.js";
import { isAfterClosingResponse } from "./client-connection.js";
import type { Worker } from "./worker.js";
import type { WorkerDirectory } from "./worker-directory.js";
import { beginAttempt, markRejected, markRun } from "./delivery-state.js";
import {
  API_KEY_HEADER,
  CUSTOMER_HEADER,
  EXPECTED_WORKER_HEADER,
  forwardedHeaders,
  TIME_LEFT_HEADER,
} from "./headers.js";
import type { KeyedRequests } from "./keyed-requests.js";
import type { LoadBalancer } from "./load-balancer.js";
import type { MemoryBudget } from "./memory-budget.js";
import type { RequestContext } from "./request-context.js";
import type { Route } from "./route-table.js";
import type { ShardDirectory } from "./shard-directory.js";
import {
  UpstreamRequest,
  type CancellableRequest,
  type UpstreamResult,
} from "./upstream-request.js";

/** A request waits for a free worker for at most the latency target divided by this. */
const ADMISSION_TARGET_DIVISOR = 8;
/** Headers that the gateway sets itself, and the client's API key. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  API_KEY_HEADER,
  CUSTOMER_HEADER,
  TIME_LEFT_HEADER,
  EXPECTED_WORKER_HEADER,
  "content-length",
  "expect",
]);

/** Dependencies of {@link Forwarder}. */
export interface ForwarderOptions {
  readonly clock: Clock;
  /** The zone of this node. */
  readonly zone: string;
  readonly workers: WorkerDirectory;
  readonly shards: ShardDirectory;
  readonly loadBalancer: LoadBalancer;
  readonly memory: MemoryBudget;
  readonly keyed: KeyedRequests;
  readonly countFault: (worker: string, isFault: boolean) => void;
  /** Counts the requests sent to each worker, for the reassignment forecast. */
  readonly countAttempt?: (service: string, kind: string, route: string, worker: string) => void;
  /** Counts the responses of a service and their durations, for the capacity forecast. */
  readonly countResponse?: (service: string, zone: string, tookUs: number) => void;
  readonly actsOnForecast: boolean;
}

/** Sends requests to workers, one attempt at a time. */
export class Forwarder {
  private readonly queue: AdmissionQueue;

  constructor(private readonly options: ForwarderOptions) {
    this.queue = new AdmissionQueue(options.clock, this.choose);
  }

  /** Retries worker selection for the requests in the admission queue. */
  readonly wake = (): void => this.queue.wake();

  /**
   * Returns the worker with the least expected latency for this request, or undefined if none has
   * capacity.
   */
  readonly choose = (context: RequestContext): Worker | undefined =>
    context.shardKey === undefined
      ? this.options.loadBalancer.choose(
          context.service,
          context.triedWorkers,
          context.route?.latencyTargetUs ?? 0,
          context.route?.isSafe ?? true,
        )
      : this.chooseOwner(context, context.shardKey);

  /** Waits for a worker for as long as the latency target allows. */
  readonly waitForWorker = (context: RequestContext, route: Route): Promise<Worker | undefined> => {
    const nowUs = this.options.clock.nowUs();
    const untilUs = Math.min(
      context.arrivedUs + route.latencyTargetUs / ADMISSION_TARGET_DIVISOR,
      context.deadlineUs,
    );
    return this.queue.admit(context, untilUs - nowUs);
  };

  /** Returns whether the deadline has passed, even if its timer has not fired yet. */
  readonly isPastDeadline = (context: RequestContext): boolean =>
    this.options.clock.nowUs() >= context.deadlineUs;

  /**
   * Returns whether an unsafe request would miss its deadline at an overloaded service. Such a
   * request is rejected before it is sent rather than aborted while it runs.
   */
  readonly wouldBeLate = (context: RequestContext, route: Route, worker: Worker): boolean => {
    const { actsOnForecast, workers, clock } = this.options;
    return (
      actsOnForecast &&
      !route.isSafe &&
      workers.capacityForecast(context.service) === "overrun" &&
      worker.expectedLatencyUs(worker.load(0)) > context.deadlineUs - clock.nowUs()
    );
  };

  /** Sends the request to a worker. */
  readonly send = (context: RequestContext, route: Route, worker: Worker): CancellableRequest => {
    const { clock, memory } = this.options;
    const startedUs = clock.nowUs();
    const request = new UpstreamRequest(
      worker,
      {
        method: context.req.method ?? "GET",
        path: context.req.url ?? "/",
        headers: this.headersFor(context, worker),
        body: context.body,
        attemptId: context.attemptId,
        isSharded: context.shardKey !== undefined,
        reserveMemory: (bytes: number) => memory.reserve(context, bytes),
        maySend: () => this.maySend(context, route),
      },
      clock.nowUs,
    );
    if (context.attempts === 0) context.stratum = this.stratumOf(worker);
    context.triedWorkers.add(worker.id);
    context.attempts += 1;
    this.options.countAttempt?.(context.service, route.kind, route.name, worker.id);
    context.upstreamRequests.add(request);
    void request.result.then((result) => {
      context.upstreamRequests.delete(request);
      this.record(context, worker, startedUs, result);
      this.queue.wake();
    });
    return request;
  };

  /** Returns the worker that owns the request's shard key, if it has capacity. */
  private readonly chooseOwner = (
    { service, triedWorkers }: RequestContext,
    shardKey: number,
  ): Worker | undefined => {
    const { shards, workers, loadBalancer } = this.options;
    const owner = workers.get(shards.ownerOf(service, shardKey) ?? "");
    return owner && loadBalancer.canServe(owner, triedWorkers) ? owner : undefined;
  };

  private readonly headersFor = (context: RequestContext, worker: Worker): string[] => {
    const headers = forwardedHeaders(context.req.rawHeaders, NOT_FORWARDED);
    const leftUs = context.deadlineUs - this.options.clock.nowUs();
    const leftMs = Math.max(1, Math.floor(leftUs / MILLISECOND_US));
    headers.push("Yewreel-Time-Left-Ms", String(leftMs), "Yewreel-Expect-Worker", worker.id);
    if (context.customer) headers.push("Yewreel-Customer", context.customer.name);
    const length = context.req.headers["content-length"];
    if (!isBodyBuffered(context) && length !== undefined) headers.push("Content-Length", length);
    return headers;
  };

  /**
   * Final check before bytes are sent to a worker. The connection may have been established only
   * after the deadline, for example if this process was paused. A client disconnect is detected
   * some event loop turns after it was received. A keyed request needs a claim that has not become
   * too old.
   */
  private readonly maySend = (context: RequestContext, route: Route): boolean =>
    !context.isFinished &&
    !context.connection.socket.readableEnded &&
    !isAfterClosingResponse(context) &&
    !this.isPastDeadline(context) &&
    (route.kind !== "keyed" || this.options.keyed.isClaimed(context)) &&
    beginAttempt(context.deliveryState, route.isSafe);

  /**
   * Returns the stratum of the worker: same or other zone, and in slow start or not. The canary
   * analysis only compares requests of the same stratum.
   */
  private readonly stratumOf = (worker: Worker): string => {
    const distance = worker.zone === this.options.zone ? "near" : "far";
    return `${distance}|${worker.warmUp.isActive() ? "cold" : "warm"}`;
  };

  /** Updates the delivery state and the worker's fault statistics. */
  // eslint-disable-next-line complexity -- one branch for each kind of result
  private readonly record = (
    context: RequestContext,
    worker: Worker,
    startedUs: number,
    result: UpstreamResult,
  ): void => {
    const { clock, workers, countFault, countResponse: countAnswer } = this.options;
    if (result.kind === "answered" || result.kind === "lost")
      countAnswer?.(context.service, worker.zone, clock.nowUs() - startedUs);
    if (result.kind === "answered") markRun(context.deliveryState);
    if (result.kind === "rejected") markRejected(context.deliveryState);
    // No byte was sent, so the next attempt does not count as a retry.
    if (result.kind === "not-sent") context.attempts -= 1;
    const isUnreachable = result.kind === "not-sent" && result.reason === "unreachable";
    const isDown =
      isUnreachable || (result.kind === "not-sent" && result.reason === "connection-refused");
    if (isDown || result.kind === "lost") worker.avoid();
    if (isUnreachable) context.isLocalNetworkSuspected = true;
    if (result.kind === "rejected" && result.reason === "wrong-worker")
      workers.removeMisdirected(worker);
    const isAttributable =
      result.kind === "answered" || result.kind === "rejected" || result.kind === "lost" || isDown;
    if (isAttributable) countFault(worker.id, result.kind === "lost" || isDown);
  };
}
