/** The shared object cache program: opens its subsystems in the order in which they start. */
import { FaultCounters } from "../../health/fault-counters.js";
import { CachedObjects, cacheKey } from "../../cache/cached-objects.js";
import {
  CACHE_REPORT_KIND,
  OBJECT_MESSAGE,
  packObjectRequest,
  readObject,
  unavailableReason,
} from "../../cache/messages.js";
import { ObjectServer } from "../../cache/object-server.js";
import { PeerCaches, ownerOf } from "../../cache/peer-caches.js";
import { Freshness } from "../../cache/freshness.js";
import { OriginFetcher } from "../../cache/origin-fetch.js";
import { RateLeaseRenewer } from "../../quota/rate-lease-renewer.js";
import { RateLimiter } from "../../quota/rate-limiter.js";
import { ObjectStore, type ObjectFetch } from "../../cache/object-store.js";
import type { DataPlaneNode } from "../data-plane-node.js";
import { joinCluster } from "../data-plane-node.js";
import { LoadBalancer } from "../../proxy/load-balancer.js";
import { RouteTable } from "../../proxy/route-table.js";
import { WorkerDirectory } from "../../proxy/worker-directory.js";
import type { Clock, Timer } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { SECOND_US } from "../../common/duration.js";
import type { SessionHandler } from "../../transport/listener.js";
import type { CacheAddress } from "../../membership/cluster.js";
import type { UpdateSubscriber } from "../../membership/update-subscriber.js";
import { NODE_KIND } from "../../quota/quota-codec.js";
import type { RetryBudgets } from "../../proxy/retry-budget.js";
import { warmUpLimits } from "../warm-up-limits.js";
import { subscribeToPurges } from "../purge-subscriber.js";
import { openRetryBudgets } from "../gateway/retry-budgets.js";
import { relayMetrics } from "../gateway/metrics.js";
import type { RunningProgram } from "../running-program.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 512;
/** Cached objects use at most this fraction of the memory. */
const CACHE_MEMORY_FRACTION = 0.35;
/** How long to wait for the owner of an object before reading from the origin instead. */
const OWNER_TIMEOUT_US = SECOND_US;
const MAX_OBJECT_BYTES = 16 * MB;
const REPORT_INTERVAL_US = 2 * SECOND_US;

const addressOf = (settings: Settings): string => `${settings.ip}:${settings.relayPort}`;

/** Number of caches that share a service's connections, and how many of them run in this zone. */
interface CacheCount {
  readonly total: number;
  readonly inZone: number;
}

/** The running caches, as last reported by the controllers. */
class CacheMembership {
  readonly peers: PeerCaches;
  count: CacheCount = { total: 1, inZone: 1 };
  /** The addresses of all caches, including this one. */
  addresses: readonly string[];
  readonly ownAddress: string;

  constructor(
    clock: Clock,
    private readonly zone: string,
    ownAddress: string,
  ) {
    this.peers = new PeerCaches(clock);
    this.ownAddress = ownAddress;
    this.addresses = [ownAddress];
  }

  readonly apply = (caches: readonly CacheAddress[]): void => {
    const others = caches.filter(({ address }) => address !== this.ownAddress);
    this.addresses = [this.ownAddress, ...others.map(({ address }) => address)];
    this.peers.setAddresses(others);
    this.count = {
      total: Math.max(1, caches.length),
      inZone: Math.max(1, caches.filter(({ zone }) => zone === this.zone).length),
    };
  };
}

/** The known services and workers, and the limits on requests to them. */
interface Upstream {
  readonly routes: RouteTable;
  readonly workers: WorkerDirectory;
  readonly faults: FaultCounters;
  readonly rateLimiter: RateLimiter;
}

const openUpstream = (settings: Settings, clock: Clock, incarnation: string): Upstream => {
  const routes = new RouteTable();
  return {
    routes,
    workers: new WorkerDirectory(clock, settings.name, settings.zone, {
      warmUpLimitOf: warmUpLimits(routes, settings.warmUpTolerance),
    }),
    faults: new FaultCounters(incarnation),
    rateLimiter: new RateLimiter(clock, (service) => routes.service(service)?.maxRequestsPerS ?? 0),
  };
};

const openOrigin = (
  settings: Settings,
  clock: Clock,
  { routes, workers, faults, rateLimiter }: Upstream,
  retryBudgets: RetryBudgets,
  members: CacheMembership,
): OriginFetcher => {
  const loadBalancer = new LoadBalancer({
    workers,
    zone: settings.zone,
    random: Math.random,
    connectionShare: (service) =>
      Math.max(
        1,
        Math.floor((routes.service(service)?.maxConnections ?? 16) / (2 * members.count.total)),
      ),
  });
  return new OriginFetcher({
    clock,
    workers,
    loadBalancer,
    rateLimiter,
    retryBudgets,
    countFault: faults.count,
    maxObjectBytes: MAX_OBJECT_BYTES,
  });
};

/**
 * Fetches through the owner of an object among all caches. The owner reads from the origin. Any
 * other cache requests the object from the owner, so that the body of a version is sent to that
 * cache only once; if the owner does not reply, it reads from the origin itself.
 */
const fetchThroughOwner =
  (clock: Clock, members: CacheMembership, ownStore: ObjectStore): ObjectFetch =>
  async (request, previous) => {
    const owner = ownerOf(cacheKey(request), members.addresses);
    const sentAtUs = clock.nowUs();
    const isOwn = owner === undefined || owner === members.ownAddress;
    const reply = isOwn
      ? undefined
      : await members.peers.requestFrom(
          owner,
          packObjectRequest(request, sentAtUs, undefined, previous, true),
          Math.min(OWNER_TIMEOUT_US, request.deadlineUs - sentAtUs),
        );
    if (!reply) return ownStore.get(request);
    const copy = readObject(reply, request, previous, sentAtUs);
    if (copy) return { kind: "found", copy };
    return {
      kind: "none",
      reason: unavailableReason(reply),
      retryAfterUs: request.latencyTargetUs / 4,
    };
  };

/**
 * The cached objects, and two stores of them: `ownStore` fetches from the origin, `store` through
 * the owner of an object.
 */
interface Stores {
  readonly cachedObjects: CachedObjects;
  readonly freshness: Freshness;
  readonly ownStore: ObjectStore;
  readonly store: ObjectStore;
}

const openStores = (
  settings: Settings,
  clock: Clock,
  subscriber: UpdateSubscriber,
  origin: OriginFetcher,
  members: CacheMembership,
): Stores => {
  const freshness = new Freshness({
    clock,
    maxPurgeDelayUs: settings.purgeUs,
    disconnectedExtraUs: settings.stretchUs,
    isUpToDate: () => subscriber.isUpToDate,
  });
  const cachedObjects = new CachedObjects(
    clock,
    (settings.memoryMb || DEFAULT_MEMORY_MB) * MB * CACHE_MEMORY_FRACTION,
  );
  const openStore = (source: ObjectFetch): ObjectStore =>
    new ObjectStore({
      clock,
      cachedObjects,
      isFresh: freshness.isFresh,
      staleIfErrorUs: settings.staleSlackUs / 2,
      source,
    });
  const ownStore = openStore(origin.fetch);
  const store = openStore(fetchThroughOwner(clock, members, ownStore));
  return { cachedObjects, freshness, ownStore, store };
};

/** Subscribes to updates of services, workers, purges and other caches, and applies them. */
const subscribeToUpdates = (
  clock: Clock,
  { updates, subscriber }: DataPlaneNode,
  { routes, workers, faults }: Upstream,
  { cachedObjects, freshness, ownStore, store }: Stores,
  members: CacheMembership,
): Timer => {
  updates.events.on("changed", (changed) => {
    routes.applyUpdates(changed);
    workers.applyUpdates(changed);
  });
  updates.events.on("forgotten", (keys) => {
    workers.removeKeys(keys);
    keys.forEach((key) => faults.remove(key));
  });
  const purges = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    cachedObjects,
    detachInFlight: () => {
      store.detachInFlight();
      ownStore.detachInFlight();
    },
  });
  subscriber.events.on("clusterSize", ({ caches = [] }) => {
    members.apply(caches);
    workers.setNodeCount(members.count);
  });
  return purges;
};

/** Reports faults and counters to the controller, and closes idle connections to workers. */
const startReports = (
  clock: Clock,
  subscriber: UpdateSubscriber,
  { workers, faults, rateLimiter }: Upstream,
  { cachedObjects, ownStore, store }: Stores,
  origin: OriginFetcher,
): Timer =>
  clock.every(REPORT_INTERVAL_US, () => {
    const message = faults.takeReport();
    if (message) subscriber.report(message);
    subscriber.report({
      kind: CACHE_REPORT_KIND,
      counts: {
        ...store.counts,
        ownerHits: ownStore.counts.hits,
        ownerMisses: ownStore.counts.misses,
        copies: cachedObjects.size,
        bytes: cachedObjects.bytes,
        droppedByPurges: cachedObjects.droppedByPurges,
        fetches: origin.fetches,
        checks: origin.revalidations,
        refusedForRate: origin.rateLimited,
        share: rateLimiter.share,
      },
    });
    workers.evictIdleConnections();
  });

/** Starts the shared object cache on one machine. */
export const runCache = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("cache");
  const serve: SessionHandler = (connection, hello, incoming) =>
    server.serve(connection, hello, incoming);
  const node = joinCluster(settings, clock, "cache", { [OBJECT_MESSAGE.hello]: serve }, (query) =>
    query.kind === "retries" ? { kind: "retries", rows: retryBudgets.snapshot() } : undefined,
  );
  const { updates, subscriber, relay } = node;
  const incarnation = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const upstream = openUpstream(settings, clock, incarnation);
  const retryBudgets = openRetryBudgets(settings, clock, updates, subscriber, incarnation);
  const members = new CacheMembership(clock, settings.zone, addressOf(settings));
  const origin = openOrigin(settings, clock, upstream, retryBudgets, members);
  const stores = openStores(settings, clock, subscriber, origin, members);
  const { rateLimiter } = upstream;
  const { store, ownStore } = stores;
  const server = new ObjectServer({ clock, store, ownStore, rateLimiter, log });
  const purges = subscribeToUpdates(clock, node, upstream, stores, members);
  const rateLeases = new RateLeaseRenewer({
    clock,
    limiter: rateLimiter,
    incarnation,
    role: NODE_KIND.cache,
    request: subscriber.request,
    isNeeded: () => true,
  });
  await relay.listen(settings.ip, settings.relayPort);
  void subscriber.run();
  rateLeases.start();
  const reports = startReports(clock, subscriber, upstream, stores, origin);
  log.info("cache is listening", { address: members.ownAddress });
  return {
    metrics: relayMetrics(node),
    applySettings: ({ seedNodes }) => subscriber.setSeeds(seedNodes),
    stop: async () => {
      log.info("cache is shutting down");
      reports.stop();
      purges.stop();
      rateLeases.stop();
      members.peers.stop();
      subscriber.stop();
      relay.close();
    },
  };
};
