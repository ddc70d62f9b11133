/**
 * What one simulated run recorded, for the invariants to check. Times are virtual, in microseconds.
 */
import type { Register } from "../src/consensus/register.js";
import type { VoterSet } from "../src/consensus/voter-set.js";

export type ChangeResult = "open" | "ok" | "conflict" | "invalid" | "unclear";

/**
 * One attempt of a change at one controller, as that controller answered it, whether or not the
 * operator got the answer.
 */
export interface Attempt {
  readonly change: number;
  readonly controller: string;
  readonly startUs: number;
  endUs: number;
  result: ChangeResult;
  reason: string;
}

/** What a controller found in force after a quorum read. */
export interface Read {
  readonly controller: string;
  readonly startUs: number;
  readonly endUs: number;
  readonly registers: readonly Register[];
}

/** What a controller published to its nodes as committed. */
export interface Publication {
  readonly atUs: number;
  readonly controller: string;
  readonly registers: readonly Register[];
}

/** What a controller did as holder of the leader lease, and under which term. */
export interface LeaderAction {
  readonly controller: string;
  readonly term: number;
  readonly startUs: number;
  readonly endUs: number;
}

/** A controller took itself for the holder of the leader lease. */
export interface LeaderClaim {
  readonly atUs: number;
  readonly controller: string;
  readonly term: number;
  /** Who holds that term, as the controller knows it. */
  readonly holder: string;
}

/** A controller confirmed that it is in contact with a quorum. */
export interface QuorumContact {
  readonly controller: string;
  readonly atUs: number;
  /** Who, itself included, answered something that it sent after it was asked. */
  readonly heardFrom: readonly string[];
  /** The sets that each need a majority, before the confirmation and after. */
  readonly voterSets: readonly (readonly (readonly string[])[])[];
}

/** The voter set that a voting controller had at some moment. */
export interface VoterSetSample {
  readonly atUs: number;
  readonly controller: string;
  readonly voterSet: VoterSet;
}

/** A change or a read that must be served in the calm at the end. */
export interface FinalRequest {
  readonly description: string;
  readonly startUs: number;
  servedAtUs: number | undefined;
}

export class History {
  /** The registers of each change, by its id. */
  readonly changes = new Map<number, readonly Register[]>();
  /** The changes that can never be valid. */
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
  /** Whatever was thrown where nothing should. */
  readonly errors: string[] = [];

  /** Records an attempt that begins; its result is filled in when the controller answers. */
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
