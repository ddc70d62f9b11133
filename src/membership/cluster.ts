/**
 * Who belongs to the cluster: the nodes of the data plane, their number and place, and the
 * controllers.
 */
import type { UnknownRecord } from "../common/decode.js";

/** What a node of the data plane does: `gateway` proxies requests, `cache` keeps shared objects. */
export type NodeRole = "gateway" | "cache";

/** A node of the data plane, as it introduces itself to a controller. */
export interface ClusterNode {
  readonly name: string;
  readonly zone: string;
  /** The address (ip:port) at which the node serves the children that it relays updates to. */
  readonly relay: string;
  readonly role: NodeRole;
  /** The bandwidth of its network link; 0 when unknown. */
  readonly linkMbps: number;
}

/** Where objects are asked for: the relay address (ip:port) of a node, and its zone. */
export interface CacheAddress {
  readonly address: string;
  readonly zone: string;
}

/**
 * How many live gateways there are, in all and by zone, and which nodes serve objects to others.
 */
export interface ClusterSize {
  readonly gateways: number;
  readonly zones: Readonly<Record<string, number>>;
  /** The caches with a session; left out where there are none. */
  readonly caches?: readonly CacheAddress[];
  /**
   * The gateways that distribute large objects within their zone; left out where there are none.
   */
  readonly zoneDistributors?: readonly CacheAddress[];
}

/** A connected controller: its id, which is its control address (ip:port), and its zone. */
export interface ControllerAddress {
  readonly id: string;
  readonly zone: string;
}

/** One node's answer to a query; undefined where it did not answer in time. */
export interface NodeAnswer {
  readonly node: string;
  readonly zone: string;
  readonly answer: UnknownRecord | undefined;
}

/**
 * Whether a worker takes requests: `missing` without recent heartbeats, `draining` when it is
 * leaving, `gone` once it has left.
 */
export type WorkerState = "ready" | "missing" | "draining" | "gone";

/** What is known of a worker by its last heartbeat. */
export interface Heartbeat {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  /** The release that the worker runs; empty when it gives none. */
  readonly version: string;
  /** How many requests it serves at once. */
  readonly capacity: number;
  readonly state: WorkerState;
  /** How long it goes on warming up, from the time of the heartbeat. */
  readonly warmUs: number;
  /** How many calls the worker has made; a later call has a higher count. */
  readonly callCount: number;
}
