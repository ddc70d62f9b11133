/**
 * The records of one simulated run that the invariants check. Times are virtual, in microseconds.
 */
import type { Register } from "../src/consensus/register.js";
import type { VoterSet } from "../src/consensus/voter-set.js";

/** The result of an attempt; "open" until the controller responds. */
export type ChangeResult = "open" | "ok" | "conflict" | "invalid" | "unclear";

/**
 * An attempt to submit a change to one controller. The result is the controller's, whether or not
 * the response reached the operator.
 */
export interface Attempt {
  readonly change: number;
  readonly controller: string;
  readonly startUs: number;
  endUs: number;
  result: ChangeResult;
  reason: string;
}

/** The committed registers of a controller after a quorum read. */
export interface Read {
  readonly controller: string;
  readonly startUs: number;
  readonly endUs: number;
  readonly registers: readonly Register[];
}

/** Registers that a controller published to its nodes as committed. */
export interface Publication {
  readonly atUs: number;
  readonly controller: string;
  readonly registers: readonly Register[];
}

/** An operation that a controller performed as holder of the leader lease of `term`. */
export interface LeaderAction {
  readonly controller: string;
  readonly term: number;
  readonly startUs: number;
  readonly endUs: number;
}

/** A point at which a controller considered itself the holder of the leader lease. */
export interface LeaderClaim {
  readonly atUs: number;
  readonly controller: string;
  readonly term: number;
  /** The holder of the term according to the controller. */
  readonly holder: string;
}

/** A confirmation by a controller that it is in contact with a quorum. */
export interface QuorumContact {
  readonly controller: string;
  readonly atUs: number;
  /** Itself and the controllers that replied to a message sent after the check began. */
  readonly heardFrom: readonly string[];
  /** The sets that each require a majority, before and after the confirmation. */
  readonly voterSets: readonly (readonly (readonly string[])[])[];
}

/** A sample of the voter set of a voting controller. */
export interface VoterSetSample {
  readonly atUs: number;
  readonly controller: string;
  readonly voterSet: VoterSet;
}

/** A change or a read that must be served after the last fault. */
export interface FinalRequest {
  readonly description: string;
  readonly startUs: number;
  servedAtUs: number | undefined;
}

/** Collects the records of one simulated run. */
export class History {
  /** The registers of each change, by its id. */
  readonly changes = new Map<number, readonly Register[]>();
  /** The ids of changes that can never be valid. */
  readonly neverValid = new Set<number>();
  readonly attempts: Attempt[] = [];
  readonly reads: Read[] = [];
  readonly publications: Publication[] = [];
  readonly leaderWrites: LeaderAction[] = [];
  readonly leaseConfirmations: LeaderAction[] = [];
  readonly leaderClaims: LeaderClaim[] = [];
  readonly quorumContacts: QuorumContact[] = [];
  readonly voterSets: VoterSetSample[] = [];
  readonly finalRequests: FinalRequest[] = [];
  /** Unexpected errors. */
  readonly errors: string[] = [];

  /** Records the start of an attempt; the controller fills in its result. */
  readonly beginAttempt = (change: number, controller: string, startUs: number): Attempt => {
    const attempt: Attempt = {
      change,
      controller,
      startUs,
      endUs: Number.POSITIVE_INFINITY,
      result: "open",
      reason: "",
    };
    this.attempts.push(attempt);
    return attempt;
  };
}
