/** Invariants of the control plane: leader lease, quorum contact, availability and voter set. */
import type { VoterSet } from "../src/consensus/voter-set.js";
import { observedRegisters, seconds, type Invariant } from "./observations.js";
import { deploymentOf } from "./schedule.js";
import { LEADER_WRITE_KEY } from "./simulated-controller.js";
import { SERVE_TIMEOUT_US } from "./simulation.js";

/**
 * Each term has one leader, no write of an older term is committed after one of a newer term, and
 * no lease is confirmed after the write of a newer leader.
 */
export const leaderTerms: Invariant = (outcome) => {
  const { history } = outcome;
  const holders = new Map<number, string>();
  for (const { term, holder, controller, atUs } of history.leaderClaims) {
    if (holder !== controller)
      return `${controller} acted as the leader of term ${term}, which belongs to ${holder}, at ${seconds(atUs)}`;
    const before = holders.get(term);
    if (before !== undefined && before !== controller)
      return `term ${term} was held by ${before} and by ${controller}`;
    holders.set(term, controller);
  }
  const writeTerms = new Map<number, number>();
  observedRegisters(outcome).forEach(({ register }) => {
    if (register.key !== LEADER_WRITE_KEY) return;
    const term = Number(/"number":(\d+)/.exec(register.body)?.[1] ?? 0);
    if (term > 0) writeTerms.set(register.version, term);
  });
  let highest = 0;
  for (const [version, term] of [...writeTerms].sort(([one], [mismatch]) => one - mismatch)) {
    if (term < highest)
      return `write ${version} of term ${term} was committed after one of term ${highest}`;
    highest = term;
  }
  for (const { controller, term, startUs, endUs, what } of [
    ...history.leaderWrites.map((action) => ({ ...action, what: "wrote" })),
    ...history.leaseConfirmations.map((action) => ({ ...action, what: "had its lease confirmed" })),
  ]) {
    const newer = history.leaderWrites.find((write) => write.term > term && write.endUs < startUs);
    if (newer)
      return `${controller} ${what} under term ${term} from ${seconds(startUs)} to ${seconds(endUs)}, after ${newer.controller} had written under ${newer.term} by ${seconds(newer.endUs)}`;
  }
  return undefined;
};

/**
 * Quorum contact is confirmed only if a majority has replied to a message that was sent after the
 * check began.
 */
export const quorumContact: Invariant = ({ history }) => {
  const unjustified = history.quorumContacts.find(
    ({ heardFrom, voterSets }) =>
      !voterSets.some((sets) =>
        sets.every(
          (members) => members.filter((id) => heardFrom.includes(id)).length > members.length / 2,
        ),
      ),
  );
  return (
    unjustified &&
    `${unjustified.controller} confirmed quorum contact at ${seconds(unjustified.atUs)} with replies from only ${unjustified.heardFrom.join(", ")} of ${unjustified.voterSets.flat(2).join(", ")}`
  );
};

/**
 * Once `CATCH_UP_US` have passed without faults, every controller confirms a change and serves a
 * read within `SERVE_TIMEOUT_US`.
 */
export const availability: Invariant = ({ history }, schedule) => {
  if (schedule.exceedsTolerance) return undefined;
  const unserved = history.finalRequests.find(
    ({ startUs, servedAtUs }) =>
      servedAtUs === undefined || servedAtUs - startUs > SERVE_TIMEOUT_US,
  );
  return (
    unserved &&
    `${unserved.description}, sent after the last fault at ${seconds(unserved.startUs)}, ${unserved.servedAtUs === undefined ? "was never served" : `took ${seconds(unserved.servedAtUs - unserved.startUs)}`}`
  );
};

/**
 * Each voter set number identifies one set, no set shrinks below the size that the fault tolerance
 * requires, and the last set consists of exactly the remaining machines.
 */
export const voterSets: Invariant = ({ history, liveIds }, schedule) => {
  const { controllers, withstandMachines } = deploymentOf(schedule.deployment);
  const firstSeen = new Map<number, VoterSet>();
  for (const { controller, voterSet: seen } of history.voterSets) {
    const before = firstSeen.get(seen.number);
    if (
      before &&
      (before.members.join() !== seen.members.join() || before.from.join() !== seen.from.join())
    )
      return `voter set ${seen.number} is ${seen.members.join(", ")} at ${controller}, and ${before.members.join(", ")} elsewhere`;
    firstSeen.set(seen.number, seen);
  }
  const required = Math.min(controllers, 2 * withstandMachines + 1);
  let largest = 0;
  for (const { number, members } of [...firstSeen.values()].sort(
    (one, other) => one.number - other.number,
  )) {
    if (members.length < Math.min(largest, required))
      return `voter set ${number} has shrunk to ${members.join(", ")}`;
    largest = Math.max(largest, members.length);
  }
  if (schedule.exceedsTolerance) return undefined;
  const endUs = history.voterSets.at(-1)?.atUs ?? 0;
  const last = history.voterSets.filter(({ atUs }) => atUs === endUs);
  const expected = [...liveIds].sort().join(", ");
  const other = last.find(
    ({ voterSet: { members, from } }) =>
      from.length > 0 || [...members].sort().join(", ") !== expected,
  );
  if (other)
    return `at the end the voter set at ${other.controller} is ${other.voterSet.members.join(", ")}, expected ${expected}`;
  return last.length < liveIds.length
    ? `at the end only ${last.map(({ controller }) => controller).join(", ")} vote, expected ${expected}`
    : undefined;
};
