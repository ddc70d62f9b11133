import type { Clock, Timer } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import type { RateLimiter } from "./rate-limiter.js";

export interface RateLeaseRenewerOptions {
  readonly clock: Clock;
  readonly limiter: RateLimiter;
  readonly incarnation: string;
  readonly role: "depot" | "pointsman";
  readonly request: (message: Message, waitUs: number) => Promise<Message | undefined>;
  /** Whether a share is of any use here now. */
  readonly isNeeded: () => boolean;
}

const GAP_US = 600 * MILLISECOND_US;
const WAIT_US = 500 * MILLISECOND_US;

/** Renews this process's share of the rates; what isn't renewed ends by itself. */
export class RateLeaseRenewer {
  private pulse: Timer | undefined;

  constructor(private readonly options: RateLeaseRenewerOptions) {}

  readonly start = (): void => {
    this.pulse = this.options.clock.every(GAP_US, () => void this.renew());
  };

  readonly stop = (): void => this.pulse?.stop();

  /** The end is counted from before the asking, so it comes here no later than at the giver. */
  private readonly renew = async (): Promise<void> => {
    const { clock, limiter, incarnation, role, request, isNeeded } = this.options;
    if (!isNeeded()) return;
    const askedUs = clock.nowUs();
    const reply = await request(
      { kind: "rate-ask", life: incarnation, who: role, held: limiter.share },
      WAIT_US,
    );
    const share = reply?.["share"];
    const lastsUs = reply?.["lastsUs"];
    if (typeof share === "number" && typeof lastsUs === "number")
      limiter.applyLease({ share, expiresAtUs: askedUs + lastsUs });
  };
}
