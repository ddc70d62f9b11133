/**
 * The members of the cluster: data plane nodes with their number and zones, controllers, and
 * workers.
 */
import type { UnknownRecord } from "../common/decode.js";

/** Role of a data plane node: a `gateway` proxies requests, a `cache` stores shared objects. */
export type NodeRole = "gateway" | "cache";

/** A data plane node, as described in its hello to a controller. */
export interface ClusterNode {
  readonly name: string;
  readonly zone: string;
  /** Address (ip:port) at which the node accepts the children that it relays updates to. */
  readonly relay: string;
  readonly role: NodeRole;
  /** Bandwidth of the node's network link; 0 if unknown. */
  readonly linkMbps: number;
}

/** Relay address (ip:port) and zone of a node that serves objects to other nodes. */
export interface CacheAddress {
  readonly address: string;
  readonly zone: string;
}

/** Number of live gateways, in total and by zone, and the nodes that serve objects to others. */
export interface ClusterSize {
  readonly gateways: number;
  readonly zones: Readonly<Record<string, number>>;
  /** Caches with an open session; omitted if there are none. */
  readonly caches?: readonly CacheAddress[];
  /** Gateways that distribute large objects within their zone; omitted if there are none. */
  readonly zoneDistributors?: readonly CacheAddress[];
}

/** A connected controller. Its id is its control address (ip:port). */
export interface ControllerAddress {
  readonly id: string;
  readonly zone: string;
}

/** One node's answer to a query; `answer` is undefined if the node did not respond in time. */
export interface NodeAnswer {
  readonly node: string;
  readonly zone: string;
  readonly answer: UnknownRecord | undefined;
}

/**
 * Availability of a worker: `ready` accepts requests, `missing` has sent no recent heartbeats,
 * `draining` is about to leave, `gone` has left.
 */
export type WorkerState = "ready" | "missing" | "draining" | "gone";

/** The state of a worker as of its last heartbeat. */
export interface Heartbeat {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  /** Release that the worker runs; empty if it reports none. */
  readonly version: string;
  /** Maximum number of concurrent requests. */
  readonly capacity: number;
  readonly state: WorkerState;
  /** Remaining warm-up time, counted from the time of the heartbeat. */
  readonly warmUs: number;
  /**
   * Names of the gateways that may send to the worker while it warms up, as chosen by the controller
   * that received the heartbeat; omitted if there are none.
   */
  readonly senders?: readonly string[];
  /** Number of calls the worker has made; a later call has a higher count. */
  readonly callCount: number;
}
