import assert from "node:assert/strict";
import { settle, ManualClock } from "../features/support/manual-clock.js";
import { parseChange } from "../src/config/validation.js";
import { UpdateStore, PLAN_PREFIX, WORKER_PREFIX } from "../src/membership/update-store.js";
import { ProxyServer } from "../src/proxy/proxy-server.js";
import { IdempotencyClient } from "../src/idempotency/key-client.js";
import { RetryBudgets } from "../src/proxy/retry-budget.js";
import { RouteTable } from "../src/proxy/route-table.js";
import { ConnectionPool } from "../src/proxy/connection-pool.js";
import type { Clock, Timer } from "../src/common/clock.js";
import { silentLogger } from "../src/common/logger.js";
import { defaultLimits, type RouteKind } from "../src/quota/retry-limits.js";
import type { Message } from "../src/transport/connection.js";
import type { ScriptedWorker } from "./scripted-worker.js";

export const HOST = "a.example";
/** The most workers to which one try may go, by the plan. */
export const TRIES = 2;
export const GIVE_UP_US = 3_000_000;

/** Routes "/safe/", "/unsafe/" and "/keyed/", all to the service "s1". */
export const planOf = (
  tries = TRIES,
  kindOf: (kind: string) => string = (kind) => kind,
  giveUpUs = GIVE_UP_US,
): string =>
  JSON.stringify({
    putItems: {
      listeners: [
        {
          host: HOST,
          rules: ["safe", "unsafe", "keyed"].map((kind) => ({
            name: kind,
            routeKind: kindOf(kind),
            target_time: "800ms",
            rank: 1,
            version: 1,
            matchOn: { pathStart: `/${kind}/` },
            then: { service: "s1", giveUp: `${giveUpUs / 1_000}ms`, tries },
          })),
        },
      ],
      groups: [{ name: "s1", statusPath: "/health", maxConnections: 100, version: 1 }],
    },
  });

/** A desk of one book: who has which key, and what its run was answered with. */
export class OneBook {
  readonly claims = new Map<string, { readonly token: string; answer: unknown }>();
  readonly ask = async (message: Message): Promise<Message | undefined> => {
    const [key, token] = [String(message["key"]), String(message["token"])];
    const held = this.claims.get(key);
    if (message.kind === "key-done") {
      this.claims.set(key, { token, answer: message["answer"] });
      return { kind: "claim", kept: true };
    }
    if (held && held.token !== token)
      return held.answer === undefined
        ? { kind: "claim", verdict: "working" }
        : { kind: "claim", verdict: "done", answer: held.answer };
    this.claims.set(key, { token, answer: undefined });
    return { kind: "claim", verdict: "won" };
  };

  readonly tell = (message: Message): void => {
    const key = String(message["key"]);
    if (message.kind === "key-free" && this.claims.get(key)?.token === message["token"])
      this.claims.delete(key);
  };
}

/** A clock that can leap: the time is another one at once, and what fell due meanwhile acts only afterwards. */
export class LeapingClock implements Clock {
  private leaptUs = 0;

  constructor(private readonly own: ManualClock) {}

  readonly nowUs = (): number => this.own.nowUs() + this.leaptUs;
  readonly after = (waitUs: number, act: () => void): Timer => this.own.after(waitUs, act);
  readonly every = (gapUs: number, act: () => void): Timer => this.own.every(gapUs, act);

  /** As after a process stood still: what lies at its sockets is read before any timer acts. */
  readonly leap = (spanUs: number): void => {
    this.leaptUs += spanUs;
  };
}

export interface RigOptions {
  readonly plan?: string;
  readonly random?: () => number;
  /** What the front goes by instead of the rig's leaping clock. */
  readonly clockOf?: (leaping: LeapingClock) => Clock;
  /** What stands between the front and its book of keys. */
  readonly desk?: (book: OneBook, clock: Clock) => Pick<OneBook, "ask" | "tell">;
  readonly retryRatio?: number;
}

let rigs = 0;

/** One front with its yard on a clock of its own, on an address that no other rig or process of this machine has. */
export class Rig {
  readonly clock = new ManualClock();
  readonly leaping = new LeapingClock(this.clock);
  readonly book = new OneBook();
  readonly updates: UpdateStore;
  readonly pool: ConnectionPool;
  readonly front: ProxyServer;
  readonly host: string;
  readonly port: number;
  /** Called when a worker has been chosen and the connection is begun. */
  onCall: () => void = () => undefined;
  readonly retriesOf: (kind: RouteKind) => number;

  constructor(options: RigOptions = {}) {
    const { clockOf, random = Math.random, retryRatio = 100, plan = planOf() } = options;
    const clock = clockOf?.(this.leaping) ?? this.leaping;
    const desk = options.desk?.(this.book, clock) ?? this.book;
    rigs += 1;
    this.host = `127.${64 + ((process.pid >> 8) % 64)}.${process.pid & 255}.${(rigs % 250) + 1}`;
    this.port = 12_000 + Math.floor(rigs / 250);
    this.updates = new UpdateStore(clock);
    this.pool = new ConnectionPool(clock, "n1", "c1");
    const table = new RouteTable();
    const budgets = new RetryBudgets({
      clock,
      log: silentLogger,
      windowUs: 10_000_000,
      limits: () => defaultLimits({ ratio: retryRatio, slack: 0, windowUs: 10_000_000 }),
    });
    this.retriesOf = (kind) => budgets.of("s1", kind).tell().retries;
    this.front = new ProxyServer({
      clock,
      log: silentLogger,
      zone: "c1",
      bufferMemoryBytes: 4 * 1024 * 1024,
      routes: table,
      pool: this.pool,
      retryBudgets: budgets,
      connectionShare: () => 10,
      countFault: () => undefined,
      countOutcome: () => undefined,
      countCanaryOutcome: () => undefined,
      countAttempt: () => this.onCall(),
      random,
      idempotency: new IdempotencyClient(clock, desk.ask, desk.tell),
    });
    this.updates.events.on("changed", (facts) => {
      table.take(facts);
      this.pool.take(facts);
      this.front.wake();
    });
    const call = parseChange(plan);
    assert.ok(call.isOk);
    this.updates.post(
      call.value.map((register) => ({
        key: PLAN_PREFIX + register.key,
        version: register.version,
        tie: "",
        body: { dropped: false, item: register.body },
      })),
    );
  }

  readonly start = async (): Promise<void> => {
    await this.front.listen(`${this.host}:${this.port}`);
    await settle();
  };

  readonly join = async (worker: ScriptedWorker, capacity = 3): Promise<void> => {
    await worker.start();
    this.updates.post([
      {
        key: WORKER_PREFIX + worker.id,
        version: 1,
        tie: "",
        body: {
          service: "s1",
          address: worker.address,
          cell: "c1",
          capacity,
          state: "ready",
          warmUs: 0,
        },
      },
    ]);
    await settle();
  };

  /** Moves the clock on in steps until it is so, or for a minute; what is under test never waits for real time. */
  readonly until = async (isSo: () => boolean, stepUs = 5_000): Promise<void> => {
    for (let passedUs = 0; passedUs < 60_000_000 && !isSo(); passedUs += stepUs)
      await this.clock.pass(stepUs);
    assert.ok(isSo(), "it never came to be");
  };

  readonly stop = (): void => {
    this.pool.all().forEach((one) => one.closeIdle());
    this.front.stopListening();
  };
}
