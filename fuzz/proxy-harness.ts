/** A test harness around a proxy server, with its collaborators in memory. */
import assert from "node:assert/strict";
import { settle, ManualClock } from "../features/support/manual-clock.js";
import { configurationUpdates, workerUpdate } from "../features/support/proxy-updates.js";
import { UpdateStore } from "../src/membership/update-store.js";
import { ProxyServer } from "../src/proxy/proxy-server.js";
import { IdempotencyClient } from "../src/idempotency/key-client.js";
import { RetryBudgets } from "../src/proxy/retry-budget.js";
import { CustomerDirectory } from "../src/proxy/customer-directory.js";
import { ShardDirectory } from "../src/proxy/shard-directory.js";
import { RouteTable } from "../src/proxy/route-table.js";
import { WorkerDirectory } from "../src/proxy/worker-directory.js";
import type { Clock, Timer } from "../src/common/clock.js";
import { asRecord, readList } from "../src/common/decode.js";
import { silentLogger } from "../src/common/logger.js";
import { defaultLimits, type RouteKind } from "../src/quota/retry-limits.js";
import type { Message } from "../src/transport/connection.js";
import type { ScriptedWorker } from "./scripted-worker.js";

export const HOST = "a.example";
/** The configured maximum number of workers that a request is sent to. */
export const MAX_TRIES = 2;
export const GIVE_UP_US = 3_000_000;

/** Returns a configuration with the routes "/safe/", "/unsafe/" and "/keyed/" to service "s1". */
export const configurationOf = (
  tries = MAX_TRIES,
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

/** What a repeat is told: the stored response, or why there is none. */
const responseOf = (answer: unknown): Message => {
  if (answer === undefined) return { kind: "claim", verdict: "working" };
  return asRecord(answer)["body"] === undefined
    ? { kind: "claim", verdict: "unavailable" }
    : { kind: "claim", verdict: "done", answer };
};

/** An in-memory idempotency key service: the token that holds each key, and the stored response. */
export class InMemoryKeyService {
  readonly claims = new Map<string, { readonly token: string; answer: unknown }>();
  readonly ask = async (message: Message): Promise<Message | undefined> => {
    const [key, token] = [String(message["key"]), String(message["token"])];
    const existing = this.claims.get(key);
    if (message.kind === "key-free-all") {
      readList(message, "claims", asRecord).forEach((claim) =>
        this.notify({ ...claim, kind: "key-free" }),
      );
      return { kind: "claim", kept: true };
    }
    if (message.kind === "key-done") {
      this.claims.set(key, { token, answer: message["answer"] });
      return { kind: "claim", kept: true };
    }
    if (existing && existing.token !== token) return responseOf(existing.answer);
    this.claims.set(key, { token, answer: undefined });
    return { kind: "claim", verdict: "won" };
  };

  readonly notify = (message: Message): void => {
    const key = String(message["key"]);
    if (message.kind === "key-free" && this.claims.get(key)?.token === message["token"])
      this.claims.delete(key);
  };
}

/** A clock that can skip ahead; timers that fall due in the skipped time run only afterwards. */
export class SkippingClock implements Clock {
  private skippedUs = 0;

  constructor(private readonly inner: ManualClock) {}

  readonly nowUs = (): number => this.inner.nowUs() + this.skippedUs;
  readonly after = (waitUs: number, act: () => void): Timer => this.inner.after(waitUs, act);
  readonly every = (gapUs: number, act: () => void): Timer => this.inner.every(gapUs, act);

  /** Skips time as a stalled process does: pending socket data is read before any timer runs. */
  readonly skip = (durationUs: number): void => {
    this.skippedUs += durationUs;
  };
}

/** Settings of {@link ProxyHarness} that a test may replace. */
export interface ProxyHarnessOptions {
  readonly configuration?: string;
  readonly random?: () => number;
  /** Replaces the clock of the proxy server. */
  readonly clockOf?: (skippingClock: SkippingClock) => Clock;
  /** Replaces the connection between the proxy server and the key service. */
  readonly keyServiceOf?: (
    keyService: InMemoryKeyService,
    clock: Clock,
  ) => Pick<InMemoryKeyService, "ask" | "notify">;
  readonly retryRatio?: number;
}

let harnessCount = 0;

/**
 * A proxy server with its own clock, on a loopback address derived from the process id and the
 * number of the harness, so that harnesses and concurrent processes don't collide.
 */
export class ProxyHarness {
  readonly clock = new ManualClock();
  readonly skippingClock = new SkippingClock(this.clock);
  readonly keyService = new InMemoryKeyService();
  readonly updates: UpdateStore;
  readonly pool: WorkerDirectory;
  readonly proxy: ProxyServer;
  readonly host: string;
  readonly port: number;
  /** Called when a worker has been selected and the connection attempt starts. */
  onAttempt: () => void = () => undefined;
  readonly retriesOf: (kind: RouteKind) => number;

  constructor(options: ProxyHarnessOptions = {}) {
    const {
      clockOf,
      random = Math.random,
      retryRatio = 100,
      configuration = configurationOf(),
    } = options;
    const clock = clockOf?.(this.skippingClock) ?? this.skippingClock;
    const keyService = options.keyServiceOf?.(this.keyService, clock) ?? this.keyService;
    harnessCount += 1;
    this.host = `127.${64 + ((process.pid >> 8) % 64)}.${process.pid & 255}.${(harnessCount % 250) + 1}`;
    this.port = 12_000 + Math.floor(harnessCount / 250);
    this.updates = new UpdateStore(clock);
    this.pool = new WorkerDirectory(clock, "n1", "c1");
    const table = new RouteTable();
    const customers = new CustomerDirectory();
    const budgets = new RetryBudgets({
      clock,
      log: silentLogger,
      windowUs: 10_000_000,
      limits: () => defaultLimits({ ratio: retryRatio, slack: 0, windowUs: 10_000_000 }),
    });
    this.retriesOf = (kind) => budgets.budgetFor("s1", kind).snapshot().retries;
    this.proxy = new ProxyServer({
      clock,
      log: silentLogger,
      zone: "c1",
      bufferMemoryBytes: 4 * 1024 * 1024,
      routes: table,
      customers,
      shards: new ShardDirectory(),
      workers: this.pool,
      retryBudgets: budgets,
      connectionShare: () => 10,
      countFault: () => undefined,
      countOutcome: () => undefined,
      countCanaryOutcome: () => undefined,
      countAttempt: () => this.onAttempt(),
      random,
      idempotency: new IdempotencyClient(clock, keyService.ask, keyService.notify),
    });
    this.updates.events.on("changed", (facts) => {
      customers.applyUpdates(facts);
      table.applyUpdates(facts);
      this.pool.applyUpdates(facts);
      this.proxy.wake();
    });
    this.updates.post(configurationUpdates(configuration));
  }

  readonly start = async (): Promise<void> => {
    await this.proxy.listen(`${this.host}:${this.port}`);
    await settle();
  };

  readonly join = async (worker: ScriptedWorker, capacity = 3): Promise<void> => {
    await worker.start();
    this.updates.post([workerUpdate(worker, capacity)]);
    await settle();
  };

  /**
   * Advances the clock in steps until the condition holds; fails after a minute of simulated time.
   * The proxy server never waits for real time.
   */
  readonly until = async (condition: () => boolean, stepUs = 5_000): Promise<void> => {
    for (let passedUs = 0; passedUs < 60_000_000 && !condition(); passedUs += stepUs)
      await this.clock.pass(stepUs);
    assert.ok(condition(), "it never came to be");
  };

  readonly stop = (): void => {
    this.pool.all().forEach((one) => one.connections.closeIdle());
    this.proxy.stopListening();
  };
}
