import { FaultCounts } from "../inspection/counts.js";
import { Copies } from "../goods/copies.js";
import { Counter } from "../goods/counter.js";
import { Freshness } from "../goods/freshness.js";
import { Origin } from "../goods/origin.js";
import { RateKeeper } from "../goods/rate-keeper.js";
import { RateShare } from "../goods/rate.js";
import { Store } from "../goods/store.js";
import type { Member } from "./member.js";
import { joinNews } from "./member.js";
import { Allowance } from "../traction/allowance.js";
import { Chooser } from "../traction/choose.js";
import { RouteTable } from "../traction/routes.js";
import { Yard } from "../traction/yard.js";
import type { Clock } from "../trackbed/clock.js";
import { logFor } from "../trackbed/log.js";
import type { Settings } from "../trackbed/settings.js";
import { SECOND } from "../trackbed/span.js";
import type { Message, Wire } from "../trackbed/wire.js";
import { followPurges } from "./purges.js";
import type { Running } from "./running.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 512;
/** The copies take at most this part of the memory. */
const COPIES_PART = 0.35;
const MOST_OBJECT_BYTES = 16 * MB;
const REPORT_US = 2 * SECOND;

/** Puts the shared cache together on one machine. */
export const runDepot = async (settings: Settings, clock: Clock): Promise<Running> => {
  const log = logFor("depot");
  const serve = (wire: Wire, hello: Message, incoming: AsyncIterable<Message>): Promise<void> => counter.serve(wire, hello, incoming);
  const { board, taker, relay }: Member = joinNews(settings, clock, "depot", { goods: serve });
  const table = new RouteTable();
  const yard = new Yard(clock);
  const life = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const counts = new FaultCounts(life);
  const allowances = new Map<string, Allowance>();
  let crew = { depots: 1, here: 1, pointsmen: 1 };

  const allowanceOf = (service: string): Allowance => {
    const known = allowances.get(service);
    if (known) return known;
    const fresh = new Allowance(clock, { ratio: settings.retryRatio, windowUs: settings.retryWindowUs, slack: settings.retrySlack });
    fresh.setCrew(crew.pointsmen + crew.depots);
    allowances.set(service, fresh);
    return fresh;
  };
  const rate = new RateShare(clock, (service) => table.service(service)?.ratePerS ?? 0);
  const freshness = new Freshness({ clock, purgeUs: settings.purgeUs, stretchUs: settings.stretchUs, isFed: () => taker.isFed });
  const copies = new Copies(clock, (settings.memoryMb || DEFAULT_MEMORY_MB) * MB * COPIES_PART);
  const chooser = new Chooser({
    yard,
    cell: settings.cell,
    random: Math.random,
    connectionShare: (service) => Math.max(1, Math.floor((table.service(service)?.maxConnections ?? 16) / (2 * crew.depots))),
    otherNodes: () => ({ here: crew.here - 1, everywhere: crew.depots - 1 }),
  });
  const origin = new Origin({ clock, yard, chooser, rate, allowanceOf, countFault: counts.count, mostBytes: MOST_OBJECT_BYTES });
  const store = new Store({ clock, copies, isFresh: freshness.isFresh, slackUs: settings.staleSlackUs / 2, source: origin.fetch });
  const counter = new Counter({ clock, store, rate, log });

  board.events.on("changed", (facts) => {
    table.take(facts);
    yard.take(facts);
  });
  board.events.on("forgotten", (keys) => {
    yard.forget(keys);
    keys.forEach((key) => counts.forget(key));
  });
  const follow = followPurges({ clock, board, taker, freshness, copies, detach: store.detach });
  taker.events.on("crew", (told) => {
    const depots = told.depots ?? [];
    crew = { depots: Math.max(1, depots.length), here: Math.max(1, depots.filter(({ cell }) => cell === settings.cell).length), pointsmen: told.pointsmen };
    allowances.forEach((allowance) => allowance.setCrew(crew.pointsmen + crew.depots));
  });
  const keeper = new RateKeeper({ clock, rate, life, who: "depot", ask: taker.ask, wants: () => true });
  await relay.listen(settings.ip, settings.relayPort);
  void taker.run();
  keeper.start();
  const report = clock.every(REPORT_US, () => {
    const message = counts.takeReport();
    if (message) taker.report(message);
    taker.report({
      kind: "goods",
      counts: { ...store.counts, copies: copies.size, bytes: copies.bytes, droppedByPurges: copies.dropped, fetches: origin.fetches, checks: origin.checks, refusedForRate: origin.noRate, share: rate.share },
    });
    yard.trim();
  });
  log.info(`Up at ${settings.ip}:${settings.relayPort}.`);
  return {
    stop: async () => {
      log.info("Leaving.");
      report.stop();
      follow.stop();
      keeper.stop();
      taker.stop();
      relay.close();
    },
  };
};
