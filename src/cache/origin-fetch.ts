/** Fetches objects from the workers of their service. */
import type { ObjectRequest } from "../proxy/object-source.js";
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
import type { LookupResult } from "./object-store.js";

/** Dependencies and limits of {@link OriginFetcher}. */
export interface OriginFetcherOptions {
  readonly clock: Clock;
  readonly workers: WorkerDirectory;
  readonly loadBalancer: LoadBalancer;
  readonly rateLimiter: RateLimiter;
  readonly retryBudgets: RetryBudgets;
  readonly countFault: (worker: string, isFault: boolean) => void;
  /** Maximum size of a body in bytes; a larger one is not accepted. */
  readonly maxObjectBytes: number;
}

const MAX_ATTEMPTS = 3;
const POLL_INTERVAL_US = 15 * MILLISECOND_US;
const LIVENESS_CHECK_INTERVAL_US = 120 * MILLISECOND_US;
/**
 * Fractions of the latency target for which a fetch waits for the rate limit, and for a free
 * worker.
 */
const RATE_WAIT_FRACTION = 0.4;
const WORKER_WAIT_FRACTION = 0.25;
const UNCACHED_HEADERS: ReadonlySet<string> = new Set([
  ATTEMPT_ID_HEADER,
  "content-length",
  "date",
  "yewreel-worker-load",
]);

/**
 * Fetches objects from the workers of a service, within this process's share of the service's rate
 * limit.
 */
export class OriginFetcher {
  revalidations = 0;
  fetches = 0;
  rateLimited = 0;
  /** Number of fetches that wait for the rate limit, by service. */
  private readonly waitingByService = new Map<string, number>();

  constructor(private readonly options: OriginFetcherOptions) {}

  /** Fetches an object, with retries; `previous` is revalidated with its entity tag. */
  // eslint-disable-next-line complexity -- sequential attempts; splitting the function would add a turn of the event loop
  readonly fetch = async (
    request: ObjectRequest,
    previous: CachedObject | undefined,
  ): Promise<LookupResult> => {
    const { clock, retryBudgets } = this.options;
    const budget = retryBudgets.budgetFor(request.service, "cached");
    const tried = new Set<string>();
    let errorResponse: CachedObject | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (clock.nowUs() >= request.deadlineUs || (attempt > 0 && !budget.trySpend())) break;
      const rateRefusal = await this.waitForRate(request);
      if (rateRefusal !== undefined)
        return errorResponse ? { kind: "found", copy: errorResponse } : rateRefusal;
      if (attempt === 0) budget.recordRequest();
      const worker = await this.chooseWorker(request, tried);
      if (!worker) break;
      tried.add(worker.id);
      const sentAtUs = clock.nowUs();
      const result = await this.sendToWorker(request, previous, worker);
      if (result.kind !== "answered") continue;
      const { response } = result;
      if (response.status === 304 && previous)
        return { kind: "found", copy: { ...previous, validatedAtUs: sentAtUs } };
      const body = await withTimeout(
        clock,
        request.deadlineUs - clock.nowUs(),
        this.readBody(response),
        "broken" as const,
      );
      if (!Buffer.isBuffer(body)) {
        response.remainder?.abort();
        if (body === "broken") this.recordFault(worker);
        continue;
      }
      const copy = this.toCachedObject(request, response, body, sentAtUs);
      if (response.status < 500) return { kind: "found", copy };
      errorResponse = copy;
    }
    return errorResponse
      ? { kind: "found", copy: errorResponse }
      : { kind: "none", reason: "full", retryAfterUs: request.latencyTargetUs / 4 };
  };

  /**
   * Waits for a token of the service's rate limit. Resolves to undefined once it has one, and to a
   * refusal at once if the token would come too late.
   */
  private readonly waitForRate = async (
    request: ObjectRequest,
  ): Promise<LookupResult | undefined> => {
    const { clock, rateLimiter } = this.options;
    const untilUs = Math.min(
      clock.nowUs() + request.latencyTargetUs * RATE_WAIT_FRACTION,
      request.deadlineUs,
    );
    const waitingCount = this.waitingByService.get(request.service) ?? 0;
    const token =
      waitingCount === 0
        ? rateLimiter.takeToken(request.service)
        : rateLimiter.delayToNextToken(request.service);
    if (token.ok) return undefined;
    const refusal: LookupResult = {
      kind: "none",
      reason: "rate",
      retryAfterUs: token.waitUs * (waitingCount + 1),
    };
    if (clock.nowUs() + token.waitUs * (waitingCount + 1) > untilUs) {
      this.rateLimited += 1;
      return refusal;
    }
    this.waitingByService.set(request.service, waitingCount + 1);
    try {
      while (clock.nowUs() < untilUs) {
        await sleep(clock, POLL_INTERVAL_US);
        if (rateLimiter.takeToken(request.service).ok) return undefined;
      }
      this.rateLimited += 1;
      return refusal;
    } finally {
      this.waitingByService.set(
        request.service,
        (this.waitingByService.get(request.service) ?? 1) - 1,
      );
    }
  };

  private readonly chooseWorker = async (
    request: ObjectRequest,
    tried: ReadonlySet<string>,
  ): Promise<Worker | undefined> => {
    const { clock, loadBalancer } = this.options;
    const untilUs = Math.min(
      clock.nowUs() + request.latencyTargetUs * WORKER_WAIT_FRACTION,
      request.deadlineUs,
    );
    for (;;) {
      const worker = loadBalancer.choose(request.service, tried, request.latencyTargetUs);
      if (worker || clock.nowUs() >= untilUs) return worker;
      await sleep(clock, POLL_INTERVAL_US);
    }
  };

  // eslint-disable-next-line complexity -- one attempt and its outcomes; splitting the function would add a turn of the event loop
  private readonly sendToWorker = async (
    request: ObjectRequest,
    previous: CachedObject | undefined,
    worker: Worker,
  ): Promise<UpstreamResult> => {
    const { clock, countFault, workers } = this.options;
    const attemptId = randomBytes(8).toString("hex");
    const timeLeftMs = Math.max(
      1,
      Math.floor((request.deadlineUs - clock.nowUs()) / MILLISECOND_US),
    );
    const headers = [
      "Host",
      request.host,
      "Yewreel-Try-Id",
      attemptId,
      "Yewreel-Time-Left-Ms",
      String(timeLeftMs),
      "Yewreel-Expect-Worker",
      worker.id,
    ];
    if (previous && previous.etag !== "") {
      headers.push("If-None-Match", previous.etag);
      this.revalidations += 1;
    } else this.fetches += 1;
    const upstream = new UpstreamRequest(
      worker,
      {
        method: "GET",
        path: request.url,
        headers,
        body: null,
        attemptId,
        usesDedicatedConnection: true,
        reserveMemory: () => true,
        maySend: () => clock.nowUs() < request.deadlineUs,
      },
      clock.nowUs,
    );
    let result: UpstreamResult | undefined;
    while (result === undefined) {
      result = await withTimeout(clock, LIVENESS_CHECK_INTERVAL_US, upstream.result, undefined);
      if (result === undefined && (worker.isUnresponsive() || clock.nowUs() > request.deadlineUs)) {
        upstream.cancel();
        result = { kind: "lost", reason: "silence" };
      }
    }
    if (result.kind === "rejected" && result.reason === "wrong-worker")
      workers.removeMisdirected(worker);
    const isFault =
      result.kind === "lost" ||
      (result.kind === "not-sent" &&
        (result.reason === "unreachable" || result.reason === "connection-refused"));
    if (isFault) this.recordFault(worker);
    else countFault(worker.id, false);
    return result;
  };

  private readonly recordFault = (worker: Worker): void => {
    worker.avoid();
    this.options.countFault(worker.id, true);
  };

  /** Reads the complete body, unless the connection breaks or the body is too large. */
  private readonly readBody = (
    response: UpstreamResponse,
  ): Promise<Buffer | "broken" | "too large"> => {
    const { remainder, body: firstChunk } = response;
    if (!remainder) return Promise.resolve(firstChunk);
    const chunks = [firstChunk];
    let size = firstChunk.length;
    return new Promise((resolve) => {
      remainder.read(
        (chunk) => {
          size += chunk.length;
          if (size <= this.options.maxObjectBytes) chunks.push(chunk);
          return true;
        },
        (isComplete) => {
          if (!isComplete) resolve("broken");
          else if (size > this.options.maxObjectBytes) resolve("too large");
          else resolve(Buffer.concat(chunks));
        },
      );
    });
  };

  private readonly toCachedObject = (
    request: ObjectRequest,
    response: UpstreamResponse,
    body: Buffer,
    validatedAtUs: number,
  ): CachedObject => ({
    service: request.service,
    host: request.host,
    url: request.url,
    status: response.status,
    headers: forwardedHeaders(response.headers, UNCACHED_HEADERS),
    etag: response.status === 200 ? (headerValue(response.headers, "etag") ?? "") : "",
    labels: (headerValue(response.headers, LABELS_HEADER) ?? "")
      .split(" ")
      .filter((label) => label !== ""),
    body,
    validatedAtUs,
  });
}
