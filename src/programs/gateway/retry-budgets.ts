import { RETRIES_KEY, type Board } from "../../membership/update-store.js";
import type { Taker } from "../../membership/update-subscriber.js";
import { RetryBudgets } from "../../proxy/retry-budget.js";
import { RetryKeeper } from "../../quota/retry-lease-renewer.js";
import type { Clock } from "../../common/clock.js";
import { logFor } from "../../common/logger.js";
import { defaultLimits, readRetryLimits, type RetryCeiling } from "../../quota/retry-limits.js";
import type { Settings } from "../../common/settings.js";

export const ceilingOf = (settings: Settings): RetryCeiling => ({
  ratio: settings.retryRatio,
  slack: settings.retrySlack,
  windowUs: settings.retryWindowUs,
});

/** The retry budgets of one node, kept to the written limit by the news and to the slack by leases. */
export const openRetryBudgets = (
  settings: Settings,
  clock: Clock,
  board: Board,
  taker: Taker,
  life: string,
): RetryBudgets => {
  let limits = defaultLimits(ceilingOf(settings));
  board.events.on("changed", (facts) => {
    const written = facts.find(({ key }) => key === RETRIES_KEY);
    if (written) limits = readRetryLimits(written.body);
  });
  const budgets = new RetryBudgets({
    clock,
    log: logFor("retries"),
    windowUs: settings.retryWindowUs,
    limits: () => limits,
  });
  const keeper = new RetryKeeper(clock, budgets, life, taker.ask);
  keeper.start();
  return budgets;
};
