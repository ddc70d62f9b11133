import { PLAN_PREFIX, ROLLOUTS_KEY, type Update } from "../membership/update-store.js";
import { asList, asRecord, parseJson, readString, readNumber } from "../common/decode.js";
import { readWeightedServices, type WeightedService } from "../common/weighted-split.js";
import { parseDuration, SECOND_US } from "../common/duration.js";

export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: string;
  /** Whether a request may run more than once. */
  readonly isSafe: boolean;
  /** How long an answer may be kept; 0 unless the route is cached. */
  readonly cacheTtlUs: number;
  readonly latencyTargetUs: number;
  readonly priority: number;
  readonly version: number;
  /** Invariant: not empty, and the shares add up to more than 0. */
  readonly weightedServices: readonly WeightedService[];
  readonly timeoutUs: number;
  readonly maxAttempts: number;
}

export interface Service {
  readonly name: string;
  readonly healthCheckPath: string;
  readonly maxConnections: number;
  /** The most requests a second that the service is to receive from everyone; 0 where there is no such bound. */
  readonly maxRequestsPerS: number;
}

export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutUs: number;
  readonly idleTimeoutUs: number;
}

const stopKey = (route: string, version: number, candidate: string): string =>
  `${route}\n${version}\n${candidate}`;

const FIRST_LIMITS: ClientLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutUs: 5 * SECOND_US,
  idleTimeoutUs: 15 * SECOND_US,
};

const readRoute = (body: string): Route => {
  const record = asRecord(parseJson(body));
  const rule = asRecord(record["rule"], "rule");
  const then = asRecord(rule["then"], "then");
  return {
    name: readString(rule, "name"),
    host: readString(record, "host").toLowerCase(),
    pathPrefix: readString(asRecord(rule["matchOn"], "matchOn"), "pathStart"),
    kind: typeof rule["routeKind"] === "string" ? rule["routeKind"] : "unsafe",
    isSafe: rule["routeKind"] === "safe" || rule["routeKind"] === "cached",
    cacheTtlUs: rule["routeKind"] === "cached" ? parseDuration(rule["cacheFor"]).unwrapOr(0) : 0,
    latencyTargetUs: parseDuration(rule["target_time"]).unwrapOr(SECOND_US),
    priority: typeof rule["rank"] === "number" ? rule["rank"] : 0,
    version: readNumber(rule, "version"),
    weightedServices: readWeightedServices(then),
    timeoutUs: parseDuration(then["giveUp"]).unwrapOr(SECOND_US),
    maxAttempts: typeof then["tries"] === "number" ? Math.max(1, then["tries"]) : 1,
  };
};

/** The plan as the data plane uses it. Invariant: the routes of a host are sorted by the length of their prefix, longest first. */
export class RouteTable {
  private readonly routes = new Map<string, Route>();
  private readonly byHost = new Map<string, readonly Route[]>();
  private readonly services = new Map<string, Service>();
  /** Of a route's version, by its name, version and candidate: the service that a stop gives the share to. */
  private stops: ReadonlyMap<string, string> = new Map();
  private hasConfiguration = false;
  limits: ClientLimits = FIRST_LIMITS;

  /** Whether any plan has come yet; without one nothing may be called unknown. */
  get isLoaded(): boolean {
    return this.hasConfiguration;
  }

  readonly service = (name: string): Service | undefined => this.services.get(name);

  /** The service itself, or the baseline where the rollout inspector stopped it for this version. */
  readonly effectiveService = (route: Route, service: string): string =>
    this.stops.get(stopKey(route.name, route.version, service)) ?? service;

  readonly isCurrent = (name: string, version: number): boolean =>
    this.routes.get(`route/${name}`)?.version === version;

  readonly applyUpdates = (facts: readonly Update[]): void => {
    const stopped = facts.find((fact) => fact.key === ROLLOUTS_KEY);
    if (stopped) this.applyStops(stopped);
    const hosts = new Set<string>();
    facts
      .filter((fact) => fact.key.startsWith(PLAN_PREFIX))
      .forEach((fact) => {
        this.hasConfiguration = true;
        this.applyItem(fact, hosts);
      });
    if (hosts.size > 0) this.sortHosts(hosts);
  };

  readonly find = (host: string, path: string): Route | undefined =>
    this.byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));

  private readonly applyStops = (fact: Update): void => {
    const rows = asList(fact.body["stops"], "stops").map((value) => asRecord(value, "stop"));
    this.stops = new Map(
      rows.map((row) => [
        stopKey(readString(row, "route"), readNumber(row, "version"), readString(row, "candidate")),
        readString(row, "baseline"),
      ]),
    );
  };

  private readonly applyItem = (fact: Update, hosts: Set<string>): void => {
    const key = fact.key.slice(PLAN_PREFIX.length);
    const dropped = fact.body["dropped"] === true;
    const item = readString(fact.body, "item");
    if (key.startsWith("route/")) {
      const before = this.routes.get(key);
      if (before) hosts.add(before.host);
      if (dropped) this.routes.delete(key);
      else {
        const route = readRoute(item);
        this.routes.set(key, route);
        hosts.add(route.host);
      }
    } else if (key.startsWith("service/")) {
      if (dropped) this.services.delete(key.slice("service/".length));
      else this.applyService(item);
    } else if (!dropped) this.applyLimits(item);
  };

  private readonly applyService = (item: string): void => {
    const record = asRecord(parseJson(item));
    const name = readString(record, "name");
    const maxConnections =
      typeof record["maxConnections"] === "number" && record["maxConnections"] > 0
        ? record["maxConnections"]
        : 1_000;
    this.services.set(name, {
      name,
      healthCheckPath: readString(record, "statusPath"),
      maxConnections,
      maxRequestsPerS: typeof record["ratePerS"] === "number" ? record["ratePerS"] : 0,
    });
  };

  private readonly applyLimits = (item: string): void => {
    const record = asRecord(parseJson(item));
    this.limits = {
      maxHeaderBytes: Number(record["maxHeaderBytes"]) || FIRST_LIMITS.maxHeaderBytes,
      maxBodyBytes: Number(record["maxBodyBytes"]) || FIRST_LIMITS.maxBodyBytes,
      headerTimeoutUs: parseDuration(record["headerWait"]).unwrapOr(FIRST_LIMITS.headerTimeoutUs),
      idleTimeoutUs: parseDuration(record["idle"]).unwrapOr(FIRST_LIMITS.idleTimeoutUs),
    };
  };

  /** Sorts the routes of the hosts that changed, in one pass over all of them. */
  private readonly sortHosts = (hosts: ReadonlySet<string>): void => {
    const changed = new Map<string, Route[]>([...hosts].map((host) => [host, []]));
    this.routes.forEach((route) => changed.get(route.host)?.push(route));
    changed.forEach((routes, host) => {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length || b.version - a.version);
      this.byHost.set(host, routes);
    });
  };
}
