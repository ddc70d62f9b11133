/**
 * Retry budgets: token buckets over a sliding window, refilled by a ratio of this node's requests
 * and by a leased share of the fleet-wide slack (docs/retries.md).
 */
import type { Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import {
  findLimit,
  USED_FRACTION,
  type RetryLimit,
  type RetryLimits,
  type RouteKind,
} from "../quota/retry-limits.js";
import type { UnknownRecord } from "../common/decode.js";

interface Slot {
  readonly sinceUs: number;
  requests: number;
  retries: number;
  rejected: number;
}

/** The share of the fleet-wide slack that is leased to this node, in retries per window. */
export interface RetryLease {
  readonly tokens: number;
  /** In microseconds of the local clock. */
  readonly expiresUs: number;
}

const SLOTS = 20;
const NO_LEASE: RetryLease = { tokens: 0, expiresUs: 0 };

/**
 * Limits the retries that this node sends for one kind of request to one service. Invariant: within
 * any window, the retries do not exceed the ratio of this node's own requests in it plus the tokens
 * leased from the slack. The requests of all nodes add up, and the leases that are valid or expired
 * less than a window ago stay within the slack. Therefore the total over all nodes, including
 * restarted ones, stays within the limit.
 */
export class RetryBudget {
  private slots: Slot[] = [];
  private lease = NO_LEASE;
  private rejectedSinceLeaseRequest = 0;
  private lastLoggedUs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly windowUs: number,
    private readonly limit: () => RetryLimit,
    private readonly onRejected: (isFirstInWindow: boolean) => void,
  ) {}

  /** Counts the first attempt of a request, which earns a fraction of a retry. */
  readonly recordRequest = (): void => {
    this.currentSlot().requests += 1;
  };

  /** Takes one retry from the budget; returns false if it is exhausted. */
  readonly trySpend = (): boolean => {
    const slot = this.currentSlot();
    if (this.sum("retries") + 1 > this.earnedTokens() + this.leasedTokens()) {
      slot.rejected += 1;
      this.rejectedSinceLeaseRequest += 1;
      const isFirstInWindow = this.clock.nowUs() - this.lastLoggedUs >= this.windowUs;
      if (isFirstInWindow) this.lastLoggedUs = this.clock.nowUs();
      this.onRejected(isFirstInWindow);
      return false;
    }
    slot.retries += 1;
    return true;
  };

  /** Replaces the current lease. */
  readonly setLease = (lease: RetryLease): void => {
    this.lease = lease;
  };

  /** Returns the currently leased tokens; 0 once the lease has expired. */
  readonly leasedTokens = (): number =>
    this.clock.nowUs() < this.lease.expiresUs ? this.lease.tokens : 0;

  /**
   * Returns the leased tokens needed to cover the retries beyond the ratio, and those rejected
   * since the last call.
   */
  readonly takeDemand = (): number => {
    this.currentSlot();
    const demand =
      Math.max(0, this.sum("retries") - this.earnedTokens()) + 2 * this.rejectedSinceLeaseRequest;
    this.rejectedSinceLeaseRequest = 0;
    return Math.ceil(demand);
  };

  /** Returns the counters of the window. Operators and controllers use these field names. */
  readonly snapshot = (): {
    readonly requests: number;
    readonly retries: number;
    readonly refused: number;
    readonly leased: number;
  } => {
    this.currentSlot();
    return {
      requests: this.sum("requests"),
      retries: this.sum("retries"),
      refused: this.sum("rejected"),
      leased: this.leasedTokens(),
    };
  };

  private readonly earnedTokens = (): number =>
    this.sum("requests") * this.limit().ratio * USED_FRACTION;

  private readonly sum = (counter: "requests" | "retries" | "rejected"): number =>
    this.slots.reduce((total, slot) => total + slot[counter], 0);

  private readonly currentSlot = (): Slot => {
    const nowUs = this.clock.nowUs();
    this.slots = this.slots.filter(
      (slot) => nowUs - slot.sinceUs < this.windowUs + this.windowUs / SLOTS,
    );
    const last = this.slots[this.slots.length - 1];
    if (last && nowUs - last.sinceUs < this.windowUs / SLOTS) return last;
    const slot = { sinceUs: nowUs, requests: 0, retries: 0, rejected: 0 };
    this.slots.push(slot);
    return slot;
  };
}

/** Dependencies and options of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly windowUs: number;
  /** Returns the currently configured limits. */
  readonly limits: () => RetryLimits;
}

/** The retry budgets of one node, by service and kind of route. */
export class RetryBudgets {
  private readonly budgets = new Map<
    string,
    { readonly service: string; readonly kind: RouteKind; readonly budget: RetryBudget }
  >();
  /** Called when a budget has rejected a retry, so that a lease of the slack can be requested. */
  onExhausted: () => void = () => undefined;

  constructor(private readonly options: RetryBudgetsOptions) {}

  /** Returns the budget of a service and kind of route, creating it on first use. */
  readonly budgetFor = (service: string, kind: RouteKind): RetryBudget => {
    const key = `${service}|${kind}`;
    const known = this.budgets.get(key);
    if (known) return known.budget;
    const { clock, windowUs, limits, log } = this.options;
    const budget = new RetryBudget(
      clock,
      windowUs,
      () => findLimit(limits(), service, kind),
      (isFirstInWindow) => {
        if (isFirstInWindow) log.warn("retry budget exhausted", { service, kind });
        this.onExhausted();
      },
    );
    this.budgets.set(key, { service, kind, budget });
    return budget;
  };

  /** Returns service, kind, tokens demanded and tokens leased for each budget with a demand. */
  readonly takeDemands = (): readonly (readonly [string, RouteKind, number, number])[] =>
    [...this.budgets.values()].flatMap(({ service, kind, budget }) => {
      const demand = budget.takeDemand();
      return demand > 0 ? [[service, kind, demand, budget.leasedTokens()] as const] : [];
    });

  /** Returns one row of counters per budget. */
  readonly snapshot = (): readonly UnknownRecord[] =>
    [...this.budgets.values()].map(({ service, kind, budget }) => ({
      service,
      kind,
      ...budget.snapshot(),
    }));
}
