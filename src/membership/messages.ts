/**
 * The wire form of membership: message kinds and keys between controllers, nodes and their relays,
 * in the remembered workers' file, and in the answers to operators. Other versions of the program
 * read and write these names, so they never change; the types in memory have names of their own.
 */
import {
  asRecord,
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
  /** Controller to controller: the first message over a link. */
  peerHello: "colleague",
  /** Node to controller: the first message over a session. */
  nodeHello: "pointsman",
  /** The answer to either hello, when the session or link is accepted. */
  welcome: "welcome",
  /**
   * The answer to a node's hello from a controller that is without quorum or serves only its own
   * zone.
   */
  rejected: "adrift",
  /** Controller to node: the connected controllers. */
  controllers: "boxes",
  /** Controller to node: the relay that sends it updates. */
  parent: "parent",
  /** Node to controller: its relay failed. */
  parentLost: "lost-news",
  /** Node to its relay: the first message over a connection. */
  childHello: "child",
  updates: "news",
  /** A child to the node that sends it updates: a large frame has come. */
  acknowledgement: "acknowledge",
  /** Controller to node: updates up to a position are on their way. */
  announcement: "announce",
  clusterSize: "crew",
  freshness: "fresh",
  /** Controller to controller: the nodes with a session. */
  sessions: "sessions",
  heartbeats: "beats",
  /** The answer to `heartbeats`. */
  heartbeatsTaken: "took",
  /** Controller to controller: a query for the nodes with a session there, and its answer. */
  queryNodes: "ask-nodes",
  nodeAnswers: "answers",
  unknown: "unknown",
} as const;

const PROTOCOL = "protocol";
/** In updates the number that they are to be acknowledged with, and in the acknowledgement. */
const ACKNOWLEDGE = "acknowledge";
const ZONE = "cell";
const CONTROLLERS = "boxes";
const GATEWAYS = "pointsmen";
const ZONES = "cells";
const CACHES = "depots";
const ZONE_DISTRIBUTORS = "halls";
const ROLES = { gateway: "pointsman", cache: "depot" } as const;

const isWorkerState = (value: string): value is WorkerState =>
  value === "ready" || value === "missing" || value === "draining" || value === "gone";

/** A heartbeat as shared between controllers, remembered on disk, and shown to operators. */
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
});

/** Reads the body of a worker's heartbeat request. Throws a sentence on the field that is wrong. */
export const readHeartbeat = (id: string, value: unknown): Heartbeat => {
  const record = asRecord(value, "the beat");
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

/** Reads what `packHeartbeat` gave. */
export const readSharedHeartbeat = (value: unknown): Heartbeat => {
  const record = asRecord(value, "the beat");
  return readHeartbeat(readString(record, "id"), record);
};

/** The body of the update that tells nodes of a worker. */
export const packWorkerUpdate = (heartbeat: Heartbeat): UnknownRecord => ({
  service: heartbeat.service,
  address: heartbeat.address,
  [ZONE]: heartbeat.zone,
  capacity: heartbeat.capacity,
  state: heartbeat.state,
  warmUs: heartbeat.warmUs,
  release: heartbeat.version,
});

/** A node as told to other controllers and to operators. */
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

/**
 * A node's first message to a controller. `linkMbps` is left out where the node doesn't know it.
 */
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

/** The version of the update protocol that a hello gives; 1 where it gives none. */
export const readProtocol = (hello: UnknownRecord): number =>
  typeof hello[PROTOCOL] === "number" ? hello[PROTOCOL] : 1;

/** A node's first message to its relay. */
export const packChildHello = (name: string, protocol: number | undefined): Message => ({
  kind: MessageKind.childHello,
  name,
  ...packProtocol(protocol),
});

/** The number that a frame of updates is to be acknowledged with; undefined where it wants none. */
export const acknowledgementOf = (updates: Message): number | undefined =>
  typeof updates[ACKNOWLEDGE] === "number" ? updates[ACKNOWLEDGE] : undefined;

/** Asks for a frame of updates to be acknowledged. */
export const withAcknowledgement = (updates: Message, number: number): Message => ({
  ...updates,
  [ACKNOWLEDGE]: number,
});

/** The acknowledgement of a frame of updates. */
export const packAcknowledgement = (number: number): Message => ({
  kind: MessageKind.acknowledgement,
  [ACKNOWLEDGE]: number,
});

/** Reads what `packAcknowledgement` gave. */
export const readAcknowledgement = (message: Message): number => readNumber(message, ACKNOWLEDGE);

/** The nodes that have sessions with a controller, for its peers. */
export const packNodes = (nodes: readonly ClusterNode[]): Message => ({
  kind: MessageKind.sessions,
  nodes: nodes.map(packNode),
});

/** The nodes that a peer has sessions with. */
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

/** The zone that a peer's hello or welcome gives; undefined where it gives none. */
export const readPeerZone = (hello: Message): string | undefined => {
  const zone = hello[ZONE];
  return typeof zone === "string" ? zone : undefined;
};

/** A list of connected controllers under one of the message kinds that carry it. */
export const packControllers = (
  kind: typeof MessageKind.welcome | typeof MessageKind.rejected | typeof MessageKind.controllers,
  controllers: readonly ControllerAddress[],
): Message => ({
  kind,
  [CONTROLLERS]: controllers.map(({ id, zone }) => ({ id, [ZONE]: zone })),
});

/** The controllers that a message lists; empty where it lists none. */
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
 * The size of the cluster for a node. Zone distributors and caches are left out where there are
 * none.
 */
export const packClusterSize = (size: ClusterSize): Message => ({
  kind: MessageKind.clusterSize,
  [GATEWAYS]: size.gateways,
  [ZONES]: size.zones,
  ...(size.zoneDistributors ? { [ZONE_DISTRIBUTORS]: size.zoneDistributors.map(packAddress) } : {}),
  ...(size.caches ? { [CACHES]: size.caches.map(packAddress) } : {}),
});

/** Reads what `packClusterSize` packed; an empty list reads like a missing one. */
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

/** A node's answer on its way from the controller that asked it to the one that wants it. */
export const packNodeAnswer = ({ node, zone, answer }: NodeAnswer): UnknownRecord => ({
  node,
  [ZONE]: zone,
  answer,
});

/** Reads what `packNodeAnswer` packed; an answer that is no record reads like none. */
export const readNodeAnswer = (value: unknown): NodeAnswer => {
  const record = asRecord(value, "answer");
  return {
    node: readString(record, "node"),
    zone: readString(record, ZONE),
    answer: isRecord(record["answer"]) ? record["answer"] : undefined,
  };
};
