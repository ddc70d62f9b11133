/**
 * Workers: their heartbeats and departures, as they come in from workers and from the other
 * controllers. A heartbeat comes in by its route, goes to the registry, and from there to the nodes
 * as an update; the replicator sends it on to the peers, and it is acknowledged once a majority was
 * heard.
 */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import { WRITE_TIMEOUT_US } from "../../consensus/timeouts.js";
import type { Heartbeat } from "../../membership/cluster.js";
import { MessageKind, readHeartbeat, readSharedHeartbeat } from "../../membership/messages.js";
import type { Peers } from "../../membership/peers.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import { asRecord, parseJson, readList } from "../../common/decode.js";
import type { Settings } from "../../common/settings.js";
import type { Message } from "../../transport/connection.js";
import type { ApiRequest, ApiResponse, ApiRoute } from "../http-api.js";
import { pathArgument, badRequest } from "./admin-api.js";
import { HeartbeatReplicator } from "./heartbeat-replicator.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { isPositiveReply, packDecision, PEER_REQUEST } from "./peer-messages.js";

/** What the handling of heartbeats works on. */
export interface WorkersOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly registry: WorkerRegistry;
  readonly store: ReplicatedStore;
  readonly peers: Peers;
  readonly isWithoutQuorum: () => boolean;
}

/** The open handling of heartbeats. */
export interface Workers {
  /**
   * Resolves to true once a majority answered after the call; calls within a tenth of a second
   * share the question.
   */
  readonly confirmQuorum: () => Promise<boolean>;
  readonly peerHandlers: MessageHandlers;
  readonly routes: readonly ApiRoute[];
}

/**
 * Takes a worker's heartbeat, replicates it, and tells the worker where its own zone's controller
 * is.
 */
class HeartbeatRoutes {
  constructor(
    private readonly options: WorkersOptions,
    private readonly replicator: HeartbeatReplicator,
  ) {}

  readonly heartbeat = async (request: ApiRequest): Promise<ApiResponse> => {
    const { registry, isWithoutQuorum } = this.options;
    let heartbeat: Heartbeat;
    try {
      heartbeat = readHeartbeat(pathArgument(request), parseJson(request.body));
    } catch (error) {
      return badRequest(error instanceof Error ? error.message : "unreadable");
    }
    if (isWithoutQuorum()) return { outcome: "adrift" };
    registry.record(heartbeat);
    const merged = registry.get(heartbeat.id) ?? heartbeat;
    const [isReplicated, reportTo] = await Promise.all([
      heartbeat.state === "ready"
        ? this.replicator.replicateSoon(merged)
        : this.replicator.replicateToQuorum(merged),
      this.findZoneController(heartbeat.zone),
    ]);
    if (!isReplicated) return { outcome: "noQuorum" };
    return { outcome: "taken", body: reportTo === undefined ? {} : { reportTo } };
  };

  readonly leave = async (request: ApiRequest): Promise<ApiResponse> => {
    if (this.options.isWithoutQuorum()) return { outcome: "adrift" };
    const left = this.options.registry.leave(pathArgument(request));
    const isConfirmed = left
      ? this.replicator.replicateToQuorum(left)
      : this.replicator.confirmQuorum();
    return (await isConfirmed) ? { outcome: "taken" } : { outcome: "noQuorum" };
  };

  /** The other controller of that zone, if it says now that it hears a majority. */
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
 * Merges the heartbeats that a peer sent into the registry; each may say how old it is, in
 * microseconds.
 */
const mergeHeartbeats = (registry: WorkerRegistry, message: Message): void => {
  readList(message, "beats", (value) => {
    const record = asRecord(value, "beat");
    const heartbeat = readSharedHeartbeat(record);
    const ageUs = typeof record["ageUs"] === "number" ? record["ageUs"] : 0;
    if (heartbeat.state === "gone" && registry.get(heartbeat.id)) registry.drop(heartbeat.id);
    else registry.record(heartbeat, ageUs);
  });
};

/** Opens the handling of heartbeats; a peer whose link comes up is sent every worker known here. */
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
