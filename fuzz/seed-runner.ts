/** Runs the scenario of one seed and checks its history. */
import fc from "fast-check";
import { violationsOf, type Violation } from "./checks.js";
import { scenario, type Scenario } from "./scenario.js";
import type { Variant } from "./variants.js";
import { ScenarioRun } from "./scenario-run.js";

/** The result of one seed. */
export interface FuzzResult {
  readonly seed: number;
  /** The number of attempts that clients sent. */
  readonly tries: number;
  /** The number of requests that workers ran. */
  readonly runs: number;
  readonly violations: readonly Violation[];
  /** The shortest scenario found that still shows a violation. */
  readonly shortest: Scenario | undefined;
}

const SHRINK_MS = 20_000;

/** Runs one seed. A scenario with a violation is shrunk unless `shrinks` is false. */
export const fuzzSeed = async (
  seed: number,
  variant?: Variant,
  shrinks = true,
): Promise<FuzzResult> => {
  let violations: readonly Violation[] = [];
  let [attempts, runs] = [0, 0];
  const property = fc.asyncProperty(fc.noBias(scenario), async (drawn) => {
    const history = await new ScenarioRun(drawn, variant?.harness, variant?.simulatedDefects).run();
    const found = violationsOf(history);
    if (violations.length === 0)
      [attempts, runs, violations] = [
        history.sent.length,
        history.received.filter(({ ran }) => ran).length,
        found,
      ];
    return found.length === 0;
  });
  const result = await fc.check(property, {
    seed,
    numRuns: 1,
    endOnFailure: !shrinks,
    // eslint-disable-next-line @typescript-eslint/no-deprecated -- its replacement has not been compared with it yet
    interruptAfterTimeLimit: SHRINK_MS,
  });
  return { seed, tries: attempts, runs, violations, shortest: result.counterexample?.[0] };
};
