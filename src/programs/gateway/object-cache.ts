import { CachedObjects, keyOf } from "../../cache/cached-objects.js";
import { copyIn, ObjectServer, packWant } from "../../cache/object-server.js";
import { PeerCaches, distanceFrom } from "../../cache/peer-caches.js";
import { Freshness } from "../../cache/freshness.js";
import { ObjectClient } from "../../cache/object-client.js";
import { OriginFetcher } from "../../cache/origin-fetch.js";
import { RateLeaseRenewer } from "../../quota/rate-lease-renewer.js";
import { RateLimiter } from "../../quota/rate-limiter.js";
import { ObjectStore, type Found } from "../../cache/object-store.js";
import type { UpdateStore } from "../../membership/update-store.js";
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";
import { LoadBalancer } from "../../proxy/load-balancer.js";
import { IdempotencyClient } from "../../idempotency/key-client.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { RouteTable } from "../../proxy/route-table.js";
import type { ConnectionPool } from "../../proxy/connection-pool.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Receiver } from "../../transport/listener.js";
import type { Settings } from "../../common/settings.js";
import { subscribeToPurges } from "../purge-subscriber.js";

export interface GatewayObjectCacheOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly table: RouteTable;
  readonly pool: ConnectionPool;
  readonly life: string;
  readonly budgets: RetryBudgets;
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
}

export interface GatewayObjectCache {
  readonly objects: ObjectClient;
  readonly desk: IdempotencyClient;
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
export const openGatewayObjectCache = (options: GatewayObjectCacheOptions): GatewayObjectCache => {
  const {
    settings,
    clock,
    updates,
    subscriber,
    table,
    pool,
    life,
    budgets: retryBudgets,
    connectionShare,
    countFault,
  } = options;
  const distance = distanceFrom(settings.zone, settings.regions);
  const depots = new PeerCaches(clock, distance);
  const halls = new PeerCaches(clock);
  const rate = new RateLimiter(clock, (service) => table.service(service)?.ratePerS ?? 0);
  const freshness = new Freshness({
    clock,
    purgeUs: settings.purgeUs,
    stretchUs: settings.stretchUs,
    isFed: () => subscriber.isUpToDate,
  });
  const chooser = new LoadBalancer({
    pool,
    cell: settings.zone,
    random: Math.random,
    connectionShare,
  });
  const origin = new OriginFetcher({
    clock,
    pool,
    chooser,
    rate,
    budgets: retryBudgets,
    countFault,
    mostBytes: MOST_OBJECT_BYTES,
  });
  const goods = new ObjectClient({
    clock,
    roomBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / COPIES_PART,
    depots,
    halls,
    origin,
    rate,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
  });
  const follow = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies: goods.copies,
    detach: goods.detach,
  });

  /** What this node gives out if it is its cell's hall: copies of large objects, kept new without their bodies travelling. */
  const copies = new CachedObjects(
    clock,
    ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / HALL_PART,
  );
  const store = new ObjectStore({
    clock,
    copies,
    isFresh: freshness.isFresh,
    slackUs: settings.staleSlackUs / 2,
    source: async (want, old): Promise<Found> => {
      const askedUs = clock.nowUs();
      const reply = await depots.ask(
        keyOf(want),
        packWant(want, askedUs, undefined, old),
        want.deadlineUs - askedUs,
      );
      const copy = reply && copyIn(reply, want, old, askedUs);
      return copy
        ? { kind: "found", copy }
        : {
            kind: "none",
            reason: reply?.["none"] === "rate" ? "rate" : "full",
            retryAfterUs: want.latencyTargetUs / 4,
          };
    },
  });
  const followToo = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies,
    detach: store.detach,
  });
  const counter = new ObjectServer({ clock, store, rate, log: loggerFor("hall") });
  const here = `${settings.ip}:${settings.relayPort}`;
  subscriber.events.on("crew", (clusterSize) => {
    depots.learn(clusterSize.caches ?? []);
    const ofCell = (clusterSize.zoneDistributors ?? []).filter(
      ({ zone, address }) => zone === settings.zone && address !== here,
    );
    halls.learn(
      (clusterSize.caches ?? []).some(({ zone }) => zone === settings.zone) ? [] : ofCell,
    );
  });
  const keeper = new RateLeaseRenewer({
    clock,
    limiter: rate,
    incarnation: life,
    role: "pointsman",
    request: subscriber.ask,
    isNeeded: () => !depots.isAnyConnected,
  });
  keeper.start();
  return {
    objects: goods,
    desk: new IdempotencyClient(clock, subscriber.ask, subscriber.report),
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
