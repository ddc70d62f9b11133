/**
 * Idempotency keys and purges of a controller: its table on disk, the replication among the
 * controllers, the requests of gateways, and what operators see of it.
 */
import { join } from "node:path";
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { readReleaseAll, readStoredResponse } from "../../idempotency/key-codec.js";
import { IdempotencyKeyReplication } from "../../idempotency/key-replication.js";
import { IdempotencyKeyTable } from "../../idempotency/key-table.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import type { Peers } from "../../membership/peers.js";
import type { UpdatePublisher } from "../../membership/update-publisher.js";
import { PURGE_PREFIX, type UpdateStore } from "../../membership/update-store.js";
import type { Clock } from "../../common/clock.js";
import { readString, type UnknownRecord } from "../../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../../common/duration.js";
import { loggerFor } from "../../common/logger.js";
import type { Settings } from "../../common/settings.js";
import type { Metric } from "../metrics-server.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { NODE_REPLY, NODE_REPORT, NODE_REQUEST } from "./node-messages.js";

const BYTES_PER_MB = 1024 * 1024;
const CATCH_UP_PERIOD_US = 300 * MILLISECOND_US;
const EXPIRY_PERIOD_US = SECOND_US;

/** Dependencies of {@link openIdempotencyKeys}. */
export interface IdempotencyKeysOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly peers: Peers;
  readonly sessions: NodeSessions;
  readonly updates: UpdateStore;
  readonly publisher: UpdatePublisher;
}

/** The idempotency keys and purges of a controller. */
export interface IdempotencyKeys {
  readonly replication: IdempotencyKeyReplication;
  readonly nodeHandlers: MessageHandlers;
  readonly metrics: readonly Metric[];
  /** Describes the table and its replication for operators. */
  readonly describe: () => UnknownRecord;
  /** Loads the table from disk. */
  readonly start: () => Promise<void>;
  readonly close: () => void;
}

const openKeyTable = ({ settings, clock }: IdempotencyKeysOptions): IdempotencyKeyTable =>
  new IdempotencyKeyTable({
    folder: settings.dataFolder === "" ? "" : join(settings.dataFolder, "keys"),
    clock,
    keyWindowUs: settings.keyWindowUs,
    diskBytes: settings.diskMb * BYTES_PER_MB,
  });

const openReplication = (
  options: IdempotencyKeysOptions,
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
  { clock, publisher }: IdempotencyKeysOptions,
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
    labels: ["result"],
    read: () => keys.claimsByResult().map(([result, value]) => ({ labels: { result }, value })),
  },
  {
    name: "yewreel_key_responses",
    help: "Stored responses of idempotency keys, by whether this replica has the body.",
    labels: ["body"],
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

/** Opens the table and starts the periodic work on it. */
export const openIdempotencyKeys = (options: IdempotencyKeysOptions): IdempotencyKeys => {
  const { settings, clock, sessions, updates } = options;
  const table = openKeyTable(options);
  const replication = openReplication(options, table);
  const readPurges = createPurgeReader(replication, options);
  sessions.events.on("report", (report) => {
    if (report.kind === NODE_REPORT.releaseKey)
      replication.release(readString(report, "key"), readString(report, "token"));
  });
  const catchUpTimer = clock.every(CATCH_UP_PERIOD_US, () => {
    void replication.catchUp();
    // Claims come first: until this replica votes, it may be missing in a quorum.
    if (replication.isVoting) replication.repair.runIfDue();
    void readPurges();
  });
  const expiryTimer = clock.every(EXPIRY_PERIOD_US, () =>
    updates.forget(table.removeExpired().map((id) => PURGE_PREFIX + id)),
  );
  return {
    replication,
    nodeHandlers: keyHandlers(replication),
    metrics: keyMetrics(replication, table),
    describe: () => ({
      keys: table.size,
      responses: table.responseCounts,
      missingBodies: replication.repair.missingCount,
      copiedBodies: replication.repair.copiedCount,
      bytes: table.sizeBytes,
      purges: table.purges().length,
      counting: replication.isVoting,
    }),
    start: () => replication.start(settings.firstRun),
    close: () => {
      catchUpTimer.stop();
      expiryTimer.stop();
    },
  };
};
