import { FaultCounts } from "../../health/fault-counters.js";
import { Copies, keyOf, type Copy } from "../../cache/cached-objects.js";
import { copyIn, Counter, packWant } from "../../cache/object-server.js";
import { Depots, ownerOf } from "../../cache/peer-caches.js";
import { Freshness } from "../../cache/freshness.js";
import { Origin } from "../../cache/origin-fetch.js";
import { RateKeeper } from "../../quota/rate-lease-renewer.js";
import { RateShare } from "../../quota/rate-limiter.js";
import { Store, type Found, type Want } from "../../cache/object-store.js";
import type { Member } from "../data-plane-node.js";
import { joinNews } from "../data-plane-node.js";
import { Chooser } from "../../proxy/load-balancer.js";
import { RouteTable } from "../../proxy/route-table.js";
import { Yard } from "../../proxy/connection-pool.js";
import type { Clock } from "../../common/clock.js";
import { logFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { SECOND } from "../../common/duration.js";
import type { Message, Wire } from "../../transport/connection.js";
import { followPurges } from "../purge-subscriber.js";
import { openRetryBudgets } from "../gateway/retry-budgets.js";
import type { Running } from "../running-program.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 512;
/** The copies take at most this part of the memory. */
const COPIES_PART = 0.35;
/** For how long another depot is waited for, before the origin is read instead. */
const OWNER_WAIT_US = SECOND;
const MOST_OBJECT_BYTES = 16 * MB;
const REPORT_US = 2 * SECOND;

/** Puts the shared cache together on one machine. */
export const runDepot = async (settings: Settings, clock: Clock): Promise<Running> => {
  const log = logFor("depot");
  const serve = (wire: Wire, hello: Message, incoming: AsyncIterable<Message>): Promise<void> =>
    counter.serve(wire, hello, incoming);
  const { board, taker, relay }: Member = joinNews(
    settings,
    clock,
    "depot",
    { goods: serve },
    (question) =>
      question.kind === "retries" ? { kind: "retries", rows: budgets.tell() } : undefined,
  );
  const table = new RouteTable();
  const yard = new Yard(clock, settings.name, settings.cell);
  const life = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const counts = new FaultCounts(life);
  let crew = { depots: 1, here: 1 };

  const budgets = openRetryBudgets(settings, clock, board, taker, life);
  const rate = new RateShare(clock, (service) => table.service(service)?.ratePerS ?? 0);
  const freshness = new Freshness({
    clock,
    purgeUs: settings.purgeUs,
    stretchUs: settings.stretchUs,
    isFed: () => taker.isFed,
  });
  const copies = new Copies(clock, (settings.memoryMb || DEFAULT_MEMORY_MB) * MB * COPIES_PART);
  const chooser = new Chooser({
    yard,
    cell: settings.cell,
    random: Math.random,
    connectionShare: (service) =>
      Math.max(1, Math.floor((table.service(service)?.maxConnections ?? 16) / (2 * crew.depots))),
  });
  const origin = new Origin({
    clock,
    yard,
    chooser,
    rate,
    budgets,
    countFault: counts.count,
    mostBytes: MOST_OBJECT_BYTES,
  });
  const here = `${settings.ip}:${settings.relayPort}`;
  const others = new Depots(clock);
  let addresses: readonly string[] = [here];
  const ownStore = new Store({
    clock,
    copies,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
    source: origin.fetch,
  });
  /** The object's owner among all depots reads the origin; another asks it, and sends the body over only once a version. */
  const fetch = async (want: Want, old: Copy | undefined): Promise<Found> => {
    const owner = ownerOf(keyOf(want), addresses);
    const askedUs = clock.nowUs();
    const isOwn = owner === undefined || owner === here;
    const reply = isOwn
      ? undefined
      : await others.askOne(
          owner,
          packWant(want, askedUs, undefined, old, true),
          Math.min(OWNER_WAIT_US, want.untilUs - askedUs),
        );
    if (!reply) return ownStore.get(want);
    const copy = copyIn(reply, want, old, askedUs);
    return copy
      ? { kind: "found", copy }
      : {
          kind: "none",
          why: reply["none"] === "rate" ? "rate" : "full",
          comeBackUs: want.aimUs / 4,
        };
  };
  const store = new Store({
    clock,
    copies,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
    source: fetch,
  });
  const counter = new Counter({ clock, store, ownStore, rate, log });

  board.events.on("changed", (facts) => {
    table.take(facts);
    yard.take(facts);
  });
  board.events.on("forgotten", (keys) => {
    yard.forget(keys);
    keys.forEach((key) => counts.forget(key));
  });
  const follow = followPurges({
    clock,
    board,
    taker,
    freshness,
    copies,
    detach: () => {
      store.detach();
      ownStore.detach();
    },
  });
  taker.events.on("crew", (told) => {
    const depots = told.depots ?? [];
    addresses = [
      here,
      ...depots.map(({ address }) => address).filter((address) => address !== here),
    ];
    others.learn(depots.filter(({ address }) => address !== here));
    crew = {
      depots: Math.max(1, depots.length),
      here: Math.max(1, depots.filter(({ cell }) => cell === settings.cell).length),
    };
    yard.setNodes({ here: crew.here, everywhere: crew.depots });
  });
  const keeper = new RateKeeper({
    clock,
    rate,
    life,
    who: "depot",
    ask: taker.ask,
    wants: () => true,
  });
  await relay.listen(settings.ip, settings.relayPort);
  void taker.run();
  keeper.start();
  const report = clock.every(REPORT_US, () => {
    const message = counts.takeReport();
    if (message) taker.report(message);
    taker.report({
      kind: "goods",
      counts: {
        ...store.counts,
        ownerHits: ownStore.counts.hits,
        ownerMisses: ownStore.counts.misses,
        copies: copies.size,
        bytes: copies.bytes,
        droppedByPurges: copies.dropped,
        fetches: origin.fetches,
        checks: origin.checks,
        refusedForRate: origin.noRate,
        share: rate.share,
      },
    });
    yard.trim();
  });
  log.info(`Up at ${settings.ip}:${settings.relayPort}.`);
  return {
    renew: ({ seedNodes }) => taker.renewSeeds(seedNodes),
    stop: async () => {
      log.info("Leaving.");
      report.stop();
      follow.stop();
      keeper.stop();
      others.stop();
      taker.stop();
      relay.close();
    },
  };
};
