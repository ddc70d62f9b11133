import { linearRegression, linearRegressionLine, mean, sampleVariance } from "simple-statistics";
import type { Clock, Timer } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import {
  asList,
  isRecord,
  readList,
  asNumber,
  readString,
  asString,
  asRecord,
  type UnknownRecord,
} from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";

export type CapacityState = "unknown" | "steady" | "nearing" | "overrun";

export interface ForecastSettings {
  readonly intervalUs: number;
  /** How many ticks the trend is taken over. */
  readonly trendSamples: number;
  /** How far ahead a trend warns. */
  readonly horizonUs: number;
  /** Parts of the slots in use: where a warning begins and ends by level, and where a service counts as overrun. */
  readonly nearingUtilization: number;
  readonly nearingExitUtilization: number;
  readonly overrunUtilization: number;
  readonly overrunExitUtilization: number;
  /** The least part in use for which a trend warns. */
  readonly minTrendUtilization: number;
  /** How many standard errors above 0 a slope must be to be told from noise. */
  readonly slopeErrors: number;
  /** For how many ticks in a row a verdict must hold before it is entered, and left. */
  readonly enterTicks: number;
  readonly leaveTicks: number;
  readonly minPerS: number;
  readonly overrunRejectedShare: number;
}

export const FORECAST_SETTINGS: ForecastSettings = {
  intervalUs: 2 * SECOND_US,
  trendSamples: 15,
  horizonUs: 30 * SECOND_US,
  nearingUtilization: 0.75,
  nearingExitUtilization: 0.65,
  overrunUtilization: 0.95,
  overrunExitUtilization: 0.85,
  minTrendUtilization: 0.5,
  slopeErrors: 4,
  enterTicks: 2,
  leaveTicks: 3,
  minPerS: 1,
  overrunRejectedShare: 0.01,
};

export interface ForecastWorker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly capacity: number;
  /** Ready, and not ejected, so that requests go to it. */
  readonly isRoutable: boolean;
}

interface Sample {
  readonly atS: number;
  readonly perS: number;
  readonly usedPart: number;
  readonly refusedPart: number;
}

export interface Trend {
  /** Expected time until the slots are all in use, and its band; undefined where it isn't rising beyond noise. */
  readonly expectedS: number;
  readonly earliestS: number;
  readonly latestS: number;
}

interface Watch {
  verdict: CapacityState;
  samples: Sample[];
  wanted: CapacityState;
  heldTicks: number;
  trend: Trend | undefined;
  reason: string;
}

const KEEP_NODE_US = 6 * SECOND_US;

/** The part in use will reach 1 when, by a straight line through the samples; undefined where noise could say the same. */
export const fitTrend = (
  samples: readonly { readonly atS: number; readonly usedPart: number }[],
  slopeErrors: number,
): Trend | undefined => {
  const last = samples[samples.length - 1];
  if (samples.length < 6 || !last) return undefined;
  const points = samples.map(({ atS, usedPart }) => [atS, usedPart]);
  const fit = linearRegression(points);
  const line = linearRegressionLine(fit);
  const spread = sampleVariance(samples.map(({ atS }) => atS)) * (samples.length - 1);
  const residual =
    points.reduce((sum, [x = 0, y = 0]) => sum + (y - line(x)) ** 2, 0) / (samples.length - 2);
  // Neighbouring samples are alike, so that fewer speak than there are: twice the error that independent ones would have.
  const slopeError = 2 * Math.sqrt(residual / spread) + 1e-9;
  if (fit.m <= slopeErrors * slopeError) return undefined;
  const left = Math.max(0, 1 - line(last.atS));
  return {
    expectedS: left / fit.m,
    earliestS: left / (fit.m + 2 * slopeError),
    latestS: left / (fit.m - 2 * slopeError),
  };
};

export interface CapacityForecasterOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: ForecastSettings;
  readonly isLeader: () => boolean;
  readonly workers: () => readonly ForecastWorker[];
  readonly nodes: () => number;
  /** Tells the pointsmen which services are pressed; asynchronous, and never waited on by forwarding. */
  readonly publish: (verdicts: Readonly<Record<string, CapacityState>>) => Promise<boolean>;
  readonly published: () => Readonly<Record<string, CapacityState>>;
}

interface Told {
  readonly life: string;
  heardUs: number;
  readonly rows: Map<string, readonly number[]>;
}

/**
 * Warns that a service nears what it can keep up with, from what all nodes see arriving and being answered.
 * By Little's law the calls in flight are their summed time over the span; over the slots that beats tell, that is the
 * part in use, whether arrivals rise, workers slow down, or workers go.
 */
export class CapacityForecaster {
  private readonly told = new Map<string, Told>();
  /** Invariant: the rises since the last tick, by service and workers' cell. */
  private rises = new Map<string, number[]>();
  private readonly watches = new Map<string, Watch>();
  private timer: Timer | undefined;
  private lastUs: number | undefined;
  private malformed = 0;
  private busy = false;

  constructor(private readonly options: CapacityForecasterOptions) {}

  readonly start = (): void => {
    this.timer = this.options.clock.every(this.options.settings.intervalUs, () => void this.tick());
  };

  readonly stop = (): void => this.timer?.stop();

  readonly receive = (report: Message): void => {
    try {
      const incarnation = readString(report, "life");
      const node = readString(report, "node");
      const rows = readList(report, "rows", (value) => {
        const [service, zone, ...figures] = asList(value, "row");
        return { key: `${asString(service)}|${asString(zone)}`, figures: figures.map(asNumber) };
      });
      const before = this.told.get(node);
      const isNew = before === undefined;
      const now: Told =
        before && before.life === incarnation
          ? before
          : { life: incarnation, heardUs: 0, rows: new Map() };
      now.heardUs = this.options.clock.nowUs();
      this.told.set(node, now);
      rows.forEach(({ key, figures }) => {
        const last = now.rows.get(key);
        // A node heard for the first time has counted from before this holder looked: it only sets the mark.
        if (last || !isNew)
          this.rise(
            key,
            figures.map((figure, at) => Math.max(0, figure - (last?.[at] ?? 0))),
          );
        now.rows.set(
          key,
          figures.map((figure, at) => Math.max(figure, last?.[at] ?? 0)),
        );
      });
    } catch {
      this.malformed += 1;
    }
  };

  readonly states = (): Readonly<Record<string, CapacityState>> =>
    Object.fromEntries([...this.watches].map(([key, { verdict: result }]) => [key, result]));

  /** The calls in flight of each service at the last tick, for those who ask what other cells would have to carry. */
  readonly inFlight = (): ReadonlyMap<string, number> => {
    const slots = this.slots();
    return new Map(
      [...this.watches]
        .filter(([key]) => key.endsWith("|"))
        .map(([key, { samples }]) => [
          key.slice(0, -1),
          (samples[samples.length - 1]?.usedPart ?? 0) * (slots.get(key) ?? 0),
        ]),
    );
  };

  readonly explain = (): UnknownRecord => ({
    holder: this.options.isLeader(),
    malformedReports: this.malformed,
    nodesHeard: this.heard(),
    services: [...this.watches].map(([key, watch]) => {
      const [service, zone] = key.split("|");
      const last = watch.samples[watch.samples.length - 1];
      const { trend } = watch;
      return {
        service,
        cell: zone === "" ? "all" : zone,
        verdict: watch.verdict,
        perS: round(last?.perS ?? 0),
        usedPart: round(last?.usedPart ?? 0),
        refusedPart: round(last?.refusedPart ?? 0),
        ...(trend
          ? {
              leftS: round(trend.expectedS),
              soonestS: round(trend.earliestS),
              latestS: round(trend.latestS),
            }
          : {}),
        reason: watch.reason,
      };
    }),
  });

  readonly tick = async (): Promise<void> => {
    if (this.busy) return;
    this.busy = true;
    try {
      if (this.options.isLeader()) await this.look();
      else this.reset();
    } finally {
      this.busy = false;
    }
  };

  /** Only the holder watches; who takes the duty begins anew with the next reports. */
  private readonly reset = (): void => {
    this.told.clear();
    this.rises = new Map();
    this.watches.clear();
    this.lastUs = undefined;
  };

  private readonly heard = (): number => {
    const nowUs = this.options.clock.nowUs();
    return [...this.told.values()].filter(({ heardUs }) => nowUs - heardUs <= KEEP_NODE_US).length;
  };

  private readonly rise = (key: string, figures: readonly number[]): void => {
    const sum = this.rises.get(key) ?? [0, 0, 0, 0];
    this.rises.set(
      key,
      sum.map((value, at) => value + (figures[at] ?? 0)),
    );
  };

  private readonly slots = (): Map<string, number> => {
    const slots = new Map<string, number>();
    const add = (key: string, capacity: number) => slots.set(key, (slots.get(key) ?? 0) + capacity);
    this.options
      .workers()
      .filter(({ isRoutable: isUsed }) => isUsed)
      .forEach(({ service, zone, capacity }) => {
        add(`${service}|${zone}`, capacity);
        add(`${service}|`, capacity);
      });
    return slots;
  };

  private readonly look = async (): Promise<void> => {
    const { clock, nodes, publish, published } = this.options;
    const nowUs = clock.nowUs();
    const spanS = (nowUs - (this.lastUs ?? nowUs)) / SECOND_US;
    this.lastUs = nowUs;
    const rises = this.rises;
    this.rises = new Map();
    if (spanS <= 0) return;
    const slots = this.slots();
    const isHeard = this.heard() * 2 > nodes();
    const services = new Set(
      [...rises.keys(), ...this.watches.keys(), ...slots.keys()].map(
        (key) => key.split("|")[0] ?? "",
      ),
    );
    services.forEach((service) => {
      const zones = [...slots.keys()].filter(
        (key) => key.startsWith(`${service}|`) && !key.endsWith("|"),
      );
      const called = [...rises]
        .filter(([key]) => key.startsWith(`${service}|`))
        .map(([, figures]) => figures);
      const total = called.reduce<number[]>(
        (sum, figures) => sum.map((value, at) => value + (figures[at] ?? 0)),
        [0, 0, 0, 0],
      );
      this.watch(`${service}|`, nowUs, spanS, total, slots.get(`${service}|`) ?? 0, isHeard);
      zones.forEach((key) =>
        this.watch(key, nowUs, spanS, rises.get(key) ?? [0, 0, 0, 0], slots.get(key) ?? 0, isHeard),
      );
    });
    const pressed = Object.fromEntries(
      [...this.watches]
        .filter(
          ([key, { verdict: result }]) =>
            key.endsWith("|") && (result === "nearing" || result === "overrun"),
        )
        .map(([key, { verdict: result }]) => [key.slice(0, -1), result]),
    );
    if (JSON.stringify(sorted(pressed)) !== JSON.stringify(sorted(published())))
      await publish(pressed);
  };

  private readonly watch = (
    key: string,
    nowUs: number,
    spanS: number,
    figures: readonly number[],
    slots: number,
    isHeard: boolean,
  ): void => {
    const { settings: terms, log } = this.options;
    const [arrived = 0, refused = 0, answered = 0, busyUs = 0] = figures;
    const watch: Watch = this.watches.get(key) ?? {
      verdict: "unknown",
      samples: [],
      wanted: "unknown",
      heldTicks: 0,
      trend: undefined,
      reason: "nothing seen yet",
    };
    this.watches.set(key, watch);
    const perS = Math.max(arrived, answered) / spanS;
    const usedPart = slots > 0 ? busyUs / SECOND_US / spanS / slots : 0;
    watch.samples = [
      ...watch.samples,
      { atS: nowUs / SECOND_US, perS, usedPart, refusedPart: arrived > 0 ? refused / arrived : 0 },
    ].slice(-terms.trendSamples);
    watch.trend = fitTrend(watch.samples, terms.slopeErrors);
    const wanted = this.judge(watch, slots, isHeard);
    watch.heldTicks = wanted === watch.wanted ? watch.heldTicks + 1 : 1;
    watch.wanted = wanted;
    const needed = RANK[wanted] > RANK[watch.verdict] ? terms.enterTicks : terms.leaveTicks;
    if (wanted === watch.verdict || watch.heldTicks < needed) return;
    // Pressure lifts step by step, so that what was held back doesn't come back all at once.
    const before = watch.verdict;
    watch.verdict =
      before === "overrun" && RANK[wanted] < RANK.nearing && wanted !== "unknown"
        ? "nearing"
        : wanted;
    const [service, zone] = key.split("|");
    const sentence = `${service}${zone === "" ? "" : ` in ${zone}`} was ${before}, is ${watch.verdict}: ${watch.reason}`;
    if (watch.verdict === "nearing" || watch.verdict === "overrun") log.warn(sentence);
    else if (before !== "unknown") log.info(sentence);
  };

  private readonly judge = (watch: Watch, slots: number, isHeard: boolean): CapacityState => {
    const { settings: terms } = this.options;
    const recent = watch.samples.slice(-terms.enterTicks);
    const used = mean(recent.map(({ usedPart }) => usedPart));
    const perS = mean(recent.map((sample) => sample.perS));
    const refusedPart = mean(recent.map((sample) => sample.refusedPart));
    const now = `${Math.round(used * 100)}% of ${slots} slots in use at ${perS.toFixed(1)} a second, ${(refusedPart * 100).toFixed(1)}% refused.`;
    watch.reason = now;
    if (!isHeard) return this.say(watch, "unknown", "Too few nodes are heard.");
    if (slots > 0 && perS < terms.minPerS) return this.say(watch, "unknown", "Too little traffic.");
    const isOver = watch.verdict === "overrun";
    const isPressed = isOver || watch.verdict === "nearing";
    if (
      slots === 0 ||
      used >= (isOver ? terms.overrunExitUtilization : terms.overrunUtilization) ||
      refusedPart > terms.overrunRejectedShare
    )
      return "overrun";
    if (used >= (isPressed ? terms.nearingExitUtilization : terms.nearingUtilization))
      return "nearing";
    const { trend } = watch;
    const rises =
      trend !== undefined &&
      used >= terms.minTrendUtilization &&
      trend.expectedS * SECOND_US <= terms.horizonUs * (isPressed ? 2 : 1);
    if (!rises) return "steady";
    return this.say(
      watch,
      "nearing",
      `${now} All in use in ${Math.round(trend.expectedS)} s (${Math.round(trend.earliestS)} to ${Math.round(trend.latestS)} s).`,
    );
  };

  private readonly say = (watch: Watch, result: CapacityState, reason: string): CapacityState => {
    watch.reason = reason;
    return result;
  };
}

const RANK: Readonly<Record<CapacityState, number>> = {
  unknown: 0,
  steady: 1,
  nearing: 2,
  overrun: 3,
};

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

const sorted = (
  verdicts: Readonly<Record<string, CapacityState>>,
): readonly (readonly [string, string])[] =>
  Object.entries(verdicts).sort(([a], [b]) => (a < b ? -1 : 1));

const isName = (value: unknown): value is CapacityState =>
  value === "unknown" || value === "steady" || value === "nearing" || value === "overrun";

export const readCapacityStates = (value: unknown): Readonly<Record<string, CapacityState>> => {
  const record = isRecord(value) ? asRecord(value) : {};
  return Object.fromEntries(
    Object.entries(record).flatMap(([service, result]) =>
      isName(result) ? [[service, result] as const] : [],
    ),
  );
};
