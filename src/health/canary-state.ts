/**
 * What the canary analysis decides, and its form in the register `duty/rollouts`: the same names in
 * both.
 */
import {
  asRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { WeightedService } from "../common/weighted-split.js";

/**
 * A route that sends its traffic to more than one service, as the configuration in force has it.
 */
export interface SplitRoute {
  readonly name: string;
  readonly version: number;
  readonly isSafe: boolean;
  readonly shares: readonly WeightedService[];
}

/** A route's version. */
export interface RouteVersion {
  readonly route: string;
  readonly version: number;
}

/** A candidate that gets no more traffic. */
export interface CanaryStop extends RouteVersion {
  readonly candidate: string;
  readonly baseline: string;
  /** One sentence for the operator. */
  readonly reason: string;
  /** The figures behind the reason, as they were at the decision. */
  readonly evidence: UnknownRecord;
}

/** The service that candidates of a route's version are compared with. */
export interface BaselineChoice extends RouteVersion {
  readonly service: string;
}

/**
 * What is published. Invariants: a baseline is chosen once for a route's version; a stop holds for
 * that version only, and goes only by the operator's clearing or a newer version.
 */
export interface CanaryState {
  readonly baselines: readonly BaselineChoice[];
  readonly stops: readonly CanaryStop[];
}

/** Before the first decision. */
export const NO_CANARIES: CanaryState = { baselines: [], stops: [] };

/** Whether a row is about the version of the route that is in force. */
export const isAbout = (row: RouteVersion, route: SplitRoute): boolean =>
  row.route === route.name && row.version === route.version;

/** The stop of a candidate, if there is one. */
export const findStop = (
  state: CanaryState,
  route: SplitRoute,
  candidate: string,
): CanaryStop | undefined =>
  state.stops.find((stop) => isAbout(stop, route) && stop.candidate === candidate);

/** @throws if the value has another form */
export const readCanaryState = (value: unknown): CanaryState => {
  const record = asRecord(value, "rollouts");
  return {
    baselines: readList(record, "baselines", asRecord).map((row) => ({
      route: readString(row, "route"),
      version: readNumber(row, "version"),
      service: readString(row, "service"),
    })),
    stops: readList(record, "stops", asRecord).map((row) => ({
      route: readString(row, "route"),
      version: readNumber(row, "version"),
      candidate: readString(row, "candidate"),
      baseline: readString(row, "baseline"),
      reason: readString(row, "reason"),
      evidence: asRecord(row["evidence"], "evidence"),
    })),
  };
};
