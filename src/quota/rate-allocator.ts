/** Allocates shares of all rates to nodes, at the controller that holds the leader lease. */
import type { Clock } from "../common/clock.js";
import { LeaseAllocator } from "./lease-allocator.js";
import { NODE_KIND } from "./quota-codec.js";

/** Duration of a lease, in microseconds. */
export const RATE_LEASE_US = 3_000_000;
/** A node that has sent no request for this long is ignored when the rate is divided. */
const ACTIVE_US = 2_000_000;

/**
 * Divides the rates equally among the caches, or among the gateways while no cache requests any.
 */
export class RateAllocator {
  private readonly active = new Map<
    string,
    { readonly kind: string; readonly requestedUs: number }
  >();
  private readonly allocator: LeaseAllocator;

  constructor(private readonly clock: Clock) {
    this.allocator = new LeaseAllocator(clock, { durationUs: RATE_LEASE_US, graceUs: 0 });
  }

  /** Called whenever the leader lease is not held here. */
  readonly reset = (): void => {
    this.allocator.reset();
    this.active.clear();
  };

  /**
   * Leases a share to one incarnation of a node, for `RATE_LEASE_US` from now.
   *
   * @param kind - one of `NODE_KIND`
   * @param held - the share that it holds now
   * @returns the share, from 0 to 1
   */
  readonly allocate = (incarnation: string, kind: string, held: number): number => {
    const nowUs = this.clock.nowUs();
    this.active.set(incarnation, { kind, requestedUs: nowUs });
    this.active.forEach(({ requestedUs }, other) => {
      if (nowUs - requestedUs >= ACTIVE_US) this.active.delete(other);
    });
    return this.allocator.allocate(incarnation, this.equalShare(kind), held, 1);
  };

  private readonly equalShare = (kind: string): number => {
    const nodes = [...this.active.values()];
    const caches = nodes.filter((other) => other.kind === NODE_KIND.cache).length;
    if (kind === NODE_KIND.cache) return 1 / Math.max(1, caches);
    return caches > 0 ? 0 : 1 / Math.max(1, nodes.length);
  };
}
