/**
 * Canary analysis on the leader: compares the candidates of split routes with their baselines and
 * stops those that are significantly worse.
 */
import type { Clock, Timer } from "../common/clock.js";
import type { UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import { serviceWithLargestShare } from "../common/weighted-split.js";
import type { Message } from "../transport/connection.js";
import {
  findStop,
  matchesVersion,
  type CanaryState,
  type CanaryStop,
  type RouteVersion,
  type SplitRoute,
} from "./canary-state.js";
import {
  ClearNotStoredError,
  NotStoppedError,
  RouteNotSplitError,
  StaleRouteVersionError,
  type ClearError,
} from "./errors.js";
import { increaseOf, outcomeRowKey, readOutcomeRow, type OutcomeRow } from "./outcome-report.js";
import { readRowsReport } from "./reports-codec.js";
import { RouteComparison } from "./route-comparison.js";
import type { SequentialTestSettings } from "./sequential-test.js";

/** Dependencies of {@link CanaryAnalyzer}. */
export interface CanaryAnalyzerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: SequentialTestSettings;
  readonly random: () => number;
  readonly isLeader: () => boolean;
  readonly term: () => number;
  readonly splitRoutes: () => readonly SplitRoute[];
  /** The service with the largest share in the route's previous version, if known locally. */
  readonly previousPrimary: (route: string) => string | undefined;
  readonly state: () => CanaryState;
  /** Persists the state under the leader's term; false on a newer term or a lost quorum. */
  readonly publish: (state: CanaryState) => Promise<boolean>;
}

interface NodeRows {
  readonly incarnation: string;
  readonly rows: Map<string, OutcomeRow>;
}

const TICK_US = 500 * MILLISECOND_US;

/** Every controller aggregates the reports that it receives; only the leader decides. */
export class CanaryAnalyzer {
  private readonly comparisons = new Map<string, RouteComparison>();
  /**
   * The last row counted, by node and row key. Invariant: a duplicate or out-of-order report adds
   * nothing.
   */
  private readonly reported = new Map<string, NodeRows>();
  private timer: Timer | undefined;
  private isTicking = false;
  private droppedReports = 0;

  constructor(private readonly options: CanaryAnalyzerOptions) {}

  /** Starts the periodic evaluation. */
  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  /** Stops the periodic evaluation. */
  readonly stop = (): void => this.timer?.stop();

  /**
   * Aggregates a report. Malformed reports and rows of an unknown route, service or version are
   * dropped and counted in `droppedReports`.
   */
  readonly receive = (message: Message): void => {
    try {
      const { node, incarnation, rows } = readRowsReport(message, readOutcomeRow);
      const known = this.reported.get(node);
      const reported =
        known?.incarnation === incarnation ? known : { incarnation, rows: new Map() };
      this.reported.set(node, reported);
      rows.forEach((row) => this.addRow(reported.rows, row));
    } catch {
      // Malformed. Counts are cumulative, so the next report makes up for it; operators see the total.
      this.droppedReports += 1;
    }
  };

  /** Syncs with the routes in force and, on the leader, decides once; skipped while one runs. */
  readonly tick = async (): Promise<void> => {
    if (this.isTicking) return;
    this.isTicking = true;
    try {
      this.syncComparisons();
      if (this.options.isLeader()) await this.decide();
    } finally {
      this.isTicking = false;
    }
  };

  /** Every candidate, in the form returned to operators. */
  readonly list = (): readonly UnknownRecord[] =>
    [...this.comparisons.values()].flatMap((comparison) =>
      comparison
        .candidates()
        .map((candidate) => comparison.explain(candidate, this.options.state())),
    );

  /** The comparisons and decisions, in the form returned to operators. */
  readonly explain = (): UnknownRecord => ({
    holder: this.options.isLeader(),
    term: this.options.term(),
    droppedReports: this.droppedReports,
    rollouts: this.list(),
  });

  /**
   * Clears a route's stop on an operator's command. The comparison restarts from empty counts.
   *
   * @param version - if given, the command fails unless this version is in force
   * @returns undefined on success
   */
  readonly clearStop = async (
    route: string,
    version: number | undefined,
  ): Promise<ClearError | undefined> => {
    const inForce = this.options.splitRoutes().find((split) => split.name === route);
    if (!inForce) return new RouteNotSplitError(route);
    if (version !== undefined && version !== inForce.version)
      return new StaleRouteVersionError(route, version, inForce.version);
    const state = this.options.state();
    const stops = state.stops.filter((stop) => !matchesVersion(stop, inForce));
    if (stops.length === state.stops.length) return new NotStoppedError(route);
    if (!(await this.options.publish({ ...state, stops }))) return new ClearNotStoredError(route);
    this.comparisons.delete(route);
    this.options.log.info("stop cleared by the operator", { route, version: inForce.version });
    return undefined;
  };

  private readonly addRow = (rows: Map<string, OutcomeRow>, row: OutcomeRow): void => {
    const comparison = this.comparisons.get(row.route);
    if (comparison?.route.version !== row.version || !comparison.includes(row.service)) {
      this.droppedReports += 1;
      return;
    }
    const key = outcomeRowKey(row);
    const before = rows.get(key);
    const increase = increaseOf(row, before);
    if (!increase) return;
    rows.set(key, row);
    comparison.add(
      row,
      increase,
      Math.max(0, row.unattributedFailures - (before?.unattributedFailures ?? 0)),
    );
  };

  /** Keeps exactly one comparison for each split route in force and drops all others. */
  private readonly syncComparisons = (): void => {
    const { splitRoutes, clock, settings, random } = this.options;
    const inForce = new Map(splitRoutes().map((route) => [route.name, route]));
    this.comparisons.forEach((comparison, name) => {
      if (inForce.get(name)?.version === comparison.route.version) return;
      this.comparisons.delete(name);
      this.reported.forEach(({ rows }) =>
        rows.forEach((row, key) => row.route === name && rows.delete(key)),
      );
    });
    inForce.forEach((route, name) => {
      if (this.comparisons.has(name)) return;
      const baseline = this.baselineOf(route);
      this.comparisons.set(
        name,
        new RouteComparison(route, baseline, clock.nowUs(), settings, random),
      );
    });
  };

  private readonly baselineOf = (route: SplitRoute): string => {
    const { state, previousPrimary } = this.options;
    const chosen = state().baselines.find((row) => matchesVersion(row, route));
    const known = chosen?.service ?? previousPrimary(route.name);
    if (known !== undefined && route.shares.some(({ service }) => service === known)) return known;
    return serviceWithLargestShare(route.shares);
  };

  private readonly decide = async (): Promise<void> => {
    const { state, publish, term } = this.options;
    const before = state();
    const isInForce = (row: RouteVersion) =>
      this.comparisons.get(row.route)?.route.version === row.version;
    const newBaselines = [...this.comparisons.values()]
      .filter(({ route }) => !before.baselines.some((row) => matchesVersion(row, route)))
      .map(({ route, baseline }) => ({
        route: route.name,
        version: route.version,
        service: baseline,
      }));
    const newStops = [...this.comparisons.values()].flatMap((comparison) =>
      this.findStops(comparison, before),
    );
    const baselines = [...before.baselines.filter(isInForce), ...newBaselines];
    const stops = [
      ...before.stops.filter(isInForce),
      ...newStops.map((stop) => ({ ...stop, evidence: { ...stop.evidence, term: term() } })),
    ];
    const isUnchanged =
      newBaselines.length + newStops.length === 0 &&
      baselines.length === before.baselines.length &&
      stops.length === before.stops.length;
    if (isUnchanged || !(await publish({ baselines, stops }))) return;
    newStops.forEach(this.logStop);
  };

  /** Stops for the candidates that failed and are not stopped yet. */
  private readonly findStops = (
    comparison: RouteComparison,
    state: CanaryState,
  ): readonly CanaryStop[] => {
    const { clock, log } = this.options;
    const { route } = comparison;
    return comparison.evaluate(clock.nowUs()).flatMap(({ candidate, result, isNew }) => {
      if (isNew && result.decision === "pass")
        log.info("candidate passed", {
          candidate,
          route: route.name,
          version: route.version,
          reason: result.reason,
        });
      if (result.decision !== "stop" || findStop(state, route, candidate)) return [];
      return [comparison.stopFor(candidate, result)];
    });
  };

  private readonly logStop = ({ candidate, route, version, reason }: CanaryStop): void => {
    const { clock, log } = this.options;
    const sinceUs = this.comparisons.get(route)?.sinceUs ?? 0;
    const afterMs = Math.round((clock.nowUs() - sinceUs) / MILLISECOND_US);
    log.warn("candidate stopped", { candidate, route, version, afterMs, reason });
  };
}
