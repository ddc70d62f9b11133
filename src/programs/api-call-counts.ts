/** Counts the calls of a program's own API, so that calls without a route are noticed. */
import type { OutcomeName } from "../common/http-outcomes.js";
import { loggerFor } from "../common/logger.js";
import type { LabelledValue } from "./metrics-server.js";

const UNKNOWN_ROUTE = "unknown";

/** Counts of calls by route and outcome since the start of the process. */
export class ApiCallCounts {
  /** By route, then by outcome. */
  private readonly counts = new Map<string, Map<OutcomeName, number>>();

  /** Counts a call that its route has answered; `path` is the pattern of the route. */
  readonly record = (path: string, outcome: OutcomeName): void => {
    this.increment(path, outcome);
  };

  /**
   * Counts a call for which there is no route. Of repeated ones only the 1st, 2nd, 4th, 8th and so
   * on are logged.
   */
  readonly recordUnknown = (method: string, path: string): void => {
    const count = this.increment(UNKNOWN_ROUTE, "unknownCall");
    if (Number.isInteger(Math.log2(count)))
      loggerFor("api").warn("call has no route", { method, path, calls: count });
  };

  /** The counts as values of a metric. */
  readonly values = (): readonly LabelledValue[] =>
    [...this.counts].flatMap(([route, outcomes]) =>
      [...outcomes].map(([outcome, value]) => ({ labels: { route, outcome }, value })),
    );

  private readonly increment = (route: string, outcome: OutcomeName): number => {
    const outcomes = this.counts.get(route) ?? new Map<OutcomeName, number>();
    this.counts.set(route, outcomes);
    const count = (outcomes.get(outcome) ?? 0) + 1;
    outcomes.set(outcome, count);
    return count;
  };
}
