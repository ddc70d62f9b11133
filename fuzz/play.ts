import fc from "fast-check";
import { violationsOf, type Violation } from "./checks.js";
import { scenario, type Scenario } from "./scenario.js";
import type { Variant } from "./variants.js";
import { World } from "./world.js";

export interface Played {
  readonly seed: number;
  /** What was seen of each, over the seeds played. */
  readonly tries: number;
  readonly runs: number;
  readonly violations: readonly Violation[];
  /** The shortest scenario found that still shows a violation. */
  readonly shortest: Scenario | undefined;
}

const SHRINK_MS = 20_000;

/** Plays one seed; a seed that shows a violation is shortened, unless `shrinks` is false. */
export const play = async (seed: number, variant?: Variant, shrinks = true): Promise<Played> => {
  let violations: readonly Violation[] = [];
  let [tries, runs] = [0, 0];
  const property = fc.asyncProperty(fc.noBias(scenario), async (drawn) => {
    const history = await new World(drawn, variant?.rig, variant?.lies).run();
    const found = violationsOf(history);
    if (violations.length === 0)
      [tries, runs, violations] = [
        history.sent.length,
        history.arrived.filter(({ ran }) => ran).length,
        found,
      ];
    return found.length === 0;
  });
  const result = await fc.check(property, {
    seed,
    numRuns: 1,
    endOnFailure: !shrinks,
    interruptAfterTimeLimit: SHRINK_MS,
  });
  return { seed, tries, runs, violations, shortest: result.counterexample?.[0] };
};
