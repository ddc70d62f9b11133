/** Leases retry tokens for one node's retry budgets while they are exhausted. */
import type { Clock } from "../common/clock.js";
import { packRetryRequest, readRetryResponse } from "./quota-codec.js";
import { toRouteKind, type RouteKind } from "./retry-limits.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";

const FIRST_DELAY_US = 30 * MILLISECOND_US;
const RENEWAL_INTERVAL_US = 700 * MILLISECOND_US;
const TIMEOUT_US = 500 * MILLISECOND_US;

/** The part of a node's retry budgets that leasing uses. */
export interface LeasableRetryBudgets {
  /** Called when a budget rejects a retry. */
  onExhausted: () => void;
  /** The budget of a service and kind of route. */
  readonly budgetFor: (
    service: string,
    kind: RouteKind,
  ) => {
    /** Replaces the current lease; `expiresUs` is on this process's clock. */
    readonly setLease: (lease: { readonly tokens: number; readonly expiresUs: number }) => void;
  };
  /** Service, kind, tokens demanded and tokens leased of each budget with a demand. */
  readonly takeDemands: () => readonly (readonly [string, RouteKind, number, number])[];
}

/** Requests leases while any budget demands tokens. Otherwise no timer runs and nothing is sent. */
export class RetryLeaseRenewer {
  private isScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly retryBudgets: LeasableRetryBudgets,
    private readonly incarnation: string,
    private readonly request: (message: Message, waitUs: number) => Promise<Message | undefined>,
  ) {}

  /** Starts requesting leases whenever a budget rejects a retry. */
  readonly start = (): void => {
    this.retryBudgets.onExhausted = () => this.schedule(FIRST_DELAY_US);
  };

  private readonly schedule = (waitUs: number): void => {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.clock.after(waitUs, () => void this.renew());
  };

  /**
   * The duration of a lease counts from before the request is sent, so that the lease expires here
   * no later than at the allocator.
   */
  private readonly renew = async (): Promise<void> => {
    const demands = this.retryBudgets.takeDemands();
    const requestedUs = this.clock.nowUs();
    const reply =
      demands.length === 0
        ? undefined
        : await this.request(packRetryRequest(this.incarnation, demands), TIMEOUT_US);
    const response = readRetryResponse(reply);
    response?.allotments.forEach(({ service, kind, tokens }) => {
      this.retryBudgets
        .budgetFor(service, toRouteKind(kind))
        .setLease({ tokens, expiresUs: requestedUs + response.durationUs });
    });
    this.isScheduled = false;
    if (demands.length > 0) this.schedule(RENEWAL_INTERVAL_US);
  };
}
