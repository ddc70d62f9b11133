/** The shared object cache: subsystems are opened here, in the order in which they start. */
import type { ObjectRequest } from "../../proxy/object-source.js";
import { FaultCounters } from "../../health/fault-counters.js";
import { CachedObjects, cacheKey, type CachedObject } from "../../cache/cached-objects.js";
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
import { ObjectStore, type LookupResult } from "../../cache/object-store.js";
import type { DataPlaneNode } from "../data-plane-node.js";
import { joinCluster } from "../data-plane-node.js";
import { LoadBalancer } from "../../proxy/load-balancer.js";
import { RouteTable } from "../../proxy/route-table.js";
import { WorkerDirectory } from "../../proxy/worker-directory.js";
import type { Clock } from "../../common/clock.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import { SECOND_US } from "../../common/duration.js";
import type { Message, Connection } from "../../transport/connection.js";
import { subscribeToPurges } from "../purge-subscriber.js";
import { openRetryBudgets } from "../gateway/retry-budgets.js";
import type { RunningProgram } from "../running-program.js";

const MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 512;
/** Cached objects take at most this fraction of the memory. */
const CACHE_MEMORY_FRACTION = 0.35;
/** How long the owner of an object is waited for, before the origin is read instead. */
const OWNER_TIMEOUT_US = SECOND_US;
const MAX_OBJECT_BYTES = 16 * MB;
const REPORT_INTERVAL_US = 2 * SECOND_US;

/** Starts the shared object cache on one machine. */
export const runCache = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("cache");
  const serve = (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => server.serve(connection, hello, incoming);
  const { updates, subscriber, relay }: DataPlaneNode = joinCluster(
    settings,
    clock,
    "cache",
    { [OBJECT_MESSAGE.hello]: serve },
    (question) =>
      question.kind === "retries" ? { kind: "retries", rows: retryBudgets.snapshot() } : undefined,
  );
  const routes = new RouteTable();
  const workers = new WorkerDirectory(clock, settings.name, settings.zone);
  const incarnation = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const faults = new FaultCounters(incarnation);
  let clusterSize = { depots: 1, here: 1 };

  const retryBudgets = openRetryBudgets(settings, clock, updates, subscriber, incarnation);
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
  const cachedObjects = new CachedObjects(
    clock,
    (settings.memoryMb || DEFAULT_MEMORY_MB) * MB * CACHE_MEMORY_FRACTION,
  );
  const loadBalancer = new LoadBalancer({
    workers,
    zone: settings.zone,
    random: Math.random,
    connectionShare: (service) =>
      Math.max(
        1,
        Math.floor((routes.service(service)?.maxConnections ?? 16) / (2 * clusterSize.depots)),
      ),
  });
  const origin = new OriginFetcher({
    clock,
    workers,
    loadBalancer,
    rateLimiter,
    retryBudgets,
    countFault: faults.count,
    maxObjectBytes: MAX_OBJECT_BYTES,
  });
  const here = `${settings.ip}:${settings.relayPort}`;
  const peers = new PeerCaches(clock);
  let addresses: readonly string[] = [here];
  const ownStore = new ObjectStore({
    clock,
    cachedObjects,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: origin.fetch,
  });
  /** The object's owner among all depots reads the origin; another asks it, and sends the body over only once a version. */
  const fetch = async (
    want: ObjectRequest,
    old: CachedObject | undefined,
  ): Promise<LookupResult> => {
    const owner = ownerOf(cacheKey(want), addresses);
    const askedUs = clock.nowUs();
    const isOwn = owner === undefined || owner === here;
    const reply = isOwn
      ? undefined
      : await peers.askOne(
          owner,
          packObjectRequest(want, askedUs, undefined, old, true),
          Math.min(OWNER_TIMEOUT_US, want.deadlineUs - askedUs),
        );
    if (!reply) return ownStore.get(want);
    const copy = readObject(reply, want, old, askedUs);
    return copy
      ? { kind: "found", copy }
      : {
          kind: "none",
          reason: unavailableReason(reply),
          retryAfterUs: want.latencyTargetUs / 4,
        };
  };
  const store = new ObjectStore({
    clock,
    cachedObjects,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: fetch,
  });
  const server = new ObjectServer({ clock, store, ownStore, rateLimiter, log });

  updates.events.on("changed", (facts) => {
    routes.applyUpdates(facts);
    workers.applyUpdates(facts);
  });
  updates.events.on("forgotten", (keys) => {
    workers.forgetKeys(keys);
    keys.forEach((key) => faults.remove(key));
  });
  const purges = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies: cachedObjects,
    detach: () => {
      store.detachInFlight();
      ownStore.detachInFlight();
    },
  });
  subscriber.events.on("clusterSize", (size) => {
    const caches = size.caches ?? [];
    addresses = [
      here,
      ...caches.map(({ address }) => address).filter((address) => address !== here),
    ];
    peers.setAddresses(caches.filter(({ address }) => address !== here));
    clusterSize = {
      depots: Math.max(1, caches.length),
      here: Math.max(1, caches.filter(({ zone }) => zone === settings.zone).length),
    };
    workers.setNodeCount({ inZone: clusterSize.here, total: clusterSize.depots });
  });
  const rateLeases = new RateLeaseRenewer({
    clock,
    limiter: rateLimiter,
    incarnation,
    role: "depot",
    request: subscriber.request,
    isNeeded: () => true,
  });
  await relay.listen(settings.ip, settings.relayPort);
  void subscriber.run();
  rateLeases.start();
  const report = clock.every(REPORT_INTERVAL_US, () => {
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
  log.info("cache is listening", { address: here });
  return {
    applySettings: ({ seedNodes }) => subscriber.renewSeeds(seedNodes),
    stop: async () => {
      log.info("cache is shutting down");
      report.stop();
      purges.stop();
      rateLeases.stop();
      peers.stop();
      subscriber.stop();
      relay.close();
    },
  };
};
