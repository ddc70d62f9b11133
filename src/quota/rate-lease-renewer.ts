import type { Clock, Pulse } from "../common/clock.js";
import { MS } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import type { RateShare } from "./rate-limiter.js";

export interface RateKeeperOptions {
  readonly clock: Clock;
  readonly rate: RateShare;
  readonly life: string;
  readonly who: "depot" | "pointsman";
  readonly ask: (message: Message, waitUs: number) => Promise<Message | undefined>;
  /** Whether a share is of any use here now. */
  readonly wants: () => boolean;
}

const GAP_US = 600 * MS;
const WAIT_US = 500 * MS;

/** Renews this process's share of the rates; what isn't renewed ends by itself. */
export class RateKeeper {
  private pulse: Pulse | undefined;

  constructor(private readonly options: RateKeeperOptions) {}

  readonly start = (): void => {
    this.pulse = this.options.clock.every(GAP_US, () => void this.renew());
  };

  readonly stop = (): void => this.pulse?.stop();

  /** The end is counted from before the asking, so it comes here no later than at the giver. */
  private readonly renew = async (): Promise<void> => {
    const { clock, rate, life, who, ask, wants } = this.options;
    if (!wants()) return;
    const askedUs = clock.nowUs();
    const reply = await ask({ kind: "rate-ask", life, who, held: rate.share }, WAIT_US);
    const share = reply?.["share"];
    const lastsUs = reply?.["lastsUs"];
    if (typeof share === "number" && typeof lastsUs === "number")
      rate.take({ share, endUs: askedUs + lastsUs });
  };
}
