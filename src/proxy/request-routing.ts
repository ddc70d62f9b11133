/**
 * Second pipeline stage: finds the route of a request by host and path prefix, authenticates its
 * customer by API key, and picks a service by weight.
 */
import type { OutcomeName } from "../common/http-outcomes.js";
import { toRouteKind } from "../quota/retry-limits.js";
import type { CustomerDirectory } from "./customer-directory.js";
import { API_KEY_HEADER, SHARD_KEY_HEADER } from "./headers.js";
import type { RequestContext } from "./request-context.js";
import type { RetryBudgets } from "./retry-budget.js";
import { parseShardKey } from "./shard-directory.js";
import type { Route, RouteTable } from "./route-table.js";

/** Dependencies of {@link RequestRouter}. */
export interface RequestRouterOptions {
  readonly routes: RouteTable;
  readonly customers: CustomerDirectory;
  readonly retryBudgets: RetryBudgets;
  /** Returns whether a configuration was announced that this node has not received. */
  readonly isBehind: () => boolean;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Counts a request to a service for the capacity forecast. */
  readonly countArrival?: (service: string) => void;
  /** Serves objects of cached routes; if undefined, they are forwarded like any safe request. */
  readonly serveCached?: (context: RequestContext, route: Route, host: string) => Promise<void>;
  /** Receives the requests that are sent to a worker. */
  readonly forward: (context: RequestContext) => void;
  readonly reject: (context: RequestContext, outcome: OutcomeName) => void;
}

const drawService = (route: Route, random: number): string => {
  const totalWeight = route.weightedServices.reduce((sum, { share }) => sum + share, 0);
  let remaining = random * totalWeight;
  for (const { service, share } of route.weightedServices) {
    remaining -= share;
    if (remaining < 0) return service;
  }
  return route.weightedServices[route.weightedServices.length - 1]?.service ?? "";
};

/** Routes requests. */
export class RequestRouter {
  constructor(private readonly options: RequestRouterOptions) {}

  /** Sets the route, the service and the deadline of a request, and passes it to the next stage. */
  // eslint-disable-next-line complexity -- a sequence of early returns without nesting
  readonly route = (context: RequestContext): void => {
    const { routes, customers, random, retryBudgets, reject } = this.options;
    const { req } = context;
    if (context.isFinished) return;
    if (!routes.isLoaded) {
      reject(context, "noPlan");
      return;
    }
    if (this.options.isBehind()) {
      reject(context, "staleConfiguration");
      return;
    }
    const host = (req.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const route = routes.find(host, path);
    if (!route) {
      reject(context, "unknownRoute");
      return;
    }
    const apiKey = req.headers[API_KEY_HEADER];
    context.customer = typeof apiKey === "string" ? customers.find(apiKey) : undefined;
    if (!context.customer && customers.size > 0 && !route.isPublic) {
      reject(context, "unknownApiKey");
      return;
    }
    context.route = route;
    context.service = routes.effectiveService(route, drawService(route, random()));
    context.deadlineUs = Math.min(context.deadlineUs, context.arrivedUs + route.timeoutUs);
    const { serveCached } = this.options;
    if (serveCached && route.kind === "cached" && (req.method === "GET" || req.method === "HEAD")) {
      void serveCached(context, route, host);
      return;
    }
    if (context.attemptId === "") {
      reject(context, "noTryId");
      return;
    }
    if (routes.service(context.service)?.isSharded) {
      context.shardKey = parseShardKey(req.headers[SHARD_KEY_HEADER]);
      if (context.shardKey === undefined) {
        reject(context, "noShardKey");
        return;
      }
    }
    retryBudgets.budgetFor(context.service, toRouteKind(route.kind)).recordRequest();
    this.options.countArrival?.(context.service);
    this.options.forward(context);
  };
}
