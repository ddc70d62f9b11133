import type { Copies } from "../cache/cached-objects.js";
import type { Freshness } from "../cache/freshness.js";
import { PURGE_PREFIX, type Board } from "../membership/update-store.js";
import type { Taker } from "../membership/update-subscriber.js";
import type { Clock, Pulse } from "../common/clock.js";
import { text } from "../common/decode.js";
import { SECOND } from "../common/duration.js";

export interface PurgeFollowing {
  readonly clock: Clock;
  readonly board: Board;
  readonly taker: Taker;
  readonly freshness: Freshness;
  readonly copies: Copies;
  readonly detach: () => void;
}

/** Beyond this age of the news a purge might have come and been forgotten again, so nothing kept is trusted any more. */
const LAPSE_US = 20 * SECOND;

/** Ends what a purge names as soon as the news brings it. */
export const followPurges = ({
  clock,
  board,
  taker,
  freshness,
  copies,
  detach,
}: PurgeFollowing): Pulse => {
  board.events.on("changed", (facts) => {
    const news = facts.filter((fact) => fact.key.startsWith(PURGE_PREFIX));
    const fresh = news.filter((fact) =>
      copies.purge({
        id: fact.key,
        host: text(fact.body, "host"),
        path: text(fact.body, "path"),
        label: text(fact.body, "label"),
      }),
    );
    if (fresh.length > 0) detach();
  });
  board.events.on("forgotten", (keys) =>
    keys.filter((key) => key.startsWith(PURGE_PREFIX)).forEach(copies.forget),
  );
  taker.events.on("fresh", freshness.hear);
  return clock.every(SECOND, () => {
    if (freshness.ageUs() > LAPSE_US) copies.clear();
  });
};
