/**
 * Decisions of the canary analysis. The register `duty/rollouts` stores them under the same field
 * names.
 */
import {
  asRecord,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { WeightedService } from "../common/weighted-split.js";

/** A route of the configuration in force that splits its traffic between several services. */
export interface SplitRoute {
  readonly name: string;
  readonly version: number;
  readonly isSafe: boolean;
  readonly shares: readonly WeightedService[];
}

/** Identifies one version of a route. */
export interface RouteVersion {
  readonly route: string;
  readonly version: number;
}

/** A candidate that no longer receives traffic. */
export interface CanaryStop extends RouteVersion {
  readonly candidate: string;
  readonly baseline: string;
  /** One sentence for the operator. */
  readonly reason: string;
  /** The figures that the decision was based on. */
  readonly evidence: UnknownRecord;
}

/** The baseline service that the candidates of a route version are compared with. */
export interface BaselineChoice extends RouteVersion {
  readonly service: string;
}

/**
 * The published state. Invariants: the baseline of a route version is chosen once; a stop applies to
 * one route version only and ends only when an operator clears it or a newer version is in force.
 */
export interface CanaryState {
  readonly baselines: readonly BaselineChoice[];
  readonly stops: readonly CanaryStop[];
}

/** The state before the first decision. */
export const NO_CANARIES: CanaryState = { baselines: [], stops: [] };

/** Whether a row refers to the given route in the given version. */
export const matchesVersion = (row: RouteVersion, route: SplitRoute): boolean =>
  row.route === route.name && row.version === route.version;

/** The stop of a candidate, if any. */
export const findStop = (
  state: CanaryState,
  route: SplitRoute,
  candidate: string,
): CanaryStop | undefined =>
  state.stops.find((stop) => matchesVersion(stop, route) && stop.candidate === candidate);

/**
 * Parses the stored state.
 *
 * @throws if the value is malformed
 */
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
