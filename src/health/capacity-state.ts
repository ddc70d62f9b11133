/** Capacity states of a service, their order and the thresholds between them. */
import { asRecord, isRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";

/** How close a service is to its capacity. The values are stored and sent on the wire. */
export type CapacityState = "unknown" | "steady" | "nearing" | "overrun";

/** Capacity states by service. Published states contain only services under pressure. */
export type CapacityStates = Readonly<Record<string, CapacityState>>;

/** Orders the states by increasing pressure. */
export const CAPACITY_RANK: Readonly<Record<CapacityState, number>> = {
  unknown: 0,
  steady: 1,
  nearing: 2,
  overrun: 3,
};

/** Settings of the forecast. Utilization is the share of slots in use, 0 to 1. */
export interface ForecastSettings {
  readonly intervalUs: number;
  /** The number of recent intervals that the trend is fitted to. */
  readonly trendSamples: number;
  /** A trend warns if capacity is expected to be reached within this time. */
  readonly horizonUs: number;
  /** Utilization at which "nearing" is entered, and below which it is left. */
  readonly nearingUtilization: number;
  readonly nearingExitUtilization: number;
  /** Utilization at which "overrun" is entered, and below which it is left. */
  readonly overrunUtilization: number;
  readonly overrunExitUtilization: number;
  /** Minimum utilization for a trend to warn. */
  readonly minTrendUtilization: number;
  /** Number of standard errors by which a slope must exceed 0 to count as a trend. */
  readonly slopeErrors: number;
  /** Consecutive intervals needed to change to a more severe state, and to a less severe one. */
  readonly enterTicks: number;
  readonly leaveTicks: number;
  /** Minimum rate in requests per second; below it the state is "unknown". */
  readonly minPerS: number;
  /** Share of rejected requests, 0 to 1, above which a service counts as overrun. */
  readonly overrunRejectedShare: number;
}

/** Default settings, used by the controllers. */
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

/** Whether the data plane should act on the state. */
export const isUnderPressure = (state: CapacityState): boolean =>
  state === "nearing" || state === "overrun";

const isState = (value: unknown): value is CapacityState =>
  value === "unknown" || value === "steady" || value === "nearing" || value === "overrun";

/** Parses the register `duty/forecast`; entries with an unknown state are skipped. */
export const readCapacityStates = (value: unknown): CapacityStates => {
  const record = isRecord(value) ? asRecord(value) : {};
  return Object.fromEntries(
    Object.entries(record).flatMap(([service, state]) =>
      isState(state) ? [[service, state] as const] : [],
    ),
  );
};
