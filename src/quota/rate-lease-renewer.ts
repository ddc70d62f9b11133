/** Renewal of one process's lease of a share of all rates. */
import type { Clock, Timer } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { packRateRequest, readRateResponse, type NodeKind } from "./quota-codec.js";
import type { RateLimiter } from "./rate-limiter.js";

/** Dependencies of {@link RateLeaseRenewer}. */
export interface RateLeaseRenewerOptions {
  readonly clock: Clock;
  readonly limiter: RateLimiter;
  readonly incarnation: string;
  readonly role: NodeKind;
  readonly request: (message: Message, waitUs: number) => Promise<Message | undefined>;
  /** Whether this process currently needs a share. */
  readonly isNeeded: () => boolean;
}

const RENEWAL_INTERVAL_US = 600 * MILLISECOND_US;
const TIMEOUT_US = 500 * MILLISECOND_US;

/** Periodically renews this process's share of the rates. A lease expires unless it is renewed. */
export class RateLeaseRenewer {
  private timer: Timer | undefined;

  constructor(private readonly options: RateLeaseRenewerOptions) {}

  /** Starts the periodic renewal. */
  readonly start = (): void => {
    this.timer = this.options.clock.every(RENEWAL_INTERVAL_US, () => void this.renew());
  };

  readonly stop = (): void => this.timer?.stop();

  /**
   * The duration of a lease counts from before the request is sent, so that the lease expires here
   * no later than at the allocator.
   */
  private readonly renew = async (): Promise<void> => {
    const { clock, limiter, incarnation, role, request, isNeeded } = this.options;
    if (!isNeeded()) return;
    const requestedUs = clock.nowUs();
    const response = readRateResponse(
      await request(packRateRequest(incarnation, role, limiter.share), TIMEOUT_US),
    );
    if (response)
      limiter.applyLease({
        share: response.share,
        expiresAtUs: requestedUs + response.durationUs,
      });
  };
}
