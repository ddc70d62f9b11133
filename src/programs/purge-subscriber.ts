import type { CachedObjects } from "../cache/cached-objects.js";
import type { Freshness } from "../cache/freshness.js";
import { PURGE_PREFIX, type UpdateStore } from "../membership/update-store.js";
import type { UpdateSubscriber } from "../membership/update-subscriber.js";
import type { Clock, Timer } from "../common/clock.js";
import { readString } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";

export interface PurgeFollowing {
  readonly clock: Clock;
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly freshness: Freshness;
  readonly copies: CachedObjects;
  readonly detach: () => void;
}

/** Beyond this age of the news a purge might have come and been forgotten again, so nothing kept is trusted any more. */
const LAPSE_US = 20 * SECOND_US;

/** Ends what a purge names as soon as the news brings it. */
export const followPurges = ({
  clock,
  updates,
  subscriber,
  freshness,
  copies,
  detach,
}: PurgeFollowing): Timer => {
  updates.events.on("changed", (facts) => {
    const news = facts.filter((fact) => fact.key.startsWith(PURGE_PREFIX));
    const fresh = news.filter((fact) =>
      copies.purge({
        id: fact.key,
        host: readString(fact.body, "host"),
        path: readString(fact.body, "path"),
        label: readString(fact.body, "label"),
      }),
    );
    if (fresh.length > 0) detach();
  });
  updates.events.on("forgotten", (keys) =>
    keys.filter((key) => key.startsWith(PURGE_PREFIX)).forEach(copies.forget),
  );
  subscriber.events.on("fresh", freshness.hear);
  return clock.every(SECOND_US, () => {
    if (freshness.ageUs() > LAPSE_US) copies.clear();
  });
};
