import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import type { CancellableRequest } from "./upstream-request.js";
import type { DeliveryState } from "./delivery-state.js";
import type { Route } from "./route-table.js";

/** The requests of one caller's connection, in the order they came. */
export interface ClientConnection {
  /** A request may lose sight of its connection before it ends; its line doesn't. */
  readonly socket: Socket;
  /** Requests read and not yet answered in full. */
  openRequests: number;
  /** Resolves once all that came before has been answered. */
  lastAnswered: Promise<void>;
  /** Requests that came so far. */
  received: number;
  /** Which of them, from 1, has the answer that closes the connection: what came behind counts as not read and must not run. */
  closedAfter: number;
}

/** One request on its way through the stages. */
export interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: ClientConnection;
  readonly previousAnswered: Promise<void>;
  /** Its place on the line, from 1. */
  readonly position: number;
  readonly arrivedUs: number;
  readonly attemptId: string;
  /** When the caller and the operator both have given it up, on this process's clock. */
  deadlineUs: number;
  route: Route | undefined;
  service: string;
  body: Buffer | Readable | null;
  /** Invariant: the workers it was sent to or that proved unreachable; none is asked twice. */
  readonly triedWorkers: Set<string>;
  readonly upstreamRequests: Set<CancellableRequest>;
  /** What was taken of the room for held bodies on behalf of this request. */
  bufferedBytes: number;
  /** Workers it was offered to, those left out that no byte of it left for. Invariant: never above the route's tries. */
  attempts: number;
  /** What is known of whether it has run; what its caller is told follows from it alone. */
  readonly deliveryState: DeliveryState;
  /** Set once a worker could not be reached in a way that may be this node's own link's doing. */
  isOwnLinkSuspected: boolean;
  /** Where the first worker asked stands to this node: near or far, warm or cold. */
  stratum: string;
  /** Set once it is answered or its caller is gone. */
  isFinished: boolean;
  readonly onFinished: (() => void)[];
  /**
   * The claim on its operation key, for keyed requests. Invariant: it is taken back only if nothing of the request was
   * ever sent to a worker that may have run it, and no request of a keyed route is sent to a worker without one.
   */
  claim: { readonly key: string; readonly token: string; readonly askedUs: number } | undefined;
}
