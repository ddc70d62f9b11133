/**
 * Sharded services: which worker holds which keys. The leader decides the tables, in registers
 * written under its term; every controller answers heartbeats with the rows that a quorum read
 * begun after the heartbeat shows, and posts the owners as updates for the nodes.
 */
import { isServiceKey, serviceNameOf } from "../../config/config-keys.js";
import type { LeaderLease } from "../../consensus/leader-lease.js";
import type { Register } from "../../consensus/register.js";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { SHARDS_PREFIX, type NewUpdate, type UpdateStore } from "../../membership/update-store.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import { ReleaseTracker } from "../../sharding/release-tracker.js";
import {
  packGrants,
  packShardReport,
  readRanges,
  readShardReport,
  type ShardReport,
} from "../../sharding/shard-heartbeat.js";
import { planNextTable } from "../../sharding/shard-planner.js";
import { decodeTable, encodeTable, type ShardTable } from "../../sharding/shard-table.js";
import { coalesce, type Clock, type Timer } from "../../common/clock.js";
import { asRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { Consensus } from "./consensus.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";

/** Prefix of the registers of tables; followed by the service. Stored, so it must not change. */
const TABLE_PREFIX = "shard/";
/** The encoded table of a service that has none yet. */
const NO_ROWS = encodeTable([]);
const PLAN_PERIOD_US = 250 * MILLISECOND_US;
/** Heartbeats within this time share a quorum read. */
const READ_BATCH_US = 100 * MILLISECOND_US;
/** A lease outlasts this many heartbeats, so that some may fail while controllers restart. */
const HEARTBEATS_PER_HOLD = 4;

/** Dependencies of {@link Sharding}. */
export interface ShardingOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly lease: LeaderLease;
  readonly registry: WorkerRegistry;
  readonly updates: UpdateStore;
  readonly askHolder: Consensus["askHolder"];
  /** Whether the zone is evacuated, so that its workers can't serve their keys. */
  readonly isEvacuated: (zone: string) => boolean;
}

const ownersOf = (table: ShardTable): readonly (readonly [number, string])[] =>
  table
    .filter((row, at) => row.worker !== table[at - 1]?.worker)
    .map(({ from, worker }) => [from, worker] as const);

const toShardsUpdate = (service: string, { version, body }: Register): NewUpdate => ({
  key: SHARDS_PREFIX + service,
  version,
  tie: "",
  body: { owners: ownersOf(decodeTable(body)) },
});

/** Grants the keys of sharded services to their workers. */
export class Sharding {
  readonly peerHandlers: MessageHandlers;
  private readonly holdUs: number;
  private readonly tracker: ReleaseTracker;
  /** Resolves to true once a quorum read that was begun after the call has succeeded. */
  private readonly readQuorum: () => Promise<boolean>;
  private readonly tables = new Map<string, { register: Register; table: ShardTable }>();
  private readonly shardedServices = new Set<string>();
  private readonly postedOwners = new Map<string, string>();
  private timer: Timer | undefined;
  private isPlanning = false;

  constructor(private readonly options: ShardingOptions) {
    const { clock, settings, store } = options;
    this.holdUs = Math.min(settings.holdMaxUs, settings.heartbeatUs * HEARTBEATS_PER_HOLD);
    this.tracker = new ReleaseTracker({ clock, holdUs: this.holdUs });
    this.readQuorum = coalesce(clock, READ_BATCH_US, async () => (await store.read()).isOk);
    this.peerHandlers = {
      [PEER_REQUEST.reportShards]: (message) => {
        this.recordReport(readShardReport(message));
        return { kind: PEER_REPLY.done };
      },
    };
    store.events.on("committed", (registers) => {
      this.learnServices(registers);
      this.post(registers);
    });
  }

  readonly start = (): void => {
    this.timer = this.options.clock.every(PLAN_PERIOD_US, () => void this.plan());
  };

  readonly close = (): void => this.timer?.stop();

  /** Whether the service's keys are granted to its workers. */
  readonly isSharded = (service: string): boolean => this.shardedServices.has(service);

  /**
   * Returns the part of the answer to a heartbeat that states what its worker is to hold; empty,
   * which renews nothing, if that is not certain.
   *
   * @param body - the heartbeat as received
   * @throws DecodeError if the ranges of the heartbeat are invalid
   */
  readonly answerHeartbeat = async (
    { service, id, callCount }: Heartbeat,
    body: UnknownRecord,
  ): Promise<UnknownRecord> => {
    if (!this.isSharded(service)) return {};
    const report = { service, worker: id, callCount, ...readRanges(body) };
    const [isCurrent] = await Promise.all([this.readQuorum(), this.passOn(report)]);
    if (!isCurrent) return {};
    const rows = this.tableOf(service).filter(
      ({ worker, isReleasing }) => worker === id && !isReleasing,
    );
    return packGrants(rows, this.holdUs);
  };

  /** The rows of all tables, for operators. */
  readonly describe = (): readonly UnknownRecord[] =>
    [...this.shardedServices].flatMap((service) =>
      this.tableOf(service).map(({ from, to, worker, fence, isReleasing, next }) => ({
        service,
        from,
        to,
        worker,
        fence,
        state: isReleasing ? "releasing" : "owned",
        next,
      })),
    );

  private readonly passOn = async (report: ShardReport): Promise<void> => {
    if (report.released.length === 0) return;
    if (this.options.lease.isHolder()) this.recordReport(report);
    else
      await this.options.askHolder(
        { kind: PEER_REQUEST.reportShards, ...packShardReport(report) },
        WRITE_TIMEOUT_US,
      );
  };

  private readonly recordReport = (report: ShardReport): void => {
    const known = this.options.registry.get(report.worker)?.callCount ?? 0;
    // A later call of the worker is known, so that it may have been granted the keys again.
    if (report.callCount < known) return;
    this.tracker.recordReport(report, this.tableOf(report.service));
    void this.plan();
  };

  private readonly tableOf = (service: string): ShardTable => {
    const register = this.options.store.get(TABLE_PREFIX + service);
    if (!register) return [];
    const known = this.tables.get(service);
    if (known?.register === register) return known.table;
    const table = decodeTable(register.body);
    this.tables.set(service, { register, table });
    return table;
  };

  /** On the leader, decides the next tables. */
  private readonly plan = async (): Promise<void> => {
    const { lease, registry } = this.options;
    if (!lease.isHolder()) {
      this.tracker.clear();
      return;
    }
    if (this.isPlanning || !registry.isComplete()) return;
    this.isPlanning = true;
    try {
      for (const service of this.shardedServices) await this.planService(service);
    } finally {
      this.isPlanning = false;
    }
  };

  private readonly planService = async (service: string): Promise<void> => {
    const { store, lease, registry, isEvacuated } = this.options;
    const term = lease.activeTerm();
    if (!term) return;
    const table = this.tableOf(service);
    this.tracker.observe(service, table);
    const workers = registry
      .all()
      .filter(({ service: served, state }) => served === service && state === "ready")
      .filter(({ zone }) => !isEvacuated(zone));
    const before = store.get(TABLE_PREFIX + service)?.body ?? NO_ROWS;
    const body = encodeTable(planNextTable(table, workers, this.tracker.stateOf(service)));
    if (body === before) return;
    const decided = await store.decide(
      TABLE_PREFIX + service,
      (current) => ((current?.body ?? NO_ROWS) === before ? body : undefined),
      term,
    );
    if (decided.isOk && decided.value?.body === body)
      loggerFor("sharding").info("shard table decided", {
        service,
        rows: decodeTable(body).length,
        version: decided.value.version,
      });
  };

  private readonly learnServices = (registers: readonly Register[]): void =>
    registers
      .filter(({ key }) => isServiceKey(key))
      .forEach(({ key, dropped, body }) => {
        const isSharded = !dropped && asRecord(parseJson(body))["sharded"] === true;
        if (isSharded) this.shardedServices.add(serviceNameOf(key));
        else this.shardedServices.delete(serviceNameOf(key));
      });

  private readonly post = (registers: readonly Register[]): void =>
    registers
      .filter(({ key }) => key.startsWith(TABLE_PREFIX))
      .forEach((register) => {
        const service = register.key.slice(TABLE_PREFIX.length);
        const update = toShardsUpdate(service, register);
        const owners = JSON.stringify(update.body);
        if (this.postedOwners.get(service) === owners) return;
        this.postedOwners.set(service, owners);
        this.options.updates.post([update]);
      });
}
