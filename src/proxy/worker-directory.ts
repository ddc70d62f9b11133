/**
 * Directory of the workers announced by updates, including which ones are ejected and which zone
 * traffic is shifted away from.
 */
import {
  EJECTIONS_KEY,
  EVACUATION_PREFIX,
  FORECAST_KEY,
  WORKER_PREFIX,
  type Update,
} from "../membership/update-store.js";
import type { Clock } from "../common/clock.js";
import { asRecord, readList, readString, readNumber } from "../common/decode.js";
import { ServiceLatency } from "./latency-estimate.js";
import { subsetOf, type NodeCount, type Subset } from "./subset.js";
import type { NodeWarmUpLimit, WarmUpCounts } from "./warm-up.js";
import { Worker, type WorkerContext } from "./worker.js";
import { ZoneEvacuations } from "./zone-evacuations.js";

/** A zonal shift: the fractions of safe and of unsafe requests that avoid a zone, 0 to 1. */
interface ZonalShift {
  readonly zone: string;
  readonly reason: string;
  readonly safe: number;
  readonly unsafe: number;
}

const NO_SHIFT: ZonalShift = { zone: "", reason: "", safe: 0, unsafe: 0 };
/** The reason of a shift caused by a planned maintenance window. */
const MAINTENANCE_WINDOW = "window";

const readShift = (value: unknown): ZonalShift => {
  if (value === undefined || value === null) return NO_SHIFT;
  const record = asRecord(value);
  const fraction = (field: string) =>
    typeof record[field] === "number" ? readNumber(record, field) : 1;
  return {
    zone: readString(record, "cell"),
    reason: readString(record, "why"),
    safe: fraction("safe"),
    unsafe: fraction("unsafe"),
  };
};

/** A cached subset, and until when it holds, in microseconds of the local clock. */
interface CachedSubset {
  readonly subset: Subset<Worker>;
  /** When the next worker that warms up becomes warm. */
  readonly validUntilUs: number;
}

/** Options of {@link WorkerDirectory}. */
export interface WorkerDirectoryOptions {
  /** How the requests to a service's workers are limited while they warm up; undefined if not. */
  readonly warmUpLimitOf?: (service: string) => NodeWarmUpLimit | undefined;
}

/** All workers, by id and by service, and the current health decisions about them. */
export class WorkerDirectory {
  private readonly workers = new Map<string, Worker>();
  private readonly byService = new Map<string, Worker[]>();
  /**
   * Cache of subsets by service. Invariant: an entry is removed when the workers of its service, the
   * evacuated zones or the number of nodes change.
   */
  private readonly subsets = new Map<string, CachedSubset>();
  private currentNodeCount: NodeCount = { inZone: 1, total: 1 };
  private readonly latencies = new Map<string, ServiceLatency>();
  private ejected: ReadonlySet<string> = new Set();
  private shift = NO_SHIFT;
  /** The capacity forecast by service; services with sufficient capacity are absent. */
  private forecasts: ReadonlyMap<string, string> = new Map();
  private readonly evacuations = new ZoneEvacuations();
  private readonly counts: WarmUpCounts = { sent: 0, withheld: 0 };
  private readonly workerContext: WorkerContext;

  constructor(
    private readonly clock: Clock,
    private readonly node: string,
    private readonly zone: string,
    { warmUpLimitOf }: WorkerDirectoryOptions = {},
  ) {
    this.workerContext = {
      clock,
      node,
      startedUs: clock.nowUs(),
      limitOf: warmUpLimitOf ?? (() => undefined),
      isEvacuated: this.evacuations.isEvacuated,
      zoneReturnedUs: this.evacuations.returnedUs,
      counts: this.counts,
    };
  }

  /** The number of workers of all services. */
  get size(): number {
    return this.workers.size;
  }

  /** The number of workers that warm up. */
  get warmingUp(): number {
    return this.all().filter(({ warmUp }) => warmUp.isActive()).length;
  }

  /** Counts of this node's requests to workers that warmed up. */
  get warmUpCounts(): Readonly<WarmUpCounts> {
    return this.counts;
  }

  readonly get = (id: string): Worker | undefined => this.workers.get(id);

  /** Returns the workers of a service, including draining ones. */
  readonly workersOf = (service: string): readonly Worker[] => this.byService.get(service) ?? [];

  readonly readyWorkersOf = (service: string): readonly Worker[] =>
    this.workersOf(service).filter(({ state }) => state === "ready");

  get nodeCount(): NodeCount {
    return this.currentNodeCount;
  }

  /**
   * Returns the mean latency of requests to a worker as observed by this node, in microseconds; 0
   * if the worker is unknown.
   */
  readonly meanLatencyUs = (id: string): number => this.workers.get(id)?.latency.meanUs() ?? 0;

  /**
   * Returns the workers of a service to which this node sends requests: a subset of those that are
   * ready and warm, and the ones that warm up with this node as a sender.
   */
  readonly subsetFor = (service: string): Subset<Worker> => {
    const known = this.subsets.get(service);
    if (known && this.clock.nowUs() < known.validUntilUs) return known.subset;
    const usable = this.readyWorkersOf(service).filter(
      ({ zone }) => !this.evacuations.isEvacuated(zone),
    );
    const limited = new Set(usable.filter(({ warmUp }) => warmUp.isLimited()));
    const warm = limited.size === 0 ? usable : usable.filter((worker) => !limited.has(worker));
    const subset = this.withSenders(
      subsetOf(this.node, this.zone, warm, this.currentNodeCount),
      [...limited].filter(({ warmUp }) => warmUp.isSender()),
    );
    const validUntilUs = Math.min(...[...limited].map(({ warmUp }) => warmUp.endUs()));
    this.subsets.set(service, { subset, validUntilUs });
    return subset;
  };

  /** Sets the number of nodes, including this one. */
  readonly setNodeCount = (count: NodeCount): void => {
    this.currentNodeCount = count;
    this.subsets.clear();
  };

  /** Returns all workers in the order of their first update. */
  readonly all = (): readonly Worker[] => [...this.workers.values()];

  readonly isEjected = (worker: Worker): boolean => this.ejected.has(worker.id);

  /**
   * Returns the zone that a request must avoid, or "". With a partial shift, the zone is drawn for
   * each request.
   */
  readonly avoidedZone = (isSafe: boolean, random: () => number): string => {
    const { zone, safe, unsafe } = this.shift;
    const fraction = isSafe ? safe : unsafe;
    return zone !== "" && (fraction >= 1 || random() < fraction) ? zone : "";
  };

  /** Returns whether a maintenance window drains the zone completely, including its clients. */
  readonly isDrained = (zone: string): boolean =>
    this.shift.reason === MAINTENANCE_WINDOW && this.shift.zone === zone && this.shift.unsafe >= 1;

  /** Returns the capacity forecast of a service, such as "overrun"; "" if its capacity suffices. */
  readonly capacityForecast = (service: string): string => this.forecasts.get(service) ?? "";

  /**
   * Applies updates of workers, evacuations, ejections, zonal shift and capacity forecast; other
   * updates are ignored.
   */
  readonly applyUpdates = (updates: readonly Update[]): void => {
    updates.forEach((update) => {
      if (update.key === FORECAST_KEY)
        this.forecasts = new Map(
          Object.entries(update.body).map(([service, result]) => [service, String(result)]),
        );
      else if (update.key === EJECTIONS_KEY) this.applyHealthUpdate(update);
      else if (update.key.startsWith(EVACUATION_PREFIX)) this.applyEvacuation(update);
      else if (update.key.startsWith(WORKER_PREFIX)) this.applyWorker(update);
    });
  };

  /** Removes the workers whose updates were deleted. */
  readonly removeKeys = (keys: readonly string[]): void => {
    keys
      .filter((key) => key.startsWith(WORKER_PREFIX))
      .forEach((key) => this.remove(key.slice(WORKER_PREFIX.length)));
  };

  /**
   * Removes a worker at whose address another worker responds, before an update announces the
   * change.
   */
  readonly removeMisdirected = (worker: Worker): void => this.remove(worker.id);

  /** Closes connections to all workers that have been idle for too long. */
  readonly evictIdleConnections = (): void =>
    this.workers.forEach((worker) => worker.connections.evictIdle());

  private readonly applyWorker = (update: Update): void => {
    const id = update.key.slice(WORKER_PREFIX.length);
    if (update.body["state"] === "gone") {
      this.remove(id);
      return;
    }
    const known = this.workers.get(id);
    const worker =
      known ??
      new Worker(id, this.workerContext, this.latencyOf(readString(update.body, "service")));
    if (known) this.removeFromService(known);
    worker.applyUpdate(update);
    this.workers.set(id, worker);
    const listed = this.byService.get(worker.service);
    if (listed) listed.push(worker);
    else this.byService.set(worker.service, [worker]);
    this.subsets.delete(worker.service);
  };

  /** Adds workers that warm up to the subset. */
  private readonly withSenders = (
    subset: Subset<Worker>,
    warmingUp: readonly Worker[],
  ): Subset<Worker> =>
    warmingUp.length === 0
      ? subset
      : {
          ...subset,
          local: [...subset.local, ...warmingUp.filter(({ zone }) => zone === this.zone)],
          remote: [...subset.remote, ...warmingUp.filter(({ zone }) => zone !== this.zone)],
        };

  private readonly applyEvacuation = (update: Update): void => {
    this.evacuations.applyUpdate(update);
    this.subsets.clear();
  };

  private readonly latencyOf = (service: string): ServiceLatency => {
    const mean = this.latencies.get(service) ?? new ServiceLatency();
    this.latencies.set(service, mean);
    return mean;
  };

  private readonly applyHealthUpdate = (update: Update): void => {
    this.ejected = new Set(
      readList(update.body, "ejections", (value) => readString(asRecord(value), "worker")),
    );
    this.shift = readShift(update.body["shift"]);
  };

  private readonly remove = (id: string): void => {
    const worker = this.workers.get(id);
    if (!worker) return;
    worker.state = "gone";
    worker.connections.closeIdle();
    this.workers.delete(id);
    this.removeFromService(worker);
  };

  private readonly removeFromService = (worker: Worker): void => {
    this.byService.set(
      worker.service,
      this.workersOf(worker.service).filter((other) => other !== worker),
    );
    this.subsets.delete(worker.service);
  };
}
