import type { Clock, Timer } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import {
  asList,
  asRecord,
  readList,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";
import { mainOf, type WeightedService } from "../common/weighted-split.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import {
  NO_OUTCOMES,
  SequentialTest,
  type OutcomeCounts,
  type SequentialTestSettings,
  type TestResult,
} from "./sequential-test.js";

/** A route that sends its traffic to more than one service, as the plan in force has it. */
export interface SplitRoute {
  readonly name: string;
  readonly version: number;
  readonly isSafe: boolean;
  readonly shares: readonly WeightedService[];
}

export interface CanaryStop {
  readonly route: string;
  readonly version: number;
  readonly candidate: string;
  readonly baseline: string;
  readonly reason: string;
  readonly evidence: UnknownRecord;
}

/**
 * What is published. Invariants: a baseline is settled once for a route's version; a stop holds for that version only,
 * and goes only by the operator's clearing or a newer version.
 */
export interface CanaryState {
  readonly baselines: readonly {
    readonly route: string;
    readonly version: number;
    readonly service: string;
  }[];
  readonly stops: readonly CanaryStop[];
}

export const NO_CANARIES: CanaryState = { baselines: [], stops: [] };

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

export interface CanaryAnalyzerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: SequentialTestSettings;
  readonly random: () => number;
  readonly isLeader: () => boolean;
  readonly term: () => number;
  readonly splitRoutes: () => readonly SplitRoute[];
  /** The service that the item's previous version sent the most to, where that is known here. */
  readonly previousPrimary: (route: string) => string | undefined;
  readonly state: () => CanaryState;
  readonly publish: (state: CanaryState) => Promise<boolean>;
}

interface Comparison {
  readonly route: SplitRoute;
  readonly baseline: string;
  readonly trials: Map<string, SequentialTest>;
  readonly sinceUs: number;
  readonly verdicts: Map<string, TestResult & { readonly afterUs: number }>;
  own: number;
}

interface ReportRow {
  readonly route: string;
  readonly version: number;
  readonly service: string;
  readonly stratum: string;
  readonly tally: OutcomeCounts;
  readonly own: number;
}

export type ClearError = "unknown-route" | "stale-version" | "not-stopped" | "not-published";

interface RouteVersion {
  readonly route: string;
  readonly version: number;
}

const isOf = (row: RouteVersion, route: SplitRoute): boolean =>
  row.route === route.name && row.version === route.version;

const stopOf = (state: CanaryState, route: SplitRoute, candidate: string): CanaryStop | undefined =>
  state.stops.find((stop) => isOf(stop, route) && stop.candidate === candidate);

const TICK_US = 500 * MILLISECOND_US;

const count = (value: unknown): number => {
  const number = asNumber(value);
  if (!Number.isSafeInteger(number) || number < 0) throw new Error("no count");
  return number;
};

const readRow = (value: unknown): ReportRow => {
  const [route, version, service, stratum, inTime, late, lost, doubled, own] = asList(value, "row");
  return {
    route: asString(route),
    version: count(version),
    service: asString(service),
    stratum: asString(stratum),
    tally: { inTime: count(inTime), late: count(late), lost: count(lost), doubled: count(doubled) },
    own: count(own),
  };
};

const increase = (now: OutcomeCounts, before: OutcomeCounts): OutcomeCounts | undefined => {
  const counts = {
    inTime: now.inTime - before.inTime,
    late: now.late - before.late,
    lost: now.lost - before.lost,
    doubled: now.doubled - before.doubled,
  };
  return Object.values(counts).every((number) => number >= 0) ? counts : undefined;
};

/** Compares candidates with their baselines over all nodes, and stops the bad ones; only the duty's holder acts. */
export class CanaryAnalyzer {
  private readonly comparisons = new Map<string, Comparison>();
  /** Invariant: by node, life and row, what was last counted; a report repeated or out of order raises nothing. */
  private readonly told = new Map<
    string,
    { life: string; readonly rows: Map<string, ReportRow> }
  >();
  private timer: Timer | undefined;
  private busy = false;
  private dropped = 0;

  constructor(private readonly options: CanaryAnalyzerOptions) {}

  readonly start = (): void => {
    this.timer = this.options.clock.every(TICK_US, () => void this.tick());
  };

  readonly stop = (): void => this.timer?.stop();

  /** Counts a report; what is malformed, or of an unknown route, service or version, is dropped and counted as such. */
  readonly receive = (report: Message): void => {
    try {
      const node = readString(report, "node");
      const incarnation = readString(report, "life");
      const rows = readList(report, "rows", readRow);
      const known = this.told.get(node);
      const reported =
        known?.life === incarnation
          ? known
          : { life: incarnation, rows: new Map<string, ReportRow>() };
      this.told.set(node, reported);
      rows.forEach((row) => this.takeRow(reported.rows, row));
    } catch {
      this.dropped += 1;
    }
  };

  readonly tick = async (): Promise<void> => {
    if (this.busy) return;
    this.busy = true;
    try {
      this.follow();
      if (this.options.isLeader()) await this.decide();
    } finally {
      this.busy = false;
    }
  };

  readonly list = (): readonly UnknownRecord[] =>
    [...this.comparisons.values()].flatMap((comparison) =>
      [...comparison.trials.keys()].map((service) => this.row(comparison, service)),
    );

  readonly explain = (): UnknownRecord => ({
    holder: this.options.isLeader(),
    term: this.options.term(),
    droppedReports: this.dropped,
    rollouts: this.list(),
  });

  /** The operator lifts a stop; the comparison begins anew with what comes from now on. */
  readonly clearStop = async (
    route: string,
    version: number | undefined,
  ): Promise<ClearError | undefined> => {
    const inForce = this.options.splitRoutes().find((split) => split.name === route);
    if (!inForce) return "unknown-route";
    if (version !== undefined && version !== inForce.version) return "stale-version";
    const state = this.options.state();
    const stops = state.stops.filter((stop) => !isOf(stop, inForce));
    if (stops.length === state.stops.length) return "not-stopped";
    if (!(await this.options.publish({ ...state, stops }))) return "not-published";
    this.comparisons.delete(route);
    this.options.log.info(
      `The operator cleared the stop of ${route} at version ${inForce.version}.`,
    );
    return undefined;
  };

  private readonly takeRow = (rows: Map<string, ReportRow>, row: ReportRow): void => {
    const comparison = this.comparisons.get(row.route);
    const isShare =
      comparison !== undefined &&
      comparison.route.version === row.version &&
      comparison.route.shares.some((share) => share.service === row.service);
    if (!isShare) {
      this.dropped += 1;
      return;
    }
    const key = `${row.route}\n${row.version}\n${row.service}\n${row.stratum}`;
    const before = rows.get(key);
    const risen = increase(row.tally, before?.tally ?? NO_OUTCOMES);
    if (!risen) return;
    rows.set(key, row);
    comparison.own += Math.max(0, row.own - (before?.own ?? 0));
    if (row.service === comparison.baseline)
      comparison.trials.forEach((test) => test.addBaseline(row.stratum, risen));
    else comparison.trials.get(row.service)?.addCandidate(row.stratum, risen);
  };

  /** The wanted state is one comparison for each split route in force; what is no longer in force is let go. */
  private readonly follow = (): void => {
    const { splitRoutes, clock, settings: terms, random } = this.options;
    const inForce = new Map(splitRoutes().map((route) => [route.name, route]));
    this.comparisons.forEach((comparison, name) => {
      if (inForce.get(name)?.version === comparison.route.version) return;
      this.comparisons.delete(name);
      this.told.forEach(({ rows }) =>
        rows.forEach((row, key) => row.route === name && rows.delete(key)),
      );
    });
    inForce.forEach((route, name) => {
      if (this.comparisons.has(name)) return;
      const baseline = this.baselineOf(route);
      const candidates = route.shares
        .map(({ service }) => service)
        .filter((service) => service !== baseline);
      const tests = new Map(
        candidates.map((service) => [service, new SequentialTest(route.isSafe, terms, random)]),
      );
      this.comparisons.set(name, {
        route,
        baseline,
        trials: tests,
        sinceUs: clock.nowUs(),
        verdicts: new Map(),
        own: 0,
      });
    });
  };

  private readonly baselineOf = (route: SplitRoute): string => {
    const { state, previousPrimary: previousMain } = this.options;
    const settled = state().baselines.find((row) => isOf(row, route));
    const known = settled?.service ?? previousMain(route.name);
    if (known !== undefined && route.shares.some(({ service }) => service === known)) return known;
    return mainOf(route.shares);
  };

  private readonly decide = async (): Promise<void> => {
    const { state, publish, log, clock, term } = this.options;
    const before = state();
    const inForce = (row: RouteVersion) =>
      this.comparisons.get(row.route)?.route.version === row.version;
    const fresh = [...this.comparisons.values()]
      .filter(({ route }) => !before.baselines.some((row) => isOf(row, route)))
      .map(({ route, baseline }) => ({
        route: route.name,
        version: route.version,
        service: baseline,
      }));
    const found = [...this.comparisons.values()].flatMap((comparison) =>
      this.judge(comparison, before),
    );
    const baselines = [...before.baselines.filter(inForce), ...fresh];
    const stops = [
      ...before.stops.filter(inForce),
      ...found.map((stop) => ({ ...stop, evidence: { ...stop.evidence, term: term() } })),
    ];
    const isSame =
      fresh.length + found.length === 0 &&
      baselines.length === before.baselines.length &&
      stops.length === before.stops.length;
    if (isSame || !(await publish({ baselines, stops }))) return;
    found.forEach((stop) =>
      log.warn(
        `Stopped ${stop.candidate} on ${stop.route} at version ${stop.version} after ${Math.round((clock.nowUs() - (this.comparisons.get(stop.route)?.sinceUs ?? 0)) / 1_000)} ms: ${stop.reason}`,
      ),
    );
  };

  private readonly judge = (comparison: Comparison, state: CanaryState): readonly CanaryStop[] => {
    const { clock, log, settings: terms } = this.options;
    const { route, baseline, trials: tests, verdicts: results, sinceUs } = comparison;
    return [...tests].flatMap(([candidate, test]) => {
      const result = test.evaluate();
      const before = results.get(candidate);
      if (before?.decision !== result.decision && result.decision === "pass")
        log.info(
          `${candidate} passed on ${route.name} at version ${route.version}: ${result.reason}`,
        );
      results.set(candidate, {
        ...result,
        afterUs: before?.decision === result.decision ? before.afterUs : clock.nowUs() - sinceUs,
      });
      if (result.decision !== "stop" || stopOf(state, route, candidate)) return [];
      return [
        {
          route: route.name,
          version: route.version,
          candidate,
          baseline,
          reason: result.reason,
          evidence: evidenceOf(result, terms),
        },
      ];
    });
  };

  private readonly row = (comparison: Comparison, candidate: string): UnknownRecord => {
    const { route, baseline, verdicts: results, trials: tests, own } = comparison;
    const stop = stopOf(this.options.state(), route, candidate);
    const result = results.get(candidate);
    const [candidateTally, baselineTally] = tests.get(candidate)?.totals() ?? [
      NO_OUTCOMES,
      NO_OUTCOMES,
    ];
    return {
      route: route.name,
      version: route.version,
      candidate,
      baseline,
      verdict: stop ? "stop" : (result?.decision ?? "observing"),
      reason: stop?.reason ?? result?.reason ?? "Not enough has been seen yet.",
      afterMs:
        result && result.decision !== "observing"
          ? Math.round(result.afterUs / MILLISECOND_US)
          : undefined,
      seen: { candidate: candidateTally, baseline: baselineTally, heldAgainstNobody: own },
      evidence: stop?.evidence ?? (result ? evidenceOf(result, this.options.settings) : {}),
    };
  };
}

const evidenceOf = (result: TestResult, terms: SequentialTestSettings): UnknownRecord => ({
  candidate: result.candidate,
  baseline: result.baseline,
  difference: result.difference,
  against: result.inferiorityEvidence,
  doubled: result.duplicationEvidence,
  sound: result.nonInferiorityEvidence,
  bounds: {
    against: 1 / terms.maxFalseStopProbability,
    doubled: 1 / terms.maxFalseDuplicationStopProbability,
    sound: 1 / terms.maxFalsePassProbability,
  },
});
