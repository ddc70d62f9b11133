/**
 * Sequential tests that stay valid however often one looks: each is a product of bets whose mean is
 * at most 1 while its null holds, so by Ville's inequality it ever reaches 1/a with probability a
 * at most.
 */

/** What became of one request. The order is the order of weight. */
export const OUTCOME_KINDS = ["inTime", "late", "lost", "doubled"] as const;
/** One of the outcomes a request can have. */
export type OutcomeKind = (typeof OUTCOME_KINDS)[number];

/** How many requests had each outcome. */
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
 * The loss of a request by its outcome; one in time has none. A lost request is weighed by whether
 * its route is safe.
 */
export interface LossWeights {
  readonly late: number;
  readonly lostSafe: number;
  readonly lostUnsafe: number;
  readonly doubled: number;
}

/** Error probabilities, margins and limits of the tests. Rates and losses are per request. */
export interface SequentialTestSettings {
  readonly weights: LossWeights;
  /**
   * The chance at most that a candidate no worse than the baseline is ever stopped by the test of
   * all losses.
   */
  readonly maxFalseStopProbability: number;
  /** The same for the stricter test of possibly doubled requests alone. */
  readonly maxFalseDuplicationStopProbability: number;
  /** The chance at most that a candidate worse by the tolerance or more ever passes. */
  readonly maxFalsePassProbability: number;
  /**
   * How many times the baseline's rate of a loss a candidate may have and still count as no worse.
   */
  readonly maxRateRatio: number;
  /**
   * The difference in weighted loss for each request below which nobody is stopped, but for doubled
   * ones.
   */
  readonly minStopDifference: number;
  /**
   * The difference in weighted loss for each request that a pass rules out, as a part of the
   * heaviest loss.
   */
  readonly nonInferiorityMargin: number;
  /** The difference in the rate of possibly doubled requests that a pass rules out besides. */
  readonly duplicationMargin: number;
  readonly maxRequests: number;
}

/** The settings of the tests; a deployment may replace the weights. */
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

/** The average of products given by their logarithms. */
const averageOf = (logs: readonly number[]): number =>
  logs.reduce((sum, log) => sum + Math.exp(Math.min(log, 500)), 0) / logs.length;

const WORSE_BY = [2, 5, 15];

/**
 * Whose are the events? While the candidate's rate of an event is at most `leeway` times the
 * baseline's, an event is the candidate's with a chance of at most its part of the concurrent
 * requests. The bets say that it is 2, 5 or 15 times that, and are averaged, since an average of
 * such products is one too.
 */
export class InferiorityTest {
  /** Invariant: one logarithm of a product for each of WORSE_BY. */
  private readonly logs = WORSE_BY.map(() => 0);

  constructor(private readonly leeway: number) {}

  /**
   * Events of one kind among concurrent requests; a weight below 1 makes the bet that much smaller.
   */
  readonly take = (
    candidateEvents: number,
    baselineEvents: number,
    candidateSize: number,
    baselineSize: number,
    weight: number,
  ): void => {
    if (candidateSize === 0 || baselineSize === 0) return;
    const part = (this.leeway * candidateSize) / (this.leeway * candidateSize + baselineSize);
    WORSE_BY.forEach((times, at) => {
      const bet = (times * part) / (times * part + 1 - part);
      const onCandidate = Math.log(1 + weight * (bet / part - 1));
      const onBaseline = Math.log(1 + weight * ((1 - bet) / (1 - part) - 1));
      this.logs[at] =
        (this.logs[at] ?? 0) + candidateEvents * onCandidate + baselineEvents * onBaseline;
    });
  };

  readonly evidence = (): number => averageOf(this.logs);
}

const PARTS = [0.25, 0.5, 0.9];

/**
 * Is the candidate worse by the tolerance or more? Each candidate's loss, of 0 to 1, is set against
 * the mean loss of concurrent baseline requests; while it is that much worse, the bets on the
 * opposite have a mean of at most 1.
 */
export class NonInferiorityTest {
  private readonly logs = PARTS.map(() => 0);

  constructor(private readonly tolerance: number) {}

  readonly take = (candidateLoss: number, baselineLoss: number): void => {
    const gain = this.tolerance + baselineLoss - candidateLoss;
    PARTS.forEach((part, at) => {
      this.logs[at] = (this.logs[at] ?? 0) + Math.log(Math.max(1e-9, 1 + part * gain));
    });
  };

  readonly evidence = (): number => averageOf(this.logs);
}

/** What the tests say so far: go on observing, stop the candidate, pass it, or end undecided. */
export type TestDecision = "observing" | "stop" | "pass" | "inconclusive";

/**
 * The decision of the tests with the figures that it rests on. Evidence of 1/a or more rejects its
 * null at level a.
 */
export interface TestResult {
  readonly decision: TestDecision;
  readonly reason: string;
  readonly candidate: OutcomeCounts;
  readonly baseline: OutcomeCounts;
  /** Weighted loss for each request: the candidate's less the baseline's. */
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

/** Hands over what both sides have something of, and keeps the rest until they do. */
const takeBothSided = (
  map: Map<string, Pending>,
  take: (candidate: OutcomeCounts, baseline: OutcomeCounts) => void,
): void =>
  map.forEach(({ candidate, baseline }, key) => {
    if (countRequests(candidate) === 0 || countRequests(baseline) === 0) return;
    map.delete(key);
    take(candidate, baseline);
  });

const sum = (tallies: readonly OutcomeCounts[]): OutcomeCounts =>
  tallies.reduce(addCounts, NO_OUTCOMES);

/** A stratum's name begins with the cell of the node that saw it. */
const zoneOf = (stratum: string): string => stratum.split("|")[0] ?? "";

/**
 * One candidate against the baseline. Being late is compared within the full stratum (cell, near or
 * far, warm or cold), so that a far or cold candidate is not condemned for it; all else within the
 * cell of the node that saw it. Invariant: a stop is final; a pass or an inconclusive trial goes on
 * and can only become a stop.
 */
export class SequentialTest {
  private readonly byStratum = new Map<string, Pending>();
  private readonly byCell = new Map<string, Pending>();
  private readonly against: InferiorityTest;
  private readonly doubled: InferiorityTest;
  private readonly sound: NonInferiorityTest;
  private readonly soundDoubled: NonInferiorityTest;
  private candidate = NO_OUTCOMES;
  private baseline = NO_OUTCOMES;
  private final: { readonly verdict: TestDecision; readonly reason: string } | undefined;

  constructor(
    private readonly isSafe: boolean,
    private readonly terms: SequentialTestSettings,
    private readonly random: () => number,
  ) {
    this.against = new InferiorityTest(terms.maxRateRatio);
    this.doubled = new InferiorityTest(1);
    this.sound = new NonInferiorityTest(terms.nonInferiorityMargin);
    this.soundDoubled = new NonInferiorityTest(terms.duplicationMargin);
  }

  readonly addCandidate = (stratum: string, increase: OutcomeCounts): void => {
    this.at(stratum).forEach((pending) => {
      pending.candidate = addCounts(pending.candidate, increase);
    });
  };

  readonly addBaseline = (stratum: string, increase: OutcomeCounts): void => {
    this.at(stratum).forEach((pending) => {
      pending.baseline = addCounts(pending.baseline, increase);
    });
  };

  /**
   * Weighs what came since the last look, wherever a stratum has requests of both sides, and gives
   * the verdict.
   */
  readonly evaluate = (): TestResult => {
    if (this.final?.verdict !== "stop") {
      takeBothSided(this.byStratum, this.weighLate);
      takeBothSided(this.byCell, this.weigh);
      this.final = this.decide() ?? this.final;
    }
    const { verdict: result, reason } = this.final ?? {
      verdict: "observing" as const,
      reason: "Not enough has been seen yet.",
    };
    return {
      decision: result,
      reason,
      candidate: this.candidate,
      baseline: this.baseline,
      difference: this.difference(),
      inferiorityEvidence: this.against.evidence(),
      duplicationEvidence: this.doubled.evidence(),
      nonInferiorityEvidence: this.soundness(),
    };
  };

  private readonly at = (stratum: string): readonly Pending[] => [
    pendingAt(this.byStratum, stratum),
    pendingAt(this.byCell, zoneOf(stratum)),
  ];

  private readonly weightOf = (kind: OutcomeKind): number => {
    const { late, lostSafe, lostUnsafe, doubled } = this.terms.weights;
    const byKind = {
      inTime: 0,
      late,
      lost: this.isSafe ? lostSafe : lostUnsafe,
      doubled: this.isSafe ? lostSafe : doubled,
    };
    return byKind[kind];
  };

  private readonly heaviest = (): number => Math.max(...OUTCOME_KINDS.map(this.weightOf));

  private readonly lossOf = (counts: OutcomeCounts): number => {
    const size = countRequests(counts);
    return size === 0
      ? 0
      : OUTCOME_KINDS.reduce((loss, kind) => loss + counts[kind] * this.weightOf(kind), 0) / size;
  };

  /** A pass of an unsafe route needs both, and so the weaker of the two counts. */
  private readonly soundness = (): number =>
    this.isSafe
      ? this.sound.evidence()
      : Math.min(this.sound.evidence(), this.soundDoubled.evidence());

  private readonly difference = (): number =>
    this.lossOf(this.candidate) - this.lossOf(this.baseline);

  private readonly weighLate = (candidate: OutcomeCounts, baseline: OutcomeCounts): void =>
    this.against.take(
      candidate.late,
      baseline.late,
      countRequests(candidate),
      countRequests(baseline),
      Math.min(1, this.weightOf("late")),
    );

  private readonly weigh = (candidate: OutcomeCounts, baseline: OutcomeCounts): void => {
    const sizes = [countRequests(candidate), countRequests(baseline)] as const;
    (["lost", "doubled"] as const).forEach((kind) => {
      this.against.take(
        candidate[kind],
        baseline[kind],
        ...sizes,
        Math.min(1, this.weightOf(kind)),
      );
    });
    if (!this.isSafe) this.doubled.take(candidate.doubled, baseline.doubled, ...sizes, 1);
    const heaviest = this.heaviest();
    const baselineLoss = this.lossOf(baseline) / heaviest;
    const baselineDoubled = baseline.doubled / countRequests(baseline);
    this.shuffled(candidate).forEach((kind) => {
      this.sound.take(this.weightOf(kind) / heaviest, baselineLoss);
      this.soundDoubled.take(kind === "doubled" ? 1 : 0, baselineDoubled);
    });
    this.candidate = addCounts(this.candidate, candidate);
    this.baseline = addCounts(this.baseline, baseline);
  };

  /**
   * The outcomes one by one in random order, which under any null is as good as the order they came
   * in.
   */
  private readonly shuffled = (counts: OutcomeCounts): readonly OutcomeKind[] => {
    const kinds = OUTCOME_KINDS.flatMap((kind) => new Array<OutcomeKind>(counts[kind]).fill(kind));
    for (let at = kinds.length - 1; at > 0; at -= 1) {
      const other = Math.floor(this.random() * (at + 1));
      const [one, two] = [kinds[at], kinds[other]];
      if (one !== undefined && two !== undefined) [kinds[at], kinds[other]] = [two, one];
    }
    return kinds;
  };

  private readonly decide = ():
    { readonly verdict: TestDecision; readonly reason: string } | undefined => {
    const {
      maxFalseStopProbability: falseStop,
      maxFalseDuplicationStopProbability: falseStopDoubled,
      maxFalsePassProbability: falsePass,
      minStopDifference: leastDifference,
      maxRequests: horizonRequests,
    } = this.terms;
    const size = countRequests(this.candidate);
    const difference = this.difference();
    if (this.doubled.evidence() >= 1 / falseStopDoubled) {
      const reason = `${this.candidate.doubled} of the candidate's ${size} requests may be placed twice, against ${this.baseline.doubled} of ${countRequests(this.baseline)} of the baseline's.`;
      return { verdict: "stop", reason };
    }
    if (this.against.evidence() >= 1 / falseStop && difference >= leastDifference) {
      return {
        verdict: "stop",
        reason: `The candidate loses ${difference.toFixed(3)} more for each request than the baseline, over ${size} requests.`,
      };
    }
    if (this.final) return undefined;
    if (this.soundness() >= 1 / falsePass) {
      return {
        verdict: "pass",
        reason: `Over ${size} requests the candidate is no worse than the baseline by the tolerance.`,
      };
    }
    if (size >= horizonRequests)
      return { verdict: "inconclusive", reason: `${size} requests did not settle it.` };
    return undefined;
  };

  readonly totals = (): readonly [OutcomeCounts, OutcomeCounts] => {
    const waiting = [...this.byCell.values()];
    return [
      addCounts(this.candidate, sum(waiting.map((one) => one.candidate))),
      addCounts(this.baseline, sum(waiting.map((one) => one.baseline))),
    ];
  };
}
