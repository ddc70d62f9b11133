import { RETRIES_KEY, type UpdateStore } from "../../membership/update-store.js";
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";
import { RetryBudgets } from "../../proxy/retry-budget.js";
import { RetryLeaseRenewer } from "../../quota/retry-lease-renewer.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import { defaultLimits, readRetryLimits, type RetryMaximum } from "../../quota/retry-limits.js";
import type { Settings } from "../../common/settings.js";

/** The highest retry limits that the settings allow; the window is in microseconds. */
export const retryMaximumOf = (settings: Settings): RetryMaximum => ({
  ratio: settings.retryRatio,
  slack: settings.retrySlack,
  windowUs: settings.retryWindowUs,
});

/**
 * The retry budgets of one node, kept to the written limit by the news and to the slack by leases.
 */
export const openRetryBudgets = (
  settings: Settings,
  clock: Clock,
  updates: UpdateStore,
  subscriber: UpdateSubscriber,
  life: string,
): RetryBudgets => {
  let limits = defaultLimits(retryMaximumOf(settings));
  updates.events.on("changed", (facts) => {
    const written = facts.find(({ key }) => key === RETRIES_KEY);
    if (written) limits = readRetryLimits(written.body);
  });
  const retryBudgets = new RetryBudgets({
    clock,
    log: loggerFor("retries"),
    windowUs: settings.retryWindowUs,
    limits: () => limits,
  });
  const keeper = new RetryLeaseRenewer(clock, retryBudgets, life, subscriber.request);
  keeper.start();
  return retryBudgets;
};
