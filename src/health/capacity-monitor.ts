/** The state of one service, or of its workers in one zone, from sample to sample. */
import { mean } from "simple-statistics";
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import {
  CAPACITY_RANK,
  isPressed,
  type CapacityState,
  type ForecastSettings,
} from "./capacity-state.js";
import type { LoadFigures } from "./load-window.js";
import { fitTrend, type Trend, type UtilizationSample } from "./utilization-trend.js";

interface Sample extends UtilizationSample {
  readonly perS: number;
  readonly rejectedShare: number;
}

/** One interval's load. */
export interface LoadInterval {
  readonly nowUs: number;
  readonly durationS: number;
  readonly figures: LoadFigures;
  /** The slots of the workers that requests go to. */
  readonly slots: number;
  /** Whether most nodes report. */
  readonly isHeard: boolean;
}

interface Assessment {
  readonly state: CapacityState;
  readonly reason: string;
}

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

/**
 * Enters a state after some intervals in a row and leaves it after more, so that it does not flap.
 */
export class CapacityMonitor {
  state: CapacityState = "unknown";
  reason = "nothing seen yet";
  private samples: readonly Sample[] = [];
  private candidate: CapacityState = "unknown";
  private candidateTicks = 0;
  private trend: Trend | undefined;

  constructor(private readonly settings: ForecastSettings) {}

  /** The share of slots in use in the last interval. */
  readonly utilization = (): number => this.samples[this.samples.length - 1]?.utilization ?? 0;

  /**
   * Adds an interval.
   *
   * @returns the former state if it has changed
   */
  readonly add = (interval: LoadInterval): CapacityState | undefined => {
    const { trendSamples, slopeErrors, enterTicks, leaveTicks } = this.settings;
    this.samples = [...this.samples, toSample(interval)].slice(-trendSamples);
    this.trend = fitTrend(this.samples, slopeErrors);
    const { state, reason } = this.assess(interval);
    this.reason = reason;
    this.candidateTicks = state === this.candidate ? this.candidateTicks + 1 : 1;
    this.candidate = state;
    const needed = CAPACITY_RANK[state] > CAPACITY_RANK[this.state] ? enterTicks : leaveTicks;
    if (state === this.state || this.candidateTicks < needed) return undefined;
    const former = this.state;
    // Pressure is released step by step, so that what was held back does not come back all at once.
    const isReleased =
      former === "overrun" && CAPACITY_RANK[state] < CAPACITY_RANK.nearing && state !== "unknown";
    this.state = isReleased ? "nearing" : state;
    return former;
  };

  /** The figures for the operator; the names of the fields stay. */
  readonly explain = (): UnknownRecord => {
    const last = this.samples[this.samples.length - 1];
    const { trend } = this;
    return {
      verdict: this.state,
      perS: round(last?.perS ?? 0),
      usedPart: round(last?.utilization ?? 0),
      refusedPart: round(last?.rejectedShare ?? 0),
      ...(trend
        ? {
            leftS: round(trend.expectedS),
            soonestS: round(trend.earliestS),
            latestS: round(trend.latestS),
          }
        : {}),
      reason: this.reason,
    };
  };

  private readonly assess = ({ slots, isHeard }: LoadInterval): Assessment => {
    const { settings, trend } = this;
    const recent = this.samples.slice(-settings.enterTicks);
    const used = mean(recent.map(({ utilization }) => utilization));
    const perS = mean(recent.map((sample) => sample.perS));
    const rejectedShare = mean(recent.map((sample) => sample.rejectedShare));
    const reason = `${Math.round(used * 100)}% of ${slots} slots in use at ${perS.toFixed(1)} a second, ${(rejectedShare * 100).toFixed(1)}% refused.`;
    if (!isHeard) return { state: "unknown", reason: "Too few nodes are heard." };
    if (slots > 0 && perS < settings.minPerS)
      return { state: "unknown", reason: "Too little traffic." };
    if (slots === 0 || this.isOverrun(used, rejectedShare)) return { state: "overrun", reason };
    if (used >= this.nearingThreshold()) return { state: "nearing", reason };
    if (!trend || !this.isRising(used, trend)) return { state: "steady", reason };
    const { expectedS, earliestS, latestS } = trend;
    return {
      state: "nearing",
      reason: `${reason} All in use in ${Math.round(expectedS)} s (${Math.round(earliestS)} to ${Math.round(latestS)} s).`,
    };
  };

  private readonly isOverrun = (used: number, rejectedShare: number): boolean => {
    const { overrunUtilization, overrunExitUtilization, overrunRejectedShare } = this.settings;
    const threshold = this.state === "overrun" ? overrunExitUtilization : overrunUtilization;
    return used >= threshold || rejectedShare > overrunRejectedShare;
  };

  private readonly nearingThreshold = (): number =>
    isPressed(this.state) ? this.settings.nearingExitUtilization : this.settings.nearingUtilization;

  private readonly isRising = (used: number, trend: Trend): boolean => {
    const { minTrendUtilization, horizonUs } = this.settings;
    const withinUs = horizonUs * (isPressed(this.state) ? 2 : 1);
    return used >= minTrendUtilization && trend.expectedS * SECOND_US <= withinUs;
  };
}

/** By Little's law the requests in flight are the sum of their times over the interval. */
const toSample = ({ nowUs, durationS, figures, slots }: LoadInterval): Sample => {
  const [arrived = 0, rejected = 0, completed = 0, busyUs = 0] = figures;
  return {
    atS: nowUs / SECOND_US,
    perS: Math.max(arrived, completed) / durationS,
    utilization: slots > 0 ? busyUs / SECOND_US / durationS / slots : 0,
    rejectedShare: arrived > 0 ? rejected / arrived : 0,
  };
};
