/**
 * How near a service is to its capacity: the states, their order and the thresholds between them.
 */
import { asRecord, isRecord } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";

/** The texts are part of the stored and sent form. */
export type CapacityState = "unknown" | "steady" | "nearing" | "overrun";

/** Of each service that nears its capacity or is over it. */
export type CapacityStates = Readonly<Record<string, CapacityState>>;

/** The higher the rank, the more pressed is the service. */
export const CAPACITY_RANK: Readonly<Record<CapacityState, number>> = {
  unknown: 0,
  steady: 1,
  nearing: 2,
  overrun: 3,
};

/** The thresholds of the forecast. Utilization is the share of slots in use, 0 to 1. */
export interface ForecastSettings {
  readonly intervalUs: number;
  /** Over how many intervals the trend is taken. */
  readonly trendSamples: number;
  /** How far ahead a trend warns. */
  readonly horizonUs: number;
  /** Where a warning by level begins and ends. */
  readonly nearingUtilization: number;
  readonly nearingExitUtilization: number;
  /** Where a service counts as overrun, and no longer. */
  readonly overrunUtilization: number;
  readonly overrunExitUtilization: number;
  /** The least utilization at which a trend warns. */
  readonly minTrendUtilization: number;
  /** How many standard errors above 0 a slope must be to be told from noise. */
  readonly slopeErrors: number;
  /** For how many intervals in a row a state must be found before it is entered, and left. */
  readonly enterTicks: number;
  readonly leaveTicks: number;
  /** Below this rate nothing is known. */
  readonly minPerS: number;
  /** Beyond this share of rejected requests a service counts as overrun. */
  readonly overrunRejectedShare: number;
}

/** What the controllers use. */
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
export const isPressed = (state: CapacityState): boolean =>
  state === "nearing" || state === "overrun";

const isState = (value: unknown): value is CapacityState =>
  value === "unknown" || value === "steady" || value === "nearing" || value === "overrun";

/** The states of the register `duty/forecast`; what is no state is left out. */
export const readCapacityStates = (value: unknown): CapacityStates => {
  const record = isRecord(value) ? asRecord(value) : {};
  return Object.fromEntries(
    Object.entries(record).flatMap(([service, state]) =>
      isState(state) ? [[service, state] as const] : [],
    ),
  );
};
