/** One split route: a sequential test for each candidate against the route's baseline. */
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

/** A test's result, and when it came to it. */
export interface TimedResult extends TestResult {
  /** Since the comparison began. */
  readonly afterUs: number;
}

/** Lives as long as the route's version is in force, or until the operator clears its stop. */
export class RouteComparison {
  private readonly tests: ReadonlyMap<string, SequentialTest>;
  private readonly results = new Map<string, TimedResult>();
  private ownFailures = 0;

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

  /** Every service but the baseline. */
  readonly candidates = (): readonly string[] => [...this.tests.keys()];

  /** Whether the route sends a share of its traffic to the service. */
  readonly includes = (service: string): boolean =>
    this.route.shares.some((share) => share.service === service);

  /** Adds what a report has risen by. */
  readonly add = (row: OutcomeRow, increase: OutcomeCounts, ownFailures: number): void => {
    this.ownFailures += ownFailures;
    if (row.service === this.baseline)
      this.tests.forEach((test) => test.addBaseline(row.stratum, increase));
    else this.tests.get(row.service)?.addCandidate(row.stratum, increase);
  };

  /**
   * Evaluates every test.
   *
   * @returns by candidate, the result and whether the decision is a new one
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

  /** The stop that a result means. */
  readonly stopFor = (candidate: string, result: TestResult): CanaryStop => ({
    route: this.route.name,
    version: this.route.version,
    candidate,
    baseline: this.baseline,
    reason: result.reason,
    evidence: evidenceOf(result, this.settings),
  });

  /** One candidate as the operator's query answers it; the names of the fields stay. */
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
        heldAgainstNobody: this.ownFailures,
      },
      evidence: stop?.evidence ?? (result ? evidenceOf(result, this.settings) : {}),
    };
  };
}

/** The figures behind a result; stored with a stop and answered to operators, so the names stay. */
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
