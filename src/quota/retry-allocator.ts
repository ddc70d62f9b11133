/** Allocates the slack of retry limits to nodes, at the controller that holds the leader lease. */
import type { Clock } from "../common/clock.js";
import { toRouteKind, findLimit, USED_FRACTION, type RetryLimits } from "./retry-limits.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { LeaseAllocator } from "./lease-allocator.js";
import {
  packRetryRejection,
  packRetryResponse,
  readRetryRequest,
  type RetryDemand,
} from "./quota-codec.js";

/** Duration of a lease of retry tokens, in microseconds. */
export const RETRY_LEASE_US = 3 * SECOND_US;
/** Maximum fraction of a slack for one node, so that the first to request do not exhaust it. */
const MAX_NODE_FRACTION = 1 / 8;

/** Dependencies of {@link RetryAllocator}. */
export interface RetryAllocatorOptions {
  readonly clock: Clock;
  /** Window over which retries are limited, in microseconds. */
  readonly windowUs: number;
  /** Whether this controller holds the leader lease and is in contact with a majority. */
  readonly isLeader: () => boolean;
  readonly limits: () => RetryLimits;
}

/**
 * Leases the slack of each service and kind of route to the nodes that run out of retries.
 *
 * Invariant: for any window, the tokens of all leases under which a retry was sent in that window
 * add up to at most the slack, because tokens are only allocated again one full window after their
 * lease expired.
 */
export class RetryAllocator {
  private readonly allocators = new Map<string, LeaseAllocator>();
  private leaderSinceUs: number | undefined;

  constructor(private readonly options: RetryAllocatorOptions) {}

  /**
   * Called about once per second, so that the waiting time of a new leader starts when it takes
   * over rather than at the first request.
   */
  readonly refresh = (): void => {
    if (!this.options.isLeader()) {
      this.allocators.clear();
      this.leaderSinceUs = undefined;
      return;
    }
    this.leaderSinceUs ??= this.options.clock.nowUs();
    this.allocators.forEach((allocator, key) => {
      if (allocator.isIdle) this.allocators.delete(key);
    });
  };

  /**
   * Handles the request of a node that ran out of retries.
   *
   * @throws DecodeError if the request is malformed
   */
  readonly handleRequest = (message: Message): Message => {
    this.refresh();
    if (this.leaderSinceUs === undefined) return packRetryRejection();
    const { incarnation, demands } = readRetryRequest(message);
    const limits = this.options.limits();
    const allotments = demands.map((demand) => ({
      service: demand.service,
      kind: demand.kind,
      tokens: this.allocate(limits, incarnation, demand),
    }));
    return packRetryResponse(allotments, RETRY_LEASE_US);
  };

  private readonly allocate = (
    limits: RetryLimits,
    incarnation: string,
    { service, kind, wanted, held }: RetryDemand,
  ): number => {
    const { clock, windowUs } = this.options;
    const slack = findLimit(limits, service, toRouteKind(kind)).slack * USED_FRACTION;
    const key = `${service}|${kind}`;
    const allocator =
      this.allocators.get(key) ??
      new LeaseAllocator(
        clock,
        { durationUs: RETRY_LEASE_US, graceUs: windowUs },
        this.leaderSinceUs,
      );
    this.allocators.set(key, allocator);
    const maxTokens = Math.max(1, slack * MAX_NODE_FRACTION);
    return allocator.allocate(incarnation, Math.min(wanted, maxTokens), held, slack);
  };
}
