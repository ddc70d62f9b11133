/**
 * Sequential tests that remain valid under continuous monitoring. Each test maintains an e-value, a
 * product of bets whose expectation is at most 1 under the null hypothesis. By Ville's inequality the
 * e-value ever reaches 1/a with probability at most a.
 */

/** Outcomes of a request, in order of increasing severity. */
export const OUTCOME_KINDS = ["inTime", "late", "lost", "doubled"] as const;
/** One of `OUTCOME_KINDS`. */
export type OutcomeKind = (typeof OUTCOME_KINDS)[number];

/** Number of requests by outcome. */
export interface OutcomeCounts {
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  readonly doubled: number;
}

/** The counts before the first request. */
export const NO_OUTCOMES: OutcomeCounts = { inTime: 0, late: 0, lost: 0, doubled: 0 };

/** The number of requests, over all outcomes. */
export const countRequests = (counts: OutcomeCounts): number =>
  counts.inTime + counts.late + counts.lost + counts.doubled;

/** The sum of two counts, outcome by outcome. */
export const addCounts = (one: OutcomeCounts, other: OutcomeCounts): OutcomeCounts => ({
  inTime: one.inTime + other.inTime,
  late: one.late + other.late,
  lost: one.lost + other.lost,
  doubled: one.doubled + other.doubled,
});

/**
 * Loss of a request by its outcome; a request in time has none. The weight of a lost request depends
 * on whether its route is safe.
 */
export interface LossWeights {
  readonly late: number;
  readonly lostSafe: number;
  readonly lostUnsafe: number;
  readonly doubled: number;
}

/** Weights, error probabilities, margins and limits. Rates and losses are per request. */
export interface SequentialTestSettings {
  readonly weights: LossWeights;
  /**
   * Maximum probability that a candidate no worse than the baseline is ever stopped by the test of
   * all losses.
   */
  readonly maxFalseStopProbability: number;
  /** The same for the stricter test of possibly duplicated requests alone. */
  readonly maxFalseDuplicationStopProbability: number;
  /** Maximum probability that a candidate worse by the margin or more ever passes. */
  readonly maxFalsePassProbability: number;
  /** A candidate with at most this multiple of the baseline's rate of a loss counts as no worse. */
  readonly maxRateRatio: number;
  /**
   * Minimum difference in weighted loss per request for a stop. Does not apply to stops for possibly
   * duplicated requests.
   */
  readonly minStopDifference: number;
  /**
   * Difference in weighted loss per request that a pass rules out, as a fraction of the largest
   * weight.
   */
  readonly nonInferiorityMargin: number;
  /**
   * Difference in the rate of possibly duplicated requests that a pass of an unsafe route also rules
   * out.
   */
  readonly duplicationMargin: number;
  /** Candidate requests after which an undecided test is inconclusive. */
  readonly maxRequests: number;
}

/** Default settings; a deployment may override the weights. */
export const SEQUENTIAL_TEST_SETTINGS: SequentialTestSettings = {
  weights: { late: 0.3, lostSafe: 1, lostUnsafe: 2, doubled: 5 },
  maxFalseStopProbability: 0.01,
  maxFalseDuplicationStopProbability: 0.01,
  maxFalsePassProbability: 0.05,
  maxRateRatio: 1.25,
  minStopDifference: 0.02,
  nonInferiorityMargin: 0.05,
  duplicationMargin: 0.02,
  maxRequests: 20_000,
};

/** The mean of e-values given by their logarithms. */
const meanOfExponentials = (logs: readonly number[]): number =>
  logs.reduce((sum, log) => sum + Math.exp(Math.min(log, 500)), 0) / logs.length;

/** Alternative hypotheses: rates at these multiples of the highest rate under the null. */
const RATE_RATIOS = [2, 5, 15];

/**
 * Tests whether the candidate has a higher rate of an event than the baseline. Under the null, the
 * candidate's rate is at most `maxRateRatio` times the baseline's, so an event belongs to the
 * candidate with a probability of at most its share of the concurrent requests, weighted by that
 * ratio. Each bet assumes odds that are 2, 5 or 15 times as high. The e-values are averaged, since a
 * mean of e-values is an e-value.
 */
export class InferiorityTest {
  /** Invariant: one logarithm of an e-value for each of `RATE_RATIOS`. */
  private readonly logEValues = RATE_RATIOS.map(() => 0);

  constructor(private readonly maxRateRatio: number) {}

  /** Adds events of one kind among concurrent requests; a weight below 1 scales the bet down. */
  readonly update = (
    candidateEvents: number,
    baselineEvents: number,
    candidateSize: number,
    baselineSize: number,
    weight: number,
  ): void => {
    if (candidateSize === 0 || baselineSize === 0) return;
    const nullShare =
      (this.maxRateRatio * candidateSize) / (this.maxRateRatio * candidateSize + baselineSize);
    RATE_RATIOS.forEach((rateRatio, index) => {
      const alternativeShare = (rateRatio * nullShare) / (rateRatio * nullShare + 1 - nullShare);
      const candidateLogFactor = Math.log(1 + weight * (alternativeShare / nullShare - 1));
      const baselineLogFactor = Math.log(
        1 + weight * ((1 - alternativeShare) / (1 - nullShare) - 1),
      );
      this.logEValues[index] =
        (this.logEValues[index] ?? 0) +
        candidateEvents * candidateLogFactor +
        baselineEvents * baselineLogFactor;
    });
  };

  readonly evidence = (): number => meanOfExponentials(this.logEValues);
}

/** Sizes of the bets, as fractions of the current e-value. */
const BET_FRACTIONS = [0.25, 0.5, 0.9];

/**
 * Tests whether the candidate is not worse than the baseline by the tolerance. Each loss of the
 * candidate, 0 to 1, is compared with the mean loss of concurrent baseline requests. Under the null,
 * the candidate is worse by the tolerance or more, and bets on the opposite have an expectation of at
 * most 1.
 */
export class NonInferiorityTest {
  private readonly logEValues = BET_FRACTIONS.map(() => 0);

  constructor(private readonly tolerance: number) {}

  readonly update = (candidateLoss: number, baselineLoss: number): void => {
    const gain = this.tolerance + baselineLoss - candidateLoss;
    BET_FRACTIONS.forEach((fraction, index) => {
      this.logEValues[index] =
        (this.logEValues[index] ?? 0) + Math.log(Math.max(1e-9, 1 + fraction * gain));
    });
  };

  readonly evidence = (): number => meanOfExponentials(this.logEValues);
}

/** Continue observing, stop the candidate, pass it, or end without a decision. */
export type TestDecision = "observing" | "stop" | "pass" | "inconclusive";

/**
 * A decision with the figures that it is based on. Evidence is an e-value: 1/a or more rejects the
 * null at level a.
 */
export interface TestResult {
  readonly decision: TestDecision;
  readonly reason: string;
  readonly candidate: OutcomeCounts;
  readonly baseline: OutcomeCounts;
  /** Weighted loss per request of the candidate minus that of the baseline. */
  readonly difference: number;
  readonly inferiorityEvidence: number;
  readonly duplicationEvidence: number;
  readonly nonInferiorityEvidence: number;
}

interface Pending {
  candidate: OutcomeCounts;
  baseline: OutcomeCounts;
}

const pendingAt = (map: Map<string, Pending>, key: string): Pending => {
  const pending = map.get(key) ?? { candidate: NO_OUTCOMES, baseline: NO_OUTCOMES };
  map.set(key, pending);
  return pending;
};

/** Removes and consumes the entries with requests on both sides; the others remain pending. */
const drainPaired = (
  map: Map<string, Pending>,
  consume: (candidate: OutcomeCounts, baseline: OutcomeCounts) => void,
): void =>
  map.forEach(({ candidate, baseline }, key) => {
    if (countRequests(candidate) === 0 || countRequests(baseline) === 0) return;
    map.delete(key);
    consume(candidate, baseline);
  });

const sumCounts = (counts: readonly OutcomeCounts[]): OutcomeCounts =>
  counts.reduce(addCounts, NO_OUTCOMES);

/** A stratum's name begins with the zone of the node that observed it. */
const zoneOf = (stratum: string): string => stratum.split("|")[0] ?? "";

/**
 * Compares one candidate with the baseline. Late requests are compared within the full stratum (zone,
 * near or far, warm or cold), so that a distant or cold candidate is not penalized for latency; all
 * other outcomes are compared within the zone of the node that observed them. Invariant: a stop is
 * final; after a pass or an inconclusive result the test continues and can only change to a stop.
 */
export class SequentialTest {
  private readonly byStratum = new Map<string, Pending>();
  private readonly byZone = new Map<string, Pending>();
  private readonly inferiorityTest: InferiorityTest;
  private readonly duplicationTest: InferiorityTest;
  private readonly nonInferiorityTest: NonInferiorityTest;
  private readonly duplicationNonInferiorityTest: NonInferiorityTest;
  private candidate = NO_OUTCOMES;
  private baseline = NO_OUTCOMES;
  private conclusion: { readonly decision: TestDecision; readonly reason: string } | undefined;

  constructor(
    private readonly isSafe: boolean,
    private readonly settings: SequentialTestSettings,
    private readonly random: () => number,
  ) {
    this.inferiorityTest = new InferiorityTest(settings.maxRateRatio);
    this.duplicationTest = new InferiorityTest(1);
    this.nonInferiorityTest = new NonInferiorityTest(settings.nonInferiorityMargin);
    this.duplicationNonInferiorityTest = new NonInferiorityTest(settings.duplicationMargin);
  }

  readonly addCandidate = (stratum: string, increase: OutcomeCounts): void => {
    this.pendingFor(stratum).forEach((pending) => {
      pending.candidate = addCounts(pending.candidate, increase);
    });
  };

  readonly addBaseline = (stratum: string, increase: OutcomeCounts): void => {
    this.pendingFor(stratum).forEach((pending) => {
      pending.baseline = addCounts(pending.baseline, increase);
    });
  };

  /**
   * Evaluates the pending counts wherever both sides have requests, and returns the resulting
   * decision.
   */
  readonly evaluate = (): TestResult => {
    if (this.conclusion?.decision !== "stop") {
      drainPaired(this.byStratum, this.testLateness);
      drainPaired(this.byZone, this.testZone);
      this.conclusion = this.decide() ?? this.conclusion;
    }
    const { decision, reason } = this.conclusion ?? {
      decision: "observing" as const,
      reason: "Not enough has been seen yet.",
    };
    return {
      decision,
      reason,
      candidate: this.candidate,
      baseline: this.baseline,
      difference: this.difference(),
      inferiorityEvidence: this.inferiorityTest.evidence(),
      duplicationEvidence: this.duplicationTest.evidence(),
      nonInferiorityEvidence: this.passEvidence(),
    };
  };

  private readonly pendingFor = (stratum: string): readonly Pending[] => [
    pendingAt(this.byStratum, stratum),
    pendingAt(this.byZone, zoneOf(stratum)),
  ];

  private readonly weightOf = (kind: OutcomeKind): number => {
    const { late, lostSafe, lostUnsafe, doubled } = this.settings.weights;
    const byKind = {
      inTime: 0,
      late,
      lost: this.isSafe ? lostSafe : lostUnsafe,
      doubled: this.isSafe ? lostSafe : doubled,
    };
    return byKind[kind];
  };

  private readonly maxWeight = (): number => Math.max(...OUTCOME_KINDS.map(this.weightOf));

  private readonly lossOf = (counts: OutcomeCounts): number => {
    const size = countRequests(counts);
    return size === 0
      ? 0
      : OUTCOME_KINDS.reduce((loss, kind) => loss + counts[kind] * this.weightOf(kind), 0) / size;
  };

  /** On an unsafe route both tests must pass, so the weaker evidence counts. */
  private readonly passEvidence = (): number =>
    this.isSafe
      ? this.nonInferiorityTest.evidence()
      : Math.min(this.nonInferiorityTest.evidence(), this.duplicationNonInferiorityTest.evidence());

  private readonly difference = (): number =>
    this.lossOf(this.candidate) - this.lossOf(this.baseline);

  private readonly testLateness = (candidate: OutcomeCounts, baseline: OutcomeCounts): void =>
    this.inferiorityTest.update(
      candidate.late,
      baseline.late,
      countRequests(candidate),
      countRequests(baseline),
      Math.min(1, this.weightOf("late")),
    );

  private readonly testZone = (candidate: OutcomeCounts, baseline: OutcomeCounts): void => {
    const sizes = [countRequests(candidate), countRequests(baseline)] as const;
    (["lost", "doubled"] as const).forEach((kind) => {
      this.inferiorityTest.update(
        candidate[kind],
        baseline[kind],
        ...sizes,
        Math.min(1, this.weightOf(kind)),
      );
    });
    if (!this.isSafe) this.duplicationTest.update(candidate.doubled, baseline.doubled, ...sizes, 1);
    const maxWeight = this.maxWeight();
    const baselineLoss = this.lossOf(baseline) / maxWeight;
    const baselineDoubled = baseline.doubled / countRequests(baseline);
    this.shuffled(candidate).forEach((kind) => {
      this.nonInferiorityTest.update(this.weightOf(kind) / maxWeight, baselineLoss);
      this.duplicationNonInferiorityTest.update(kind === "doubled" ? 1 : 0, baselineDoubled);
    });
    this.candidate = addCounts(this.candidate, candidate);
    this.baseline = addCounts(this.baseline, baseline);
  };

  /**
   * The individual outcomes in random order, which under any null is as valid as their order of
   * arrival.
   */
  private readonly shuffled = (counts: OutcomeCounts): readonly OutcomeKind[] => {
    const kinds = OUTCOME_KINDS.flatMap((kind) => new Array<OutcomeKind>(counts[kind]).fill(kind));
    for (let index = kinds.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.random() * (index + 1));
      const [one, two] = [kinds[index], kinds[other]];
      if (one !== undefined && two !== undefined) [kinds[index], kinds[other]] = [two, one];
    }
    return kinds;
  };

  private readonly decide = ():
    { readonly decision: TestDecision; readonly reason: string } | undefined => {
    const {
      maxFalseStopProbability: falseStop,
      maxFalseDuplicationStopProbability: falseStopDoubled,
      maxFalsePassProbability: falsePass,
      minStopDifference,
      maxRequests,
    } = this.settings;
    const size = countRequests(this.candidate);
    const difference = this.difference();
    if (this.duplicationTest.evidence() >= 1 / falseStopDoubled) {
      const reason = `${this.candidate.doubled} of the candidate's ${size} requests may be placed twice, against ${this.baseline.doubled} of ${countRequests(this.baseline)} of the baseline's.`;
      return { decision: "stop", reason };
    }
    if (this.inferiorityTest.evidence() >= 1 / falseStop && difference >= minStopDifference) {
      return {
        decision: "stop",
        reason: `The candidate loses ${difference.toFixed(3)} more for each request than the baseline, over ${size} requests.`,
      };
    }
    if (this.conclusion) return undefined;
    if (this.passEvidence() >= 1 / falsePass) {
      return {
        decision: "pass",
        reason: `Over ${size} requests the candidate is no worse than the baseline by the tolerance.`,
      };
    }
    if (size >= maxRequests)
      return { decision: "inconclusive", reason: `${size} requests did not settle it.` };
    return undefined;
  };

  readonly totals = (): readonly [OutcomeCounts, OutcomeCounts] => {
    const pending = [...this.byZone.values()];
    return [
      addCounts(this.candidate, sumCounts(pending.map((one) => one.candidate))),
      addCounts(this.baseline, sumCounts(pending.map((one) => one.baseline))),
    ];
  };
}
