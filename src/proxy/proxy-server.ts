import express from "express";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PassThrough, type Readable } from "node:stream";
import { rest, within, type Clock } from "../common/clock.js";
import type { Log } from "../common/logger.js";
import { OUTCOMES, type OutcomeName } from "../common/http-outcomes.js";
import { kindOf } from "../quota/retry-limits.js";
import { splitAddress } from "../common/settings.js";
import { MS, SECOND } from "../common/duration.js";
import { WorkerCall, type Answer, type CallVerdict, type Calling } from "./upstream-request.js";
import type { RolloutOutcome } from "../health/canary-counters.js";
import { Chooser } from "./load-balancer.js";
import * as fates from "./delivery-state.js";
import { Gate } from "./admission-queue.js";
import { EXPECT_WORKER, OPERATION_KEY, passOn, TIME_LEFT, TRY_ID } from "./headers.js";
import type { KeyAnswer, KeyDesk } from "../idempotency/key-client.js";
import type { ObjectSource } from "./object-source.js";
import type { Route, RouteTable } from "./route-table.js";
import { Room } from "./memory-budget.js";
import { Stage } from "./stage.js";
import type { Line, Trip } from "./request-context.js";
import type { Worker, Yard } from "./connection-pool.js";
import type { RetryBudgets } from "./retry-budget.js";

export interface FrontOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly cell: string;
  /** How much memory bodies held whole may take, all in all. */
  readonly roomBytes: number;
  readonly table: RouteTable;
  readonly yard: Yard;
  readonly budgets: RetryBudgets;
  readonly connectionShare: (service: string) => number;
  readonly countFault: (worker: string, isFault: boolean) => void;
  readonly tally: (route: string, kind: string, outcome: string) => void;
  /** Counts an outcome of a route that sends to more than one service. */
  readonly countRollout: (
    route: Route,
    service: string,
    stratum: string,
    outcome: RolloutOutcome,
  ) => void;
  /** Counts what is sent to each worker, for the forecast of what would move. */
  readonly countCall?: (service: string, kind: string, route: string, worker: string) => void;
  readonly random: () => number;
  /** Counts what arrives and is answered, for the forecast. */
  readonly usage?: {
    readonly arrived: (service: string) => void;
    readonly refused: (service: string) => void;
    readonly answered: (service: string, cell: string, tookUs: number) => void;
  };
  /** Whether what the forecast says is acted on. */
  readonly acts?: boolean;
  /** Where objects of cached routes come from; without it they are carried like any safe request. */
  readonly goods?: ObjectSource;
  /** Where operation keys are claimed; without it keyed requests are refused. */
  readonly desk?: KeyDesk;
}

/** Bodies up to this size are held, so that they can be sent on again; larger ones are passed on as they come. */
const HELD_BODY_BYTES = 128 * 1024;
const MOST_READING = 512;
const MOST_CARRIED = 1_024;
const GATE_PART = 8;
const PATIENCE_PART = 0.8;
const SILENCE_CHECK_US = 120 * MS;
const CLAIM_PART = 5;
const KEEP_PART = 0.5;
/** Claims are kept 5 s and more beyond the window of their key, so a run begun this soon is covered for all of it. */
const CLAIM_GOOD_US = 4 * SECOND;
/** For how long after the time it was given a worker's last word on a keyed request is still waited for. */
const KEYED_REST_US = 1 * SECOND;
/** How many workers that can't be reached a request looks for beyond its tries. */
const MOST_UNREACHED = 2;
const MOST_KEY = 200;
/** Caches fill at the origin's rate: who comes back at once after a refusal for it finds the same. */
const STANDSTILL_US = 250 * MS;
const RESUMING_US = 50 * MS;
const RATE_REST_US = 1 * SECOND;
const SPLIT_REST_US = 30 * MS;
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
  TIME_LEFT,
  EXPECT_WORKER,
  "content-length",
  "expect",
]);
const NONE: ReadonlySet<string> = new Set();

/** The front of a pointsman: the stages that a caller's request passes. */
export class Front {
  private readonly server: Server;
  private readonly lines = new WeakMap<Socket, Line>();
  private readonly gate: Gate;
  private readonly chooser: Chooser;
  private readonly reading: Stage<Trip>;
  private readonly carrying: Stage<Trip>;
  private readonly room: Room;
  /** Requests read and not yet answered. */
  private open = 0;
  private leaving = false;
  private emptied = false;
  private lastReadUs = Number.NEGATIVE_INFINITY;
  /** When requests last came after a time in which none did: this process may have stood still meanwhile. */
  private resumedUs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FrontOptions) {
    const { yard, cell, random, connectionShare, clock, acts } = options;
    this.room = new Room(options.roomBytes);
    this.chooser = new Chooser({
      yard,
      cell,
      random,
      connectionShare,
      ...(acts === true ? { acts } : {}),
    });
    this.gate = new Gate(clock, (trip) =>
      this.chooser.choose(
        trip.service,
        trip.tried,
        trip.route?.aimUs ?? 0,
        trip.route?.isSafe ?? true,
      ),
    );
    this.reading = new Stage(MOST_READING, MOST_READING, this.read);
    this.carrying = new Stage(
      MOST_CARRIED,
      MOST_CARRIED,
      this.carry,
      (trip) => trip.route?.rank ?? 0,
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
    this.takeLimits();
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ host: ip, port, backlog: 1_024 }, resolve);
    });
  };

  /** The plan's limits hold for connections and requests that begin from now on. */
  readonly takeLimits = (): void => {
    const { maxHeaderBytes, headerWaitUs, idleUs } = this.options.table.limits;
    this.server.headersTimeout = headerWaitUs / MS;
    this.server.keepAliveTimeout = idleUs / MS;
    Object.assign(this.server, { maxHeaderSize: maxHeaderBytes });
  };

  readonly wake = (): void => this.gate.wake();

  /** From now on answers close their connections; what is read is still carried to its end. */
  readonly beginLeaving = (): void => {
    this.leaving = true;
  };

  /** While its cell is emptied for a window, answers close their connections, so that callers go elsewhere. */
  readonly setEmptied = (emptied: boolean): void => {
    this.emptied = emptied;
  };

  readonly stopListening = (): void => {
    this.server.close();
    this.server.closeIdleConnections();
  };

  readonly closeIdle = (): void => this.server.closeIdleConnections();

  private readonly arrive = (req: IncomingMessage, res: ServerResponse): void => {
    const { clock } = this.options;
    const line = this.lines.get(req.socket) ?? {
      socket: req.socket,
      open: 0,
      last: Promise.resolve(),
      came: 0,
      closedBy: Infinity,
    };
    this.lines.set(req.socket, line);
    if (line.closedBy !== Infinity) return;
    line.came += 1;
    const arrivedUs = clock.nowUs();
    const left = Number(req.headers[TIME_LEFT]);
    const prior = line.last;
    const trip: Trip = {
      req,
      res,
      line,
      prior,
      place: line.came,
      arrivedUs,
      tryId: String(req.headers[TRY_ID] ?? ""),
      budgetUs: arrivedUs + (Number.isFinite(left) && left > 0 ? left * MS : 60 * SECOND),
      route: undefined,
      service: "",
      body: null,
      tried: new Set(),
      calls: new Set(),
      heldBytes: 0,
      sends: 0,
      fate: fates.newFate(),
      linkMishap: false,
      stratum: "near|warm",
      over: false,
      onOver: [],
      claim: undefined,
    };
    line.open += 1;
    this.open += 1;
    line.last = new Promise((resolve) => {
      let isOpen = true;
      const close = () => {
        if (!isOpen) return;
        isOpen = false;
        line.socket.off("close", close);
        line.open -= 1;
        this.open -= 1;
        if (!trip.over) this.abandoned(trip);
        this.end(trip);
        this.giveRoom(trip);
        resolve();
      };
      res.once("close", close);
      // An answer that waits behind another's never hears that their connection has closed.
      if (line.open > 1) line.socket.once("close", close);
    });
    if (!this.reading.offer(trip)) this.refuse(trip, "full");
  };

  /** Read: the body, if it is small enough to hold. */
  private readonly read = async (trip: Trip): Promise<void> => {
    const { table, clock } = this.options;
    const { req } = trip;
    const length = Number(req.headers["content-length"] ?? 0);
    const hasBody = length > 0 || req.headers["transfer-encoding"] !== undefined;
    if (length > table.limits.maxBodyBytes) return this.refuse(trip, "bodyTooLarge");
    if (!hasBody || length > HELD_BODY_BYTES) {
      if (hasBody) trip.body = flowOf(req);
      if (this.hasStoodStill()) await turns();
      return this.direct(trip);
    }
    const held = await within(
      clock,
      trip.budgetUs - clock.nowUs(),
      this.hold(trip),
      "slowBody" as const,
    );
    if (this.hasStoodStill()) await turns();
    if (trip.over) return;
    if (held === "slowBody" || held === "bodyTooLarge" || held === "full")
      return this.refuse(trip, held);
    if (held === "broken") return this.end(trip);
    trip.body = held;
    this.direct(trip);
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
    trip: Trip,
  ): Promise<Buffer | "broken" | "bodyTooLarge" | "full"> => {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of trip.req) {
        if (!Buffer.isBuffer(chunk)) continue;
        size += chunk.length;
        if (size > this.options.table.limits.maxBodyBytes) return "bodyTooLarge";
        if (!this.takeRoom(trip, chunk.length)) return "full";
        chunks.push(chunk);
      }
    } catch {
      return "broken";
    }
    return trip.req.complete ? Buffer.concat(chunks) : "broken";
  };

  /** After the request's end nothing is taken, but for a keyed run, whose answer is kept: its carrier gives it back. */
  private readonly takeRoom = (trip: Trip, bytes: number): boolean => {
    if ((trip.over && !trip.claim) || !this.room.take(bytes)) return false;
    trip.heldBytes += bytes;
    return true;
  };

  private readonly giveRoom = (trip: Trip): void => {
    this.room.give(trip.heldBytes);
    trip.heldBytes = 0;
  };

  /** Route: the longest prefix of the host, and by its shares a service. */
  private readonly direct = (trip: Trip): void => {
    const { table, random, budgets } = this.options;
    if (trip.over) return;
    if (!table.isHeld) return this.refuse(trip, "noPlan");
    const host = (trip.req.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
    const path = (trip.req.url ?? "/").split("?")[0] ?? "/";
    const route = table.find(host, path);
    if (!route) return this.refuse(trip, "unknownRoute");
    trip.route = route;
    trip.service = table.unlessStopped(route, drawService(route, random()));
    trip.budgetUs = Math.min(trip.budgetUs, trip.arrivedUs + route.giveUpUs);
    const { goods } = this.options;
    if (
      goods &&
      route.kind === "cached" &&
      (trip.req.method === "GET" || trip.req.method === "HEAD")
    ) {
      void this.give(trip, route, goods, host);
      return;
    }
    if (trip.tryId === "") return this.refuse(trip, "noTryId");
    budgets.of(trip.service, kindOf(route.kind)).count();
    this.options.usage?.arrived(trip.service);
    if (!this.carrying.offer(trip)) this.refuse(trip, "full");
  };

  /** An object of a cached route, from a copy or fetched within the origin's rate. */
  private readonly give = async (
    trip: Trip,
    route: Route,
    goods: ObjectSource,
    host: string,
  ): Promise<void> => {
    const { cacheForUs, aimUs } = route;
    const want = {
      service: trip.service,
      host,
      url: trip.req.url ?? "/",
      cacheForUs,
      mostAgeUs: cacheForUs,
      aimUs,
      untilUs: trip.budgetUs,
    };
    const { range } = trip.req.headers;
    const got = await goods.fetch(want, trip.req.method === "GET" ? range : undefined);
    if (trip.over || isBehindClose(trip)) return;
    if (got.kind === "none")
      this.refuse(
        trip,
        got.why === "rate" ? "noRate" : "full",
        got.why === "rate" ? Math.max(got.comeBackUs, RATE_REST_US) : got.comeBackUs,
      );
    else this.answerKept(trip, got.status, got.heads, got.body);
  };

  /** Answers with what was kept of a worker's answer to another request. */
  private readonly answerKept = (
    trip: Trip,
    status: number,
    heads: readonly string[],
    body: Buffer,
  ): void => {
    if (trip.over || trip.res.headersSent) return;
    const all = [...heads, "Yewreel-Try-Id", trip.tryId];
    this.answer(trip, { status, heads: all, start: body, rest: undefined });
  };

  /** Claims the operation key; false when the request has been answered instead, or its caller is gone. */
  private readonly claim = async (trip: Trip, route: Route): Promise<boolean> => {
    const { clock, desk, random } = this.options;
    const told = trip.req.headers[OPERATION_KEY];
    if (typeof told !== "string" || told === "" || told.length > MOST_KEY) {
      this.refuse(trip, "noKey");
      return false;
    }
    const key = `${route.host}\n${told}`;
    const untilUs = Math.min(trip.arrivedUs + route.aimUs / CLAIM_PART, trip.budgetUs);
    let isTaken = false;
    for (let at = 0; desk && !trip.over && clock.nowUs() < untilUs; at += 1) {
      const askedUs = clock.nowUs();
      const token = `${trip.tryId}.${at}.${random().toString(36).slice(2)}`;
      const verdict = await within(clock, untilUs - clock.nowUs(), desk.claim(key, token), {
        kind: "none" as const,
      });
      if (verdict.kind === "won") {
        if (trip.over) {
          desk.free(key, token);
          return false;
        }
        trip.claim = { key, token, askedUs };
        return true;
      }
      if (verdict.kind === "done") {
        this.answerKept(
          trip,
          verdict.answer.status,
          verdict.answer.heads,
          Buffer.from(verdict.answer.body),
        );
        return false;
      }
      desk.free(key, token);
      isTaken = verdict.kind === "working";
      if (isTaken) break;
      await rest(clock, SPLIT_REST_US * (0.5 + random()));
    }
    this.refuse(trip, isTaken ? "keyAtWork" : "noQuorum");
    return false;
  };

  /** Keeps the answer of a keyed request for its repeats, before its caller gets it. */
  private readonly keep = async (trip: Trip, answer: Answer): Promise<void> => {
    const { desk, clock } = this.options;
    if (!desk || !trip.claim || answer.rest) return;
    const kept: KeyAnswer = {
      status: answer.status,
      heads: passOn(answer.heads, NOT_KEPT),
      body: answer.start,
    };
    const aimLeftUs = trip.arrivedUs + (trip.route?.aimUs ?? 0) - clock.nowUs();
    await desk.keep(
      trip.claim.key,
      trip.claim.token,
      kept,
      Math.max(aimLeftUs * KEEP_PART, 300 * MS),
    );
  };

  /** Gate, choose and call, again where that is allowed, and at the end the one answer. */
  private readonly carry = async (trip: Trip): Promise<void> => {
    const { clock, budgets } = this.options;
    const { route } = trip;
    if (!route) return;
    if (!route.isSafe) {
      await trip.prior;
      if (trip.place > 1 && this.hasStoodStill()) await turns();
    }
    const budget = clock.after(trip.budgetUs - clock.nowUs(), () => this.runOut(trip));
    trip.onOver.push(budget.stop);
    if (route.kind === "keyed" && !(await this.claim(trip, route))) return;
    if (
      this.options.goods &&
      (this.options.table.service(trip.service)?.ratePerS ?? 0) > 0 &&
      !(await this.options.goods.permit(trip.service))
    )
      return this.refuse(trip, "noRate");
    let lastAnswer: Answer | undefined;
    while (!trip.over && !isBehindClose(trip) && trip.tried.size < route.tries + MOST_UNREACHED) {
      if (
        trip.sends > 0 &&
        !(
          trip.sends < route.tries &&
          isHeldBody(trip) &&
          !this.isPressed(trip, route) &&
          budgets.of(trip.service, kindOf(route.kind)).spend()
        )
      )
        break;
      const worker = await this.gate.pass(trip, this.gateWaitUs(trip, route));
      if (trip.over || !worker) break;
      if (this.isPast(trip)) return this.runOut(trip);
      if (this.wouldBeLate(trip, route, worker)) break;
      const verdict = await this.call(trip, route, worker);
      if (verdict.kind === "answered") {
        // Where it may not pass, it has run and its status would promise that it has not.
        const mayPass = fates.mayPass(verdict.answer.status, route.isSafe);
        if (mayPass && trip.claim) await this.keep(trip, verdict.answer);
        if (trip.over || !mayPass) {
          verdict.answer.rest?.stop();
          break;
        }
        const isOwnMishap = verdict.answer.status >= 500;
        if (!isOwnMishap || !route.isSafe || trip.sends >= route.tries)
          return this.answer(trip, verdict.answer);
        lastAnswer = verdict.answer;
      } else if (
        trip.over ||
        verdict.kind === "cancelled" ||
        (verdict.kind === "lost" && !route.isSafe)
      )
        break;
      else if (verdict.kind === "unsent" && verdict.why === "unwritable")
        return this.refuse(trip, "malformed");
    }
    if (trip.over) {
      this.freeClaim(trip);
      this.giveRoom(trip);
    } else if (lastAnswer) this.answer(trip, lastAnswer);
    else this.refuse(trip, "lostAnswer");
  };

  /** Neither its caller nor the operator wants it any more, whether or not the timer has said so yet. */
  private readonly isPast = (trip: Trip): boolean => this.options.clock.nowUs() >= trip.budgetUs;

  /**
   * The last question before bytes leave for a worker. A connection may have come up only after the time was over, as
   * when this node stood still meanwhile; a caller's leaving is heard of
   * some turns after it was read; a keyed request must hold a claim that is not too old.
   */
  private readonly mayBegin = (trip: Trip, route: Route): boolean =>
    !trip.over &&
    !trip.line.socket.readableEnded &&
    !isBehindClose(trip) &&
    !this.isPast(trip) &&
    (route.kind !== "keyed" || this.isClaimed(trip)) &&
    fates.begin(trip.fate, route.isSafe);

  private readonly isClaimed = ({ claim }: Trip): boolean =>
    claim !== undefined && this.options.clock.nowUs() - claim.askedUs <= CLAIM_GOOD_US;

  /** Calls one worker; a safe request whose worker has fallen silent is sent to a second one beside it. */
  private readonly call = async (
    trip: Trip,
    route: Route,
    worker: Worker,
  ): Promise<CallVerdict> => {
    const { clock, budgets } = this.options;
    const first = this.start(trip, route, worker);
    if (!route.isSafe) return first.verdict;
    for (;;) {
      const early = await within(clock, SILENCE_CHECK_US, first.verdict, undefined);
      if (early) return early;
      if (trip.over) return { kind: "cancelled" };
      if (
        !worker.isSilent() ||
        this.isPast(trip) ||
        this.isPressed(trip, route) ||
        trip.sends >= route.tries ||
        !isHeldBody(trip)
      )
        continue;
      const other = this.chooser.choose(trip.service, trip.tried, trip.route?.aimUs ?? 0);
      if (!other || !budgets.of(trip.service, kindOf(route.kind)).spend()) continue;
      const second = this.start(trip, route, other);
      const [quick, slow] = await Promise.race([
        first.verdict.then(() => [first, second] as const),
        second.verdict.then(() => [second, first] as const),
      ]);
      const verdict = await quick.verdict;
      if (verdict.kind !== "answered") return slow.verdict;
      slow.cancel();
      return verdict;
    }
  };

  /** Repeats of safe requests stop before they take room that a pressed service lacks. */
  private readonly isPressed = (trip: Trip, route: Route): boolean =>
    this.options.acts === true && route.isSafe && this.options.yard.pressure(trip.service) !== "";

  /** At a pressed service one that can't be repeated is refused before it is offered, rather than broken off in work. */
  private readonly wouldBeLate = (trip: Trip, route: Route, worker: Worker): boolean => {
    const { acts, yard, clock } = this.options;
    return (
      acts === true &&
      !route.isSafe &&
      yard.pressure(trip.service) === "overrun" &&
      worker.guessUs(worker.usage(0)) > trip.budgetUs - clock.nowUs()
    );
  };

  private readonly start = (trip: Trip, route: Route, worker: Worker): Calling => {
    const { clock, countFault, usage } = this.options;
    const startedUs = clock.nowUs();
    const heads = passOn(trip.req.rawHeaders, NOT_PASSED_ON);
    const leftMs = Math.max(1, Math.floor((trip.budgetUs - clock.nowUs()) / MS));
    heads.push("Yewreel-Time-Left-Ms", String(leftMs), "Yewreel-Expect-Worker", worker.id);
    const length = trip.req.headers["content-length"];
    if (!isHeldBody(trip) && length !== undefined) heads.push("Content-Length", length);
    const order = {
      method: trip.req.method ?? "GET",
      path: trip.req.url ?? "/",
      heads,
      body: trip.body,
      tryId: trip.tryId,
      hold: (bytes: number) => this.takeRoom(trip, bytes),
      mayBegin: () => this.mayBegin(trip, route),
    };
    const call = new WorkerCall(worker, order, clock.nowUs);
    if (trip.sends === 0)
      trip.stratum = `${worker.cell === this.options.cell ? "near" : "far"}|${clock.nowUs() < worker.warmUntilUs ? "cold" : "warm"}`;
    trip.tried.add(worker.id);
    trip.sends += 1;
    this.options.countCall?.(trip.service, route.kind, route.name, worker.id);
    trip.calls.add(call);
    void call.verdict.then((verdict) => {
      trip.calls.delete(call);
      if (verdict.kind === "answered" || verdict.kind === "lost")
        usage?.answered(trip.service, worker.cell, clock.nowUs() - startedUs);
      if (verdict.kind === "answered") fates.ran(trip.fate);
      if (verdict.kind === "turned-away") fates.turnedAway(trip.fate);
      // Nothing of it arrived anywhere, so what is sent next is no retry.
      if (verdict.kind === "unsent") trip.sends -= 1;
      const isOut =
        verdict.kind === "unsent" && (verdict.why === "unreachable" || verdict.why === "refused");
      if (isOut || verdict.kind === "lost") worker.shun();
      if (verdict.kind === "unsent" && verdict.why === "unreachable") trip.linkMishap = true;
      if (verdict.kind === "turned-away" && verdict.why === "other-worker")
        this.options.yard.misdirected(worker);
      if (
        verdict.kind === "answered" ||
        verdict.kind === "turned-away" ||
        verdict.kind === "lost" ||
        isOut
      )
        countFault(worker.id, verdict.kind === "lost" || isOut);
      this.gate.wake();
    });
    return call;
  };

  private readonly gateWaitUs = (trip: Trip, route: Route): number => {
    const { clock } = this.options;
    const nowUs = clock.nowUs();
    return Math.min(trip.arrivedUs + route.aimUs / GATE_PART, trip.budgetUs) - nowUs;
  };

  /** The budget is over: whatever a worker still does for it is of no use to anyone. */
  private readonly runOut = (trip: Trip): void => this.refuse(trip, "tooLate");

  /** Answer: the worker's own, unchanged. */
  private readonly answer = (trip: Trip, answer: Answer): void => {
    const { res } = trip;
    if (trip.over || res.headersSent) return answer.rest?.stop();
    const heads = passOn(answer.heads, answer.rest ? NONE : CONTENT_LENGTH);
    if (
      !answer.rest &&
      trip.req.method !== "HEAD" &&
      answer.status !== 204 &&
      answer.status !== 304
    )
      heads.push("Content-Length", String(answer.start.length));
    this.count(trip, answer.status < 400 ? "served" : String(answer.status));
    this.countSplit(trip, () =>
      answer.status >= 500
        ? "lost"
        : this.waitedUs(trip) <= (trip.route?.aimUs ?? 0)
          ? "inTime"
          : "late",
    );
    this.markClosing(trip, false);
    res.writeHead(answer.status, heads);
    trip.over = true;
    fates.close(trip.fate);
    if (!answer.rest) {
      res.end(answer.start);
      return;
    }
    const { rest } = answer;
    trip.onOver.push(rest.stop);
    res.write(answer.start);
    res.on("drain", rest.resume);
    rest.flow(
      (chunk) => res.write(chunk),
      (isWhole) => {
        if (isWhole) res.end();
        else res.destroy();
      },
    );
  };

  /** Answer: the gateway's own, by the table of outcomes. */
  private readonly refuse = (trip: Trip, wanted: OutcomeName, comeBackUs = 0): void => {
    const { res, route } = trip;
    if (trip.over || res.headersSent) return;
    const name = fates.tell(trip.fate, wanted);
    const outcome = OUTCOMES[name];
    if (name === "full" && trip.service !== "") this.options.usage?.refused(trip.service);
    this.count(trip, name);
    this.countSplit(trip, () =>
      fates.isUnrun(trip.fate) && trip.linkMishap ? "own" : lossOf(trip),
    );
    this.markClosing(trip, outcome.closes);
    const body = JSON.stringify({ problem: outcome.problem });
    if (outcome.comeBack) res.setHeader("Retry-After", comeBackS(route, comeBackUs));
    res.writeHead(outcome.status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    res.end(body);
    this.end(trip);
  };

  private readonly markClosing = (trip: Trip, closes: boolean): void => {
    if (!closes && !((this.leaving || this.emptied) && trip.line.open === 1)) return;
    trip.line.closedBy = trip.place;
    trip.res.setHeader("Connection", "close");
  };

  private readonly count = (trip: Trip, outcome: string): void => {
    const kind = trip.route?.kind ?? "none";
    this.options.tally(trip.route?.name ?? "none", kind, outcome);
  };

  /** The caller went away unanswered: at the end of its patience that is the service's doing, sooner it is its own. */
  private readonly abandoned = (trip: Trip): void => {
    this.count(trip, "caller left");
    if (this.waitedUs(trip) < (trip.budgetUs - trip.arrivedUs) * PATIENCE_PART) return;
    this.countSplit(trip, () => lossOf(trip));
  };

  private readonly waitedUs = (trip: Trip): number => this.options.clock.nowUs() - trip.arrivedUs;

  /** Nothing is worked out for a route that sends to one service only. */
  private readonly countSplit = (trip: Trip, outcome: () => RolloutOutcome): void => {
    if (trip.route !== undefined && trip.route.shares.length > 1)
      this.options.countRollout(trip.route, trip.service, trip.stratum, outcome());
  };

  /** Whatever still runs for the trip is called off: it has been answered, or its caller is gone. */
  private readonly end = (trip: Trip): void => {
    trip.over = true;
    this.freeClaim(trip);
    fates.close(trip.fate);
    const cancel = () => {
      trip.calls.forEach((call) => call.cancel());
      if (trip.body !== null && !Buffer.isBuffer(trip.body)) trip.body.destroy();
    };
    // A keyed run whose caller is gone goes on while its worker may be at it, so that its answer can be kept for the repeats.
    if (!trip.claim || trip.res.writableEnded) cancel();
    else
      this.options.clock.after(trip.budgetUs - this.options.clock.nowUs() + KEYED_REST_US, cancel);
    trip.onOver.splice(0).forEach((act) => act());
  };

  private readonly freeClaim = (trip: Trip): void => {
    if (!trip.claim || !fates.isUnrun(trip.fate)) return;
    this.options.desk?.free(trip.claim.key, trip.claim.token);
    trip.claim = undefined;
  };

  private readonly malformed = (mishap: NodeJS.ErrnoException, socket: Socket): void => {
    const line = this.lines.get(socket);
    if (!socket.writable || (line !== undefined && line.open > 0)) {
      socket.destroy();
      return;
    }
    if (line) line.closedBy = line.came;
    const name: OutcomeName =
      mishap.code === "HPE_HEADER_OVERFLOW"
        ? "headTooLarge"
        : mishap.code === "ERR_HTTP_REQUEST_TIMEOUT"
          ? "slowHead"
          : "malformed";
    const outcome = OUTCOMES[name];
    if (mishap.code === "ECONNRESET") socket.destroy();
    else
      socket.end(
        `HTTP/1.1 ${outcome.status} ${outcome.problem}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
  };
}

const NOT_KEPT: ReadonlySet<string> = new Set([
  TRY_ID,
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
const isBehindClose = (trip: Trip): boolean => trip.place > trip.line.closedBy;

/** An unsafe request that may have run may be placed again by its caller. */
const lossOf = (trip: Trip): RolloutOutcome =>
  !fates.isUnrun(trip.fate) && trip.route?.isSafe === false ? "doubled" : "lost";

const isHeldBody = (trip: Trip): boolean => trip.body === null || Buffer.isBuffer(trip.body);

const comeBackS = (route: Route | undefined, leastUs: number): string =>
  (Math.max(leastUs, route ? Math.max(50 * MS, route.aimUs / 4) : 250 * MS) / SECOND).toFixed(3);

const drawService = (route: Route, random: number): string => {
  const total = route.shares.reduce((sum, { share }) => sum + share, 0);
  let mark = random * total;
  for (const { service, share } of route.shares) {
    mark -= share;
    if (mark < 0) return service;
  }
  return route.shares[route.shares.length - 1]?.service ?? "";
};
