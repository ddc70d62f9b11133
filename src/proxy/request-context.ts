/** State of a request while it is being served. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import type { ClientConnection } from "./client-connection.js";
import type { Customer } from "./customer-directory.js";
import type { DeliveryState } from "./delivery-state.js";
import type { Route } from "./route-table.js";
import type { CancellableRequest } from "./upstream-request.js";

/** A claim on an idempotency key. */
export interface IdempotencyClaim {
  readonly key: string;
  /** Identifies this claim of the key; a released token is never reused. */
  readonly token: string;
  readonly requestedUs: number;
}

/** A request passing through the pipeline. */
export interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: ClientConnection;
  /** Resolves once all earlier requests on the connection have been answered or dropped. */
  readonly previousAnswered: Promise<void>;
  /** The 1-based position of the request on its connection. */
  readonly position: number;
  readonly arrivedUs: number;
  /** The client's id of this attempt, from `Yewreel-Try-Id`; empty if the client sent none. */
  readonly attemptId: string;
  /**
   * The earlier of the client's deadline and the route's time-out, in microseconds of the local
   * clock.
   */
  deadlineUs: number;
  route: Route | undefined;
  /** The customer that holds the request's API key, if any. */
  customer: Customer | undefined;
  service: string;
  /** The key by which a sharded service divides its work; undefined for other services. */
  shardKey: number | undefined;
  body: Buffer | Readable | null;
  /**
   * The workers to which the request was sent or that were unreachable. Invariant: no worker is
   * tried twice.
   */
  readonly triedWorkers: Set<string>;
  /** Upstream requests in flight. */
  readonly upstreamRequests: Set<CancellableRequest>;
  /** Bytes reserved in the memory budget. */
  bufferedBytes: number;
  /**
   * Number of workers to which at least one byte was sent. Invariant: never exceeds the route's
   * `maxAttempts`.
   */
  attempts: number;
  /** Whether the request may have run. It alone determines what the client may be told. */
  readonly deliveryState: DeliveryState;
  /** Set once a worker was unreachable in a way that may be caused by this node's own network. */
  isLocalNetworkSuspected: boolean;
  /** Stratum of the first worker tried: near or far zone, cold (in slow start) or warm. */
  stratum: string;
  /** Set once the request is answered or its client has disconnected. */
  isFinished: boolean;
  /** Callbacks that are called once when the request finishes. */
  readonly onFinished: (() => void)[];
  /**
   * The claim on the idempotency key of a keyed request. Invariant: the claim is released only if
   * no worker may have run the request, and a request on a keyed route is sent to a worker only
   * while it holds a claim.
   */
  claim: IdempotencyClaim | undefined;
}
