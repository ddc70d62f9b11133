/** State of an upstream worker as known to this node. */
import type { Update } from "../membership/update-store.js";
import type { Clock } from "../common/clock.js";
import { readSenders } from "../membership/messages.js";
import { readNumber, readString } from "../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { ConnectionPool, type PooledConnection } from "./connection-pool.js";
import { LatencyEstimate, type ServiceLatency } from "./latency-estimate.js";
import { WarmUp, type WarmUpContext } from "./warm-up.js";

/** A request that waits for the worker's response. */
export interface InFlightRequest {
  readonly startedUs: number;
}

const AVOID_US = 1 * SECOND_US;
/**
 * Lifetime of a load report. The weight of a report decreases with its age and is 0 after this
 * time.
 */
const REPORT_EXPIRY_US = 600 * MILLISECOND_US;
const IN_FLIGHT_AVERAGE_US = 1 * SECOND_US;
/**
 * A worker is unresponsive if its oldest request has waited for this multiple of the mean latency,
 * and for at least `UNRESPONSIVE_MIN_US`.
 */
const UNRESPONSIVE_FACTOR = 6;
const UNRESPONSIVE_MIN_US = 500 * MILLISECOND_US;
/** Factor by which the expected latency is increased during slow start. */
const SLOW_START_FACTOR = 2;

/** What all workers of a node share. */
export interface WorkerContext extends WarmUpContext {
  /** Whether nothing may be sent to the workers of the zone. */
  readonly isEvacuated: (zone: string) => boolean;
}

/**
 * The attributes of a worker from updates, and the statistics of this node's own requests to it.
 */
export class Worker {
  service = "";
  address = "";
  zone = "";
  /** The number of requests that the worker runs concurrently. */
  capacity = 1;
  state = "ready";
  /**
   * Number of this node's requests in flight. Invariant: each of them holds one connection that is
   * not idle.
   */
  inFlight = 0;
  private reportedOtherLoad = 0;
  private reportedUs = 0;
  private smoothedInFlight = 0;
  private smoothedUs = 0;
  private avoidedUntilUs = 0;
  private lastResponseUs = 0;
  private readonly clock: Clock;
  private readonly awaitingResponse = new Set<InFlightRequest>();
  readonly warmUp: WarmUp;
  readonly latency: LatencyEstimate;
  readonly connections: ConnectionPool;

  constructor(
    readonly id: string,
    private readonly context: WorkerContext,
    serviceLatency: ServiceLatency,
  ) {
    const { clock } = context;
    this.clock = clock;
    this.warmUp = new WarmUp(this, context);
    this.latency = new LatencyEstimate(clock, serviceLatency);
    this.connections = new ConnectionPool(clock);
  }

  /** Applies an update of the worker's registration. */
  readonly applyUpdate = ({ body, sinceUs }: Update): void => {
    const address = readString(body, "address");
    if (address !== this.address) this.connections.closeIdle();
    this.service = readString(body, "service");
    this.address = address;
    this.zone = readString(body, "cell");
    this.capacity = Math.max(1, readNumber(body, "capacity"));
    this.state = readString(body, "state");
    this.warmUp.announce(sinceUs, readNumber(body, "warmUs"), readSenders(body));
    if (this.state !== "ready") this.connections.closeIdle();
  };

  /**
   * Returns the worker's load in requests: this node's requests in flight plus those of other
   * nodes. The latter is the number last reported by the worker, which is gradually replaced by
   * `assumedOtherLoad` as the report ages.
   */
  readonly load = (assumedOtherLoad: number): number => {
    const age = Math.min(1, (this.clock.nowUs() - this.reportedUs) / REPORT_EXPIRY_US);
    return this.inFlight + this.reportedOtherLoad * (1 - age) + assumedOtherLoad * age;
  };

  /**
   * Returns the exponential moving average of this node's requests in flight, with a time constant
   * of one second.
   */
  readonly averageInFlight = (): number => {
    const nowUs = this.clock.nowUs();
    const decay = Math.exp((this.smoothedUs - nowUs) / IN_FLIGHT_AVERAGE_US);
    this.smoothedInFlight = this.inFlight + (this.smoothedInFlight - this.inFlight) * decay;
    this.smoothedUs = nowUs;
    return this.smoothedInFlight;
  };

  /** Records the load that the worker reported in a response. It includes the answered request. */
  readonly reportLoad = (running: number, queued: number, reportedCapacity: number): void => {
    if (reportedCapacity > 0) this.capacity = reportedCapacity;
    this.reportedOtherLoad = Math.max(0, running + queued - Math.max(0, this.inFlight - 1));
    this.reportedUs = this.clock.nowUs();
  };

  /** Returns the expected latency of a request that is sent now at this load. */
  readonly expectedLatencyUs = (load: number): number => {
    const slowStart = this.warmUp.isActive() ? SLOW_START_FACTOR : 1;
    return (
      Math.max(this.latency.meanUs(), this.longestWaitUs()) *
      slowStart *
      Math.max(1, (load + 1) / this.capacity)
    );
  };

  /**
   * Whether a request may be sent to the worker now: its zone is not evacuated, and it does not warm
   * up or this node may send to it meanwhile.
   */
  readonly maySend = (): boolean => !this.context.isEvacuated(this.zone) && this.warmUp.maySend();

  /**
   * Called right before a request is sent to the worker. Returns false if it must not be sent;
   * otherwise it counts as sent.
   */
  readonly trySend = (): boolean => !this.context.isEvacuated(this.zone) && this.warmUp.trySend();

  /**
   * Excludes the worker from selection for `AVOID_US`, after a fault caused by the worker itself.
   */
  readonly avoid = (): void => {
    this.avoidedUntilUs = this.clock.nowUs() + AVOID_US;
    this.connections.closeIdle();
  };

  readonly isAvoided = (): boolean =>
    this.clock.nowUs() < this.avoidedUntilUs || this.isUnresponsive();

  /**
   * Returns whether the oldest request has waited far longer than usual and the worker has not
   * responded to any request since it was sent.
   */
  readonly isUnresponsive = (): boolean => {
    const nowUs = this.clock.nowUs();
    const thresholdUs = Math.max(UNRESPONSIVE_MIN_US, UNRESPONSIVE_FACTOR * this.latency.meanUs());
    for (const request of this.awaitingResponse)
      return this.lastResponseUs < request.startedUs && nowUs - request.startedUs > thresholdUs;
    return false;
  };

  /** Counts a request as in flight until `finish` is called. */
  readonly begin = (): InFlightRequest => {
    this.averageInFlight();
    const request = { startedUs: this.clock.nowUs() };
    this.awaitingResponse.add(request);
    this.inFlight += 1;
    return request;
  };

  /** Ends a request; does nothing if it has already ended. */
  readonly finish = (request: InFlightRequest, hasResponded: boolean): void => {
    if (!this.awaitingResponse.delete(request)) return;
    this.averageInFlight();
    this.inFlight -= 1;
    if (hasResponded) this.lastResponseUs = this.clock.nowUs();
  };

  /** Acquires a connection for one request, to be returned with `releaseConnection`. */
  readonly acquireConnection = (isNew = false): PooledConnection =>
    this.connections.acquire(this.address, isNew);

  /** Releases a connection. It is closed if it is not reusable or the worker is no longer ready. */
  readonly releaseConnection = (connection: PooledConnection, isReusable: boolean): void =>
    this.connections.release(connection, isReusable && this.state === "ready");

  /**
   * Returns how long the oldest request in flight has waited, which reveals a slow worker before
   * its response arrives.
   */
  private readonly longestWaitUs = (): number => {
    const [oldest] = this.awaitingResponse;
    return oldest === undefined ? 0 : this.clock.nowUs() - oldest.startedUs;
  };
}
