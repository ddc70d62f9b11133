import { Copies, keyOf } from "../goods/copies.js";
import { copyIn, Counter, packWant } from "../goods/counter.js";
import { Depots, distanceFrom } from "../goods/depots.js";
import { Freshness } from "../goods/freshness.js";
import { Goods } from "../goods/goods.js";
import { Origin } from "../goods/origin.js";
import { RateKeeper } from "../goods/rate-keeper.js";
import { RateShare } from "../goods/rate.js";
import { Store, type Found } from "../goods/store.js";
import type { Board } from "../signalling/board.js";
import type { Taker } from "../signalling/taker.js";
import { Chooser } from "../traction/choose.js";
import { KeyDesk } from "../traction/key-desk.js";
import type { RetryBudgets } from "../traction/retry-budget.js";
import type { RouteTable } from "../traction/routes.js";
import type { Yard } from "../traction/yard.js";
import type { Clock } from "../trackbed/clock.js";
import { logFor } from "../trackbed/log.js";
import type { Receiver } from "../signalling/switchboard.js";
import type { Settings } from "../trackbed/settings.js";
import { followPurges } from "./purges.js";

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
