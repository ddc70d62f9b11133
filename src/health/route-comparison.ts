/** Compares each candidate of one split route with the route's baseline by a sequential test. */
import type { UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import { findStop, type CanaryState, type CanaryStop, type SplitRoute } from "./canary-state.js";
import type { OutcomeRow } from "./outcome-report.js";
import {
  NO_OUTCOMES,
  SequentialTest,
  type OutcomeCounts,
  type SequentialTestSettings,
  type TestResult,
} from "./sequential-test.js";

/** A test result with the time at which its decision was reached. */
export interface TimedResult extends TestResult {
  /** Time from the start of the comparison to the decision. */
  readonly afterUs: number;
}

/** Exists while the route version is in force, or until an operator clears its stop. */
export class RouteComparison {
  private readonly tests: ReadonlyMap<string, SequentialTest>;
  private readonly results = new Map<string, TimedResult>();
  private unattributedFailures = 0;

  constructor(
    readonly route: SplitRoute,
    readonly baseline: string,
    readonly sinceUs: number,
    private readonly settings: SequentialTestSettings,
    random: () => number,
  ) {
    const candidates = route.shares
      .map(({ service }) => service)
      .filter((service) => service !== baseline);
    this.tests = new Map(
      candidates.map((service) => [service, new SequentialTest(route.isSafe, settings, random)]),
    );
  }

  /** All services of the route except the baseline. */
  readonly candidates = (): readonly string[] => [...this.tests.keys()];

  /** Whether the route sends traffic to the service. */
  readonly includes = (service: string): boolean =>
    this.route.shares.some((share) => share.service === service);

  /** Adds the increase of a report over the previous one. */
  readonly add = (row: OutcomeRow, increase: OutcomeCounts, unattributedFailures: number): void => {
    this.unattributedFailures += unattributedFailures;
    if (row.service === this.baseline)
      this.tests.forEach((test) => test.addBaseline(row.stratum, increase));
    else this.tests.get(row.service)?.addCandidate(row.stratum, increase);
  };

  /**
   * Evaluates every test.
   *
   * @returns for each candidate, the result and whether its decision has changed
   */
  readonly evaluate = (
    nowUs: number,
  ): readonly { candidate: string; result: TimedResult; isNew: boolean }[] =>
    [...this.tests].map(([candidate, test]) => {
      const evaluated = test.evaluate();
      const before = this.results.get(candidate);
      const isNew = before?.decision !== evaluated.decision;
      const afterUs = before && !isNew ? before.afterUs : nowUs - this.sinceUs;
      const result = { ...evaluated, afterUs };
      this.results.set(candidate, result);
      return { candidate, result, isNew };
    });

  /** The stop record for a candidate's result. */
  readonly stopFor = (candidate: string, result: TestResult): CanaryStop => ({
    route: this.route.name,
    version: this.route.version,
    candidate,
    baseline: this.baseline,
    reason: result.reason,
    evidence: evidenceOf(result, this.settings),
  });

  /** A candidate in the form returned to operators. Field names are part of the API. */
  // eslint-disable-next-line complexity -- one flat record, whose optional fields count as branches
  readonly explain = (candidate: string, state: CanaryState): UnknownRecord => {
    const { route, baseline } = this;
    const stop = findStop(state, route, candidate);
    const result = this.results.get(candidate);
    const [candidateCounts, baselineCounts] = this.tests.get(candidate)?.totals() ?? [
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
      seen: {
        candidate: candidateCounts,
        baseline: baselineCounts,
        heldAgainstNobody: this.unattributedFailures,
      },
      evidence: stop?.evidence ?? (result ? evidenceOf(result, this.settings) : {}),
    };
  };
}

/** Evidence of a result. Stored with a stop and returned to operators: field names are fixed. */
const evidenceOf = (result: TestResult, settings: SequentialTestSettings): UnknownRecord => ({
  candidate: result.candidate,
  baseline: result.baseline,
  difference: result.difference,
  against: result.inferiorityEvidence,
  doubled: result.duplicationEvidence,
  sound: result.nonInferiorityEvidence,
  bounds: {
    against: 1 / settings.maxFalseStopProbability,
    doubled: 1 / settings.maxFalseDuplicationStopProbability,
    sound: 1 / settings.maxFalsePassProbability,
  },
});
