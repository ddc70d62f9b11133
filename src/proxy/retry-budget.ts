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
  refused: number;
}

/** A part of the slack of the fleet's limit, leased to this node. */
export interface RetryLease {
  readonly tokens: number;
  readonly expiresUs: number;
}

const SLOTS = 20;
const NO_LEASE: RetryLease = { tokens: 0, expiresUs: 0 };

/**
 * How often requests of one kind to one service may be sent on again from this node.
 * Invariant: within any window the retries stay within the ratio of this node's own requests in it, and what it has
 * leased of the slack. The requests of all nodes add up, and the leases in force or ended less than a window ago stay
 * within the slack, so the sum over all nodes, restarted ones too, stays within the limit.
 */
export class RetryBudget {
  private slots: Slot[] = [];
  private lease = NO_LEASE;
  private rejectedSinceLeaseRequest = 0;
  private loggedUs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly windowUs: number,
    private readonly limit: () => RetryLimit,
    private readonly onRefused: (isFirstOfSpan: boolean) => void,
  ) {}

  /** Counts a request's first sending. */
  readonly recordRequest = (): void => {
    this.slot().requests += 1;
  };

  /** Takes one retry, or says that there is none left. */
  readonly trySpend = (): boolean => {
    const slot = this.slot();
    if (this.sum("retries") + 1 > this.earnedTokens() + this.leasedTokens()) {
      slot.refused += 1;
      this.rejectedSinceLeaseRequest += 1;
      const isFirstOfSpan = this.clock.nowUs() - this.loggedUs >= this.windowUs;
      if (isFirstOfSpan) this.loggedUs = this.clock.nowUs();
      this.onRefused(isFirstOfSpan);
      return false;
    }
    slot.retries += 1;
    return true;
  };

  readonly setLease = (lease: RetryLease): void => {
    this.lease = lease;
  };

  readonly leasedTokens = (): number =>
    this.clock.nowUs() < this.lease.expiresUs ? this.lease.tokens : 0;

  /** How many tokens would serve what was spent beyond the ratio, and what was refused since the last asking. */
  readonly takeDemand = (): number => {
    this.slot();
    const want =
      Math.max(0, this.sum("retries") - this.earnedTokens()) + 2 * this.rejectedSinceLeaseRequest;
    this.rejectedSinceLeaseRequest = 0;
    return Math.ceil(want);
  };

  readonly snapshot = (): {
    readonly requests: number;
    readonly retries: number;
    readonly refused: number;
    readonly leased: number;
  } => {
    this.slot();
    return {
      requests: this.sum("requests"),
      retries: this.sum("retries"),
      refused: this.sum("refused"),
      leased: this.leasedTokens(),
    };
  };

  private readonly earnedTokens = (): number =>
    this.sum("requests") * this.limit().ratio * USED_FRACTION;

  private readonly sum = (what: "requests" | "retries" | "refused"): number =>
    this.slots.reduce((total, slot) => total + slot[what], 0);

  private readonly slot = (): Slot => {
    const nowUs = this.clock.nowUs();
    this.slots = this.slots.filter(
      (slot) => nowUs - slot.sinceUs < this.windowUs + this.windowUs / SLOTS,
    );
    const last = this.slots[this.slots.length - 1];
    if (last && nowUs - last.sinceUs < this.windowUs / SLOTS) return last;
    const slot = { sinceUs: nowUs, requests: 0, retries: 0, refused: 0 };
    this.slots.push(slot);
    return slot;
  };
}

export interface RetryBudgetsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly windowUs: number;
  /** The written limits, as the news tells them. */
  readonly limits: () => RetryLimits;
}

/** The budgets of one node, by service and kind of route. */
export class RetryBudgets {
  private readonly budgets = new Map<
    string,
    { readonly service: string; readonly kind: RouteKind; readonly budget: RetryBudget }
  >();
  /** Called when a budget has refused: a lease of the slack would help. */
  onExhausted: () => void = () => undefined;

  constructor(private readonly options: RetryBudgetsOptions) {}

  readonly of = (service: string, kind: RouteKind): RetryBudget => {
    const key = `${service}|${kind}`;
    const known = this.budgets.get(key);
    if (known) return known.budget;
    const { clock, windowUs, limits, log } = this.options;
    const budget = new RetryBudget(
      clock,
      windowUs,
      () => findLimit(limits(), service, kind),
      (isFirstOfSpan) => {
        if (isFirstOfSpan) log.warn(`No retry is left for ${kind} requests to ${service}.`);
        this.onExhausted();
      },
    );
    this.budgets.set(key, { service, kind, budget });
    return budget;
  };

  /** Service, kind, tokens wanted, tokens held; only of budgets that want some. */
  readonly takeDemands = (): readonly (readonly [string, RouteKind, number, number])[] =>
    [...this.budgets.values()].flatMap(({ service, kind, budget }) => {
      const want = budget.takeDemand();
      return want > 0 ? [[service, kind, want, budget.leasedTokens()] as const] : [];
    });

  readonly snapshot = (): readonly UnknownRecord[] =>
    [...this.budgets.values()].map(({ service, kind, budget }) => ({
      service,
      kind,
      ...budget.snapshot(),
    }));
}
