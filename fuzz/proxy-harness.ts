/** A proxy server under test, with its collaborators in memory. */
import assert from "node:assert/strict";
import { settle, ManualClock } from "../features/support/manual-clock.js";
import { configurationUpdates, workerUpdate } from "../features/support/proxy-updates.js";
import { UpdateStore } from "../src/membership/update-store.js";
import { ProxyServer } from "../src/proxy/proxy-server.js";
import { IdempotencyClient } from "../src/idempotency/key-client.js";
import { RetryBudgets } from "../src/proxy/retry-budget.js";
import { RouteTable } from "../src/proxy/route-table.js";
import { WorkerDirectory } from "../src/proxy/worker-directory.js";
import type { Clock, Timer } from "../src/common/clock.js";
import { silentLogger } from "../src/common/logger.js";
import { defaultLimits, type RouteKind } from "../src/quota/retry-limits.js";
import type { Message } from "../src/transport/connection.js";
import type { ScriptedWorker } from "./scripted-worker.js";

export const HOST = "a.example";
/** How many workers one request may go to, by the configuration. */
export const MAX_TRIES = 2;
export const GIVE_UP_US = 3_000_000;

/** Routes "/safe/", "/unsafe/" and "/keyed/", all to the service "s1". */
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

/** A key service in memory: who has which key, and what its run was answered with. */
export class InMemoryKeyService {
  readonly claims = new Map<string, { readonly token: string; answer: unknown }>();
  readonly ask = async (message: Message): Promise<Message | undefined> => {
    const [key, token] = [String(message["key"]), String(message["token"])];
    const existing = this.claims.get(key);
    if (message.kind === "key-done") {
      this.claims.set(key, { token, answer: message["answer"] });
      return { kind: "claim", kept: true };
    }
    if (existing && existing.token !== token)
      return existing.answer === undefined
        ? { kind: "claim", verdict: "working" }
        : { kind: "claim", verdict: "done", answer: existing.answer };
    this.claims.set(key, { token, answer: undefined });
    return { kind: "claim", verdict: "won" };
  };

  readonly notify = (message: Message): void => {
    const key = String(message["key"]);
    if (message.kind === "key-free" && this.claims.get(key)?.token === message["token"])
      this.claims.delete(key);
  };
}

/** A clock that can skip ahead: timers that fell due meanwhile act only afterwards. */
export class SkippingClock implements Clock {
  private skippedUs = 0;

  constructor(private readonly inner: ManualClock) {}

  readonly nowUs = (): number => this.inner.nowUs() + this.skippedUs;
  readonly after = (waitUs: number, act: () => void): Timer => this.inner.after(waitUs, act);
  readonly every = (gapUs: number, act: () => void): Timer => this.inner.every(gapUs, act);

  /** As after a stall: what lies at the process's sockets is read before any timer acts. */
  readonly skip = (durationUs: number): void => {
    this.skippedUs += durationUs;
  };
}

export interface ProxyHarnessOptions {
  readonly configuration?: string;
  readonly random?: () => number;
  /** The clock of the proxy server instead of the harness's own. */
  readonly clockOf?: (skippingClock: SkippingClock) => Clock;
  /** The connection between the proxy server and the key service. */
  readonly keyServiceOf?: (
    keyService: InMemoryKeyService,
    clock: Clock,
  ) => Pick<InMemoryKeyService, "ask" | "notify">;
  readonly retryRatio?: number;
}

let harnessCount = 0;

/**
 * One proxy server on a clock of its own, at an address that no other harness or process of this
 * machine has.
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
  /** Called when a worker has been chosen and the connection is begun. */
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
    const budgets = new RetryBudgets({
      clock,
      log: silentLogger,
      windowUs: 10_000_000,
      limits: () => defaultLimits({ ratio: retryRatio, slack: 0, windowUs: 10_000_000 }),
    });
    this.retriesOf = (kind) => budgets.of("s1", kind).snapshot().retries;
    this.proxy = new ProxyServer({
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
      countAttempt: () => this.onAttempt(),
      random,
      idempotency: new IdempotencyClient(clock, keyService.ask, keyService.notify),
    });
    this.updates.events.on("changed", (facts) => {
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
   * Moves the clock on in steps until it is so, or for a minute; what is under test never waits for
   * real time.
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
