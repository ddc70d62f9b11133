/**
 * Additional services of a controller in a content deployment: idempotency keys, purges of cached
 * objects, and leases of the origins' rate limits. Other deployments do not load this module or its
 * imports.
 */
import type { LeaderLease } from "../../consensus/leader-lease.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import { RATE_LEASE_US, RateAllocator } from "../../quota/rate-allocator.js";
import { readNumber, readString, type UnknownRecord } from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";
import type { Consensus } from "./consensus.js";
import type { QueryHandlers } from "./fleet-queries.js";
import { openIdempotencyKeys, type IdempotencyKeysOptions } from "./idempotency-keys.js";
import type { Metric } from "../metrics-server.js";
import type { MessageHandler, MessageHandlers } from "./message-dispatcher.js";
import { NODE_REPORT, NODE_REQUEST } from "./node-messages.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import type { PurgeTarget } from "./purge-route.js";

const RATE_CHECK_PERIOD_US = 300 * MILLISECOND_US;

/** Dependencies of {@link openContent}. */
export interface ContentOptions extends IdempotencyKeysOptions {
  readonly lease: LeaderLease;
  readonly askHolder: Consensus["askHolder"];
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

/** Creates the subsystem and starts its periodic tasks. */
export const openContent = (options: ContentOptions): Content => {
  const { clock, sessions } = options;
  const keys = openIdempotencyKeys(options);
  const rates = new RateLeases(options);
  /** The latest status reported by each cache, by node. */
  const cacheStatus = new Map<string, UnknownRecord>();
  sessions.events.on("report", (report) => {
    if (report.kind === NODE_REPORT.cacheStatus)
      cacheStatus.set(readString(report, "node"), { ...report });
  });
  const rateTimer = clock.every(RATE_CHECK_PERIOD_US, rates.resetIfNotLeader);
  return {
    nodeHandlers: { ...keys.nodeHandlers, [NODE_REQUEST.leaseRate]: rates.lease },
    peerHandlers: { [PEER_REQUEST.leaseRate]: rates.leaseAsLeader },
    peerFallback: keys.replication.handleRequest,
    queries: { keys: keys.describe, goods: () => [...cacheStatus.values()] },
    metrics: keys.metrics,
    purge: keys.replication.purges.add,
    copyToNewMembers: keys.replication.replicateToNewMembers,
    start: keys.start,
    close: () => {
      rateTimer.stop();
      keys.close();
    },
  };
};
