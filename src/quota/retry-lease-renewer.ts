import type { Clock } from "../common/clock.js";
import { toRouteKind } from "./retry-limits.js";
import { asList, readList, asNumber, asString } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import type { RetryBudgets } from "../proxy/retry-budget.js";

const SOON_US = 30 * MILLISECOND_US;
const GAP_US = 700 * MILLISECOND_US;
const WAIT_US = 500 * MILLISECOND_US;

/** Asks for leases of the slack while some budget is short of retries; while none is, nothing runs and nothing is sent. */
export class RetryLeaseRenewer {
  private isDue = false;

  constructor(
    private readonly clock: Clock,
    private readonly retryBudgets: RetryBudgets,
    private readonly life: string,
    private readonly ask: (message: Message, waitUs: number) => Promise<Message | undefined>,
  ) {}

  readonly start = (): void => {
    this.retryBudgets.onShort = () => this.schedule(SOON_US);
  };

  private readonly schedule = (waitUs: number): void => {
    if (this.isDue) return;
    this.isDue = true;
    this.clock.after(waitUs, () => void this.renew());
  };

  /** A lease's end is counted from before the asking, so that it comes here no later than at the giver. */
  private readonly renew = async (): Promise<void> => {
    const wants = this.retryBudgets.takeWants();
    const askedUs = this.clock.nowUs();
    const reply =
      wants.length === 0
        ? undefined
        : await this.ask({ kind: "retry-ask", life: this.life, wants }, WAIT_US);
    const lastsUs = reply?.["lastsUs"];
    if (reply && typeof lastsUs === "number") {
      readList(reply, "rows", (value) => {
        const [service, kind, tokens] = asList(value, "row");
        this.retryBudgets
          .of(asString(service), toRouteKind(asString(kind)))
          .take({ tokens: asNumber(tokens), endUs: askedUs + lastsUs });
      });
    }
    this.isDue = false;
    if (wants.length > 0) this.schedule(GAP_US);
  };
}
