import type { Clock } from "../common/clock.js";
import { kindOf } from "./retry-limits.js";
import { asList, list, numberOf, textOf } from "../common/decode.js";
import { MS } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import type { RetryBudgets } from "../proxy/retry-budget.js";

const SOON_US = 30 * MS;
const GAP_US = 700 * MS;
const WAIT_US = 500 * MS;

/** Asks for leases of the slack while some budget is short of retries; while none is, nothing runs and nothing is sent. */
export class RetryKeeper {
  private isDue = false;

  constructor(
    private readonly clock: Clock,
    private readonly budgets: RetryBudgets,
    private readonly life: string,
    private readonly ask: (message: Message, waitUs: number) => Promise<Message | undefined>,
  ) {}

  readonly start = (): void => {
    this.budgets.onShort = () => this.schedule(SOON_US);
  };

  private readonly schedule = (waitUs: number): void => {
    if (this.isDue) return;
    this.isDue = true;
    this.clock.after(waitUs, () => void this.renew());
  };

  /** A lease's end is counted from before the asking, so that it comes here no later than at the giver. */
  private readonly renew = async (): Promise<void> => {
    const wants = this.budgets.takeWants();
    const askedUs = this.clock.nowUs();
    const reply =
      wants.length === 0
        ? undefined
        : await this.ask({ kind: "retry-ask", life: this.life, wants }, WAIT_US);
    const lastsUs = reply?.["lastsUs"];
    if (reply && typeof lastsUs === "number") {
      list(reply, "rows", (value) => {
        const [service, kind, tokens] = asList(value, "row");
        this.budgets
          .of(textOf(service), kindOf(textOf(kind)))
          .take({ tokens: numberOf(tokens), endUs: askedUs + lastsUs });
      });
    }
    this.isDue = false;
    if (wants.length > 0) this.schedule(GAP_US);
  };
}
