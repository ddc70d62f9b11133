import type { Parts } from "./simulated-controller.js";
import { faultsOf, type Fault } from "./invariants.js";
import { play } from "./simulation.js";
import type { Event, Schedule } from "./schedule.js";

const PLAYS_MOST = 400;

export interface Shrunk {
  readonly schedule: Schedule;
  readonly fault: Fault;
  readonly plays: number;
}

/** Leaves out events, first many at once and then one by one, for as long as the same check still fails. */
export const shrink = async (
  schedule: Schedule,
  fault: Fault,
  parts?: Parts,
  playsMost = PLAYS_MOST,
): Promise<Shrunk> => {
  let shortest = schedule;
  let found = fault;
  let plays = 0;
  const failsWith = async (events: readonly Event[]): Promise<boolean> => {
    plays += 1;
    const tried = { ...shortest, events };
    const same = faultsOf(await play(tried, parts), tried, [fault.check])[0];
    if (same) found = same;
    return same !== undefined;
  };
  for (let size = Math.ceil(schedule.events.length / 2); size >= 1;) {
    let isShorter = false;
    for (let at = 0; at < shortest.events.length && plays < playsMost;) {
      const events = [...shortest.events.slice(0, at), ...shortest.events.slice(at + size)];
      if (await failsWith(events)) {
        shortest = { ...shortest, events };
        isShorter = true;
      } else at += size;
    }
    if (plays >= playsMost || (size === 1 && !isShorter)) break;
    if (size > 1 || !isShorter) size = Math.floor(size / 2);
  }
  return { schedule: shortest, fault: found, plays };
};
