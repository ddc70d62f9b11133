import { FaultCounters } from "../../health/fault-counters.js";
import { CachedObjects, keyOf, type CachedObject } from "../../cache/cached-objects.js";
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
import { ObjectStore, type LookupResult, type Want } from "../../cache/object-store.js";
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
/** The copies take at most this part of the memory. */
const COPIES_PART = 0.35;
/** For how long another depot is waited for, before the origin is read instead. */
const OWNER_WAIT_US = SECOND_US;
const MOST_OBJECT_BYTES = 16 * MB;
const REPORT_US = 2 * SECOND_US;

/** Puts the shared cache together on one machine. */
export const runCache = async (settings: Settings, clock: Clock): Promise<RunningProgram> => {
  const log = loggerFor("depot");
  const serve = (
    connection: Connection,
    hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => counter.serve(connection, hello, incoming);
  const { updates, subscriber, relay }: DataPlaneNode = joinCluster(
    settings,
    clock,
    "cache",
    { [OBJECT_MESSAGE.hello]: serve },
    (question) =>
      question.kind === "retries" ? { kind: "retries", rows: retryBudgets.snapshot() } : undefined,
  );
  const table = new RouteTable();
  const pool = new WorkerDirectory(clock, settings.name, settings.zone);
  const life = `${process.pid}-${clock.nowUs()}-${Math.random()}`;
  const counts = new FaultCounters(life);
  let clusterSize = { depots: 1, here: 1 };

  const retryBudgets = openRetryBudgets(settings, clock, updates, subscriber, life);
  const rate = new RateLimiter(clock, (service) => table.service(service)?.maxRequestsPerS ?? 0);
  const freshness = new Freshness({
    clock,
    purgeUs: settings.purgeUs,
    disconnectedExtraUs: settings.stretchUs,
    isUpToDate: () => subscriber.isUpToDate,
  });
  const copies = new CachedObjects(
    clock,
    (settings.memoryMb || DEFAULT_MEMORY_MB) * MB * COPIES_PART,
  );
  const chooser = new LoadBalancer({
    workers: pool,
    zone: settings.zone,
    random: Math.random,
    connectionShare: (service) =>
      Math.max(
        1,
        Math.floor((table.service(service)?.maxConnections ?? 16) / (2 * clusterSize.depots)),
      ),
  });
  const origin = new OriginFetcher({
    clock,
    workers: pool,
    loadBalancer: chooser,
    rateLimiter: rate,
    retryBudgets,
    countFault: counts.count,
    maxObjectBytes: MOST_OBJECT_BYTES,
  });
  const here = `${settings.ip}:${settings.relayPort}`;
  const others = new PeerCaches(clock);
  let addresses: readonly string[] = [here];
  const ownStore = new ObjectStore({
    clock,
    cachedObjects: copies,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: origin.fetch,
  });
  /** The object's owner among all depots reads the origin; another asks it, and sends the body over only once a version. */
  const fetch = async (want: Want, old: CachedObject | undefined): Promise<LookupResult> => {
    const owner = ownerOf(keyOf(want), addresses);
    const askedUs = clock.nowUs();
    const isOwn = owner === undefined || owner === here;
    const reply = isOwn
      ? undefined
      : await others.askOne(
          owner,
          packObjectRequest(want, askedUs, undefined, old, true),
          Math.min(OWNER_WAIT_US, want.deadlineUs - askedUs),
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
    cachedObjects: copies,
    isFresh: freshness.isFresh,
    staleIfErrorUs: settings.staleSlackUs / 2,
    source: fetch,
  });
  const counter = new ObjectServer({ clock, store, ownStore, rateLimiter: rate, log });

  updates.events.on("changed", (facts) => {
    table.applyUpdates(facts);
    pool.applyUpdates(facts);
  });
  updates.events.on("forgotten", (keys) => {
    pool.forgetKeys(keys);
    keys.forEach((key) => counts.remove(key));
  });
  const follow = subscribeToPurges({
    clock,
    updates,
    subscriber,
    freshness,
    copies,
    detach: () => {
      store.detachInFlight();
      ownStore.detachInFlight();
    },
  });
  subscriber.events.on("clusterSize", (told) => {
    const depots = told.caches ?? [];
    addresses = [
      here,
      ...depots.map(({ address }) => address).filter((address) => address !== here),
    ];
    others.setAddresses(depots.filter(({ address }) => address !== here));
    clusterSize = {
      depots: Math.max(1, depots.length),
      here: Math.max(1, depots.filter(({ zone }) => zone === settings.zone).length),
    };
    pool.setNodeCount({ inZone: clusterSize.here, total: clusterSize.depots });
  });
  const keeper = new RateLeaseRenewer({
    clock,
    limiter: rate,
    incarnation: life,
    role: "depot",
    request: subscriber.request,
    isNeeded: () => true,
  });
  await relay.listen(settings.ip, settings.relayPort);
  void subscriber.run();
  keeper.start();
  const report = clock.every(REPORT_US, () => {
    const message = counts.takeReport();
    if (message) subscriber.report(message);
    subscriber.report({
      kind: CACHE_REPORT_KIND,
      counts: {
        ...store.counts,
        ownerHits: ownStore.counts.hits,
        ownerMisses: ownStore.counts.misses,
        copies: copies.size,
        bytes: copies.bytes,
        droppedByPurges: copies.droppedByPurges,
        fetches: origin.fetches,
        checks: origin.revalidations,
        refusedForRate: origin.rateLimited,
        share: rate.share,
      },
    });
    pool.evictIdleConnections();
  });
  log.info(`Up at ${settings.ip}:${settings.relayPort}.`);
  return {
    applySettings: ({ seedNodes }) => subscriber.renewSeeds(seedNodes),
    stop: async () => {
      log.info("Leaving.");
      report.stop();
      follow.stop();
      keeper.stop();
      others.stop();
      subscriber.stop();
      relay.close();
    },
  };
};
