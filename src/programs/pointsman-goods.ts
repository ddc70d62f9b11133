import { Depots } from "../goods/depots.js";
import { Freshness } from "../goods/freshness.js";
import { Goods } from "../goods/goods.js";
import { Origin } from "../goods/origin.js";
import { RateKeeper } from "../goods/rate-keeper.js";
import { RateShare } from "../goods/rate.js";
import type { Board } from "../signalling/board.js";
import type { Taker } from "../signalling/taker.js";
import type { Allowance } from "../traction/allowance.js";
import { Chooser, type ChooserOptions } from "../traction/choose.js";
import { KeyDesk } from "../traction/key-desk.js";
import type { RouteTable } from "../traction/routes.js";
import type { Yard } from "../traction/yard.js";
import type { Clock } from "../trackbed/clock.js";
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
  readonly allowanceOf: (service: string) => Allowance;
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
  readonly otherNodes: ChooserOptions["otherNodes"];
}

export interface PointsmanGoods {
  readonly goods: Goods;
  readonly desk: KeyDesk;
  readonly stop: () => void;
}

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** The own copies take at most this part of the memory. */
const COPIES_PART = 24;
const MOST_OBJECT_BYTES = 4 * MB;

/** What a pointsman of a content deployment has besides. */
export const openPointsmanGoods = (options: PointsmanGoodsOptions): PointsmanGoods => {
  const { settings, clock, board, taker, table, yard, life, allowanceOf, connectionShare, countFault, otherNodes } = options;
  const depots = new Depots(clock);
  const rate = new RateShare(clock, (service) => table.service(service)?.ratePerS ?? 0);
  const freshness = new Freshness({ clock, purgeUs: settings.purgeUs, stretchUs: settings.stretchUs, isFed: () => taker.isFed });
  const chooser = new Chooser({ yard, cell: settings.cell, random: Math.random, connectionShare, otherNodes });
  const origin = new Origin({ clock, yard, chooser, rate, allowanceOf, countFault, mostBytes: MOST_OBJECT_BYTES });
  const goods = new Goods({
    clock,
    roomBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / COPIES_PART,
    depots,
    origin,
    rate,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
  });
  const follow = followPurges({ clock, board, taker, freshness, copies: goods.copies, detach: goods.detach });
  taker.events.on("crew", (crew) => depots.learn(crew.depots ?? []));
  const keeper = new RateKeeper({ clock, rate, life, who: "pointsman", ask: taker.ask, wants: () => !depots.anyStands });
  keeper.start();
  return {
    goods,
    desk: new KeyDesk(clock, taker.ask, taker.report),
    stop: () => {
      keeper.stop();
      follow.stop();
      depots.stop();
    },
  };
};
