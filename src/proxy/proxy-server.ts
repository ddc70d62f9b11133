/**
 * HTTP server of the gateway: listens, applies client limits, drains, and passes requests to the
 * pipeline.
 */
import express from "express";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import { splitAddress } from "../common/settings.js";
import { waitUntilClosed, type ClientConnection, type CutReason } from "./client-connection.js";
import { ClientConnections, type ConnectionCounts } from "./client-connections.js";
import { newDeliveryState } from "./delivery-state.js";
import { ATTEMPT_ID_HEADER, TIME_LEFT_HEADER } from "./headers.js";
import { RequestPipeline, type PipelineOptions } from "./pipeline.js";
import type { RequestContext } from "./request-context.js";

/** Dependencies and options of {@link ProxyServer}. */
export interface ProxyServerOptions extends PipelineOptions {
  readonly log: Logger;
}

/** Time limit of a request whose client sends none. */
const DEFAULT_TIME_LEFT_US = 60 * SECOND_US;
const LISTEN_BACKLOG = 1_024;
const CONNECTIONS_CHECK_MS = 1_000;

/** The HTTP server that accepts client requests. */
export class ProxyServer {
  private readonly server: Server;
  private readonly connections: ClientConnections;
  private readonly pipeline: RequestPipeline;
  /** Requests read and not yet answered. */
  private open = 0;
  private isDraining = false;
  private isZoneDrained = false;

  constructor(private readonly options: ProxyServerOptions) {
    this.connections = new ClientConnections(options.clock);
    this.pipeline = new RequestPipeline(options);
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    app.set("query parser", false);
    app.use(this.handle);
    this.server = createServer(
      {
        connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
        requestTimeout: 0,
        keepAlive: true,
        noDelay: true,
      },
      app,
    );
    this.server.on("connection", this.connections.forSocket);
    this.server.on("clientError", this.connections.handleClientError);
    this.server.on("timeout", this.connections.handleIdleTimeout);
  }

  /** Number of open client connections. */
  get openConnections(): number {
    return this.connections.size;
  }

  /** Number of client connections that were cut, by reason. */
  get cutCounts(): ReadonlyMap<CutReason, number> {
    return this.connections.cutCounts;
  }

  /** Counts the open client connections by what they do. */
  readonly countConnections = (): ConnectionCounts => this.connections.count();

  /** Requests read and not yet answered. */
  get openRequests(): number {
    return this.open;
  }

  /** Listens on `ip:port`; rejects on failure. */
  readonly listen = (address: string): Promise<void> => {
    const { ip, port } = splitAddress(address);
    this.applyLimits();
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ host: ip, port, backlog: LISTEN_BACKLOG }, resolve);
    });
  };

  /** Applies the configured limits to new connections and requests. */
  readonly applyLimits = (): void => {
    const {
      maxHeaderBytes,
      headerTimeoutUs: headerWaitUs,
      idleTimeoutUs: idleUs,
    } = this.options.routes.limits;
    this.server.headersTimeout = headerWaitUs / MILLISECOND_US;
    this.server.keepAliveTimeout = idleUs / MILLISECOND_US;
    Object.assign(this.server, { maxHeaderSize: maxHeaderBytes });
  };

  /** Retries worker selection for the requests in the admission queue. */
  readonly wake = (): void => this.pipeline.wake();

  /**
   * Ends each connection after the requests that were read from it; one without open requests after
   * its next request.
   */
  readonly startDraining = (): void => {
    this.isDraining = true;
    this.connections.closeAfterNewest();
  };

  /**
   * Sets whether the node's zone is drained for a maintenance window. While it is, connections end
   * as in {@link startDraining}, so that clients reconnect elsewhere.
   */
  readonly setZoneDrained = (isDrained: boolean): void => {
    if (isDrained && !this.isZoneDrained) this.connections.closeAfterNewest();
    this.isZoneDrained = isDrained;
  };

  /** Stops accepting connections, and ends each open one as soon as it is idle. */
  readonly stopListening = (): void => {
    // The HTTP server's own `close` also destroys connections that have unsent bytes.
    NetServer.prototype.close.call(this.server);
    this.connections.endWhenIdle();
  };

  /** Cuts the connections that are still open at the end of the grace period. */
  readonly cutConnections = (): void => this.connections.cutAll("grace-period");

  private readonly handle = (req: IncomingMessage, res: ServerResponse): void => {
    const connection = this.connections.forSocket(req.socket);
    if (connection.isClosing) {
      req.resume();
      return;
    }
    const context = this.newContext(req, res, connection);
    if (this.isDraining || this.isZoneDrained) connection.closeAfterNewest();
    this.open += 1;
    connection.lastAnswered = waitUntilClosed(context, this.close);
    this.pipeline.start(context);
  };

  private readonly close = (context: RequestContext): void => {
    this.open -= 1;
    this.pipeline.close(context);
  };

  private readonly newContext = (
    req: IncomingMessage,
    res: ServerResponse,
    connection: ClientConnection,
  ): RequestContext => {
    const arrivedUs = this.options.clock.nowUs();
    const leftMs = Number(req.headers[TIME_LEFT_HEADER]);
    const hasTimeLeft = Number.isFinite(leftMs) && leftMs > 0;
    return {
      req,
      res,
      connection,
      previousAnswered: connection.lastAnswered,
      position: connection.addRequest(req, res),
      arrivedUs,
      attemptId: String(req.headers[ATTEMPT_ID_HEADER] ?? ""),
      deadlineUs: arrivedUs + (hasTimeLeft ? leftMs * MILLISECOND_US : DEFAULT_TIME_LEFT_US),
      route: undefined,
      customer: undefined,
      shardKey: undefined,
      service: "",
      body: null,
      triedWorkers: new Set(),
      upstreamRequests: new Set(),
      bufferedBytes: 0,
      attempts: 0,
      deliveryState: newDeliveryState(),
      isLocalNetworkSuspected: false,
      stratum: "near|warm",
      isFinished: false,
      onFinished: [],
      claim: undefined,
    };
  };
}
