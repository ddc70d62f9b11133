/** Request pipeline: read the body, route, and serve from a cache or forward to a worker. */
import type { Clock } from "../common/clock.js";
import type { CanaryOutcome } from "../health/canary-counters.js";
import type { IdempotencyClient } from "../idempotency/key-client.js";
import { BodyReader } from "./body-reader.js";
import { CachedRequests } from "./cached-requests.js";
import type { CustomerDirectory } from "./customer-directory.js";
import type { WorkerDirectory } from "./worker-directory.js";
import { Forwarder } from "./forwarding.js";
import { KeyedRequests } from "./keyed-requests.js";
import { LoadBalancer } from "./load-balancer.js";
import { MemoryBudget } from "./memory-budget.js";
import type { ObjectSource } from "./object-source.js";
import { OutcomeRecorder } from "./outcome-recorder.js";
import { PipelineStage } from "./pipeline-stage.js";
import { RequestCompletion } from "./request-completion.js";
import type { RequestContext } from "./request-context.js";
import { priorityOf } from "./request-priority.js";
import { RequestRouter } from "./request-routing.js";
import { ResponseWriter } from "./response-writer.js";
import type { RetryBudgets } from "./retry-budget.js";
import { RetryingForwarder } from "./retry-and-hedging.js";
import type { Route, RouteTable } from "./route-table.js";
import type { ShardDirectory } from "./shard-directory.js";
import { StallDetector } from "./stall-detector.js";

/** Maximum number of bodies read at once, and of requests that wait for it. */
const MAX_READING = 512;
/** Maximum number of requests forwarded at once, and of requests that wait for it. */
const MAX_FORWARDING = 1_024;

/** Receives request arrivals, rejections and responses for the capacity forecast. */
export interface LoadObserver {
  readonly recordArrival: (service: string) => void;
  readonly recordRejection: (service: string) => void;
  readonly recordCompletion: (service: string, zone: string, tookUs: number) => void;
}

/** Dependencies and options of {@link RequestPipeline}. */
export interface PipelineOptions {
  readonly clock: Clock;
  /** The zone of this node. */
  readonly zone: string;
  /** Memory limit for all buffered bodies together. */
  readonly bufferMemoryBytes: number;
  readonly routes: RouteTable;
  readonly customers: CustomerDirectory;
  readonly shards: ShardDirectory;
  readonly workers: WorkerDirectory;
  readonly retryBudgets: RetryBudgets;
  /**
   * Returns whether a configuration was announced that this node has not received; default never.
   */
  readonly isBehind?: () => boolean;
  /** Returns how many connections this node may hold to one worker of a service. */
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
  readonly countOutcome: (route: string, kind: string, outcome: string) => void;
  /** Counts an outcome of a route that sends to more than one service. */
  readonly countCanaryOutcome: (
    route: Route,
    service: string,
    stratum: string,
    outcome: CanaryOutcome,
  ) => void;
  /** Counts the requests sent to each worker, for the reassignment forecast. */
  readonly countAttempt?: (service: string, kind: string, route: string, worker: string) => void;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly loadCounters?: LoadObserver;
  /** Whether requests are held back or rejected based on the capacity forecast. */
  readonly actsOnForecast?: boolean;
  /** Source of objects of cached routes; if undefined, they are forwarded like any safe request. */
  readonly objects?: ObjectSource;
  /** Client for claiming idempotency keys; if undefined, keyed requests are rejected. */
  readonly idempotency?: IdempotencyClient;
}

/** Connects the pipeline stages and accepts requests. */
export class RequestPipeline {
  private readonly memory: MemoryBudget;
  private readonly outcomes: OutcomeRecorder;
  private readonly completion: RequestCompletion;
  private readonly writer: ResponseWriter;
  private readonly forwarder: Forwarder;
  private readonly reading: PipelineStage<RequestContext>;
  private readonly forwarding: PipelineStage<RequestContext>;

  constructor(private readonly options: PipelineOptions) {
    const {
      clock,
      bufferMemoryBytes,
      routes,
      customers,
      retryBudgets,
      random,
      idempotency,
      objects,
    } = options;
    const { countOutcome, countCanaryOutcome, loadCounters } = options;
    const stalls = new StallDetector(clock);
    this.memory = new MemoryBudget(bufferMemoryBytes);
    this.outcomes = new OutcomeRecorder({ clock, countOutcome, countCanaryOutcome });
    this.completion = new RequestCompletion(clock, idempotency);
    this.writer = new ResponseWriter({
      outcomes: this.outcomes,
      completion: this.completion,
      ...(loadCounters ? { countRejected: loadCounters.recordRejection } : {}),
    });
    const { writer, memory } = this;
    const keyed = new KeyedRequests({ clock, idempotency, writer, random });
    this.forwarder = this.newForwarder(keyed);
    const retrying = this.newRetryingForwarder(keyed, stalls);
    this.forwarding = new PipelineStage(
      MAX_FORWARDING,
      MAX_FORWARDING,
      retrying.forward,
      priorityOf,
    );
    const router = new RequestRouter({
      routes,
      customers,
      retryBudgets,
      isBehind: options.isBehind ?? (() => false),
      random,
      forward: this.startForwarding,
      reject: writer.reject,
      ...(loadCounters ? { countArrival: loadCounters.recordArrival } : {}),
      ...(objects ? { serveCached: new CachedRequests(objects, writer).serve } : {}),
    });
    const bodies = new BodyReader({
      clock,
      memory,
      routes,
      stalls,
      next: router.route,
      reject: writer.reject,
      finish: this.completion.finish,
    });
    this.reading = new PipelineStage(MAX_READING, MAX_READING, bodies.read);
  }

  /** Accepts a request, or rejects it if too many requests are already being read or waiting. */
  readonly start = (context: RequestContext): void => {
    if (!this.reading.offer(context)) this.writer.reject(context, "full");
  };

  /** Finishes a request whose response was written or whose client has disconnected. */
  readonly close = (context: RequestContext): void => {
    if (!context.isFinished) this.outcomes.recordAbandoned(context);
    this.completion.finish(context);
    this.memory.release(context);
  };

  /** Retries worker selection for the requests in the admission queue. */
  readonly wake = (): void => this.forwarder.wake();

  private readonly startForwarding = (context: RequestContext): void => {
    if (!this.forwarding.offer(context)) this.writer.reject(context, "full");
  };

  private readonly newForwarder = (keyed: KeyedRequests): Forwarder => {
    const {
      clock,
      zone,
      workers,
      shards,
      random,
      connectionShare,
      countFault,
      countAttempt,
      loadCounters,
    } = this.options;
    const acts = this.options.actsOnForecast === true;
    return new Forwarder({
      clock,
      zone,
      workers,
      shards,
      loadBalancer: new LoadBalancer({
        workers,
        zone,
        random,
        connectionShare,
        actsOnForecast: acts,
      }),
      memory: this.memory,
      keyed,
      countFault,
      actsOnForecast: acts,
      ...(countAttempt ? { countAttempt } : {}),
      ...(loadCounters ? { countResponse: loadCounters.recordCompletion } : {}),
    });
  };

  private readonly newRetryingForwarder = (
    keyed: KeyedRequests,
    stalls: StallDetector,
  ): RetryingForwarder => {
    const { clock, routes, workers, retryBudgets, objects, actsOnForecast } = this.options;
    return new RetryingForwarder({
      clock,
      routes,
      workers,
      retryBudgets,
      forwarder: this.forwarder,
      keyed,
      writer: this.writer,
      completion: this.completion,
      memory: this.memory,
      stalls,
      objects,
      actsOnForecast: actsOnForecast === true,
    });
  };
}
