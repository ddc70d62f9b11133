/**
 * Keeps cached objects in step with the purges that updates bring, in the gateway and in the cache
 * program.
 */
import type { CachedObjects } from "../cache/cached-objects.js";
import type { Freshness } from "../cache/freshness.js";
import { PURGE_PREFIX, type Update, type UpdateStore } from "../membership/update-store.js";
import type { UpdateSubscriber } from "../membership/update-subscriber.js";
import type { Clock, Timer } from "../common/clock.js";
import { readString } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";

/** What {@link subscribeToPurges} works on. */
export interface PurgeSubscriberOptions {
  readonly clock: Clock;
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly freshness: Freshness;
  readonly copies: CachedObjects;
  /**
   * Called once for each batch of updates that purged something: ends what is being fetched of it.
   */
  readonly detach: () => void;
}

/**
 * Beyond this age of the updates a purge might have come and been forgotten again, so no cached
 * object is trusted.
 */
const MAX_UPDATE_AGE_US = 20 * SECOND_US;

const isPurge = ({ key }: Update): boolean => key.startsWith(PURGE_PREFIX);

/**
 * Removes what a purge names as soon as an update brings it.
 *
 * @returns the timer that drops every cached object once the updates are too old; the caller stops
 *   it
 */
export const subscribeToPurges = ({
  clock,
  updates,
  subscriber,
  freshness,
  copies,
  detach,
}: PurgeSubscriberOptions): Timer => {
  const apply = ({ key, body }: Update): boolean =>
    copies.purge({
      id: key,
      host: readString(body, "host"),
      path: readString(body, "path"),
      label: readString(body, "label"),
    });
  updates.events.on("changed", (changed) => {
    const applied = changed.filter(isPurge).filter(apply);
    if (applied.length > 0) detach();
  });
  updates.events.on("forgotten", (keys) =>
    keys.filter((key) => key.startsWith(PURGE_PREFIX)).forEach(copies.forgetPurge),
  );
  subscriber.events.on("freshness", freshness.confirm);
  return clock.every(SECOND_US, () => {
    if (freshness.ageUs() > MAX_UPDATE_AGE_US) copies.clear();
  });
};
