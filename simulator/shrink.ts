/** Shrinks a failing schedule, so that its cause is easier to find. */
import type { Components } from "./simulated-controller.js";
import { violationsOf, type Violation } from "./invariants.js";
import { simulate } from "./simulation.js";
import type { Event, Schedule } from "./schedule.js";

const MAX_RUNS = 400;

/** The shortest failing schedule found, its violation, and the number of runs it took. */
export interface Shrunk {
  readonly schedule: Schedule;
  readonly violation: Violation;
  readonly runs: number;
}

/**
 * Removes events in ever smaller groups, down to single ones, as long as the same invariant is
 * still violated.
 */
export const shrink = async (
  schedule: Schedule,
  violation: Violation,
  components?: Components,
  maxRuns = MAX_RUNS,
): Promise<Shrunk> => {
  let shortest = schedule;
  let found = violation;
  let runs = 0;
  const failsWith = async (events: readonly Event[]): Promise<boolean> => {
    runs += 1;
    const candidate = { ...shortest, events };
    const same = violationsOf(await simulate(candidate, components), candidate, [
      violation.invariant,
    ])[0];
    if (same) found = same;
    return same !== undefined;
  };
  for (let size = Math.ceil(schedule.events.length / 2); size >= 1;) {
    let isShorter = false;
    for (let at = 0; at < shortest.events.length && runs < maxRuns;) {
      const events = [...shortest.events.slice(0, at), ...shortest.events.slice(at + size)];
      if (await failsWith(events)) {
        shortest = { ...shortest, events };
        isShorter = true;
      } else at += size;
    }
    if (runs >= maxRuns || (size === 1 && !isShorter)) break;
    if (size > 1 || !isShorter) size = Math.floor(size / 2);
  }
  return { schedule: shortest, violation: found, runs };
};
