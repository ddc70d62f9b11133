/**
 * Applies purges received as updates to the cached objects of the gateway and the cache program.
 */
import type { CachedObjects } from "../cache/cached-objects.js";
import type { Freshness } from "../cache/freshness.js";
import { PURGE_PREFIX, type Update, type UpdateStore } from "../membership/update-store.js";
import type { UpdateSubscriber } from "../membership/update-subscriber.js";
import type { Clock, Timer } from "../common/clock.js";
import { readString } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";

/** Dependencies of {@link subscribeToPurges}. */
export interface PurgeSubscriberOptions {
  readonly clock: Clock;
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly freshness: Freshness;
  readonly cachedObjects: CachedObjects;
  /**
   * Called once for each batch of updates that purged something. Detaches the fetches in flight, so
   * that they serve no later requests.
   */
  readonly detachInFlight: () => void;
}

/**
 * If the updates are older than this, a purge may have been issued and expired unnoticed, so all
 * cached objects are dropped.
 */
const MAX_UPDATE_AGE_US = 20 * SECOND_US;

const isPurge = ({ key }: Update): boolean => key.startsWith(PURGE_PREFIX);

/**
 * Removes purged objects as soon as an update names them.
 *
 * @returns the timer that drops all cached objects once the updates are too old. The caller stops
 *   it.
 */
export const subscribeToPurges = ({
  clock,
  updates,
  subscriber,
  freshness,
  cachedObjects,
  detachInFlight,
}: PurgeSubscriberOptions): Timer => {
  const apply = ({ key, body }: Update): boolean =>
    cachedObjects.purge({
      id: key,
      host: readString(body, "host"),
      path: readString(body, "path"),
      label: readString(body, "label"),
    });
  updates.events.on("changed", (changed) => {
    const applied = changed.filter(isPurge).filter(apply);
    if (applied.length > 0) detachInFlight();
  });
  updates.events.on("forgotten", (keys) =>
    keys.filter((key) => key.startsWith(PURGE_PREFIX)).forEach(cachedObjects.forgetPurge),
  );
  subscriber.events.on("freshness", freshness.confirm);
  return clock.every(SECOND_US, () => {
    if (freshness.ageUs() > MAX_UPDATE_AGE_US) cachedObjects.clear();
  });
};
