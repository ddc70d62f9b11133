/** An upstream worker as this node knows it. */
import type { Update } from "../membership/update-store.js";
import type { Clock } from "../common/clock.js";
import { readString, readNumber } from "../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { ConnectionPool, type PooledConnection } from "./connection-pool.js";
import { LatencyEstimate, type ServiceLatency } from "./latency-estimate.js";

/** A request that waits for the worker's response. */
export interface InFlightRequest {
  readonly startedUs: number;
}

const AVOID_US = 1 * SECOND_US;
/** What a worker reported of its load counts less with time, and not at all after this. */
const REPORT_EXPIRY_US = 600 * MILLISECOND_US;
const IN_FLIGHT_AVERAGE_US = 1 * SECOND_US;
/**
 * A worker is unresponsive when requests wait this many times the mean latency, and this long at
 * least.
 */
const UNRESPONSIVE_FACTOR = 6;
const UNRESPONSIVE_MIN_US = 500 * MILLISECOND_US;
/** During slow start a request is expected to take this many times as long. */
const SLOW_START_FACTOR = 2;

/** What updates say of a worker, and what this node's own requests to it have shown. */
export class Worker {
  service = "";
  address = "";
  zone = "";
  /** How many requests it runs at once. */
  capacity = 1;
  state = "ready";
  /** Until when it is in slow start, on this process's clock. */
  slowStartUntilUs = 0;
  /**
   * Invariant: counts this node's requests under way; each holds one connection that is not idle.
   */
  inFlight = 0;
  private reportedOtherLoad = 0;
  private reportedUs = 0;
  private smoothedInFlight = 0;
  private smoothedUs = 0;
  private avoidedUntilUs = 0;
  private lastResponseUs = 0;
  private readonly awaitingResponse = new Set<InFlightRequest>();
  readonly latency: LatencyEstimate;
  readonly connections: ConnectionPool;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
    serviceLatency: ServiceLatency,
  ) {
    this.latency = new LatencyEstimate(clock, serviceLatency);
    this.connections = new ConnectionPool(clock);
  }

  /** Takes over what an update of the worker's registration says. */
  readonly applyUpdate = ({ body, sinceUs }: Update): void => {
    const address = readString(body, "address");
    if (address !== this.address) this.connections.closeIdle();
    this.service = readString(body, "service");
    this.address = address;
    this.zone = readString(body, "cell");
    this.capacity = Math.max(1, readNumber(body, "capacity"));
    this.state = readString(body, "state");
    this.slowStartUntilUs = sinceUs + readNumber(body, "warmUs");
    if (this.state !== "ready") this.connections.closeIdle();
  };

  /**
   * The worker's load in requests: this node's own in flight, and those of other nodes. The latter
   * are as many as the worker last reported; as that report ages, `assumedOthers` takes its place.
   */
  readonly load = (assumedOtherLoad: number): number => {
    const age = Math.min(1, (this.clock.nowUs() - this.reportedUs) / REPORT_EXPIRY_US);
    return this.inFlight + this.reportedOtherLoad * (1 - age) + assumedOtherLoad * age;
  };

  /** This node's requests in flight, as an exponential average over the last second. */
  readonly averageInFlight = (): number => {
    const nowUs = this.clock.nowUs();
    const decay = Math.exp((this.smoothedUs - nowUs) / IN_FLIGHT_AVERAGE_US);
    this.smoothedInFlight = this.inFlight + (this.smoothedInFlight - this.inFlight) * decay;
    this.smoothedUs = nowUs;
    return this.smoothedInFlight;
  };

  /**
   * Takes the load that the worker reported in a response, which includes the request it answered.
   */
  readonly reportLoad = (running: number, queued: number, reportedCapacity: number): void => {
    if (reportedCapacity > 0) this.capacity = reportedCapacity;
    this.reportedOtherLoad = Math.max(0, running + queued - Math.max(0, this.inFlight - 1));
    this.reportedUs = this.clock.nowUs();
  };

  /** How long a request sent now is expected to take at this load. */
  readonly expectedLatencyUs = (load: number): number => {
    const slowStart = this.clock.nowUs() < this.slowStartUntilUs ? SLOW_START_FACTOR : 1;
    return (
      Math.max(this.latency.meanUs(), this.longestWaitUs()) *
      slowStart *
      Math.max(1, (load + 1) / this.capacity)
    );
  };

  /**
   * Leaves the worker out for a moment, after a fault that shows the worker itself to be unhealthy.
   */
  readonly avoid = (): void => {
    this.avoidedUntilUs = this.clock.nowUs() + AVOID_US;
    this.connections.closeIdle();
  };

  readonly isAvoided = (): boolean =>
    this.clock.nowUs() < this.avoidedUntilUs || this.isUnresponsive();

  /**
   * Whether the oldest request has waited far longer than usual, with no response since it was
   * sent.
   */
  readonly isUnresponsive = (): boolean => {
    const nowUs = this.clock.nowUs();
    const thresholdUs = Math.max(UNRESPONSIVE_MIN_US, UNRESPONSIVE_FACTOR * this.latency.meanUs());
    for (const request of this.awaitingResponse)
      return this.lastResponseUs < request.startedUs && nowUs - request.startedUs > thresholdUs;
    return false;
  };

  /** Counts a request as in flight, until `finish`. */
  readonly begin = (): InFlightRequest => {
    this.averageInFlight();
    const request = { startedUs: this.clock.nowUs() };
    this.awaitingResponse.add(request);
    this.inFlight += 1;
    return request;
  };

  /** Ends a request; of one that has ended already it does nothing. */
  readonly finish = (request: InFlightRequest, hasResponded: boolean): void => {
    if (!this.awaitingResponse.delete(request)) return;
    this.averageInFlight();
    this.inFlight -= 1;
    if (hasResponded) this.lastResponseUs = this.clock.nowUs();
  };

  /** A connection for one request, to be given back with `releaseConnection`. */
  readonly acquireConnection = (isNew = false): PooledConnection =>
    this.connections.acquire(this.address, isNew);

  /**
   * Gives a connection back; it is closed if it isn't sound, or the worker isn't ready any more.
   */
  readonly releaseConnection = (connection: PooledConnection, isReusable: boolean): void =>
    this.connections.release(connection, isReusable && this.state === "ready");

  /**
   * The oldest request without a response shows that the worker is slow before its response does.
   */
  private readonly longestWaitUs = (): number => {
    const [oldest] = this.awaitingResponse;
    return oldest === undefined ? 0 : this.clock.nowUs() - oldest.startedUs;
  };
}
