import express from "express";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PassThrough, type Readable } from "node:stream";
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { HTTP_OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { toRouteKind } from "../quota/retry-limits.js";
import { splitAddress } from "../common/settings.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import {
  UpstreamRequest,
  type UpstreamResponse,
  type UpstreamResult,
  type CancellableRequest,
} from "./upstream-request.js";
import type { CanaryOutcome } from "../health/canary-counters.js";
import { LoadBalancer } from "./load-balancer.js";
import * as fates from "./delivery-state.js";
import { AdmissionQueue } from "./admission-queue.js";
import {
  EXPECTED_WORKER_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  forwardedHeaders,
  TIME_LEFT_HEADER,
  ATTEMPT_ID_HEADER,
} from "./headers.js";
import type { KeyedResponse, IdempotencyClient } from "../idempotency/key-client.js";
import type { ObjectSource } from "./object-source.js";
import type { Route, RouteTable } from "./route-table.js";
import { MemoryBudget } from "./memory-budget.js";
import { Stage } from "./stage.js";
import type { ClientConnection, RequestContext } from "./request-context.js";
import type { Worker, ConnectionPool } from "./connection-pool.js";
import type { RetryBudgets } from "./retry-budget.js";

export interface ProxyServerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly zone: string;
  /** How much memory bodies held whole may take, all in all. */
  readonly bufferMemoryBytes: number;
  readonly routes: RouteTable;
  readonly pool: ConnectionPool;
  readonly retryBudgets: RetryBudgets;
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
  readonly countOutcome: (route: string, kind: string, outcome: string) => void;
  /** Counts an outcome of a route that sends to more than one service. */
  readonly countCanaryOutcome: (
    route: Route,
    service: string,
    stratum: string,
    outcome: CanaryOutcome,
  ) => void;
  /** Counts what is sent to each worker, for the forecast of what would move. */
  readonly countAttempt?: (service: string, kind: string, route: string, worker: string) => void;
  readonly random: () => number;
  /** Counts what arrives and is answered, for the forecast. */
  readonly loadCounters?: {
    readonly arrived: (service: string) => void;
    readonly refused: (service: string) => void;
    readonly answered: (service: string, zone: string, tookUs: number) => void;
  };
  /** Whether what the forecast says is acted on. */
  readonly actsOnForecast?: boolean;
  /** Where objects of cached routes come from; without it they are carried like any safe request. */
  readonly objects?: ObjectSource;
  /** Where operation keys are claimed; without it keyed requests are refused. */
  readonly idempotency?: IdempotencyClient;
}

/** Bodies up to this size are held, so that they can be sent on again; larger ones are passed on as they come. */
const HELD_BODY_BYTES = 128 * 1024;
const MOST_READING = 512;
const MOST_CARRIED = 1_024;
const GATE_PART = 8;
const PATIENCE_PART = 0.8;
const SILENCE_CHECK_US = 120 * MILLISECOND_US;
const CLAIM_PART = 5;
const KEEP_PART = 0.5;
/** Claims are kept 5 s and more beyond the window of their key, so a run begun this soon is covered for all of it. */
const CLAIM_GOOD_US = 4 * SECOND_US;
/** For how long after the time it was given a worker's last word on a keyed request is still waited for. */
const KEYED_REST_US = 1 * SECOND_US;
/** How many workers that can't be reached a request looks for beyond its tries. */
const MOST_UNREACHED = 2;
const MOST_KEY = 200;
/** Caches fill at the origin's rate: who comes back at once after a refusal for it finds the same. */
const STANDSTILL_US = 250 * MILLISECOND_US;
const RESUMING_US = 50 * MILLISECOND_US;
const RATE_REST_US = 1 * SECOND_US;
const SPLIT_REST_US = 30 * MILLISECOND_US;
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
  TIME_LEFT_HEADER,
  EXPECTED_WORKER_HEADER,
  "content-length",
  "expect",
]);
const NONE: ReadonlySet<string> = new Set();

/** The front of a pointsman: the stages that a caller's request passes. */
export class ProxyServer {
  private readonly server: Server;
  private readonly lines = new WeakMap<Socket, ClientConnection>();
  private readonly gate: AdmissionQueue;
  private readonly chooser: LoadBalancer;
  private readonly reading: Stage<RequestContext>;
  private readonly carrying: Stage<RequestContext>;
  private readonly memory: MemoryBudget;
  /** Requests read and not yet answered. */
  private open = 0;
  private leaving = false;
  private emptied = false;
  private lastReadUs = Number.NEGATIVE_INFINITY;
  /** When requests last came after a time in which none did: this process may have stood still meanwhile. */
  private resumedUs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ProxyServerOptions) {
    const { pool, zone, random, connectionShare, clock, actsOnForecast: acts } = options;
    this.memory = new MemoryBudget(options.bufferMemoryBytes);
    this.chooser = new LoadBalancer({
      pool,
      cell: zone,
      random,
      connectionShare,
      ...(acts === true ? { acts } : {}),
    });
    this.gate = new AdmissionQueue(clock, (context) =>
      this.chooser.choose(
        context.service,
        context.triedWorkers,
        context.route?.latencyTargetUs ?? 0,
        context.route?.isSafe ?? true,
      ),
    );
    this.reading = new Stage(MOST_READING, MOST_READING, this.read);
    this.carrying = new Stage(
      MOST_CARRIED,
      MOST_CARRIED,
      this.carry,
      (context) => context.route?.rank ?? 0,
    );
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    app.set("query parser", false);
    app.use(this.arrive);
    this.server = createServer(
      { connectionsCheckingInterval: 1_000, requestTimeout: 0, keepAlive: true, noDelay: true },
      app,
    );
    this.server.on("clientError", this.malformed);
  }

  get openRequests(): number {
    return this.open;
  }

  readonly listen = (address: string): Promise<void> => {
    const { ip, port } = splitAddress(address);
    this.applyLimits();
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ host: ip, port, backlog: 1_024 }, resolve);
    });
  };

  /** The plan's limits hold for connections and requests that begin from now on. */
  readonly applyLimits = (): void => {
    const { maxHeaderBytes, headerWaitUs, idleUs } = this.options.routes.limits;
    this.server.headersTimeout = headerWaitUs / MILLISECOND_US;
    this.server.keepAliveTimeout = idleUs / MILLISECOND_US;
    Object.assign(this.server, { maxHeaderSize: maxHeaderBytes });
  };

  readonly wake = (): void => this.gate.wake();

  /** From now on answers close their connections; what is read is still carried to its end. */
  readonly startDraining = (): void => {
    this.leaving = true;
  };

  /** While its cell is emptied for a window, answers close their connections, so that callers go elsewhere. */
  readonly setZoneDrained = (emptied: boolean): void => {
    this.emptied = emptied;
  };

  readonly stopListening = (): void => {
    this.server.close();
    this.server.closeIdleConnections();
  };

  readonly closeIdleConnections = (): void => this.server.closeIdleConnections();

  private readonly arrive = (req: IncomingMessage, res: ServerResponse): void => {
    const { clock } = this.options;
    const line = this.lines.get(req.socket) ?? {
      socket: req.socket,
      openRequests: 0,
      lastAnswered: Promise.resolve(),
      received: 0,
      closedAfter: Infinity,
    };
    this.lines.set(req.socket, line);
    if (line.closedAfter !== Infinity) return;
    line.received += 1;
    const arrivedUs = clock.nowUs();
    const left = Number(req.headers[TIME_LEFT_HEADER]);
    const prior = line.lastAnswered;
    const context: RequestContext = {
      req,
      res,
      connection: line,
      previousAnswered: prior,
      position: line.received,
      arrivedUs,
      attemptId: String(req.headers[ATTEMPT_ID_HEADER] ?? ""),
      deadlineUs:
        arrivedUs + (Number.isFinite(left) && left > 0 ? left * MILLISECOND_US : 60 * SECOND_US),
      route: undefined,
      service: "",
      body: null,
      triedWorkers: new Set(),
      upstreamRequests: new Set(),
      bufferedBytes: 0,
      attempts: 0,
      deliveryState: fates.newDeliveryState(),
      isOwnLinkSuspected: false,
      stratum: "near|warm",
      isFinished: false,
      onFinished: [],
      claim: undefined,
    };
    line.openRequests += 1;
    this.open += 1;
    line.lastAnswered = new Promise((resolve) => {
      let isOpen = true;
      const close = () => {
        if (!isOpen) return;
        isOpen = false;
        line.socket.off("close", close);
        line.openRequests -= 1;
        this.open -= 1;
        if (!context.isFinished) this.abandoned(context);
        this.end(context);
        this.giveRoom(context);
        resolve();
      };
      res.once("close", close);
      // An answer that waits behind another's never hears that their connection has closed.
      if (line.openRequests > 1) line.socket.once("close", close);
    });
    if (!this.reading.offer(context)) this.refuse(context, "full");
  };

  /** Read: the body, if it is small enough to hold. */
  private readonly read = async (context: RequestContext): Promise<void> => {
    const { routes: table, clock } = this.options;
    const { req } = context;
    const length = Number(req.headers["content-length"] ?? 0);
    const hasBody = length > 0 || req.headers["transfer-encoding"] !== undefined;
    if (length > table.limits.maxBodyBytes) return this.refuse(context, "bodyTooLarge");
    if (!hasBody || length > HELD_BODY_BYTES) {
      if (hasBody) context.body = flowOf(req);
      if (this.hasStoodStill()) await turns();
      return this.direct(context);
    }
    const held = await withTimeout(
      clock,
      context.deadlineUs - clock.nowUs(),
      this.hold(context),
      "slowBody" as const,
    );
    if (this.hasStoodStill()) await turns();
    if (context.isFinished) return;
    if (held === "slowBody" || held === "bodyTooLarge" || held === "full")
      return this.refuse(context, held);
    if (held === "broken") return this.end(context);
    context.body = held;
    this.direct(context);
  };

  /**
   * Whether this process may have stood still until just now. What lay unread meanwhile may be a caller's leaving too, which
   * a later turn of the loop reads.
   */
  private readonly hasStoodStill = (): boolean => {
    const nowUs = this.options.clock.nowUs();
    if (nowUs - this.lastReadUs > STANDSTILL_US) this.resumedUs = nowUs;
    this.lastReadUs = nowUs;
    return nowUs - this.resumedUs <= RESUMING_US;
  };

  private readonly hold = async (
    context: RequestContext,
  ): Promise<Buffer | "broken" | "bodyTooLarge" | "full"> => {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of context.req) {
        if (!Buffer.isBuffer(chunk)) continue;
        size += chunk.length;
        if (size > this.options.routes.limits.maxBodyBytes) return "bodyTooLarge";
        if (!this.takeRoom(context, chunk.length)) return "full";
        chunks.push(chunk);
      }
    } catch {
      return "broken";
    }
    return context.req.complete ? Buffer.concat(chunks) : "broken";
  };

  /** After the request's end nothing is taken, but for a keyed run, whose answer is kept: its carrier gives it back. */
  private readonly takeRoom = (context: RequestContext, bytes: number): boolean => {
    if ((context.isFinished && !context.claim) || !this.memory.reserve(bytes)) return false;
    context.bufferedBytes += bytes;
    return true;
  };

  private readonly giveRoom = (context: RequestContext): void => {
    this.memory.release(context.bufferedBytes);
    context.bufferedBytes = 0;
  };

  /** Route: the longest prefix of the host, and by its shares a service. */
  private readonly direct = (context: RequestContext): void => {
    const { routes: table, random, retryBudgets } = this.options;
    if (context.isFinished) return;
    if (!table.isLoaded) return this.refuse(context, "noPlan");
    const host = (context.req.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
    const path = (context.req.url ?? "/").split("?")[0] ?? "/";
    const route = table.find(host, path);
    if (!route) return this.refuse(context, "unknownRoute");
    context.route = route;
    context.service = table.unlessStopped(route, drawService(route, random()));
    context.deadlineUs = Math.min(context.deadlineUs, context.arrivedUs + route.giveUpUs);
    const { objects: goods } = this.options;
    if (
      goods &&
      route.kind === "cached" &&
      (context.req.method === "GET" || context.req.method === "HEAD")
    ) {
      void this.give(context, route, goods, host);
      return;
    }
    if (context.attemptId === "") return this.refuse(context, "noTryId");
    retryBudgets.of(context.service, toRouteKind(route.kind)).count();
    this.options.loadCounters?.arrived(context.service);
    if (!this.carrying.offer(context)) this.refuse(context, "full");
  };

  /** An object of a cached route, from a copy or fetched within the origin's rate. */
  private readonly give = async (
    context: RequestContext,
    route: Route,
    goods: ObjectSource,
    host: string,
  ): Promise<void> => {
    const { cacheForUs, latencyTargetUs } = route;
    const want = {
      service: context.service,
      host,
      url: context.req.url ?? "/",
      cacheForUs,
      maxAgeUs: cacheForUs,
      latencyTargetUs,
      deadlineUs: context.deadlineUs,
    };
    const { range } = context.req.headers;
    const got = await goods.fetch(want, context.req.method === "GET" ? range : undefined);
    if (context.isFinished || isBehindClose(context)) return;
    if (got.kind === "none")
      this.refuse(
        context,
        got.reason === "rate" ? "noRate" : "full",
        got.reason === "rate" ? Math.max(got.retryAfterUs, RATE_REST_US) : got.retryAfterUs,
      );
    else this.answerKept(context, got.status, got.heads, got.body);
  };

  /** Answers with what was kept of a worker's answer to another request. */
  private readonly answerKept = (
    context: RequestContext,
    status: number,
    headers: readonly string[],
    body: Buffer,
  ): void => {
    if (context.isFinished || context.res.headersSent) return;
    const all = [...headers, "Yewreel-Try-Id", context.attemptId];
    this.answer(context, { status, headers: all, body, remainder: undefined });
  };

  /** Claims the operation key; false when the request has been answered instead, or its caller is gone. */
  private readonly claim = async (context: RequestContext, route: Route): Promise<boolean> => {
    const { clock, idempotency: desk, random } = this.options;
    const told = context.req.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof told !== "string" || told === "" || told.length > MOST_KEY) {
      this.refuse(context, "noKey");
      return false;
    }
    const key = `${route.host}\n${told}`;
    const untilUs = Math.min(
      context.arrivedUs + route.latencyTargetUs / CLAIM_PART,
      context.deadlineUs,
    );
    let isTaken = false;
    for (let at = 0; desk && !context.isFinished && clock.nowUs() < untilUs; at += 1) {
      const askedUs = clock.nowUs();
      const token = `${context.attemptId}.${at}.${random().toString(36).slice(2)}`;
      const result = await withTimeout(clock, untilUs - clock.nowUs(), desk.claim(key, token), {
        kind: "none" as const,
      });
      if (result.kind === "won") {
        if (context.isFinished) {
          desk.release(key, token);
          return false;
        }
        context.claim = { key, token, askedUs };
        return true;
      }
      if (result.kind === "done") {
        this.answerKept(
          context,
          result.answer.status,
          result.answer.heads,
          Buffer.from(result.answer.body),
        );
        return false;
      }
      desk.release(key, token);
      isTaken = result.kind === "working";
      if (isTaken) break;
      await sleep(clock, SPLIT_REST_US * (0.5 + random()));
    }
    this.refuse(context, isTaken ? "keyAtWork" : "noQuorum");
    return false;
  };

  /** Keeps the answer of a keyed request for its repeats, before its caller gets it. */
  private readonly keep = async (
    context: RequestContext,
    answer: UpstreamResponse,
  ): Promise<void> => {
    const { idempotency: desk, clock } = this.options;
    if (!desk || !context.claim || answer.remainder) return;
    const kept: KeyedResponse = {
      status: answer.status,
      heads: forwardedHeaders(answer.headers, NOT_KEPT),
      body: answer.body,
    };
    const aimLeftUs = context.arrivedUs + (context.route?.latencyTargetUs ?? 0) - clock.nowUs();
    await desk.complete(
      context.claim.key,
      context.claim.token,
      kept,
      Math.max(aimLeftUs * KEEP_PART, 300 * MILLISECOND_US),
    );
  };

  /** Gate, choose and call, again where that is allowed, and at the end the one answer. */
  private readonly carry = async (context: RequestContext): Promise<void> => {
    const { clock, retryBudgets } = this.options;
    const { route } = context;
    if (!route) return;
    if (!route.isSafe) {
      await context.previousAnswered;
      if (context.position > 1 && this.hasStoodStill()) await turns();
    }
    const budget = clock.after(context.deadlineUs - clock.nowUs(), () => this.runOut(context));
    context.onFinished.push(budget.stop);
    if (route.kind === "keyed" && !(await this.claim(context, route))) return;
    if (
      this.options.objects &&
      (this.options.routes.service(context.service)?.ratePerS ?? 0) > 0 &&
      !(await this.options.objects.permit(context.service))
    )
      return this.refuse(context, "noRate");
    let lastAnswer: UpstreamResponse | undefined;
    while (
      !context.isFinished &&
      !isBehindClose(context) &&
      context.triedWorkers.size < route.tries + MOST_UNREACHED
    ) {
      if (
        context.attempts > 0 &&
        !(
          context.attempts < route.tries &&
          isHeldBody(context) &&
          !this.isPressed(context, route) &&
          retryBudgets.of(context.service, toRouteKind(route.kind)).spend()
        )
      )
        break;
      const worker = await this.gate.pass(context, this.gateWaitUs(context, route));
      if (context.isFinished || !worker) break;
      if (this.isPast(context)) return this.runOut(context);
      if (this.wouldBeLate(context, route, worker)) break;
      const result = await this.call(context, route, worker);
      if (result.kind === "answered") {
        // Where it may not pass, it has run and its status would promise that it has not.
        const mayPass = fates.mayForwardStatus(result.response.status, route.isSafe);
        if (mayPass && context.claim) await this.keep(context, result.response);
        if (context.isFinished || !mayPass) {
          result.response.remainder?.abort();
          break;
        }
        const isOwnMishap = result.response.status >= 500;
        if (!isOwnMishap || !route.isSafe || context.attempts >= route.tries)
          return this.answer(context, result.response);
        lastAnswer = result.response;
      } else if (
        context.isFinished ||
        result.kind === "cancelled" ||
        (result.kind === "lost" && !route.isSafe)
      )
        break;
      else if (result.kind === "not-sent" && result.reason === "invalid-request")
        return this.refuse(context, "malformed");
    }
    if (context.isFinished) {
      this.freeClaim(context);
      this.giveRoom(context);
    } else if (lastAnswer) this.answer(context, lastAnswer);
    else this.refuse(context, "lostAnswer");
  };

  /** Neither its caller nor the operator wants it any more, whether or not the timer has said so yet. */
  private readonly isPast = (context: RequestContext): boolean =>
    this.options.clock.nowUs() >= context.deadlineUs;

  /**
   * The last question before bytes leave for a worker. A connection may have come up only after the time was over, as
   * when this node stood still meanwhile; a caller's leaving is heard of
   * some turns after it was read; a keyed request must hold a claim that is not too old.
   */
  private readonly mayBegin = (context: RequestContext, route: Route): boolean =>
    !context.isFinished &&
    !context.connection.socket.readableEnded &&
    !isBehindClose(context) &&
    !this.isPast(context) &&
    (route.kind !== "keyed" || this.isClaimed(context)) &&
    fates.beginAttempt(context.deliveryState, route.isSafe);

  private readonly isClaimed = ({ claim }: RequestContext): boolean =>
    claim !== undefined && this.options.clock.nowUs() - claim.askedUs <= CLAIM_GOOD_US;

  /** Calls one worker; a safe request whose worker has fallen silent is sent to a second one beside it. */
  private readonly call = async (
    context: RequestContext,
    route: Route,
    worker: Worker,
  ): Promise<UpstreamResult> => {
    const { clock, retryBudgets } = this.options;
    const first = this.start(context, route, worker);
    if (!route.isSafe) return first.result;
    for (;;) {
      const early = await withTimeout(clock, SILENCE_CHECK_US, first.result, undefined);
      if (early) return early;
      if (context.isFinished) return { kind: "cancelled" };
      if (
        !worker.isSilent() ||
        this.isPast(context) ||
        this.isPressed(context, route) ||
        context.attempts >= route.tries ||
        !isHeldBody(context)
      )
        continue;
      const other = this.chooser.choose(
        context.service,
        context.triedWorkers,
        context.route?.latencyTargetUs ?? 0,
      );
      if (!other || !retryBudgets.of(context.service, toRouteKind(route.kind)).spend()) continue;
      const second = this.start(context, route, other);
      const [quick, slow] = await Promise.race([
        first.result.then(() => [first, second] as const),
        second.result.then(() => [second, first] as const),
      ]);
      const result = await quick.result;
      if (result.kind !== "answered") return slow.result;
      slow.cancel();
      return result;
    }
  };

  /** Repeats of safe requests stop before they take room that a pressed service lacks. */
  private readonly isPressed = (context: RequestContext, route: Route): boolean =>
    this.options.actsOnForecast === true &&
    route.isSafe &&
    this.options.pool.pressure(context.service) !== "";

  /** At a pressed service one that can't be repeated is refused before it is offered, rather than broken off in work. */
  private readonly wouldBeLate = (
    context: RequestContext,
    route: Route,
    worker: Worker,
  ): boolean => {
    const { actsOnForecast: acts, pool, clock } = this.options;
    return (
      acts === true &&
      !route.isSafe &&
      pool.pressure(context.service) === "overrun" &&
      worker.guessUs(worker.usage(0)) > context.deadlineUs - clock.nowUs()
    );
  };

  private readonly start = (
    context: RequestContext,
    route: Route,
    worker: Worker,
  ): CancellableRequest => {
    const { clock, countFault, loadCounters: usage } = this.options;
    const startedUs = clock.nowUs();
    const headers = forwardedHeaders(context.req.rawHeaders, NOT_PASSED_ON);
    const leftMs = Math.max(1, Math.floor((context.deadlineUs - clock.nowUs()) / MILLISECOND_US));
    headers.push("Yewreel-Time-Left-Ms", String(leftMs), "Yewreel-Expect-Worker", worker.id);
    const length = context.req.headers["content-length"];
    if (!isHeldBody(context) && length !== undefined) headers.push("Content-Length", length);
    const order = {
      method: context.req.method ?? "GET",
      path: context.req.url ?? "/",
      headers,
      body: context.body,
      attemptId: context.attemptId,
      reserveMemory: (bytes: number) => this.takeRoom(context, bytes),
      maySend: () => this.mayBegin(context, route),
    };
    const call = new UpstreamRequest(worker, order, clock.nowUs);
    if (context.attempts === 0)
      context.stratum = `${worker.cell === this.options.zone ? "near" : "far"}|${clock.nowUs() < worker.warmUntilUs ? "cold" : "warm"}`;
    context.triedWorkers.add(worker.id);
    context.attempts += 1;
    this.options.countAttempt?.(context.service, route.kind, route.name, worker.id);
    context.upstreamRequests.add(call);
    void call.result.then((result) => {
      context.upstreamRequests.delete(call);
      if (result.kind === "answered" || result.kind === "lost")
        usage?.answered(context.service, worker.cell, clock.nowUs() - startedUs);
      if (result.kind === "answered") fates.markRun(context.deliveryState);
      if (result.kind === "rejected") fates.markRejected(context.deliveryState);
      // Nothing of it arrived anywhere, so what is sent next is no retry.
      if (result.kind === "not-sent") context.attempts -= 1;
      const isOut =
        result.kind === "not-sent" &&
        (result.reason === "unreachable" || result.reason === "connection-refused");
      if (isOut || result.kind === "lost") worker.shun();
      if (result.kind === "not-sent" && result.reason === "unreachable")
        context.isOwnLinkSuspected = true;
      if (result.kind === "rejected" && result.reason === "wrong-worker")
        this.options.pool.misdirected(worker);
      if (
        result.kind === "answered" ||
        result.kind === "rejected" ||
        result.kind === "lost" ||
        isOut
      )
        countFault(worker.id, result.kind === "lost" || isOut);
      this.gate.wake();
    });
    return call;
  };

  private readonly gateWaitUs = (context: RequestContext, route: Route): number => {
    const { clock } = this.options;
    const nowUs = clock.nowUs();
    return (
      Math.min(context.arrivedUs + route.latencyTargetUs / GATE_PART, context.deadlineUs) - nowUs
    );
  };

  /** The budget is over: whatever a worker still does for it is of no use to anyone. */
  private readonly runOut = (context: RequestContext): void => this.refuse(context, "tooLate");

  /** Answer: the worker's own, unchanged. */
  private readonly answer = (context: RequestContext, answer: UpstreamResponse): void => {
    const { res } = context;
    if (context.isFinished || res.headersSent) return answer.remainder?.abort();
    const headers = forwardedHeaders(answer.headers, answer.remainder ? NONE : CONTENT_LENGTH);
    if (
      !answer.remainder &&
      context.req.method !== "HEAD" &&
      answer.status !== 204 &&
      answer.status !== 304
    )
      headers.push("Content-Length", String(answer.body.length));
    this.count(context, answer.status < 400 ? "served" : String(answer.status));
    this.countSplit(context, () =>
      answer.status >= 500
        ? "lost"
        : this.waitedUs(context) <= (context.route?.latencyTargetUs ?? 0)
          ? "inTime"
          : "late",
    );
    this.markClosing(context, false);
    res.writeHead(answer.status, headers);
    context.isFinished = true;
    fates.close(context.deliveryState);
    if (!answer.remainder) {
      res.end(answer.body);
      return;
    }
    const { remainder: rest } = answer;
    context.onFinished.push(rest.abort);
    res.write(answer.body);
    res.on("drain", rest.resume);
    rest.read(
      (chunk) => res.write(chunk),
      (isWhole) => {
        if (isWhole) res.end();
        else res.destroy();
      },
    );
  };

  /** Answer: the gateway's own, by the table of outcomes. */
  private readonly refuse = (
    context: RequestContext,
    wanted: OutcomeName,
    comeBackUs = 0,
  ): void => {
    const { res, route } = context;
    if (context.isFinished || res.headersSent) return;
    const name = fates.clientOutcome(context.deliveryState, wanted);
    const outcome = HTTP_OUTCOMES[name];
    if (name === "full" && context.service !== "")
      this.options.loadCounters?.refused(context.service);
    this.count(context, name);
    this.countSplit(context, () =>
      fates.hasNotRun(context.deliveryState) && context.isOwnLinkSuspected
        ? "own"
        : lossOf(context),
    );
    this.markClosing(context, outcome.closes);
    const body = JSON.stringify({ problem: outcome.problem });
    if (outcome.retryAfter) res.setHeader("Retry-After", comeBackS(route, comeBackUs));
    res.writeHead(outcome.status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    res.end(body);
    this.end(context);
  };

  private readonly markClosing = (context: RequestContext, closes: boolean): void => {
    if (!closes && !((this.leaving || this.emptied) && context.connection.openRequests === 1))
      return;
    context.connection.closedAfter = context.position;
    context.res.setHeader("Connection", "close");
  };

  private readonly count = (context: RequestContext, outcome: string): void => {
    const kind = context.route?.kind ?? "none";
    this.options.countOutcome(context.route?.name ?? "none", kind, outcome);
  };

  /** The caller went away unanswered: at the end of its patience that is the service's doing, sooner it is its own. */
  private readonly abandoned = (context: RequestContext): void => {
    this.count(context, "caller left");
    if (this.waitedUs(context) < (context.deadlineUs - context.arrivedUs) * PATIENCE_PART) return;
    this.countSplit(context, () => lossOf(context));
  };

  private readonly waitedUs = (context: RequestContext): number =>
    this.options.clock.nowUs() - context.arrivedUs;

  /** Nothing is worked out for a route that sends to one service only. */
  private readonly countSplit = (context: RequestContext, outcome: () => CanaryOutcome): void => {
    if (context.route !== undefined && context.route.shares.length > 1)
      this.options.countCanaryOutcome(context.route, context.service, context.stratum, outcome());
  };

  /** Whatever still runs for the trip is called off: it has been answered, or its caller is gone. */
  private readonly end = (context: RequestContext): void => {
    context.isFinished = true;
    this.freeClaim(context);
    fates.close(context.deliveryState);
    const cancel = () => {
      context.upstreamRequests.forEach((call) => call.cancel());
      if (context.body !== null && !Buffer.isBuffer(context.body)) context.body.destroy();
    };
    // A keyed run whose caller is gone goes on while its worker may be at it, so that its answer can be kept for the repeats.
    if (!context.claim || context.res.writableEnded) cancel();
    else
      this.options.clock.after(
        context.deadlineUs - this.options.clock.nowUs() + KEYED_REST_US,
        cancel,
      );
    context.onFinished.splice(0).forEach((act) => act());
  };

  private readonly freeClaim = (context: RequestContext): void => {
    if (!context.claim || !fates.hasNotRun(context.deliveryState)) return;
    this.options.idempotency?.release(context.claim.key, context.claim.token);
    context.claim = undefined;
  };

  private readonly malformed = (error: NodeJS.ErrnoException, socket: Socket): void => {
    const line = this.lines.get(socket);
    if (!socket.writable || (line !== undefined && line.openRequests > 0)) {
      socket.destroy();
      return;
    }
    if (line) line.closedAfter = line.received;
    const name: OutcomeName =
      error.code === "HPE_HEADER_OVERFLOW"
        ? "headTooLarge"
        : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
          ? "slowHead"
          : "malformed";
    const outcome = HTTP_OUTCOMES[name];
    if (error.code === "ECONNRESET") socket.destroy();
    else
      socket.end(
        `HTTP/1.1 ${outcome.status} ${outcome.problem}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
  };
}

const NOT_KEPT: ReadonlySet<string> = new Set([
  ATTEMPT_ID_HEADER,
  "content-length",
  "date",
  "yewreel-worker-load",
]);
const CONTENT_LENGTH: ReadonlySet<string> = new Set(["content-length"]);

/** Two turns of the event loop: in the first, what lies unread is read; in the second, what follows from it. */
const turns = (): Promise<void> =>
  new Promise((resolve) => setImmediate(() => setImmediate(resolve)));

/** A body as it comes. Its caller's connection outlives it: who stops reading it early still owes an answer. */
const flowOf = (req: IncomingMessage): Readable => {
  const flow = req.pipe(new PassThrough());
  flow.on("error", () => undefined);
  // After pipe's own listener, which pauses it.
  flow.once("close", () => req.resume());
  req.once("close", () => {
    if (!req.complete) flow.destroy();
  });
  return flow;
};

/** An answer before it closes the connection, so its caller counts it as not read and sends it again. */
const isBehindClose = (context: RequestContext): boolean =>
  context.position > context.connection.closedAfter;

/** An unsafe request that may have run may be placed again by its caller. */
const lossOf = (context: RequestContext): CanaryOutcome =>
  !fates.hasNotRun(context.deliveryState) && context.route?.isSafe === false ? "doubled" : "lost";

const isHeldBody = (context: RequestContext): boolean =>
  context.body === null || Buffer.isBuffer(context.body);

const comeBackS = (route: Route | undefined, leastUs: number): string =>
  (
    Math.max(
      leastUs,
      route ? Math.max(50 * MILLISECOND_US, route.latencyTargetUs / 4) : 250 * MILLISECOND_US,
    ) / SECOND_US
  ).toFixed(3);

const drawService = (route: Route, random: number): string => {
  const total = route.shares.reduce((sum, { share }) => sum + share, 0);
  let mark = random * total;
  for (const { service, share } of route.shares) {
    mark -= share;
    if (mark < 0) return service;
  }
  return route.shares[route.shares.length - 1]?.service ?? "";
};
