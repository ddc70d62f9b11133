/**
 * Capacity forecast on the leader: warns when a service approaches its capacity. It works from the
 * arrivals and completions reported by all nodes, so it covers rising load, slower workers and lost
 * workers alike.
 */
import type { Clock, Timer } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { Message } from "../transport/connection.js";
import { CapacityMonitor, type LoadInterval } from "./capacity-monitor.js";
import {
  isUnderPressure,
  type CapacityState,
  type CapacityStates,
  type ForecastSettings,
} from "./capacity-state.js";
import { addLoad, loadKey, LoadWindow, NO_LOAD, type LoadTotals } from "./load-window.js";

/** A worker that provides slots to a service. */
export interface ForecastWorker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Number of slots; a request in flight occupies one. */
  readonly capacity: number;
  /** Ready and not ejected, so that it receives requests. */
  readonly isRoutable: boolean;
}

/** Dependencies of {@link CapacityForecaster}. */
export interface CapacityForecasterOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: ForecastSettings;
  readonly isLeader: () => boolean;
  readonly workers: () => readonly ForecastWorker[];
  /** The number of nodes in the fleet. */
  readonly nodes: () => number;
  /** Publishes the services under pressure, off the request path. */
  readonly publish: (states: CapacityStates) => Promise<boolean>;
  readonly published: () => CapacityStates;
}

/** Runs on the leader only; a new leader starts without history. */
export class CapacityForecaster {
  private readonly load: LoadWindow;
  /** Keyed by `loadKey`. */
  private readonly monitors = new Map<string, CapacityMonitor>();
  private timer: Timer | undefined;
  private lastUs: number | undefined;
  private malformedReports = 0;
  private isTicking = false;

  constructor(private readonly options: CapacityForecasterOptions) {
    this.load = new LoadWindow(options.clock);
  }

  /** Starts the periodic forecast. */
  readonly start = (): void => {
    const { clock, settings } = this.options;
    this.timer = clock.every(settings.intervalUs, () => void this.tick());
  };

  /** Stops the periodic forecast. */
  readonly stop = (): void => this.timer?.stop();

  /** Aggregates a node's report; a malformed one only increments `malformedReports`. */
  readonly receive = (report: Message): void => {
    try {
      this.load.receive(report);
    } catch {
      // Counts are cumulative, so the next report makes up for it; operators see the total.
      this.malformedReports += 1;
    }
  };

  /** The states of all services and zones, by `loadKey`. */
  readonly states = (): CapacityStates =>
    Object.fromEntries([...this.monitors].map(([key, { state }]) => [key, state]));

  /**
   * Mean requests in flight by service over the last interval; the other zones carry them while a
   * zone is drained.
   */
  readonly inFlight = (): ReadonlyMap<string, number> => {
    const slots = this.slots();
    return new Map(
      [...this.monitors]
        .filter(([key]) => isWholeService(key))
        .map(([key, monitor]) => [serviceOf(key), monitor.utilization() * (slots.get(key) ?? 0)]),
    );
  };

  /** Every service with its state and figures, in the form returned to operators. */
  readonly explain = (): UnknownRecord => ({
    holder: this.options.isLeader(),
    malformedReports: this.malformedReports,
    nodesHeard: this.load.reportingNodes(),
    services: [...this.monitors].map(([key, monitor]) => {
      const [service, zone] = key.split("|");
      return { service, cell: zone === "" ? "all" : zone, ...monitor.explain() };
    }),
  });

  /** Evaluates the load once on the leader; skipped while an evaluation is running. */
  readonly tick = async (): Promise<void> => {
    if (this.isTicking) return;
    this.isTicking = true;
    try {
      if (this.options.isLeader()) await this.forecast();
      else this.reset();
    } finally {
      this.isTicking = false;
    }
  };

  private readonly reset = (): void => {
    this.load.clear();
    this.monitors.clear();
    this.lastUs = undefined;
  };

  /** Routable slots by `loadKey`, for each service as a whole and in each zone. */
  private readonly slots = (): Map<string, number> => {
    const slots = new Map<string, number>();
    const add = (key: string, capacity: number) => slots.set(key, (slots.get(key) ?? 0) + capacity);
    this.options
      .workers()
      .filter(({ isRoutable }) => isRoutable)
      .forEach(({ service, zone, capacity }) => {
        add(loadKey(service, zone), capacity);
        add(loadKey(service), capacity);
      });
    return slots;
  };

  private readonly forecast = async (): Promise<void> => {
    const { clock, nodes, publish, published } = this.options;
    const nowUs = clock.nowUs();
    const durationS = (nowUs - (this.lastUs ?? nowUs)) / SECOND_US;
    this.lastUs = nowUs;
    const increases = this.load.takeIncreases();
    if (durationS <= 0) return;
    const slots = this.slots();
    const isMajorityReporting = this.load.reportingNodes() * 2 > nodes();
    const keys = [...increases.keys(), ...this.monitors.keys(), ...slots.keys()];
    const observe = (key: string, totals: LoadTotals) =>
      this.observe(key, {
        nowUs,
        durationS,
        totals,
        slots: slots.get(key) ?? 0,
        isMajorityReporting,
      });
    new Set(keys.map(serviceOf)).forEach((service) => {
      observe(loadKey(service), sumOf(service, increases));
      [...slots.keys()]
        .filter((key) => serviceOf(key) === service && !isWholeService(key))
        .forEach((key) => observe(key, increases.get(key) ?? NO_LOAD));
    });
    const underPressure = this.servicesUnderPressure();
    if (JSON.stringify(sorted(underPressure)) !== JSON.stringify(sorted(published())))
      await publish(underPressure);
  };

  private readonly servicesUnderPressure = (): CapacityStates =>
    Object.fromEntries(
      [...this.monitors]
        .filter(([key, { state }]) => isWholeService(key) && isUnderPressure(state))
        .map(([key, { state }]) => [serviceOf(key), state]),
    );

  private readonly observe = (key: string, interval: LoadInterval): void => {
    const monitor = this.monitors.get(key) ?? new CapacityMonitor(this.options.settings);
    this.monitors.set(key, monitor);
    const former = monitor.add(interval);
    if (former !== undefined) this.logChange(key, former, monitor);
  };

  private readonly logChange = (
    key: string,
    former: CapacityState,
    { state, reason }: CapacityMonitor,
  ): void => {
    const { log } = this.options;
    const [service, zone = ""] = key.split("|");
    const fields = { service, ...(zone === "" ? {} : { zone }), former, state, reason };
    if (isUnderPressure(state)) log.warn("capacity state changed", fields);
    else if (former !== "unknown") log.info("capacity state changed", fields);
  };
}

const serviceOf = (key: string): string => key.split("|")[0] ?? "";
const isWholeService = (key: string): boolean => key.endsWith("|");

const sumOf = (service: string, increases: ReadonlyMap<string, LoadTotals>): LoadTotals =>
  [...increases]
    .filter(([key]) => serviceOf(key) === service)
    .reduce((sum, [, totals]) => addLoad(sum, totals), NO_LOAD);

const sorted = (states: CapacityStates): readonly (readonly [string, string])[] =>
  Object.entries(states).sort(([a], [b]) => (a < b ? -1 : 1));
