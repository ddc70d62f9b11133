import { PLAN_PREFIX, ROLLOUTS_KEY, type Fact } from "../membership/update-store.js";
import { asList, asRec, parseJson, text, whole } from "../common/decode.js";
import { readShares, type Share } from "../common/weighted-split.js";
import { parseSpan, SECOND } from "../common/duration.js";

export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathStart: string;
  readonly kind: string;
  /** Whether a request may run more than once. */
  readonly isSafe: boolean;
  /** How long an answer may be kept; 0 unless the route is cached. */
  readonly cacheForUs: number;
  readonly aimUs: number;
  readonly rank: number;
  readonly version: number;
  /** Invariant: not empty, and the shares add up to more than 0. */
  readonly shares: readonly Share[];
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

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerWaitUs: number;
  readonly idleUs: number;
}

const stopKey = (route: string, version: number, candidate: string): string =>
  `${route}\n${version}\n${candidate}`;

const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerWaitUs: 5 * SECOND,
  idleUs: 15 * SECOND,
};

const readRoute = (body: string): Route => {
  const rec = asRec(parseJson(body));
  const rule = asRec(rec["rule"], "rule");
  const then = asRec(rule["then"], "then");
  return {
    name: text(rule, "name"),
    host: text(rec, "host").toLowerCase(),
    pathStart: text(asRec(rule["matchOn"], "matchOn"), "pathStart"),
    kind: typeof rule["routeKind"] === "string" ? rule["routeKind"] : "unsafe",
    isSafe: rule["routeKind"] === "safe" || rule["routeKind"] === "cached",
    cacheForUs: rule["routeKind"] === "cached" ? parseSpan(rule["cacheFor"]).unwrapOr(0) : 0,
    aimUs: parseSpan(rule["target_time"]).unwrapOr(SECOND),
    rank: typeof rule["rank"] === "number" ? rule["rank"] : 0,
    version: whole(rule, "version"),
    shares: readShares(then),
    giveUpUs: parseSpan(then["giveUp"]).unwrapOr(SECOND),
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
  limits: CallerLimits = FIRST_LIMITS;

  /** Whether any plan has come yet; without one nothing may be called unknown. */
  get isHeld(): boolean {
    return this.held;
  }

  readonly service = (name: string): Service | undefined => this.services.get(name);

  /** The service itself, or the baseline where the rollout inspector stopped it for this version. */
  readonly unlessStopped = (route: Route, service: string): string =>
    this.stops.get(stopKey(route.name, route.version, service)) ?? service;

  readonly isInForce = (name: string, version: number): boolean =>
    this.routes.get(`route/${name}`)?.version === version;

  readonly take = (facts: readonly Fact[]): void => {
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

  private readonly takeStops = (fact: Fact): void => {
    const rows = asList(fact.body["stops"], "stops").map((value) => asRec(value, "stop"));
    this.stops = new Map(
      rows.map((row) => [
        stopKey(text(row, "route"), whole(row, "version"), text(row, "candidate")),
        text(row, "baseline"),
      ]),
    );
  };

  private readonly takeItem = (fact: Fact, hosts: Set<string>): void => {
    const key = fact.key.slice(PLAN_PREFIX.length);
    const dropped = fact.body["dropped"] === true;
    const item = text(fact.body, "item");
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
    const rec = asRec(parseJson(item));
    const name = text(rec, "name");
    const maxConnections =
      typeof rec["maxConnections"] === "number" && rec["maxConnections"] > 0
        ? rec["maxConnections"]
        : 1_000;
    this.services.set(name, {
      name,
      statusPath: text(rec, "statusPath"),
      maxConnections,
      ratePerS: typeof rec["ratePerS"] === "number" ? rec["ratePerS"] : 0,
    });
  };

  private readonly takeLimits = (item: string): void => {
    const rec = asRec(parseJson(item));
    this.limits = {
      maxHeaderBytes: Number(rec["maxHeaderBytes"]) || FIRST_LIMITS.maxHeaderBytes,
      maxBodyBytes: Number(rec["maxBodyBytes"]) || FIRST_LIMITS.maxBodyBytes,
      headerWaitUs: parseSpan(rec["headerWait"]).unwrapOr(FIRST_LIMITS.headerWaitUs),
      idleUs: parseSpan(rec["idle"]).unwrapOr(FIRST_LIMITS.idleUs),
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
