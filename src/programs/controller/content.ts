/**
 * Additional services of a controller in a content deployment: idempotency keys, purges of cached
 * objects, and leases of the origins' rate limits. Other deployments do not load this module or its
 * imports.
 */
import { join } from "node:path";
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { IdempotencyKeyReplication } from "../../idempotency/key-replication.js";
import { readReleaseAll, readStoredResponse } from "../../idempotency/key-codec.js";
import { IdempotencyKeyTable } from "../../idempotency/key-table.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import { PURGE_PREFIX, type UpdateStore } from "../../membership/update-store.js";
import { RATE_LEASE_US, RateAllocator } from "../../quota/rate-allocator.js";
import type { Clock } from "../../common/clock.js";
import { readNumber, readString, type UnknownRecord } from "../../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import type { Consensus } from "./consensus.js";
import type { QueryHandlers } from "./fleet-queries.js";
import type { Metric } from "../metrics-server.js";
import type { MessageHandler, MessageHandlers } from "./message-dispatcher.js";
import { NODE_REPLY, NODE_REPORT, NODE_REQUEST } from "./node-messages.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import type { PurgeTarget } from "./purge-route.js";

const BYTES_PER_MB = 1024 * 1024;
const CATCH_UP_PERIOD_US = 300 * MILLISECOND_US;
const EXPIRY_PERIOD_US = SECOND_US;

/** Dependencies of {@link openContent}. */
export interface ContentOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
  readonly peers: Peers;
  readonly sessions: NodeSessions;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
}

/** The subsystem of a content deployment. */
export interface Content {
  readonly nodeHandlers: MessageHandlers;
  readonly peerHandlers: MessageHandlers;
  /** Handles messages from peers about idempotency keys and purges. */
  readonly peerFallback: MessageHandler;
  readonly queries: QueryHandlers;
  readonly metrics: readonly Metric[];
  /** Persists a purge on a quorum and distributes it; false if no quorum stored it. */
  readonly purge: (target: PurgeTarget) => Promise<boolean>;
  /** Copies keys and purges from the old voters to the new ones; true once complete. */
  readonly copyToNewMembers: () => Promise<boolean>;
  /** Loads the keys stored on disk. */
  readonly start: () => Promise<void>;
  readonly close: () => void;
}

/** Leases shares of the origins' rate limits to nodes. The leader allocates them. */
class RateLeases {
  private readonly allocator: RateAllocator;

  constructor(private readonly options: ContentOptions) {
    this.allocator = new RateAllocator(options.clock);
  }

  readonly lease = async (message: Message): Promise<Message> => {
    const { lease, askHolder } = this.options;
    if (lease.isHolder()) return this.leaseAsLeader(message);
    return (await askHolder(message, WRITE_TIMEOUT_US)) ?? { kind: PEER_REPLY.rateLease };
  };

  /**
   * Allocates a share only after a majority has confirmed the leadership, because a leader that was
   * partitioned or suspended may have been replaced.
   */
  readonly leaseAsLeader = async (message: Message): Promise<Message> => {
    if (!(await this.options.lease.confirm())) return { kind: PEER_REPLY.rateLease };
    const share = this.allocator.allocate(
      readString(message, "life"),
      readString(message, "who"),
      readNumber(message, "held"),
    );
    return { kind: PEER_REPLY.rateLease, share, lastsUs: RATE_LEASE_US };
  };

  /** Discards the allocations if this controller is no longer the leader. */
  readonly resetIfNotLeader = (): void => {
    if (!this.options.lease.isHolder()) this.allocator.reset();
  };
}

const openKeyTable = ({ settings, clock }: ContentOptions): IdempotencyKeyTable =>
  new IdempotencyKeyTable({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "keys"),
    clock,
    keyWindowUs: settings.keyWindowUs,
    diskBytes: settings.diskMb * BYTES_PER_MB,
  });

const openKeys = (
  options: ContentOptions,
  table: IdempotencyKeyTable,
): IdempotencyKeyReplication => {
  const { settings, store, peers, updates } = options;
  return new IdempotencyKeyReplication({
    self: settings.control,
    table,
    store,
    request: peers.request,
    isConnected: peers.isConnected,
    send: peers.broadcast,
    withstandMachines: settings.withstandMachines,
    clock: options.clock,
    linkMbps: settings.linkMbps,
    logger: loggerFor("idempotency-keys"),
    onPurge: ({ id, host, path, label }) =>
      updates.post([{ key: PURGE_PREFIX + id, version: 1, tie: "", body: { host, path, label } }]),
  });
};

const keyHandlers = (keys: IdempotencyKeyReplication): MessageHandlers => ({
  [NODE_REQUEST.claimKey]: async (message) => {
    const result = await keys.claim(readString(message, "key"), readString(message, "token"));
    return {
      kind: NODE_REPLY.claim,
      verdict: result.kind,
      ...(result.kind === "done" ? { answer: result.answer } : {}),
    };
  },
  [NODE_REQUEST.completeKey]: async (message) => {
    const answer = readStoredResponse(message["answer"]);
    const isStored =
      answer !== undefined &&
      (await keys.responses.store(
        readString(message, "key"),
        readString(message, "token"),
        answer,
      ));
    return { kind: NODE_REPLY.claim, kept: isStored };
  },
  [NODE_REQUEST.releaseKeys]: async (message) => ({
    kind: NODE_REPLY.claim,
    kept: await keys.releaseAll(readReleaseAll(message)),
  }),
});

/**
 * Returns a function that reads the purges from a quorum and sends the nodes the time as of which
 * they have all of them. Calls are skipped while a read is in progress.
 */
const createPurgeReader = (
  keys: IdempotencyKeyReplication,
  { clock, publisher }: ContentOptions,
): (() => Promise<void>) => {
  let isReading = false;
  return async () => {
    if (isReading) return;
    isReading = true;
    const startedUs = clock.nowUs();
    if ((await keys.purges.read()) && keys.isVoting)
      publisher.sendFreshness(clock.nowUs() - startedUs);
    isReading = false;
  };
};

const keyMetrics = (
  keys: IdempotencyKeyReplication,
  table: IdempotencyKeyTable,
): readonly Metric[] => [
  {
    name: "yewreel_key_claims",
    help: "Claims of idempotency keys through this controller, by result.",
    read: () => keys.claimsByResult().map(([result, value]) => ({ labels: { result }, value })),
  },
  {
    name: "yewreel_key_responses",
    help: "Stored responses of idempotency keys, by whether this replica has the body.",
    read: () => {
      const { withBody, withoutBody } = table.responseCounts;
      return [
        { labels: { body: "stored" }, value: withBody },
        { labels: { body: "elsewhere" }, value: withoutBody },
      ];
    },
  },
  {
    name: "yewreel_key_bodies_missing",
    help: "Bodies of stored responses that this replica must hold and is known to lack.",
    read: () => keys.repair.missingCount,
  },
  {
    name: "yewreel_key_bodies_copied",
    help: "Bodies of stored responses copied from other replicas since the start of the process.",
    read: () => keys.repair.copiedCount,
  },
];

/** Creates the subsystem and starts its periodic tasks. */
export const openContent = (options: ContentOptions): Content => {
  const { settings, clock, sessions, updates } = options;
  const table = openKeyTable(options);
  const keys = openKeys(options, table);
  const rates = new RateLeases(options);
  const readPurges = createPurgeReader(keys, options);
  /** The latest status reported by each cache, by node. */
  const cacheStatus = new Map<string, UnknownRecord>();
  sessions.events.on("report", (report) => {
    if (report.kind === NODE_REPORT.releaseKey)
      keys.release(readString(report, "key"), readString(report, "token"));
    if (report.kind === NODE_REPORT.cacheStatus)
      cacheStatus.set(readString(report, "node"), { ...report });
  });
  const catchUpTimer = clock.every(CATCH_UP_PERIOD_US, () => {
    rates.resetIfNotLeader();
    void keys.catchUp();
    keys.repair.runIfDue();
    void readPurges();
  });
  const expiryTimer = clock.every(EXPIRY_PERIOD_US, () =>
    updates.forget(table.removeExpired().map((id) => PURGE_PREFIX + id)),
  );
  const describeKeys = (): UnknownRecord => ({
    keys: table.size,
    responses: table.responseCounts,
    missingBodies: keys.repair.missingCount,
    copiedBodies: keys.repair.copiedCount,
    bytes: table.sizeBytes,
    purges: table.purges().length,
    counting: keys.isVoting,
  });
  return {
    nodeHandlers: { ...keyHandlers(keys), [NODE_REQUEST.leaseRate]: rates.lease },
    peerHandlers: { [PEER_REQUEST.leaseRate]: rates.leaseAsLeader },
    peerFallback: keys.handleRequest,
    queries: { keys: describeKeys, goods: () => [...cacheStatus.values()] },
    metrics: keyMetrics(keys, table),
    purge: keys.purges.add,
    copyToNewMembers: keys.replicateToNewMembers,
    start: () => keys.start(settings.firstRun),
    close: () => {
      catchUpTimer.stop();
      expiryTimer.stop();
    },
  };
};
