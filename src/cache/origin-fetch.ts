import { randomBytes } from "node:crypto";
import { sleep, withTimeout, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import {
  UpstreamRequest,
  type UpstreamResponse,
  type UpstreamResult,
} from "../proxy/upstream-request.js";
import type { RetryBudgets } from "../proxy/retry-budget.js";
import type { LoadBalancer } from "../proxy/load-balancer.js";
import {
  headerValue,
  LABELS_HEADER,
  forwardedHeaders,
  ATTEMPT_ID_HEADER,
} from "../proxy/headers.js";
import type { Worker } from "../proxy/worker.js";
import type { WorkerDirectory } from "../proxy/worker-directory.js";
import type { CachedObject } from "./cached-objects.js";
import type { RateLimiter } from "../quota/rate-limiter.js";
import type { LookupResult, Want } from "./object-store.js";

export interface OriginFetcherOptions {
  readonly clock: Clock;
  readonly workers: WorkerDirectory;
  readonly loadBalancer: LoadBalancer;
  readonly rateLimiter: RateLimiter;
  readonly retryBudgets: RetryBudgets;
  readonly countFault: (worker: string, isFault: boolean) => void;
  /** The largest object that is read whole. */
  readonly maxObjectBytes: number;
}

const TRIES = 3;
const LOOK_US = 15 * MILLISECOND_US;
const SILENCE_CHECK_US = 120 * MILLISECOND_US;
/** The parts of the aim for which a fetch waits for its turn, and for room at a worker. */
const TURN_PART = 0.4;
const ROOM_PART = 0.25;
const NOT_KEPT: ReadonlySet<string> = new Set([
  ATTEMPT_ID_HEADER,
  "content-length",
  "date",
  "yewreel-worker-load",
]);

/** Reads objects from the workers of a service, within this process's share of the service's rate. */
export class OriginFetcher {
  revalidations = 0;
  fetches = 0;
  rateLimited = 0;
  /** Who waits for a turn, by service; the first comes first. */
  private readonly waiting = new Map<string, number>();

  constructor(private readonly options: OriginFetcherOptions) {}

  readonly fetch = async (want: Want, old: CachedObject | undefined): Promise<LookupResult> => {
    const { clock, retryBudgets } = this.options;
    const budget = retryBudgets.of(want.service, "cached");
    const tried = new Set<string>();
    let bad: CachedObject | undefined;
    for (let round = 0; round < TRIES; round += 1) {
      if (clock.nowUs() >= want.deadlineUs || (round > 0 && !budget.trySpend())) break;
      const turn = await this.turn(want);
      if (turn !== undefined) return bad ? { kind: "found", copy: bad } : turn;
      if (round === 0) budget.recordRequest();
      const worker = await this.worker(want, tried);
      if (!worker) break;
      tried.add(worker.id);
      const beganUs = clock.nowUs();
      const result = await this.call(want, old, worker);
      if (result.kind !== "answered") continue;
      const { response: answer } = result;
      if (answer.status === 304 && old) return { kind: "found", copy: { ...old, bornUs: beganUs } };
      const body = await withTimeout(
        clock,
        want.deadlineUs - clock.nowUs(),
        this.whole(answer),
        "broken" as const,
      );
      if (!Buffer.isBuffer(body)) {
        answer.remainder?.abort();
        if (body === "broken") this.fault(worker);
        continue;
      }
      const copy = this.copyOf(want, answer, body, beganUs);
      if (answer.status < 500) return { kind: "found", copy };
      bad = copy;
    }
    return bad
      ? { kind: "found", copy: bad }
      : { kind: "none", reason: "full", retryAfterUs: want.latencyTargetUs / 4 };
  };

  /** Waits for one request's worth of the rate; at once says none where it would come too late. */
  private readonly turn = async (want: Want): Promise<LookupResult | undefined> => {
    const { clock, rateLimiter: rate } = this.options;
    const untilUs = Math.min(clock.nowUs() + want.latencyTargetUs * TURN_PART, want.deadlineUs);
    const before = this.waiting.get(want.service) ?? 0;
    const first = before === 0 ? rate.takeToken(want.service) : rate.delayToNextToken(want.service);
    if (first.ok) return undefined;
    const none: LookupResult = {
      kind: "none",
      reason: "rate",
      retryAfterUs: first.waitUs * (before + 1),
    };
    if (clock.nowUs() + first.waitUs * (before + 1) > untilUs) {
      this.rateLimited += 1;
      return none;
    }
    this.waiting.set(want.service, before + 1);
    try {
      while (clock.nowUs() < untilUs) {
        await sleep(clock, LOOK_US);
        if (rate.takeToken(want.service).ok) return undefined;
      }
      this.rateLimited += 1;
      return none;
    } finally {
      this.waiting.set(want.service, (this.waiting.get(want.service) ?? 1) - 1);
    }
  };

  private readonly worker = async (
    want: Want,
    tried: ReadonlySet<string>,
  ): Promise<Worker | undefined> => {
    const { clock, loadBalancer: chooser } = this.options;
    const untilUs = Math.min(clock.nowUs() + want.latencyTargetUs * ROOM_PART, want.deadlineUs);
    for (;;) {
      const worker = chooser.choose(want.service, tried, want.latencyTargetUs);
      if (worker || clock.nowUs() >= untilUs) return worker;
      await sleep(clock, LOOK_US);
    }
  };

  private readonly call = async (
    want: Want,
    old: CachedObject | undefined,
    worker: Worker,
  ): Promise<UpstreamResult> => {
    const { clock, countFault, workers: pool } = this.options;
    const attemptId = randomBytes(8).toString("hex");
    const leftMs = Math.max(1, Math.floor((want.deadlineUs - clock.nowUs()) / MILLISECOND_US));
    const headers = [
      "Host",
      want.host,
      "Yewreel-Try-Id",
      attemptId,
      "Yewreel-Time-Left-Ms",
      String(leftMs),
      "Yewreel-Expect-Worker",
      worker.id,
    ];
    if (old && old.etag !== "") {
      headers.push("If-None-Match", old.etag);
      this.revalidations += 1;
    } else this.fetches += 1;
    const call = new UpstreamRequest(
      worker,
      {
        method: "GET",
        path: want.url,
        headers,
        body: null,
        attemptId,
        usesOwnConnection: true,
        reserveMemory: () => true,
        maySend: () => clock.nowUs() < want.deadlineUs,
      },
      clock.nowUs,
    );
    let result: UpstreamResult | undefined;
    while (result === undefined) {
      result = await withTimeout(clock, SILENCE_CHECK_US, call.result, undefined);
      if (result === undefined && (worker.isUnresponsive() || clock.nowUs() > want.deadlineUs)) {
        call.cancel();
        result = { kind: "lost", reason: "silence" };
      }
    }
    if (result.kind === "rejected" && result.reason === "wrong-worker")
      pool.removeMisdirected(worker);
    const isOut =
      result.kind === "lost" ||
      (result.kind === "not-sent" &&
        (result.reason === "unreachable" || result.reason === "connection-refused"));
    if (isOut) this.fault(worker);
    else countFault(worker.id, false);
    return result;
  };

  private readonly fault = (worker: Worker): void => {
    worker.avoid();
    this.options.countFault(worker.id, true);
  };

  /** All of the body, unless it broke off or is too large. */
  private readonly whole = (answer: UpstreamResponse): Promise<Buffer | "broken" | "too large"> => {
    const { remainder: more, body: start } = answer;
    if (!more) return Promise.resolve(start);
    const chunks = [start];
    let size = start.length;
    return new Promise((resolve) => {
      more.read(
        (chunk) => {
          size += chunk.length;
          if (size <= this.options.maxObjectBytes) chunks.push(chunk);
          return true;
        },
        (isWhole) =>
          resolve(
            !isWhole
              ? "broken"
              : size > this.options.maxObjectBytes
                ? "too large"
                : Buffer.concat(chunks),
          ),
      );
    });
  };

  private readonly copyOf = (
    want: Want,
    answer: UpstreamResponse,
    body: Buffer,
    beganUs: number,
  ): CachedObject => ({
    service: want.service,
    host: want.host,
    url: want.url,
    status: answer.status,
    heads: forwardedHeaders(answer.headers, NOT_KEPT),
    etag: answer.status === 200 ? (headerValue(answer.headers, "etag") ?? "") : "",
    labels: (headerValue(answer.headers, LABELS_HEADER) ?? "")
      .split(" ")
      .filter((label) => label !== ""),
    body,
    bornUs: beganUs,
  });
}
