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
 * Opens the retry budgets of one node. Updates bring the configured limits, and leases grant the
 * slack.
 */
export const openRetryBudgets = (
  settings: Settings,
  clock: Clock,
  updates: UpdateStore,
  subscriber: UpdateSubscriber,
  incarnation: string,
): RetryBudgets => {
  let limits = defaultLimits(retryMaximumOf(settings));
  updates.events.on("changed", (changed) => {
    const limitsUpdate = changed.find(({ key }) => key === RETRIES_KEY);
    if (limitsUpdate) limits = readRetryLimits(limitsUpdate.body);
  });
  const retryBudgets = new RetryBudgets({
    clock,
    log: loggerFor("retries"),
    windowUs: settings.retryWindowUs,
    limits: () => limits,
  });
  const leaseRenewer = new RetryLeaseRenewer(clock, retryBudgets, incarnation, subscriber.request);
  leaseRenewer.start();
  return retryBudgets;
};
