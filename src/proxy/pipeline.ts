/**
 * The stages of a request in their order: read the body, route, and serve from a cache or forward
 * to a worker.
 */
import type { Clock } from "../common/clock.js";
import type { CanaryOutcome } from "../health/canary-counters.js";
import type { IdempotencyClient } from "../idempotency/key-client.js";
import { BodyReader } from "./body-reader.js";
import { CachedRequests } from "./cached-requests.js";
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
import { RequestRouter } from "./request-routing.js";
import { ResponseWriter } from "./response-writer.js";
import type { RetryBudgets } from "./retry-budget.js";
import { RetryingForwarder } from "./retry-and-hedging.js";
import type { Route, RouteTable } from "./route-table.js";
import { StallDetector } from "./stall-detector.js";

/** How many bodies are read at once, and how many requests wait for it. */
const MAX_READING = 512;
/** How many requests are forwarded at once, and how many wait for it. */
const MAX_FORWARDING = 1_024;

/** What arrives and is answered, counted for the capacity forecast. */
export interface LoadObserver {
  readonly arrived: (service: string) => void;
  readonly refused: (service: string) => void;
  readonly answered: (service: string, zone: string, tookUs: number) => void;
}

/** What the request pipeline is made with. */
export interface PipelineOptions {
  readonly clock: Clock;
  /** The zone of this node. */
  readonly zone: string;
  /** How much memory buffered bodies may take, all in all. */
  readonly bufferMemoryBytes: number;
  readonly routes: RouteTable;
  readonly pool: WorkerDirectory;
  readonly retryBudgets: RetryBudgets;
  /** Whether this node lacks a configuration that it was told of; left out, it never does. */
  readonly isBehind?: () => boolean;
  /** How many connections this node may hold to one worker of a service. */
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
  /** Counts what is sent to each worker, for the forecast of reassignments. */
  readonly countAttempt?: (service: string, kind: string, route: string, worker: string) => void;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly loadCounters?: LoadObserver;
  /** Whether the capacity forecast is acted on. */
  readonly actsOnForecast?: boolean;
  /**
   * Where objects of cached routes come from; without it they are forwarded like any safe request.
   */
  readonly objects?: ObjectSource;
  /** Where idempotency keys are claimed; without it keyed requests are rejected. */
  readonly idempotency?: IdempotencyClient;
}

/** Wires the stages and takes requests in. */
export class RequestPipeline {
  private readonly memory: MemoryBudget;
  private readonly outcomes: OutcomeRecorder;
  private readonly completion: RequestCompletion;
  private readonly writer: ResponseWriter;
  private readonly forwarder: Forwarder;
  private readonly reading: PipelineStage<RequestContext>;
  private readonly forwarding: PipelineStage<RequestContext>;

  /**
   * @param options - what the stages share
   * @param isDraining - whether responses close their connections
   */
  constructor(
    private readonly options: PipelineOptions,
    isDraining: () => boolean,
  ) {
    const { clock, bufferMemoryBytes, routes, retryBudgets, random, idempotency, objects } =
      options;
    const { countOutcome, countCanaryOutcome, loadCounters } = options;
    const stalls = new StallDetector(clock);
    this.memory = new MemoryBudget(bufferMemoryBytes);
    this.outcomes = new OutcomeRecorder({ clock, countOutcome, countCanaryOutcome });
    this.completion = new RequestCompletion(clock, idempotency);
    this.writer = new ResponseWriter({
      outcomes: this.outcomes,
      completion: this.completion,
      isDraining,
      ...(loadCounters ? { countRejected: loadCounters.refused } : {}),
    });
    const { writer, memory } = this;
    const keyed = new KeyedRequests({ clock, idempotency, writer, random });
    this.forwarder = this.newForwarder(keyed);
    const retrying = this.newRetryingForwarder(keyed, stalls);
    this.forwarding = new PipelineStage(
      MAX_FORWARDING,
      MAX_FORWARDING,
      retrying.forward,
      (context) => context.route?.priority ?? 0,
    );
    const router = new RequestRouter({
      routes,
      retryBudgets,
      isBehind: options.isBehind ?? (() => false),
      random,
      forward: this.startForwarding,
      reject: writer.reject,
      ...(loadCounters ? { countArrival: loadCounters.arrived } : {}),
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

  /** Takes a request in, or rejects it where too many are read already. */
  readonly start = (context: RequestContext): void => {
    if (!this.reading.offer(context)) this.writer.reject(context, "full");
  };

  /** Ends a request whose response was written or whose client is gone. */
  readonly close = (context: RequestContext): void => {
    if (!context.isFinished) this.outcomes.recordAbandoned(context);
    this.completion.finish(context);
    this.memory.release(context);
  };

  /** Looks again for workers for the requests that wait for one. */
  readonly wake = (): void => this.forwarder.wake();

  private readonly startForwarding = (context: RequestContext): void => {
    if (!this.forwarding.offer(context)) this.writer.reject(context, "full");
  };

  private readonly newForwarder = (keyed: KeyedRequests): Forwarder => {
    const { clock, zone, pool, random, connectionShare, countFault, countAttempt, loadCounters } =
      this.options;
    const acts = this.options.actsOnForecast === true;
    return new Forwarder({
      clock,
      zone,
      workers: pool,
      loadBalancer: new LoadBalancer({
        workers: pool,
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
      ...(loadCounters ? { countResponse: loadCounters.answered } : {}),
    });
  };

  private readonly newRetryingForwarder = (
    keyed: KeyedRequests,
    stalls: StallDetector,
  ): RetryingForwarder => {
    const { clock, routes, pool, retryBudgets, objects, actsOnForecast } = this.options;
    return new RetryingForwarder({
      clock,
      routes,
      workers: pool,
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
