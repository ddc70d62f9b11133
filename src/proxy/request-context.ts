/** What the gateway knows of one request while it is served. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import type { ClientConnection } from "./client-connection.js";
import type { DeliveryState } from "./delivery-state.js";
import type { Route } from "./route-table.js";
import type { CancellableRequest } from "./upstream-request.js";

/** A claim on an idempotency key. */
export interface IdempotencyClaim {
  readonly key: string;
  /** Names this claim of the key; a token that was given back is never used again. */
  readonly token: string;
  readonly requestedUs: number;
}

/** One request on its way through the stages. */
export interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: ClientConnection;
  /** Resolves once all requests before it on its connection have been answered or dropped. */
  readonly previousAnswered: Promise<void>;
  /** Its place among the requests of its connection, from 1. */
  readonly position: number;
  readonly arrivedUs: number;
  /** The client's id of this attempt, from `Yewreel-Try-Id`; empty if it gave none. */
  readonly attemptId: string;
  /** When the client and the operator have both given it up, on this process's clock. */
  deadlineUs: number;
  route: Route | undefined;
  service: string;
  body: Buffer | Readable | null;
  /** Invariant: the workers it was sent to or that proved unreachable; none is asked twice. */
  readonly triedWorkers: Set<string>;
  /** What is under way for it at workers. */
  readonly upstreamRequests: Set<CancellableRequest>;
  /** What is reserved of the memory budget for it. */
  bufferedBytes: number;
  /**
   * Workers it was sent to, without those that no byte of it left for. Invariant: never above the
   * route's tries.
   */
  attempts: number;
  /** What is known of whether it has run; what its client is told follows from it alone. */
  readonly deliveryState: DeliveryState;
  /** Set once a worker could not be reached in a way that may be due to this node's own link. */
  isLocalNetworkSuspected: boolean;
  /** Where the first worker asked stands to this node: near or far, warm or cold. */
  stratum: string;
  /** Set once it is answered or its client is gone. */
  isFinished: boolean;
  /** Called once when it ends. */
  readonly onFinished: (() => void)[];
  /**
   * The claim on its idempotency key, for keyed requests. Invariant: it is given back only if
   * nothing of the request was ever sent to a worker that may have run it, and no request of a
   * keyed route is sent to a worker without one.
   */
  claim: IdempotencyClaim | undefined;
}
