/** Leases retry tokens for one node's budgets while they are short of retries. */
import type { Clock } from "../common/clock.js";
import { packRetryRequest, readRetryResponse } from "./quota-codec.js";
import { toRouteKind, type RouteKind } from "./retry-limits.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";

const FIRST_DELAY_US = 30 * MILLISECOND_US;
const RENEWAL_INTERVAL_US = 700 * MILLISECOND_US;
const TIMEOUT_US = 500 * MILLISECOND_US;

/** The retry budgets of one node, as far as leasing goes. */
export interface LeasableRetryBudgets {
  /** Called when a budget has rejected a retry. */
  onExhausted: () => void;
  /** The budget of a service and kind of route. */
  readonly of: (
    service: string,
    kind: RouteKind,
  ) => {
    /** Takes a new lease in place of the one before; `expiresUs` is on this process's clock. */
    readonly setLease: (lease: { readonly tokens: number; readonly expiresUs: number }) => void;
  };
  /** Service, kind, tokens demanded and tokens leased, of the budgets that demand some. */
  readonly takeDemands: () => readonly (readonly [string, RouteKind, number, number])[];
}

/**
 * Asks for leases while some budget is short of retries; while none is, nothing runs and nothing is
 * sent.
 */
export class RetryLeaseRenewer {
  private isScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly retryBudgets: LeasableRetryBudgets,
    private readonly incarnation: string,
    private readonly request: (message: Message, waitUs: number) => Promise<Message | undefined>,
  ) {}

  /** Asks soon after a budget has refused a retry. */
  readonly start = (): void => {
    this.retryBudgets.onExhausted = () => this.schedule(FIRST_DELAY_US);
  };

  private readonly schedule = (waitUs: number): void => {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.clock.after(waitUs, () => void this.renew());
  };

  /**
   * A lease is counted from before the request, so that it expires here no later than at the
   * allocator.
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
        .of(service, toRouteKind(kind))
        .setLease({ tokens, expiresUs: requestedUs + response.durationUs });
    });
    this.isScheduled = false;
    if (demands.length > 0) this.schedule(RENEWAL_INTERVAL_US);
  };
}
