/** The part of a gateway that caches objects, and that distributes large ones within its zone. */
import { CachedObjects, cacheKey } from "../../cache/cached-objects.js";
import { packObjectRequest, readObject, unavailableReason } from "../../cache/messages.js";
import { ObjectServer } from "../../cache/object-server.js";
import { PeerCaches, zoneDistance } from "../../cache/peer-caches.js";
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

/** What `openGatewayObjectCache` works on. */
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

/** The object cache of a gateway while it runs. */
export interface GatewayObjectCache {
  readonly objects: ObjectClient;
  readonly idempotencyClient: IdempotencyClient;
  /** Serves sessions of other nodes that request objects from this one. */
  readonly serveObjects: SessionHandler;
  readonly stop: () => void;
}

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** The cached objects of the gateway itself take the memory divided by this. */
const GATEWAY_CACHE_MEMORY_DIVISOR = 24;
/** Those that it distributes in its zone take the memory divided by this. */
const DISTRIBUTOR_MEMORY_DIVISOR = 4;
const MAX_OBJECT_BYTES = 4 * MB;

/** Opens the object cache of a gateway, and its key client. */
export const openGatewayObjectCache = (options: GatewayObjectCacheOptions): GatewayObjectCache => {
  const {
    settings,
    clock,
    updates,
    subscriber,
    routes,
    workers,
    incarnation,
    retryBudgets,
    connectionShare,
    countFault,
  } = options;
  const distance = zoneDistance(settings.zone, settings.regions);
  const caches = new PeerCaches(clock, distance);
  const zoneDistributors = new PeerCaches(clock);
  const rateLimiter = new RateLimiter(
    clock,
    (service) => routes.service(service)?.maxRequestsPerS ?? 0,
  );
  const freshness = new Freshness({
    clock,
    maxPurgeDelayUs: settings.purgeUs,
    disconnectedExtraUs: settings.stretchUs,
    isUpToDate: () => subscriber.isUpToDate,
  });
  const loadBalancer = new LoadBalancer({
    workers,
    zone: settings.zone,
    random: Math.random,
    connectionShare,
  });
  const origin = new OriginFetcher({
    clock,
    workers,
    loadBalancer,
    rateLimiter,
    retryBudgets,
    countFault,
    maxObjectBytes: MAX_OBJECT_BYTES,
  });
  const objects = new ObjectClient({
    clock,
    maxBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / GATEWAY_CACHE_MEMORY_DIVISOR,
    sharedCaches: caches,
    zoneCaches: zoneDistributors,
    origin,
    rateLimiter,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
  });
  const purges = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies: objects.cachedObjects,
    detach: objects.detachInFlight,
  });

  /** Large objects that this node serves as a distributor of its zone, revalidated without their bodies. */
  const cachedObjects = new CachedObjects(
    clock,
    ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / DISTRIBUTOR_MEMORY_DIVISOR,
  );
  const store = new ObjectStore({
    clock,
    cachedObjects,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: async (want, old): Promise<LookupResult> => {
      const askedUs = clock.nowUs();
      const reply = await caches.ask(
        cacheKey(want),
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
  const distributorPurges = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies: cachedObjects,
    detach: store.detachInFlight,
  });
  const server = new ObjectServer({
    clock,
    store,
    rateLimiter,
    log: loggerFor("zone-distributor"),
  });
  const here = `${settings.ip}:${settings.relayPort}`;
  subscriber.events.on("clusterSize", (clusterSize) => {
    caches.setAddresses(clusterSize.caches ?? []);
    const inZone = (clusterSize.zoneDistributors ?? []).filter(
      ({ zone, address }) => zone === settings.zone && address !== here,
    );
    zoneDistributors.setAddresses(
      (clusterSize.caches ?? []).some(({ zone }) => zone === settings.zone) ? [] : inZone,
    );
  });
  const rateLeases = new RateLeaseRenewer({
    clock,
    limiter: rateLimiter,
    incarnation,
    role: "pointsman",
    request: subscriber.request,
    isNeeded: () => !caches.isAnyConnected,
  });
  rateLeases.start();
  return {
    objects,
    idempotencyClient: new IdempotencyClient(clock, subscriber.request, subscriber.report),
    serveObjects: server.serve,
    stop: () => {
      rateLeases.stop();
      purges.stop();
      distributorPurges.stop();
      zoneDistributors.stop();
      caches.stop();
    },
  };
};
