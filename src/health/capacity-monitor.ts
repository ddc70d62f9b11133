/** Tracks the capacity state of one service, or of its workers in one zone. */
import { mean } from "simple-statistics";
import type { UnknownRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import {
  CAPACITY_RANK,
  isUnderPressure,
  type CapacityState,
  type ForecastSettings,
} from "./capacity-state.js";
import type { LoadTotals } from "./load-window.js";
import { fitTrend, type Trend, type UtilizationSample } from "./utilization-trend.js";

interface Sample extends UtilizationSample {
  readonly perS: number;
  readonly rejectedShare: number;
}

/** The load of one interval. */
export interface LoadInterval {
  readonly nowUs: number;
  readonly durationS: number;
  readonly totals: LoadTotals;
  /** Total slots of the routable workers. */
  readonly slots: number;
  /** Whether more than half of the nodes have reported recently. */
  readonly isMajorityReporting: boolean;
}

interface Assessment {
  readonly state: CapacityState;
  readonly reason: string;
}

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

/**
 * Changes state only after several consecutive intervals agree, and takes longer to improve than to
 * worsen, so that the state does not flap.
 */
export class CapacityMonitor {
  state: CapacityState = "unknown";
  reason = "no interval observed yet";
  private samples: readonly Sample[] = [];
  private pendingState: CapacityState = "unknown";
  private pendingTicks = 0;
  private trend: Trend | undefined;

  constructor(private readonly settings: ForecastSettings) {}

  /** The share of slots in use in the last interval, 0 to 1. */
  readonly utilization = (): number => this.samples[this.samples.length - 1]?.utilization ?? 0;

  /**
   * Adds an interval and updates the state.
   *
   * @returns the former state if it changed
   */
  readonly add = (interval: LoadInterval): CapacityState | undefined => {
    const { trendSamples, slopeErrors, enterTicks, leaveTicks } = this.settings;
    this.samples = [...this.samples, toSample(interval)].slice(-trendSamples);
    this.trend = fitTrend(this.samples, slopeErrors);
    const { state, reason } = this.assess(interval);
    this.reason = reason;
    this.pendingTicks = state === this.pendingState ? this.pendingTicks + 1 : 1;
    this.pendingState = state;
    const needed = CAPACITY_RANK[state] > CAPACITY_RANK[this.state] ? enterTicks : leaveTicks;
    if (state === this.state || this.pendingTicks < needed) return undefined;
    const former = this.state;
    // Leaves "overrun" by way of "nearing", so that held-back traffic does not return all at once.
    const isReleased =
      former === "overrun" && CAPACITY_RANK[state] < CAPACITY_RANK.nearing && state !== "unknown";
    this.state = isReleased ? "nearing" : state;
    return former;
  };

  /** The figures in the form returned to operators. Field names are part of the API. */
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

  private readonly assess = ({ slots, isMajorityReporting }: LoadInterval): Assessment => {
    const { settings, trend } = this;
    const recent = this.samples.slice(-settings.enterTicks);
    const used = mean(recent.map(({ utilization }) => utilization));
    const perS = mean(recent.map((sample) => sample.perS));
    const rejectedShare = mean(recent.map((sample) => sample.rejectedShare));
    const reason = `${Math.round(used * 100)}% of ${slots} slots in use at ${perS.toFixed(1)} a second, ${(rejectedShare * 100).toFixed(1)}% refused.`;
    if (!isMajorityReporting) return { state: "unknown", reason: "Too few nodes are heard." };
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
    isUnderPressure(this.state)
      ? this.settings.nearingExitUtilization
      : this.settings.nearingUtilization;

  private readonly isRising = (used: number, trend: Trend): boolean => {
    const { minTrendUtilization, horizonUs } = this.settings;
    const withinUs = horizonUs * (isUnderPressure(this.state) ? 2 : 1);
    return used >= minTrendUtilization && trend.expectedS * SECOND_US <= withinUs;
  };
}

/** By Little's law, mean requests in flight = total time of completed requests / interval. */
const toSample = ({ nowUs, durationS, totals, slots }: LoadInterval): Sample => {
  const [arrived = 0, rejected = 0, completed = 0, busyUs = 0] = totals;
  return {
    atS: nowUs / SECOND_US,
    perS: Math.max(arrived, completed) / durationS,
    utilization: slots > 0 ? busyUs / SECOND_US / durationS / slots : 0,
    rejectedShare: arrived > 0 ? rejected / arrived : 0,
  };
};
