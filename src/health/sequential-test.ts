/**
 * Sequential tests that stay valid however often one looks: each is a product of bets whose mean is at most 1 while
 * its null holds, so by Ville's inequality it ever reaches 1/a with probability a at most.
 */

/** What became of one request. The order is the order of weight. */
export const OUTCOME_KINDS = ["inTime", "late", "lost", "doubled"] as const;
export type OutcomeKind = (typeof OUTCOME_KINDS)[number];

export interface Tally {
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  readonly doubled: number;
}

export const NO_TALLY: Tally = { inTime: 0, late: 0, lost: 0, doubled: 0 };

export const sizeOf = (tally: Tally): number =>
  tally.inTime + tally.late + tally.lost + tally.doubled;

export const add = (one: Tally, other: Tally): Tally => ({
  inTime: one.inTime + other.inTime,
  late: one.late + other.late,
  lost: one.lost + other.lost,
  doubled: one.doubled + other.doubled,
});

export interface Weights {
  readonly late: number;
  readonly lostSafe: number;
  readonly lostUnsafe: number;
  readonly doubled: number;
}

export interface SequentialTestTerms {
  readonly weights: Weights;
  /** The chance at most that a candidate no worse than the baseline is ever stopped by the test of all losses. */
  readonly falseStop: number;
  /** The same for the stricter test of possibly doubled requests alone. */
  readonly falseStopDoubled: number;
  /** The chance at most that a candidate worse by the tolerance or more ever passes. */
  readonly falsePass: number;
  /** How many times the baseline's rate of a loss a candidate may have and still count as no worse. */
  readonly leeway: number;
  /** The difference in weighted loss for each request below which nobody is stopped, but for doubled ones. */
  readonly leastDifference: number;
  /** The difference in weighted loss for each request that a pass rules out, as a part of the heaviest loss. */
  readonly tolerance: number;
  /** The difference in the rate of possibly doubled requests that a pass rules out besides. */
  readonly toleranceDoubled: number;
  readonly horizonRequests: number;
}

export const SEQUENTIAL_TEST_TERMS: SequentialTestTerms = {
  weights: { late: 0.3, lostSafe: 1, lostUnsafe: 2, doubled: 5 },
  falseStop: 0.01,
  falseStopDoubled: 0.01,
  falsePass: 0.05,
  leeway: 1.25,
  leastDifference: 0.02,
  tolerance: 0.05,
  toleranceDoubled: 0.02,
  horizonRequests: 20_000,
};

/** The average of products given by their logarithms. */
const averageOf = (logs: readonly number[]): number =>
  logs.reduce((sum, log) => sum + Math.exp(Math.min(log, 500)), 0) / logs.length;

const WORSE_BY = [2, 5, 15];

/**
 * Whose are the events? While the candidate's rate of an event is at most `leeway` times the baseline's, an event is
 * the candidate's with a chance of at most its part of the concurrent requests. The bets say that it is 2, 5 or 15
 * times that, and are averaged, since an average of such products is one too.
 */
export class Attribution {
  /** Invariant: one logarithm of a product for each of WORSE_BY. */
  private readonly logs = WORSE_BY.map(() => 0);

  constructor(private readonly leeway: number) {}

  /** Events of one kind among concurrent requests; a weight below 1 makes the bet that much smaller. */
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
 * Is the candidate worse by the tolerance or more? Each candidate's loss, of 0 to 1, is set against the mean loss of
 * concurrent baseline requests; while it is that much worse, the bets on the opposite have a mean of at most 1.
 */
export class Soundness {
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

export type TestResultName = "observing" | "stop" | "pass" | "inconclusive";

export interface TestResult {
  readonly verdict: TestResultName;
  readonly reason: string;
  readonly candidate: Tally;
  readonly baseline: Tally;
  /** Weighted loss for each request: the candidate's less the baseline's. */
  readonly difference: number;
  readonly evidenceAgainst: number;
  readonly evidenceDoubled: number;
  readonly evidenceSound: number;
}

interface Pending {
  candidate: Tally;
  baseline: Tally;
}

const pendingAt = (map: Map<string, Pending>, key: string): Pending => {
  const pending = map.get(key) ?? { candidate: NO_TALLY, baseline: NO_TALLY };
  map.set(key, pending);
  return pending;
};

/** Hands over what both sides have something of, and keeps the rest until they do. */
const takeBothSided = (
  map: Map<string, Pending>,
  take: (candidate: Tally, baseline: Tally) => void,
): void =>
  map.forEach(({ candidate, baseline }, key) => {
    if (sizeOf(candidate) === 0 || sizeOf(baseline) === 0) return;
    map.delete(key);
    take(candidate, baseline);
  });

const sum = (tallies: readonly Tally[]): Tally => tallies.reduce(add, NO_TALLY);

/** A stratum's name begins with the cell of the node that saw it. */
const cellOf = (stratum: string): string => stratum.split("|")[0] ?? "";

/**
 * One candidate against the baseline. Being late is compared within the full stratum (cell, near or far, warm or cold),
 * so that a far or cold candidate is not condemned for it; all else within the cell of the node that saw it.
 * Invariant: a stop is final; a pass or an inconclusive trial goes on and can only become a stop.
 */
export class SequentialTest {
  private readonly byStratum = new Map<string, Pending>();
  private readonly byCell = new Map<string, Pending>();
  private readonly against: Attribution;
  private readonly doubled: Attribution;
  private readonly sound: Soundness;
  private readonly soundDoubled: Soundness;
  private candidate = NO_TALLY;
  private baseline = NO_TALLY;
  private final: { readonly verdict: TestResultName; readonly reason: string } | undefined;

  constructor(
    private readonly isSafe: boolean,
    private readonly terms: SequentialTestTerms,
    private readonly random: () => number,
  ) {
    this.against = new Attribution(terms.leeway);
    this.doubled = new Attribution(1);
    this.sound = new Soundness(terms.tolerance);
    this.soundDoubled = new Soundness(terms.toleranceDoubled);
  }

  readonly takeCandidate = (stratum: string, rise: Tally): void => {
    this.at(stratum).forEach((pending) => {
      pending.candidate = add(pending.candidate, rise);
    });
  };

  readonly takeBaseline = (stratum: string, rise: Tally): void => {
    this.at(stratum).forEach((pending) => {
      pending.baseline = add(pending.baseline, rise);
    });
  };

  /** Weighs what came since the last look, wherever a stratum has requests of both sides, and gives the verdict. */
  readonly look = (): TestResult => {
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
      verdict: result,
      reason,
      candidate: this.candidate,
      baseline: this.baseline,
      difference: this.difference(),
      evidenceAgainst: this.against.evidence(),
      evidenceDoubled: this.doubled.evidence(),
      evidenceSound: this.soundness(),
    };
  };

  private readonly at = (stratum: string): readonly Pending[] => [
    pendingAt(this.byStratum, stratum),
    pendingAt(this.byCell, cellOf(stratum)),
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

  private readonly lossOf = (tally: Tally): number => {
    const size = sizeOf(tally);
    return size === 0
      ? 0
      : OUTCOME_KINDS.reduce((loss, kind) => loss + tally[kind] * this.weightOf(kind), 0) / size;
  };

  /** A pass of an unsafe route needs both, and so the weaker of the two counts. */
  private readonly soundness = (): number =>
    this.isSafe
      ? this.sound.evidence()
      : Math.min(this.sound.evidence(), this.soundDoubled.evidence());

  private readonly difference = (): number =>
    this.lossOf(this.candidate) - this.lossOf(this.baseline);

  private readonly weighLate = (candidate: Tally, baseline: Tally): void =>
    this.against.take(
      candidate.late,
      baseline.late,
      sizeOf(candidate),
      sizeOf(baseline),
      Math.min(1, this.weightOf("late")),
    );

  private readonly weigh = (candidate: Tally, baseline: Tally): void => {
    const sizes = [sizeOf(candidate), sizeOf(baseline)] as const;
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
    const baselineDoubled = baseline.doubled / sizeOf(baseline);
    this.shuffled(candidate).forEach((kind) => {
      this.sound.take(this.weightOf(kind) / heaviest, baselineLoss);
      this.soundDoubled.take(kind === "doubled" ? 1 : 0, baselineDoubled);
    });
    this.candidate = add(this.candidate, candidate);
    this.baseline = add(this.baseline, baseline);
  };

  /** The outcomes one by one in random order, which under any null is as good as the order they came in. */
  private readonly shuffled = (tally: Tally): readonly OutcomeKind[] => {
    const kinds = OUTCOME_KINDS.flatMap((kind) => new Array<OutcomeKind>(tally[kind]).fill(kind));
    for (let at = kinds.length - 1; at > 0; at -= 1) {
      const other = Math.floor(this.random() * (at + 1));
      const [one, two] = [kinds[at], kinds[other]];
      if (one !== undefined && two !== undefined) [kinds[at], kinds[other]] = [two, one];
    }
    return kinds;
  };

  private readonly decide = ():
    { readonly verdict: TestResultName; readonly reason: string } | undefined => {
    const { falseStop, falseStopDoubled, falsePass, leastDifference, horizonRequests } = this.terms;
    const size = sizeOf(this.candidate);
    const difference = this.difference();
    if (this.doubled.evidence() >= 1 / falseStopDoubled) {
      const reason = `${this.candidate.doubled} of the candidate's ${size} requests may be placed twice, against ${this.baseline.doubled} of ${sizeOf(this.baseline)} of the baseline's.`;
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

  readonly totals = (): readonly [Tally, Tally] => {
    const waiting = [...this.byCell.values()];
    return [
      add(this.candidate, sum(waiting.map((one) => one.candidate))),
      add(this.baseline, sum(waiting.map((one) => one.baseline))),
    ];
  };
}
