/**
 * Capacity forecast on the leader: warns that a service nears what it can keep up with, from what
 * all nodes see arriving and being completed, whether arrivals rise, workers slow down, or workers
 * go.
 */
import type { Clock, Timer } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { Message } from "../transport/connection.js";
import { CapacityMonitor, type LoadInterval } from "./capacity-monitor.js";
import {
  isPressed,
  type CapacityState,
  type CapacityStates,
  type ForecastSettings,
} from "./capacity-state.js";
import { addLoad, loadKey, LoadWindow, NO_LOAD, type LoadFigures } from "./load-window.js";

/** A worker whose slots count. */
export interface ForecastWorker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Slots. */
  readonly capacity: number;
  /** Ready, and not ejected, so that requests go to it. */
  readonly isRoutable: boolean;
}

/** What the forecast needs of its surroundings. */
export interface CapacityForecasterOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: ForecastSettings;
  readonly isLeader: () => boolean;
  readonly workers: () => readonly ForecastWorker[];
  /** How many nodes there are. */
  readonly nodes: () => number;
  /** Publishes which services are pressed; no request waits for it. */
  readonly publish: (states: CapacityStates) => Promise<boolean>;
  readonly published: () => CapacityStates;
}

/** Only the leader forecasts; a new one begins anew with the next reports. */
export class CapacityForecaster {
  private readonly load: LoadWindow;
  /** By `loadKey`. */
  private readonly monitors = new Map<string, CapacityMonitor>();
  private timer: Timer | undefined;
  private lastUs: number | undefined;
  private malformedReports = 0;
  private isTicking = false;

  constructor(private readonly options: CapacityForecasterOptions) {
    this.load = new LoadWindow(options.clock);
  }

  /** Begins to forecast. */
  readonly start = (): void => {
    const { clock, settings } = this.options;
    this.timer = clock.every(settings.intervalUs, () => void this.tick());
  };

  /** Ends forecasting. */
  readonly stop = (): void => this.timer?.stop();

  /** Counts a node's report; a malformed one is only counted as such. */
  readonly receive = (report: Message): void => {
    try {
      this.load.receive(report);
    } catch {
      // The number is shown to operators, and the next report has the counts again.
      this.malformedReports += 1;
    }
  };

  /** By `loadKey`. */
  readonly states = (): CapacityStates =>
    Object.fromEntries([...this.monitors].map(([key, { state }]) => [key, state]));

  /**
   * The requests in flight of each service in the last interval, which other zones would have to
   * carry.
   */
  readonly inFlight = (): ReadonlyMap<string, number> => {
    const slots = this.slots();
    return new Map(
      [...this.monitors]
        .filter(([key]) => isWholeService(key))
        .map(([key, monitor]) => [serviceOf(key), monitor.utilization() * (slots.get(key) ?? 0)]),
    );
  };

  /** Every service with its state and figures, as the operator's query answers it. */
  readonly explain = (): UnknownRecord => ({
    holder: this.options.isLeader(),
    malformedReports: this.malformedReports,
    nodesHeard: this.load.nodesHeard(),
    services: [...this.monitors].map(([key, monitor]) => {
      const [service, zone] = key.split("|");
      return { service, cell: zone === "" ? "all" : zone, ...monitor.explain() };
    }),
  });

  /** Looks at the load once, if this process is the leader and no look is under way. */
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

  /** By `loadKey`, of services as a whole and in each zone. */
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
    const isHeard = this.load.nodesHeard() * 2 > nodes();
    const keys = [...increases.keys(), ...this.monitors.keys(), ...slots.keys()];
    const observe = (key: string, figures: LoadFigures) =>
      this.observe(key, { nowUs, durationS, figures, slots: slots.get(key) ?? 0, isHeard });
    new Set(keys.map(serviceOf)).forEach((service) => {
      observe(loadKey(service), sumOf(service, increases));
      [...slots.keys()]
        .filter((key) => serviceOf(key) === service && !isWholeService(key))
        .forEach((key) => observe(key, increases.get(key) ?? NO_LOAD));
    });
    const pressed = this.pressedServices();
    if (JSON.stringify(sorted(pressed)) !== JSON.stringify(sorted(published())))
      await publish(pressed);
  };

  private readonly pressedServices = (): CapacityStates =>
    Object.fromEntries(
      [...this.monitors]
        .filter(([key, { state }]) => isWholeService(key) && isPressed(state))
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
    if (isPressed(state)) log.warn("capacity state changed", fields);
    else if (former !== "unknown") log.info("capacity state changed", fields);
  };
}

const serviceOf = (key: string): string => key.split("|")[0] ?? "";
const isWholeService = (key: string): boolean => key.endsWith("|");

const sumOf = (service: string, increases: ReadonlyMap<string, LoadFigures>): LoadFigures =>
  [...increases]
    .filter(([key]) => serviceOf(key) === service)
    .reduce((sum, [, figures]) => addLoad(sum, figures), NO_LOAD);

const sorted = (states: CapacityStates): readonly (readonly [string, string])[] =>
  Object.entries(states).sort(([a], [b]) => (a < b ? -1 : 1));
