/** All invariants by name, and the check of a run against them. */
import {
  atomic,
  complete,
  linearizable,
  rejected,
  singleValue,
  unsharedKeys,
} from "./configuration-invariants.js";
import { availability, leaderTerms, quorumContact, voterSets } from "./control-plane-invariants.js";
import type { Invariant } from "./observations.js";
import type { Schedule } from "./schedule.js";
import type { Outcome } from "./simulation.js";

/** A violated invariant with a one-line description. */
export interface Violation {
  readonly invariant: InvariantName;
  readonly description: string;
}

export type InvariantName =
  | "single-value"
  | "rejected"
  | "complete"
  | "atomic"
  | "linearizable"
  | "unshared-keys"
  | "leader-terms"
  | "quorum-contact"
  | "availability"
  | "voter-set"
  | "error";

const error: Invariant = ({ history }) => history.errors[0];

/** The invariants by name. */
export const INVARIANTS: Readonly<Record<InvariantName, Invariant>> = {
  error,
  "single-value": singleValue,
  rejected,
  complete,
  atomic,
  linearizable,
  "unshared-keys": unsharedKeys,
  "leader-terms": leaderTerms,
  "quorum-contact": quorumContact,
  availability,
  "voter-set": voterSets,
};

/** The invariants checked by default, in the order in which violations are reported. */
const ALL_INVARIANTS: readonly InvariantName[] = [
  "error",
  "single-value",
  "rejected",
  "complete",
  "atomic",
  "linearizable",
  "unshared-keys",
  "leader-terms",
  "quorum-contact",
  "availability",
  "voter-set",
];

/** Returns the violations of a run, at most one per invariant, in the order of `names`. */
export const violationsOf = (
  outcome: Outcome,
  schedule: Schedule,
  names: readonly InvariantName[] = ALL_INVARIANTS,
): readonly Violation[] => {
  const violations: Violation[] = [];
  names.forEach((invariant) => {
    const description = INVARIANTS[invariant](outcome, schedule);
    if (description !== undefined) violations.push({ invariant, description });
  });
  return violations;
};
