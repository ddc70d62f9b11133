import { CachedObjects, keyOf } from "../../cache/cached-objects.js";
import { packObjectRequest, readObject, unavailableReason } from "../../cache/messages.js";
import { ObjectServer } from "../../cache/object-server.js";
import { PeerCaches, distanceFrom } from "../../cache/peer-caches.js";
import { Freshness } from "../../cache/freshness.js";
import { ObjectClient } from "../../cache/object-client.js";
import { OriginFetcher } from "../../cache/origin-fetch.js";
import { RateLeaseRenewer } from "../../quota/rate-lease-renewer.js";
import { RateLimiter } from "../../quota/rate-limiter.js";
import { ObjectStore, type LookupResult } from "../../cache/object-store.js";
import type { UpdateStore } from "../../membership/update-store.js";
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";
import { LoadBalancer } from "../../proxy/load-balancer.js";
import { IdempotencyClient } from "../../idempotency/key-client.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { RouteTable } from "../../proxy/route-table.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { SessionHandler } from "../../transport/listener.js";
import type { Settings } from "../../common/settings.js";
import { subscribeToPurges } from "../purge-subscriber.js";

export interface GatewayObjectCacheOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly updates: UpdateStore;
  readonly subscriber: UpdateSubscriber;
  readonly routes: RouteTable;
  readonly workers: WorkerDirectory;
  readonly incarnation: string;
  readonly retryBudgets: RetryBudgets;
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
}

export interface GatewayObjectCache {
  readonly objects: ObjectClient;
  readonly idempotencyClient: IdempotencyClient;
  /** Serves those who ask this node for objects. */
  readonly serveObjects: SessionHandler;
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
    routes: table,
    workers: pool,
    incarnation: life,
    retryBudgets,
    connectionShare,
    countFault,
  } = options;
  const distance = distanceFrom(settings.zone, settings.regions);
  const depots = new PeerCaches(clock, distance);
  const halls = new PeerCaches(clock);
  const rate = new RateLimiter(clock, (service) => table.service(service)?.maxRequestsPerS ?? 0);
  const freshness = new Freshness({
    clock,
    purgeUs: settings.purgeUs,
    disconnectedExtraUs: settings.stretchUs,
    isUpToDate: () => subscriber.isUpToDate,
  });
  const chooser = new LoadBalancer({
    workers: pool,
    zone: settings.zone,
    random: Math.random,
    connectionShare,
  });
  const origin = new OriginFetcher({
    clock,
    workers: pool,
    loadBalancer: chooser,
    rateLimiter: rate,
    retryBudgets,
    countFault,
    maxObjectBytes: MOST_OBJECT_BYTES,
  });
  const goods = new ObjectClient({
    clock,
    maxBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / COPIES_PART,
    sharedCaches: depots,
    zoneCaches: halls,
    origin,
    rateLimiter: rate,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
  });
  const follow = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies: goods.cachedObjects,
    detach: goods.detachInFlight,
  });

  /** What this node gives out if it is its cell's hall: copies of large objects, kept new without their bodies travelling. */
  const copies = new CachedObjects(
    clock,
    ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / HALL_PART,
  );
  const store = new ObjectStore({
    clock,
    cachedObjects: copies,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: async (want, old): Promise<LookupResult> => {
      const askedUs = clock.nowUs();
      const reply = await depots.ask(
        keyOf(want),
        packObjectRequest(want, askedUs, undefined, old),
        want.deadlineUs - askedUs,
      );
      const copy = reply && readObject(reply, want, old, askedUs);
      return copy
        ? { kind: "found", copy }
        : {
            kind: "none",
            reason: unavailableReason(reply),
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
    detach: store.detachInFlight,
  });
  const counter = new ObjectServer({ clock, store, rateLimiter: rate, log: loggerFor("hall") });
  const here = `${settings.ip}:${settings.relayPort}`;
  subscriber.events.on("clusterSize", (clusterSize) => {
    depots.setAddresses(clusterSize.caches ?? []);
    const ofCell = (clusterSize.zoneDistributors ?? []).filter(
      ({ zone, address }) => zone === settings.zone && address !== here,
    );
    halls.setAddresses(
      (clusterSize.caches ?? []).some(({ zone }) => zone === settings.zone) ? [] : ofCell,
    );
  });
  const keeper = new RateLeaseRenewer({
    clock,
    limiter: rate,
    incarnation: life,
    role: "pointsman",
    request: subscriber.request,
    isNeeded: () => !depots.isAnyConnected,
  });
  keeper.start();
  return {
    objects: goods,
    idempotencyClient: new IdempotencyClient(clock, subscriber.request, subscriber.report),
    serveObjects: counter.serve,
    stop: () => {
      keeper.stop();
      follow.stop();
      followToo.stop();
      halls.stop();
      depots.stop();
    },
  };
};
