import { PLAN_PREFIX, ROLLOUTS_KEY, type Update } from "../membership/update-store.js";
import { asList, asRecord, parseJson, readString, readNumber } from "../common/decode.js";
import { readWeightedServices, type WeightedService } from "../common/weighted-split.js";
import { parseDuration, SECOND_US } from "../common/duration.js";

export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathStart: string;
  readonly kind: string;
  /** Whether a request may run more than once. */
  readonly isSafe: boolean;
  /** How long an answer may be kept; 0 unless the route is cached. */
  readonly cacheForUs: number;
  readonly latencyTargetUs: number;
  readonly rank: number;
  readonly version: number;
  /** Invariant: not empty, and the shares add up to more than 0. */
  readonly shares: readonly WeightedService[];
  readonly giveUpUs: number;
  readonly tries: number;
}

export interface Service {
  readonly name: string;
  readonly statusPath: string;
  readonly maxConnections: number;
  /** The most requests a second that the service is to receive from everyone; 0 where there is no such bound. */
  readonly ratePerS: number;
}

export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerWaitUs: number;
  readonly idleUs: number;
}

const stopKey = (route: string, version: number, candidate: string): string =>
  `${route}\n${version}\n${candidate}`;

const FIRST_LIMITS: ClientLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerWaitUs: 5 * SECOND_US,
  idleUs: 15 * SECOND_US,
};

const readRoute = (body: string): Route => {
  const record = asRecord(parseJson(body));
  const rule = asRecord(record["rule"], "rule");
  const then = asRecord(rule["then"], "then");
  return {
    name: readString(rule, "name"),
    host: readString(record, "host").toLowerCase(),
    pathStart: readString(asRecord(rule["matchOn"], "matchOn"), "pathStart"),
    kind: typeof rule["routeKind"] === "string" ? rule["routeKind"] : "unsafe",
    isSafe: rule["routeKind"] === "safe" || rule["routeKind"] === "cached",
    cacheForUs: rule["routeKind"] === "cached" ? parseDuration(rule["cacheFor"]).unwrapOr(0) : 0,
    latencyTargetUs: parseDuration(rule["target_time"]).unwrapOr(SECOND_US),
    rank: typeof rule["rank"] === "number" ? rule["rank"] : 0,
    version: readNumber(rule, "version"),
    shares: readWeightedServices(then),
    giveUpUs: parseDuration(then["giveUp"]).unwrapOr(SECOND_US),
    tries: typeof then["tries"] === "number" ? Math.max(1, then["tries"]) : 1,
  };
};

/** The plan as the data plane uses it. Invariant: the routes of a host are sorted by the length of their prefix, longest first. */
export class RouteTable {
  private readonly routes = new Map<string, Route>();
  private readonly byHost = new Map<string, readonly Route[]>();
  private readonly services = new Map<string, Service>();
  /** Of a route's version, by its name, version and candidate: the service that a stop gives the share to. */
  private stops: ReadonlyMap<string, string> = new Map();
  private held = false;
  limits: ClientLimits = FIRST_LIMITS;

  /** Whether any plan has come yet; without one nothing may be called unknown. */
  get isLoaded(): boolean {
    return this.held;
  }

  readonly service = (name: string): Service | undefined => this.services.get(name);

  /** The service itself, or the baseline where the rollout inspector stopped it for this version. */
  readonly unlessStopped = (route: Route, service: string): string =>
    this.stops.get(stopKey(route.name, route.version, service)) ?? service;

  readonly isInForce = (name: string, version: number): boolean =>
    this.routes.get(`route/${name}`)?.version === version;

  readonly take = (facts: readonly Update[]): void => {
    const stopped = facts.find((fact) => fact.key === ROLLOUTS_KEY);
    if (stopped) this.takeStops(stopped);
    const hosts = new Set<string>();
    facts
      .filter((fact) => fact.key.startsWith(PLAN_PREFIX))
      .forEach((fact) => {
        this.held = true;
        this.takeItem(fact, hosts);
      });
    if (hosts.size > 0) this.sortHosts(hosts);
  };

  readonly find = (host: string, path: string): Route | undefined =>
    this.byHost.get(host)?.find((route) => path.startsWith(route.pathStart));

  private readonly takeStops = (fact: Update): void => {
    const rows = asList(fact.body["stops"], "stops").map((value) => asRecord(value, "stop"));
    this.stops = new Map(
      rows.map((row) => [
        stopKey(readString(row, "route"), readNumber(row, "version"), readString(row, "candidate")),
        readString(row, "baseline"),
      ]),
    );
  };

  private readonly takeItem = (fact: Update, hosts: Set<string>): void => {
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
      else this.takeService(item);
    } else if (!dropped) this.takeLimits(item);
  };

  private readonly takeService = (item: string): void => {
    const record = asRecord(parseJson(item));
    const name = readString(record, "name");
    const maxConnections =
      typeof record["maxConnections"] === "number" && record["maxConnections"] > 0
        ? record["maxConnections"]
        : 1_000;
    this.services.set(name, {
      name,
      statusPath: readString(record, "statusPath"),
      maxConnections,
      ratePerS: typeof record["ratePerS"] === "number" ? record["ratePerS"] : 0,
    });
  };

  private readonly takeLimits = (item: string): void => {
    const record = asRecord(parseJson(item));
    this.limits = {
      maxHeaderBytes: Number(record["maxHeaderBytes"]) || FIRST_LIMITS.maxHeaderBytes,
      maxBodyBytes: Number(record["maxBodyBytes"]) || FIRST_LIMITS.maxBodyBytes,
      headerWaitUs: parseDuration(record["headerWait"]).unwrapOr(FIRST_LIMITS.headerWaitUs),
      idleUs: parseDuration(record["idle"]).unwrapOr(FIRST_LIMITS.idleUs),
    };
  };

  /** Sorts the routes of the hosts that changed, in one pass over all of them. */
  private readonly sortHosts = (hosts: ReadonlySet<string>): void => {
    const changed = new Map<string, Route[]>([...hosts].map((host) => [host, []]));
    this.routes.forEach((route) => changed.get(route.host)?.push(route));
    changed.forEach((routes, host) => {
      routes.sort((a, b) => b.pathStart.length - a.pathStart.length || b.version - a.version);
      this.byHost.set(host, routes);
    });
  };
}
