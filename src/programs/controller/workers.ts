/**
 * Heartbeats and departures of workers, received from the workers and from other controllers. A
 * heartbeat received by its route is recorded in the registry, which posts it to the nodes as an
 * update. The replicator sends it to the peers, and it is acknowledged once a majority has
 * answered.
 */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { MessageKind, readHeartbeat, readSharedHeartbeat } from "../../membership/messages.js";
import type { Peers } from "../../membership/peers.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { readRanges } from "../../sharding/shard-heartbeat.js";
import { asRecord, parseJson, readList, type UnknownRecord } from "../../common/decode.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { pathArgument, badRequest } from "./admin-api.js";
import { HeartbeatReplicator } from "./heartbeat-replicator.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import type { Sharding } from "./sharding.js";
import type { WarmUpPlanner } from "./warm-up-planner.js";
import { isPositiveReply, packDecision, PEER_REQUEST } from "./peer-messages.js";

/** Dependencies of {@link openWorkers}. */
export interface WorkersOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly registry: WorkerRegistry;
  readonly store: ReplicatedStore;
  readonly peers: Peers;
  readonly isWithoutQuorum: () => boolean;
  readonly sharding: Sharding;
  readonly warmUps: WarmUpPlanner;
}

/** The heartbeat handling with its message handlers and routes. */
export interface Workers {
  /**
   * Resolves to true once a majority asked after the call has answered. Calls within 100 ms share
   * one request.
   */
  readonly confirmQuorum: () => Promise<boolean>;
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
}

/**
 * Records and replicates heartbeats and departures, and refers a worker to the controller of its
 * own zone.
 */
class HeartbeatRoutes {
  constructor(
    private readonly options: WorkersOptions,
    private readonly replicator: HeartbeatReplicator,
  ) {}

  readonly heartbeat = async (request: ApiRequest): Promise<ApiResponse> => {
    const { registry, isWithoutQuorum, sharding, warmUps } = this.options;
    let heartbeat: Heartbeat;
    let body: UnknownRecord;
    try {
      body = asRecord(parseJson(request.body), "heartbeat");
      heartbeat = readHeartbeat(pathArgument(request), body);
      readRanges(body);
    } catch (error) {
      return badRequest(error instanceof Error ? error.message : "unreadable");
    }
    if (isWithoutQuorum()) return { outcome: "adrift" };
    registry.record(warmUps.plan(heartbeat));
    const merged = registry.get(heartbeat.id) ?? heartbeat;
    const [isReplicated, grants, reportTo] = await Promise.all([
      heartbeat.state === "ready"
        ? this.replicator.replicateSoon(merged)
        : this.replicator.replicateToQuorum(merged),
      sharding.answerHeartbeat(heartbeat, body),
      this.findZoneController(heartbeat.zone),
    ]);
    if (!isReplicated) return { outcome: "noQuorum" };
    return {
      outcome: "taken",
      body: { ...grants, ...(reportTo === undefined ? {} : { reportTo }) },
    };
  };

  readonly leave = async (request: ApiRequest): Promise<ApiResponse> => {
    if (this.options.isWithoutQuorum()) return { outcome: "adrift" };
    const left = this.options.registry.leave(pathArgument(request));
    const isConfirmed = left
      ? this.replicator.replicateToQuorum(left)
      : this.replicator.confirmQuorum();
    return (await isConfirmed) ? { outcome: "taken" } : { outcome: "noQuorum" };
  };

  /** The id of another controller in the zone, if it confirms that it has a majority. */
  private readonly findZoneController = async (zone: string): Promise<string | undefined> => {
    const { settings, peers } = this.options;
    const controller = peers.connectedControllers().find((candidate) => candidate.zone === zone);
    if (controller === undefined || controller.id === settings.control || settings.zone === zone)
      return undefined;
    const question: Message = { kind: PEER_REQUEST.confirmQuorum };
    const reply = await peers.request(controller.id, question, WRITE_TIMEOUT_US);
    return isPositiveReply(reply) ? controller.id : undefined;
  };
}

/**
 * Merges heartbeats from a peer into the registry. Each may carry its age in microseconds, which is
 * 0 by default.
 */
const mergeHeartbeats = (registry: WorkerRegistry, message: Message): void => {
  readList(message, "beats", (value) => {
    const record = asRecord(value, "beat");
    const heartbeat = readSharedHeartbeat(record);
    const ageUs = typeof record["ageUs"] === "number" ? record["ageUs"] : 0;
    if (heartbeat.state === "gone" && registry.get(heartbeat.id)) registry.markGone(heartbeat.id);
    else registry.record(heartbeat, ageUs);
  });
};

/** Creates the heartbeat handling. All known workers are sent to peers when a link goes up. */
export const openWorkers = (options: WorkersOptions): Workers => {
  const { registry, store, peers } = options;
  const replicator = new HeartbeatReplicator(options);
  const routes = new HeartbeatRoutes(options, replicator);
  peers.events.on("connected", () =>
    peers.broadcast({ kind: MessageKind.heartbeats, beats: registry.packAll() }),
  );
  return {
    confirmQuorum: replicator.confirmQuorum,
    peerHandlers: {
      [MessageKind.heartbeats]: (message) => {
        mergeHeartbeats(registry, message);
        return store.rejectIfOutdated(message) ?? { kind: MessageKind.heartbeatsTaken };
      },
      [PEER_REQUEST.confirmQuorum]: async () => packDecision(await replicator.confirmQuorum()),
    },
    routes: [
      { method: "POST", path: "/workers/*/heartbeat", handle: routes.heartbeat },
      { method: "POST", path: "/workers/*/leave", handle: routes.leave },
    ],
  };
};
