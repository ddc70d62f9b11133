/**
 * Serves requests on cached routes, either from a cache or by fetching the object within the
 * origin's rate limit.
 */
import { SECOND_US } from "../common/duration.js";
import { isAfterClosingResponse } from "./client-connection.js";
import type { ObjectSource } from "./object-source.js";
import type { RequestContext } from "./request-context.js";
import type { ResponseWriter } from "./response-writer.js";
import type { Route } from "./route-table.js";

/**
 * Minimum `Retry-After` of a rate-limit rejection. Caches fill at the origin's rate, so a client
 * that retries sooner would be rejected again.
 */
const MIN_RATE_RETRY_AFTER_US = 1 * SECOND_US;

/** Serves objects of cached routes. */
export class CachedRequests {
  constructor(
    private readonly objects: ObjectSource,
    private readonly writer: ResponseWriter,
  ) {}

  /**
   * Responds with the object, or with 503 and `Retry-After` if it cannot be obtained in time.
   *
   * @param host - the request's host in lower case, without a port
   */
  readonly serve = async (context: RequestContext, route: Route, host: string): Promise<void> => {
    const { req, service, deadlineUs } = context;
    const { cacheTtlUs: cacheForUs, latencyTargetUs } = route;
    const request = {
      service,
      host,
      url: req.url ?? "/",
      cacheForUs,
      maxAgeUs: cacheForUs,
      latencyTargetUs,
      deadlineUs,
    };
    const range = req.method === "GET" ? req.headers.range : undefined;
    const result = await this.objects.fetch(request, range);
    if (context.isFinished || isAfterClosingResponse(context)) return;
    if (result.kind === "served")
      this.writer.sendStored(context, result.status, result.headers, result.body);
    else if (result.reason === "rate")
      this.writer.reject(context, "noRate", Math.max(result.retryAfterUs, MIN_RATE_RETRY_AFTER_US));
    else this.writer.reject(context, "full", result.retryAfterUs);
  };
}
