/** The part of a gateway that caches objects and distributes large ones within its zone. */
import { CachedObjects, cacheKey } from "../../cache/cached-objects.js";
import { packObjectRequest, readObject, unavailableReason } from "../../cache/messages.js";
import { ObjectServer } from "../../cache/object-server.js";
import { PeerCaches, zoneDistance } from "../../cache/peer-caches.js";
import { Freshness } from "../../cache/freshness.js";
import { ObjectClient } from "../../cache/object-client.js";
import { OriginFetcher } from "../../cache/origin-fetch.js";
import { RateLeaseRenewer } from "../../quota/rate-lease-renewer.js";
import { RateLimiter } from "../../quota/rate-limiter.js";
import { ObjectStore, type ObjectFetch } from "../../cache/object-store.js";
import type { UpdateStore } from "../../membership/update-store.js";
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";
import { LoadBalancer } from "../../proxy/load-balancer.js";
import { IdempotencyClient } from "../../idempotency/key-client.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import type { RouteTable } from "../../proxy/route-table.js";
import type { WorkerDirectory } from "../../proxy/worker-directory.js";
import type { Clock, Timer } from "../../common/clock.js";
import { NODE_KIND } from "../../quota/quota-codec.js";
import { loggerFor } from "../../common/logger.js";
import type { SessionHandler } from "../../transport/listener.js";
import type { Settings } from "../../common/settings.js";
import { subscribeToPurges } from "../purge-subscriber.js";

/** Dependencies of {@link openGatewayObjectCache}. */
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

/** A running object cache of a gateway. */
export interface GatewayObjectCache {
  readonly objects: ObjectClient;
  readonly idempotencyClient: IdempotencyClient;
  /** Serves sessions of other nodes that request objects from this one. */
  readonly serveObjects: SessionHandler;
  readonly stop: () => void;
}

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 256;
/** The gateway's own cached objects use at most the memory divided by this. */
const GATEWAY_CACHE_MEMORY_DIVISOR = 24;
/** Objects that the gateway distributes in its zone use at most the memory divided by this. */
const DISTRIBUTOR_MEMORY_DIVISOR = 4;
const MAX_OBJECT_BYTES = 4 * MB;

const openFreshness = ({ settings, clock, subscriber }: GatewayObjectCacheOptions): Freshness =>
  new Freshness({
    clock,
    maxPurgeDelayUs: settings.purgeUs,
    disconnectedExtraUs: settings.stretchUs,
    isUpToDate: () => subscriber.isUpToDate,
  });

const openOrigin = (
  {
    settings,
    clock,
    workers,
    retryBudgets,
    connectionShare,
    countFault,
  }: GatewayObjectCacheOptions,
  rateLimiter: RateLimiter,
): OriginFetcher => {
  const loadBalancer = new LoadBalancer({
    workers,
    zone: settings.zone,
    random: Math.random,
    connectionShare,
  });
  return new OriginFetcher({
    clock,
    workers,
    loadBalancer,
    rateLimiter,
    retryBudgets,
    countFault,
    maxObjectBytes: MAX_OBJECT_BYTES,
  });
};

/** Fetches an object from the shared caches. */
const fetchFromCaches =
  (clock: Clock, caches: PeerCaches): ObjectFetch =>
  async (request, previous) => {
    const sentAtUs = clock.nowUs();
    const reply = await caches.request(
      cacheKey(request),
      packObjectRequest(request, sentAtUs, undefined, previous),
      request.deadlineUs - sentAtUs,
    );
    const copy = reply && readObject(reply, request, previous, sentAtUs);
    if (copy) return { kind: "found", copy };
    return {
      kind: "none",
      reason: unavailableReason(reply),
      retryAfterUs: request.latencyTargetUs / 4,
    };
  };

/** The server of a zone distributor, and the timer of its purge subscription. */
interface Distributor {
  readonly server: ObjectServer;
  readonly purges: Timer;
}

/**
 * Opens the store of large objects that this node serves in its zone. Its revalidations transfer no
 * bodies of unchanged objects.
 */
const openDistributor = (
  { settings, clock, updates, subscriber }: GatewayObjectCacheOptions,
  caches: PeerCaches,
  freshness: Freshness,
  rateLimiter: RateLimiter,
): Distributor => {
  const cachedObjects = new CachedObjects(
    clock,
    ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / DISTRIBUTOR_MEMORY_DIVISOR,
  );
  const store = new ObjectStore({
    clock,
    cachedObjects,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: fetchFromCaches(clock, caches),
  });
  const purges = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    cachedObjects,
    detachInFlight: store.detachInFlight,
  });
  const log = loggerFor("zone-distributor");
  return { server: new ObjectServer({ clock, store, rateLimiter, log }), purges };
};

/** Connects to the caches, and to the zone's distributors while no cache runs in the zone. */
const subscribeToClusterSize = (
  { settings, subscriber }: GatewayObjectCacheOptions,
  caches: PeerCaches,
  zoneDistributors: PeerCaches,
): void => {
  const ownAddress = `${settings.ip}:${settings.relayPort}`;
  subscriber.events.on("clusterSize", (clusterSize) => {
    caches.setAddresses(clusterSize.caches ?? []);
    const inZone = (clusterSize.zoneDistributors ?? []).filter(
      ({ zone, address }) => zone === settings.zone && address !== ownAddress,
    );
    zoneDistributors.setAddresses(
      (clusterSize.caches ?? []).some(({ zone }) => zone === settings.zone) ? [] : inZone,
    );
  });
};

/** Opens the object cache of a gateway, and its idempotency key client. */
export const openGatewayObjectCache = (options: GatewayObjectCacheOptions): GatewayObjectCache => {
  const { settings, clock, updates, subscriber, routes, incarnation } = options;
  const caches = new PeerCaches(clock, zoneDistance(settings.zone, settings.regions));
  const zoneDistributors = new PeerCaches(clock);
  const rateLimiter = new RateLimiter(
    clock,
    (service) => routes.service(service)?.maxRequestsPerS ?? 0,
  );
  const freshness = openFreshness(options);
  const objects = new ObjectClient({
    clock,
    maxBytes: ((settings.memoryMb || DEFAULT_MEMORY_MB) * MB) / GATEWAY_CACHE_MEMORY_DIVISOR,
    sharedCaches: caches,
    zoneDistributors,
    origin: openOrigin(options, rateLimiter),
    rateLimiter,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
  });
  const purges = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    cachedObjects: objects.cachedObjects,
    detachInFlight: objects.detachInFlight,
  });
  const distributor = openDistributor(options, caches, freshness, rateLimiter);
  subscribeToClusterSize(options, caches, zoneDistributors);
  const rateLeases = new RateLeaseRenewer({
    clock,
    limiter: rateLimiter,
    incarnation,
    role: NODE_KIND.gateway,
    request: subscriber.request,
    isNeeded: () => !caches.isAnyConnected,
  });
  rateLeases.start();
  return {
    objects,
    idempotencyClient: new IdempotencyClient(clock, subscriber.request, subscriber.report),
    serveObjects: distributor.server.serve,
    stop: () => {
      rateLeases.stop();
      purges.stop();
      distributor.purges.stop();
      zoneDistributors.stop();
      caches.stop();
    },
  };
};
