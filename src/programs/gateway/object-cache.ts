import { Copies, keyOf } from "../../cache/cached-objects.js";
import { copyIn, Counter, packWant } from "../../cache/object-server.js";
import { Depots, distanceFrom } from "../../cache/peer-caches.js";
import { Freshness } from "../../cache/freshness.js";
import { Goods } from "../../cache/object-client.js";
import { Origin } from "../../cache/origin-fetch.js";
import { RateKeeper } from "../../quota/rate-lease-renewer.js";
import { RateShare } from "../../quota/rate-limiter.js";
import { Store, type Found } from "../../cache/object-store.js";
import type { Board } from "../../membership/update-store.js";
import type { Taker } from "../../membership/update-subscriber.js";
import { Chooser } from "../../proxy/load-balancer.js";
import { KeyDesk } from "../../idempotency/key-client.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { RouteTable } from "../../proxy/route-table.js";
import type { Yard } from "../../proxy/connection-pool.js";
import type { Clock } from "../../common/clock.js";
import { logFor } from "../../common/logger.js";
import type { Receiver } from "../../transport/listener.js";
import type { Settings } from "../../common/settings.js";
import { followPurges } from "../purge-subscriber.js";

export interface PointsmanGoodsOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly board: Board;
  readonly taker: Taker;
  readonly table: RouteTable;
  readonly yard: Yard;
  readonly life: string;
  readonly budgets: RetryBudgets;
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
}

export interface PointsmanGoods {
  readonly goods: Goods;
  readonly desk: KeyDesk;
  /** Serves those who ask this node for objects. */
  readonly receiver: Receiver;
  readonly stop: () => void;
}

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** The own copies take at most this part of the memory. */
const COPIES_PART = 24;
/** And those of a hall this part. */
const HALL_PART = 4;
const MOST_OBJECT_BYTES = 4 * MB;

/** What a pointsman of a content deployment has besides. */
export const openPointsmanGoods = (options: PointsmanGoodsOptions): PointsmanGoods => {
  const { settings, clock, board, taker, table, yard, life, budgets, connectionShare, countFault } =
    options;
  const distance = distanceFrom(settings.cell, settings.regions);
  const depots = new Depots(clock, distance);
  const halls = new Depots(clock);
  const rate = new RateShare(clock, (service) => table.service(service)?.ratePerS ?? 0);
  const freshness = new Freshness({
    clock,
    purgeUs: settings.purgeUs,
    stretchUs: settings.stretchUs,
    isFed: () => taker.isFed,
  });
  const chooser = new Chooser({ yard, cell: settings.cell, random: Math.random, connectionShare });
  const origin = new Origin({
    clock,
    yard,
    chooser,
    rate,
    budgets,
    countFault,
    mostBytes: MOST_OBJECT_BYTES,
  });
  const goods = new Goods({
    clock,
    roomBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / COPIES_PART,
    depots,
    halls,
    origin,
    rate,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
  });
  const follow = followPurges({
    clock,
    board,
    taker,
    freshness,
    copies: goods.copies,
    detach: goods.detach,
  });

  /** What this node gives out if it is its cell's hall: copies of large objects, kept new without their bodies travelling. */
  const copies = new Copies(clock, ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / HALL_PART);
  const store = new Store({
    clock,
    copies,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
    source: async (want, old): Promise<Found> => {
      const askedUs = clock.nowUs();
      const reply = await depots.ask(
        keyOf(want),
        packWant(want, askedUs, undefined, old),
        want.untilUs - askedUs,
      );
      const copy = reply && copyIn(reply, want, old, askedUs);
      return copy
        ? { kind: "found", copy }
        : {
            kind: "none",
            why: reply?.["none"] === "rate" ? "rate" : "full",
            comeBackUs: want.aimUs / 4,
          };
    },
  });
  const followToo = followPurges({ clock, board, taker, freshness, copies, detach: store.detach });
  const counter = new Counter({ clock, store, rate, log: logFor("hall") });
  const here = `${settings.ip}:${settings.relayPort}`;
  taker.events.on("crew", (crew) => {
    depots.learn(crew.depots ?? []);
    const ofCell = (crew.halls ?? []).filter(
      ({ cell, address }) => cell === settings.cell && address !== here,
    );
    halls.learn((crew.depots ?? []).some(({ cell }) => cell === settings.cell) ? [] : ofCell);
  });
  const keeper = new RateKeeper({
    clock,
    rate,
    life,
    who: "pointsman",
    ask: taker.ask,
    wants: () => !depots.anyStands,
  });
  keeper.start();
  return {
    goods,
    desk: new KeyDesk(clock, taker.ask, taker.report),
    receiver: counter.serve,
    stop: () => {
      keeper.stop();
      follow.stop();
      followToo.stop();
      halls.stop();
      depots.stop();
    },
  };
};
