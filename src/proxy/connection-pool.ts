import type { Client } from "undici";
import OneClient from "undici/lib/dispatcher/client.js";
import {
  EJECTIONS_KEY,
  FORECAST_KEY,
  WORKER_PREFIX,
  type Update,
} from "../membership/update-store.js";
import type { Clock } from "../common/clock.js";
import { asRecord, readList, readString, readNumber } from "../common/decode.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import { subsetOf, type NodeCount, type Subset } from "./subset.js";

/** One connection to a worker, for one request at a time. */
export interface PooledConnection {
  readonly client: Client;
  idleSinceUs: number;
}

const CONNECT_WAIT_US = 300 * MILLISECOND_US;
const IDLE_UNTOLD_MS = 4_000;
const SHUN_US = 1 * SECOND_US;
const FIRST_GUESS_US = 50 * MILLISECOND_US;
/** How many calls the mean of the service stands in for, before a worker's own calls speak for themselves. */
const PRIOR_CALLS = 3;
const MOST_CALLS = 20;
/** What a worker's own calls have shown fades, so that one that was slow is tried again, at first seldom. */
const FORGET_US = 8 * SECOND_US;
const TOLD_FADES_US = 600 * MILLISECOND_US;
const OWN_AVERAGE_US = 1 * SECOND_US;

/** How long calls of a service take, over all its workers. */
export class ServiceLatency {
  meanUs = FIRST_GUESS_US;
  private samples = 0;

  readonly record = (tookUs: number): void => {
    this.samples = Math.min(MOST_CALLS * 5, this.samples + 1);
    this.meanUs += (tookUs - this.meanUs) / this.samples;
  };
}

/** A worker as this node knows it: what the news says, and what its own calls have shown. */
export class Worker {
  service = "";
  address = "";
  zone = "";
  capacity = 1;
  state = "ready";
  warmingUpUntilUs = 0;
  /** Invariant: `own` counts the calls of this node now under way; each holds one coupling that is not in `idle`. */
  inFlight = 0;
  private idle: PooledConnection[] = [];
  private open = 0;
  private reportedByOthers = 0;
  private reportedUs = 0;
  /** Invariant: the mean time of the calls counted, of which at most MOST_CALLS weigh, and the prior is one part. */
  private typicalUs = 0;
  private learned = 0;
  private learnedUs = 0;
  private smoothedInFlight = 0;
  private smoothedUs = 0;
  private avoidedUntilUs = 0;
  private readonly awaitingResponse = new Set<{ readonly sinceUs: number }>();
  private lastResponseUs = 0;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
    private readonly mean: ServiceLatency,
  ) {}

  readonly applyUpdate = (fact: Update): void => {
    const address = readString(fact.body, "address");
    if (address !== this.address) this.closeIdleConnections();
    this.service = readString(fact.body, "service");
    this.address = address;
    this.zone = readString(fact.body, "cell");
    this.capacity = Math.max(1, readNumber(fact.body, "capacity"));
    this.state = readString(fact.body, "state");
    this.warmingUpUntilUs = fact.sinceUs + readNumber(fact.body, "warmUs");
    if (this.state !== "ready") this.closeIdleConnections();
  };

  /**
   * The usage of the worker: this node's own calls, and those of others, which are as many as it last told, and as that
   * fades, as many as are assumed.
   */
  readonly load = (assumedOthers: number): number => {
    const fading = Math.min(1, (this.clock.nowUs() - this.reportedUs) / TOLD_FADES_US);
    return this.inFlight + this.reportedByOthers * (1 - fading) + assumedOthers * fading;
  };

  /** How many calls this node had under way here of late, on average. */
  readonly averageInFlight = (): number => this.average();

  private readonly average = (): number => {
    const nowUs = this.clock.nowUs();
    const kept = Math.exp((this.smoothedUs - nowUs) / OWN_AVERAGE_US);
    this.smoothedInFlight = this.inFlight + (this.smoothedInFlight - this.inFlight) * kept;
    this.smoothedUs = nowUs;
    return this.smoothedInFlight;
  };

  readonly reportLoad = (running: number, waiting: number, slots: number): void => {
    if (slots > 0) this.capacity = slots;
    this.reportedByOthers = Math.max(0, running + waiting - Math.max(0, this.inFlight - 1));
    this.reportedUs = this.clock.nowUs();
  };

  readonly recordLatency = (tookUs: number): void => {
    this.learned = Math.min(MOST_CALLS, this.remembered() + 1);
    this.learnedUs = this.clock.nowUs();
    this.typicalUs += (tookUs - this.typicalUs) / this.learned;
    this.mean.record(tookUs);
  };

  /** How long a call sent now would take, by guess, at this usage. */
  readonly expectedLatencyUs = (usage: number): number => {
    const coldness = this.clock.nowUs() < this.warmingUpUntilUs ? 2 : 1;
    return (
      Math.max(this.meanLatencyUs(), this.longestWaitUs()) *
      coldness *
      Math.max(1, (usage + 1) / this.capacity)
    );
  };

  private readonly remembered = (): number =>
    this.learned * Math.exp((this.learnedUs - this.clock.nowUs()) / FORGET_US);

  readonly meanLatencyUs = (): number => {
    const calls = this.remembered();
    return (this.typicalUs * calls + this.mean.meanUs * PRIOR_CALLS) / (calls + PRIOR_CALLS);
  };

  /** A call that waits longer than others took tells that the worker is slow before its answer does. */
  private readonly longestWaitUs = (): number => {
    const [oldest] = this.awaitingResponse;
    return oldest === undefined ? 0 : this.clock.nowUs() - oldest.sinceUs;
  };

  /** After a mishap that shows the worker itself to be unwell, this node leaves it alone for a moment. */
  readonly avoid = (): void => {
    this.avoidedUntilUs = this.clock.nowUs() + SHUN_US;
    this.closeIdleConnections();
  };

  readonly isAvoided = (): boolean =>
    this.clock.nowUs() < this.avoidedUntilUs || this.isUnresponsive();

  /** Calls have waited far beyond what is usual, and nothing at all has been heard since. */
  readonly isUnresponsive = (): boolean => {
    const nowUs = this.clock.nowUs();
    const patienceUs = Math.max(500 * MILLISECOND_US, 6 * this.meanLatencyUs());
    for (const call of this.awaitingResponse)
      return this.lastResponseUs < call.sinceUs && nowUs - call.sinceUs > patienceUs;
    return false;
  };

  readonly begin = (): { readonly sinceUs: number } => {
    this.average();
    const call = { sinceUs: this.clock.nowUs() };
    this.awaitingResponse.add(call);
    this.inFlight += 1;
    return call;
  };

  readonly finish = (call: { readonly sinceUs: number }, heard: boolean): void => {
    if (!this.awaitingResponse.delete(call)) return;
    this.average();
    this.inFlight -= 1;
    if (heard) this.lastResponseUs = this.clock.nowUs();
  };

  readonly acquireConnection = (isNew = false): PooledConnection => {
    const waiting = isNew ? undefined : this.idle.pop();
    if (waiting) return waiting;
    this.open += 1;
    const client = new OneClient(`http://${this.address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_WAIT_US / MILLISECOND_US },
      connectTimeout: CONNECT_WAIT_US / MILLISECOND_US,
      keepAliveTimeout: IDLE_UNTOLD_MS,
      keepAliveTimeoutThreshold: 1_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: 64 * 1024,
    });
    return { client, idleSinceUs: 0 };
  };

  readonly releaseConnection = (coupling: PooledConnection, isSound: boolean): void => {
    if (isSound && this.state === "ready") {
      coupling.idleSinceUs = this.clock.nowUs();
      this.idle.push(coupling);
    } else this.closeConnection(coupling);
  };

  readonly canConnect = (share: number): boolean => this.idle.length > 0 || this.open < share;

  readonly closeIdleConnections = (): void => {
    const idle = this.idle;
    this.idle = [];
    idle.forEach(this.closeConnection);
  };

  /** Couplings long unused are given back, so that what the worker's limit allows goes to those who need it. */
  readonly evictIdleConnections = (): void => {
    const oldestUs = this.clock.nowUs() - 15 * SECOND_US;
    const kept = this.idle.filter((coupling) => coupling.idleSinceUs >= oldestUs);
    this.idle.filter((coupling) => coupling.idleSinceUs < oldestUs).forEach(this.closeConnection);
    this.idle = kept;
  };

  private readonly closeConnection = (coupling: PooledConnection): void => {
    this.open -= 1;
    coupling.client.destroy().catch(() => undefined);
  };
}

/** All workers, by id and by service, with what the inspection decided. */
export class WorkerDirectory {
  private readonly workers = new Map<string, Worker>();
  private readonly byService = new Map<string, Worker[]>();
  /** Invariant: holds a service only while neither its workers nor the count of nodes has changed since. */
  private readonly subsets = new Map<string, Subset<Worker>>();
  private currentNodeCount: NodeCount = { inZone: 1, total: 1 };
  private readonly latencies = new Map<string, ServiceLatency>();
  private ejected: ReadonlySet<string> = new Set();
  /** Invariant: the parts of safe and of unsafe requests that go elsewhere are 0 where no cell is shifted away from. */
  private shift = { cell: "", why: "", safe: 0, unsafe: 0 };
  /** What the forecast says of services that near or pass what they can keep up with. */
  private forecasts: ReadonlyMap<string, string> = new Map();

  constructor(
    private readonly clock: Clock,
    private readonly node: string,
    private readonly zone: string,
  ) {}

  get size(): number {
    return this.workers.size;
  }

  readonly workersOf = (service: string): readonly Worker[] => this.byService.get(service) ?? [];

  readonly readyWorkersOf = (service: string): readonly Worker[] =>
    this.workersOf(service).filter(({ state }) => state === "ready");

  get nodeCount(): NodeCount {
    return this.currentNodeCount;
  }

  /** How long calls to a worker take, by what this node has seen. */
  readonly meanLatencyUs = (id: string): number => this.workers.get(id)?.meanLatencyUs() ?? 0;

  /** The ready workers of a service that this node sends to. */
  readonly subsetFor = (service: string): Subset<Worker> => {
    const known = this.subsets.get(service);
    if (known) return known;
    const made = subsetOf(
      this.node,
      this.zone,
      this.readyWorkersOf(service),
      this.currentNodeCount,
    );
    this.subsets.set(service, made);
    return made;
  };

  /** How many nodes there are, this one included. */
  readonly setNodeCount = (nodes: NodeCount): void => {
    this.currentNodeCount = nodes;
    this.subsets.clear();
  };

  readonly all = (): readonly Worker[] => [...this.workers.values()];

  readonly isEjected = (worker: Worker): boolean => this.ejected.has(worker.id);

  /** The cell that one request is to leave alone, or none; of a part it is drawn anew for each. */
  readonly avoidedZone = (isSafe: boolean, random: () => number): string => {
    const { cell: zone, safe, unsafe } = this.shift;
    const part = isSafe ? safe : unsafe;
    return zone !== "" && (part >= 1 || random() < part) ? zone : "";
  };

  /** Whether a planned window has everything leave the cell, its callers too. */
  readonly isDrained = (zone: string): boolean =>
    this.shift.why === "window" && this.shift.cell === zone && this.shift.unsafe >= 1;

  readonly capacityForecast = (service: string): string => this.forecasts.get(service) ?? "";

  readonly applyUpdates = (facts: readonly Update[]): void => {
    facts.forEach((fact) => {
      if (fact.key === FORECAST_KEY)
        this.forecasts = new Map(
          Object.entries(fact.body).map(([service, result]) => [service, String(result)]),
        );
      else if (fact.key === EJECTIONS_KEY) this.applyHealthDecisions(fact);
      else if (fact.key.startsWith(WORKER_PREFIX)) this.applyWorker(fact);
    });
  };

  readonly forgetKeys = (keys: readonly string[]): void => {
    keys
      .filter((key) => key.startsWith(WORKER_PREFIX))
      .forEach((key) => this.remove(key.slice(WORKER_PREFIX.length)));
  };

  /** Another worker has the address: this one is no more, whatever the news says so far. */
  readonly removeMisdirected = (worker: Worker): void => this.remove(worker.id);

  readonly evictIdleConnections = (): void =>
    this.workers.forEach((worker) => worker.evictIdleConnections());

  private readonly applyWorker = (fact: Update): void => {
    const id = fact.key.slice(WORKER_PREFIX.length);
    if (fact.body["state"] === "gone") return this.remove(id);
    const known = this.workers.get(id);
    const worker =
      known ?? new Worker(id, this.clock, this.latencyOf(readString(fact.body, "service")));
    if (known) this.unlist(known);
    worker.applyUpdate(fact);
    this.workers.set(id, worker);
    const listed = this.byService.get(worker.service);
    if (listed) listed.push(worker);
    else this.byService.set(worker.service, [worker]);
    this.subsets.delete(worker.service);
  };

  private readonly latencyOf = (service: string): ServiceLatency => {
    const mean = this.latencies.get(service) ?? new ServiceLatency();
    this.latencies.set(service, mean);
    return mean;
  };

  private readonly applyHealthDecisions = (fact: Update): void => {
    this.ejected = new Set(
      readList(fact.body, "ejections", (value) => readString(asRecord(value), "worker")),
    );
    const shift = fact.body["shift"];
    if (shift === undefined || shift === null)
      this.shift = { cell: "", why: "", safe: 0, unsafe: 0 };
    else {
      const record = asRecord(shift);
      const part = (field: string) =>
        typeof record[field] === "number" ? readNumber(record, field) : 1;
      this.shift = {
        cell: readString(record, "cell"),
        why: readString(record, "why"),
        safe: part("safe"),
        unsafe: part("unsafe"),
      };
    }
  };

  private readonly remove = (id: string): void => {
    const worker = this.workers.get(id);
    if (!worker) return;
    worker.state = "gone";
    worker.closeIdleConnections();
    this.workers.delete(id);
    this.unlist(worker);
  };

  private readonly unlist = (worker: Worker): void => {
    this.byService.set(
      worker.service,
      this.workersOf(worker.service).filter((other) => other !== worker),
    );
    this.subsets.delete(worker.service);
  };
}
