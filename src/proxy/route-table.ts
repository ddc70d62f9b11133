/** Routes, services and limits of the data plane, kept up to date by configuration updates. */
import { CONFIG_PREFIX, ROLLOUTS_KEY, type Update } from "../membership/update-store.js";
import { readWarmUpLimit, type WarmUpLimit } from "../membership/warm-up.js";
import { asList, asRecord, parseJson, readString, readNumber } from "../common/decode.js";
import { readWeightedServices, type WeightedService } from "../common/weighted-split.js";
import { parseDuration, SECOND_US } from "../common/duration.js";

/** Default for services without a connection limit. */
const DEFAULT_MAX_CONNECTIONS = 1_000;

/** A route: the requests that it matches and how they are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: string;
  /** Whether a request may run more than once, as on safe and cached routes. */
  readonly isSafe: boolean;
  /** How long a response may be cached; 0 unless the route is cached. */
  readonly cacheTtlUs: number;
  readonly latencyTargetUs: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  readonly priority: number;
  readonly version: number;
  /** Invariant: not empty, with weights that add up to more than 0. */
  readonly weightedServices: readonly WeightedService[];
  /** Time limit of a request including retries. */
  readonly timeoutUs: number;
  /** Maximum number of attempts, including the first. */
  readonly maxAttempts: number;
}

/** A service to which routes send requests. */
export interface Service {
  readonly name: string;
  readonly healthCheckPath: string;
  readonly maxConnections: number;
  /** Whether a request may only be sent to the worker that owns its shard key. */
  readonly isSharded: boolean;
  /** The fleet-wide rate limit, in requests per second; 0 if there is none. */
  readonly maxRequestsPerS: number;
  /** What a worker can take while it warms up; undefined if that is not limited. */
  readonly warmUpLimit: WarmUpLimit | undefined;
}

/** Limits on the size and duration of client requests. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutUs: number;
  readonly idleTimeoutUs: number;
}

const rollbackKey = (route: string, version: number, candidate: string): string =>
  `${route}\n${version}\n${candidate}`;

const DEFAULT_LIMITS: ClientLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutUs: 5 * SECOND_US,
  idleTimeoutUs: 15 * SECOND_US,
};

const readRoute = (body: string): Route => {
  const record = asRecord(parseJson(body));
  const rule = asRecord(record["rule"], "rule");
  const action = asRecord(rule["then"], "then");
  return {
    name: readString(rule, "name"),
    host: readString(record, "host").toLowerCase(),
    pathPrefix: readString(asRecord(rule["matchOn"], "matchOn"), "pathStart"),
    kind: typeof rule["routeKind"] === "string" ? rule["routeKind"] : "unsafe",
    isSafe: rule["routeKind"] === "safe" || rule["routeKind"] === "cached",
    cacheTtlUs: rule["routeKind"] === "cached" ? parseDuration(rule["cacheFor"]).unwrapOr(0) : 0,
    latencyTargetUs: parseDuration(rule["target_time"]).unwrapOr(SECOND_US),
    isPublic: rule["public"] === true,
    priority: typeof rule["rank"] === "number" ? rule["rank"] : 0,
    version: readNumber(rule, "version"),
    weightedServices: readWeightedServices(action),
    timeoutUs: parseDuration(action["giveUp"]).unwrapOr(SECOND_US),
    maxAttempts: typeof action["tries"] === "number" ? Math.max(1, action["tries"]) : 1,
  };
};

/**
 * Stores the current configuration. Invariant: the routes of a host are sorted by the length of
 * their path prefix, longest first.
 */
export class RouteTable {
  private readonly routes = new Map<string, Route>();
  private readonly byHost = new Map<string, readonly Route[]>();
  private readonly services = new Map<string, Service>();
  /**
   * Rolled-back candidates: maps route, version and candidate to the baseline that receives the
   * candidate's requests.
   */
  private rollbacks: ReadonlyMap<string, string> = new Map();
  private hasReceivedConfiguration = false;
  private highestVersion = 0;
  limits: ClientLimits = DEFAULT_LIMITS;

  /**
   * Whether any configuration has been received. Until then, no route may be reported as unknown.
   */
  get isLoaded(): boolean {
    return this.hasReceivedConfiguration;
  }

  /** The highest version of any applied item; 0 if none was applied yet. */
  get newestVersion(): number {
    return this.highestVersion;
  }

  /** The number of routes. */
  get size(): number {
    return this.routes.size;
  }

  readonly service = (name: string): Service | undefined => this.services.get(name);

  /**
   * Returns the service itself, or the baseline if a rollout of this route version was rolled back.
   */
  readonly effectiveService = (route: Route, service: string): string =>
    this.rollbacks.get(rollbackKey(route.name, route.version, service)) ?? service;

  /** Returns whether this is the current version of a route. */
  readonly isCurrent = (name: string, version: number): boolean =>
    this.routes.get(`route/${name}`)?.version === version;

  /** Applies updates of configuration items and rollbacks; other updates are ignored. */
  readonly applyUpdates = (updates: readonly Update[]): void => {
    const rollbacks = updates.find((update) => update.key === ROLLOUTS_KEY);
    if (rollbacks) this.applyRollbacks(rollbacks);
    const hosts = new Set<string>();
    updates
      .filter((update) => update.key.startsWith(CONFIG_PREFIX))
      .forEach((update) => {
        this.hasReceivedConfiguration = true;
        this.highestVersion = Math.max(this.highestVersion, update.version);
        this.applyItem(update, hosts);
      });
    if (hosts.size > 0) this.sortHosts(hosts);
  };

  /** Returns the route with the longest matching path prefix. */
  readonly find = (host: string, path: string): Route | undefined =>
    this.byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));

  private readonly applyRollbacks = (update: Update): void => {
    const rows = asList(update.body["stops"], "stops").map((value) => asRecord(value, "rollback"));
    this.rollbacks = new Map(
      rows.map((row) => [
        rollbackKey(
          readString(row, "route"),
          readNumber(row, "version"),
          readString(row, "candidate"),
        ),
        readString(row, "baseline"),
      ]),
    );
  };

  private readonly applyItem = (update: Update, hosts: Set<string>): void => {
    const key = update.key.slice(CONFIG_PREFIX.length);
    const isDeleted = update.body["dropped"] === true;
    const item = readString(update.body, "item");
    if (key.startsWith("route/")) {
      const before = this.routes.get(key);
      if (before) hosts.add(before.host);
      if (isDeleted) this.routes.delete(key);
      else {
        const route = readRoute(item);
        this.routes.set(key, route);
        hosts.add(route.host);
      }
    } else if (key.startsWith("service/")) {
      if (isDeleted) this.services.delete(key.slice("service/".length));
      else this.applyService(item);
    } else if (key === "limits" && !isDeleted) this.applyLimits(item);
  };

  private readonly applyService = (item: string): void => {
    const record = asRecord(parseJson(item));
    const name = readString(record, "name");
    const maxConnections =
      typeof record["maxConnections"] === "number" && record["maxConnections"] > 0
        ? record["maxConnections"]
        : DEFAULT_MAX_CONNECTIONS;
    this.services.set(name, {
      name,
      healthCheckPath: readString(record, "statusPath"),
      maxConnections,
      isSharded: record["sharded"] === true,
      maxRequestsPerS: typeof record["ratePerS"] === "number" ? record["ratePerS"] : 0,
      warmUpLimit: readWarmUpLimit(record),
    });
  };

  private readonly applyLimits = (item: string): void => {
    const record = asRecord(parseJson(item));
    this.limits = {
      maxHeaderBytes: Number(record["maxHeaderBytes"]) || DEFAULT_LIMITS.maxHeaderBytes,
      maxBodyBytes: Number(record["maxBodyBytes"]) || DEFAULT_LIMITS.maxBodyBytes,
      headerTimeoutUs: parseDuration(record["headerWait"]).unwrapOr(DEFAULT_LIMITS.headerTimeoutUs),
      idleTimeoutUs: parseDuration(record["idle"]).unwrapOr(DEFAULT_LIMITS.idleTimeoutUs),
    };
  };

  /** Sorts the routes of the changed hosts in one pass over all routes. */
  private readonly sortHosts = (hosts: ReadonlySet<string>): void => {
    const changed = new Map<string, Route[]>([...hosts].map((host) => [host, []]));
    this.routes.forEach((route) => changed.get(route.host)?.push(route));
    changed.forEach((routes, host) => {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length || b.version - a.version);
      this.byHost.set(host, routes);
    });
  };
}
