/** Allocates the slack of retry limits to nodes, at the controller that holds the leader lease. */
import type { Clock } from "../common/clock.js";
import { toRouteKind, findLimit, USED_FRACTION, type RetryLimits } from "./retry-limits.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { LeaseAllocator } from "./lease-allocator.js";
import {
  packRetryRefusal,
  packRetryResponse,
  readRetryRequest,
  type RetryDemand,
} from "./quota-codec.js";

/** How long retry tokens are leased for, in microseconds. */
export const RETRY_LEASE_US = 3 * SECOND_US;
/** No node gets more of a slack than this fraction, so that the first to ask don't take it all. */
const MAX_NODE_FRACTION = 1 / 8;

/** What the allocator works on. */
export interface RetryAllocatorOptions {
  readonly clock: Clock;
  /** The window over which retries are limited, in microseconds. */
  readonly windowUs: number;
  /** Whether this controller holds the leader lease, and a majority is in contact. */
  readonly isLeader: () => boolean;
  readonly limits: () => RetryLimits;
}

/**
 * Leases the slack of each service and kind of route to the nodes that are short of retries.
 *
 * Invariant: for any window, the tokens of all leases under which something was sent in it add up
 * to at most the slack: a lease's tokens are allocated again only a whole window after it expired.
 */
export class RetryAllocator {
  private readonly allocators = new Map<string, LeaseAllocator>();
  private leaderSinceUs: number | undefined;

  constructor(private readonly options: RetryAllocatorOptions) {}

  /**
   * Called every second or so: a new leader's wait begins when it takes over, not when it is first
   * asked.
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
   * Responds to a node that is short of retries.
   *
   * @throws DecodeError if the request isn't of its form
   */
  readonly handleRequest = (message: Message): Message => {
    this.refresh();
    if (this.leaderSinceUs === undefined) return packRetryRefusal();
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
