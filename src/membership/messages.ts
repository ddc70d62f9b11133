/**
 * Wire format of membership: message kinds and keys used between controllers, nodes and their
 * relays, in the file of known workers, and in responses to operators. Other versions of the
 * program read and write these names, so they must never change; the in-memory types have names of
 * their own.
 */
import {
  asRecord,
  asString,
  isRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import { parseDuration } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import type {
  CacheAddress,
  ClusterNode,
  ClusterSize,
  ControllerAddress,
  Heartbeat,
  NodeAnswer,
  NodeRole,
  WorkerState,
} from "./cluster.js";

/** The `kind` of each message. */
// eslint-disable-next-line @typescript-eslint/naming-convention -- an enumeration, named like a type
export const MessageKind = {
  /** Controller to controller: the first message on a link. */
  peerHello: "colleague",
  /** Node to controller: the first message of a session. */
  nodeHello: "pointsman",
  /** Response to either hello when the session or link is accepted. */
  welcome: "welcome",
  /**
   * Response to a node's hello from a controller that has no quorum or serves only its own zone.
   */
  rejected: "adrift",
  /** Controller to node: the connected controllers. */
  controllers: "boxes",
  /** Controller to node: the relay from which the node receives updates. */
  parent: "parent",
  /** Node to controller: its relay failed. */
  parentLost: "lost-news",
  /** Node to its relay: the first message on a connection. */
  childHello: "child",
  updates: "news",
  /** Child to its parent: a large frame was received. */
  acknowledgement: "acknowledge",
  /** Controller to node: updates up to a position are being sent. */
  announcement: "announce",
  clusterSize: "crew",
  freshness: "fresh",
  /** Controller to controller: the nodes that have a session with the sender. */
  sessions: "sessions",
  heartbeats: "beats",
  /** Response to `heartbeats`. */
  heartbeatsTaken: "took",
  /**
   * Controller to controller: a query to the nodes that have a session with the receiver, and the
   * response with their answers.
   */
  queryNodes: "ask-nodes",
  nodeAnswers: "answers",
  unknown: "unknown",
} as const;

const PROTOCOL = "protocol";
/** Number of a frame that must be acknowledged, both in the frame and in its acknowledgement. */
const ACKNOWLEDGE = "acknowledge";
const ZONE = "cell";
const CONTROLLERS = "boxes";
const GATEWAYS = "pointsmen";
const ZONES = "cells";
const CACHES = "depots";
const ZONE_DISTRIBUTORS = "halls";
const SENDERS = "senders";
const ROLES = { gateway: "pointsman", cache: "depot" } as const;

const isWorkerState = (value: string): value is WorkerState =>
  value === "ready" || value === "missing" || value === "draining" || value === "gone";

const packSenders = ({ senders }: Heartbeat): UnknownRecord =>
  senders === undefined || senders.length === 0 ? {} : { [SENDERS]: senders };

/** The names of the nodes that may send to a worker that warms up. */
export const readSenders = (record: UnknownRecord): readonly string[] =>
  record[SENDERS] === undefined ? [] : readList(record, SENDERS, asString);

/** Packs a heartbeat as it is sent to other controllers, stored on disk and shown to operators. */
export const packHeartbeat = (heartbeat: Heartbeat): UnknownRecord => ({
  id: heartbeat.id,
  service: heartbeat.service,
  address: heartbeat.address,
  [ZONE]: heartbeat.zone,
  version: heartbeat.version,
  capacity: heartbeat.capacity,
  state: heartbeat.state,
  warmUs: heartbeat.warmUs,
  callCount: heartbeat.callCount,
  ...packSenders(heartbeat),
});

/**
 * Reads the body of a worker's heartbeat request.
 *
 * @throws DecodeError naming the invalid field
 */
export const readHeartbeat = (id: string, value: unknown): Heartbeat => {
  const record = asRecord(value, "heartbeat");
  const state = readString(record, "state");
  return {
    id,
    service: readString(record, "service"),
    address: readString(record, "address"),
    zone: readString(record, ZONE),
    version: typeof record["version"] === "string" ? record["version"] : "",
    capacity: readNumber(record, "capacity"),
    state: isWorkerState(state) ? state : "ready",
    warmUs:
      typeof record["warmUs"] === "number"
        ? record["warmUs"]
        : parseDuration(record["warmLeft"]).unwrapOr(0),
    callCount: readNumber(record, "callCount"),
  };
};

/** Reads a heartbeat packed by `packHeartbeat`. */
export const readSharedHeartbeat = (value: unknown): Heartbeat => {
  const record = asRecord(value, "heartbeat");
  const heartbeat = readHeartbeat(readString(record, "id"), record);
  const senders = readSenders(record);
  return senders.length === 0 ? heartbeat : { ...heartbeat, senders };
};

/** The body of the update that announces a worker to nodes. */
export const packWorkerUpdate = (heartbeat: Heartbeat): UnknownRecord => ({
  service: heartbeat.service,
  address: heartbeat.address,
  [ZONE]: heartbeat.zone,
  capacity: heartbeat.capacity,
  state: heartbeat.state,
  warmUs: heartbeat.warmUs,
  release: heartbeat.version,
  ...packSenders(heartbeat),
});

/** Packs a node as it is sent to other controllers and shown to operators. */
export const packNode = (node: ClusterNode): UnknownRecord => ({
  name: node.name,
  [ZONE]: node.zone,
  relay: node.relay,
  role: ROLES[node.role],
  linkMbps: node.linkMbps,
});

/**
 * Reads a node packed by `packNode`; throws a DecodeError if a field is missing or of the wrong
 * type.
 */
export const readNode = (value: unknown): ClusterNode => {
  const record = asRecord(value, "node");
  return {
    name: readString(record, "name"),
    zone: readString(record, ZONE),
    relay: readString(record, "relay"),
    role: record["role"] === ROLES.cache ? "cache" : "gateway",
    linkMbps: typeof record["linkMbps"] === "number" ? record["linkMbps"] : 0,
  };
};

/** A node's first message to a controller. `linkMbps` is omitted if the node does not know it. */
export const packNodeHello = (node: {
  readonly name: string;
  readonly zone: string;
  readonly relay: string;
  readonly role: NodeRole;
  readonly linkMbps?: number;
  readonly protocol?: number;
}): Message => ({
  kind: MessageKind.nodeHello,
  node: {
    name: node.name,
    [ZONE]: node.zone,
    relay: node.relay,
    role: ROLES[node.role],
    ...(node.linkMbps === undefined ? {} : { linkMbps: node.linkMbps }),
    ...packProtocol(node.protocol),
  },
});

const packProtocol = (protocol: number | undefined): UnknownRecord =>
  protocol === undefined ? {} : { [PROTOCOL]: protocol };

/** The update protocol version stated in a hello; 1 if it states none. */
export const readProtocol = (hello: UnknownRecord): number =>
  typeof hello[PROTOCOL] === "number" ? hello[PROTOCOL] : 1;

/** A node's first message to its relay. */
export const packChildHello = (name: string, protocol: number | undefined): Message => ({
  kind: MessageKind.childHello,
  name,
  ...packProtocol(protocol),
});

/** The number with which to acknowledge a frame of updates; undefined if it requests none. */
export const acknowledgementOf = (updates: Message): number | undefined =>
  typeof updates[ACKNOWLEDGE] === "number" ? updates[ACKNOWLEDGE] : undefined;

/** Adds a request for acknowledgement to a frame of updates. */
export const withAcknowledgement = (updates: Message, number: number): Message => ({
  ...updates,
  [ACKNOWLEDGE]: number,
});

/** The acknowledgement of a frame of updates. */
export const packAcknowledgement = (number: number): Message => ({
  kind: MessageKind.acknowledgement,
  [ACKNOWLEDGE]: number,
});

/** Reads the number of the acknowledged frame. */
export const readAcknowledgement = (message: Message): number => readNumber(message, ACKNOWLEDGE);

/** Packs the nodes that have a session with this controller, for its peers. */
export const packNodes = (nodes: readonly ClusterNode[]): Message => ({
  kind: MessageKind.sessions,
  nodes: nodes.map(packNode),
});

/** Reads the nodes that have a session with a peer. */
export const readNodes = (message: Message): readonly ClusterNode[] =>
  readList(message, "nodes", readNode);

/** A controller's first message to another. */
export const packPeerHello = (
  self: ControllerAddress,
  knownControllers: readonly string[],
): Message => ({
  kind: MessageKind.peerHello,
  from: self.id,
  [ZONE]: self.zone,
  known: knownControllers,
});

/** The zone stated in a peer's hello or welcome; undefined if it states none. */
export const readPeerZone = (hello: Message): string | undefined => {
  const zone = hello[ZONE];
  return typeof zone === "string" ? zone : undefined;
};

/** A list of connected controllers, in a message of one of the kinds that carry it. */
export const packControllers = (
  kind: typeof MessageKind.welcome | typeof MessageKind.rejected | typeof MessageKind.controllers,
  controllers: readonly ControllerAddress[],
): Message => ({
  kind,
  [CONTROLLERS]: controllers.map(({ id, zone }) => ({ id, [ZONE]: zone })),
});

/** The controllers that a message lists; empty if it lists none. */
export const readControllers = (message: Message): readonly ControllerAddress[] =>
  readList(message, CONTROLLERS, (value) => {
    const record = asRecord(value);
    return { id: readString(record, "id"), zone: readString(record, ZONE) };
  });

const packAddress = ({ address, zone }: CacheAddress): UnknownRecord => ({
  address,
  [ZONE]: zone,
});

const readAddresses = (message: Message, key: string): readonly CacheAddress[] =>
  readList(message, key, (value) => {
    const record = asRecord(value);
    return { address: readString(record, "address"), zone: readString(record, ZONE) };
  });

/**
 * Packs the cluster size for a node. Zone distributors and caches are omitted if there are none.
 */
export const packClusterSize = (size: ClusterSize): Message => ({
  kind: MessageKind.clusterSize,
  [GATEWAYS]: size.gateways,
  [ZONES]: size.zones,
  ...(size.zoneDistributors ? { [ZONE_DISTRIBUTORS]: size.zoneDistributors.map(packAddress) } : {}),
  ...(size.caches ? { [CACHES]: size.caches.map(packAddress) } : {}),
});

/** Reads a size packed by `packClusterSize`; an empty list is treated like a missing one. */
export const readClusterSize = (message: Message): ClusterSize => {
  const zones = asRecord(message[ZONES], ZONES);
  const caches = readAddresses(message, CACHES);
  const zoneDistributors = readAddresses(message, ZONE_DISTRIBUTORS);
  return {
    gateways: readNumber(message, GATEWAYS),
    zones: Object.fromEntries(Object.keys(zones).map((zone) => [zone, readNumber(zones, zone)])),
    ...(zoneDistributors.length > 0 ? { zoneDistributors } : {}),
    ...(caches.length > 0 ? { caches } : {}),
  };
};

/**
 * Packs a node's answer for transfer from the controller that queried the node to the controller
 * that requested it.
 */
export const packNodeAnswer = ({ node, zone, answer }: NodeAnswer): UnknownRecord => ({
  node,
  [ZONE]: zone,
  answer,
});

/** Reads an answer packed by `packNodeAnswer`; an answer that is not a record counts as missing. */
export const readNodeAnswer = (value: unknown): NodeAnswer => {
  const record = asRecord(value, "answer");
  return {
    node: readString(record, "node"),
    zone: readString(record, ZONE),
    answer: isRecord(record["answer"]) ? record["answer"] : undefined,
  };
};
