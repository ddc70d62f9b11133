/**
 * What replicas say to each other, as typed values; `messages.ts` gives them their form on the
 * wire.
 */
import type { Ballot } from "./ballot.js";
import type { ProposedCall } from "./proposal-history.js";
import type { Item, VoterSetProposal } from "./record-codec.js";
import type { Register } from "./register.js";
import type { CommitMark } from "./replica.js";
import type { Term } from "./term.js";
import type { VoterSet } from "./voter-set.js";

/** Incarnations by member. Only those that promised are asked to accept. */
export type Incarnations = ReadonlyMap<string, string>;

/** Asks to promise a ballot for some keys. */
export interface PrepareRequest {
  readonly type: "prepare";
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly keys: readonly string[];
  /**
   * What the proposer holds under each key; a register at the same ballot is left out of the
   * response.
   */
  readonly knownBallots: readonly Ballot[];
  /** The term under which the proposer writes, where it does so as holder of the leader lease. */
  readonly term?: Term | undefined;
}

/** Asks to accept registers at a ballot that was promised. */
export interface AcceptRequest {
  readonly type: "accept";
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly incarnations: Incarnations;
  readonly items: readonly Item[];
  readonly term?: Term | undefined;
}

/** Asks for what a replica holds, from one bucket on. */
export interface ReadRequest {
  readonly type: "read";
  readonly voterSet: VoterSet;
  /** Of the reader; buckets with the same hash are not sent. */
  readonly bucketHashes: readonly string[];
  /** Keys of equal buckets of which the reader must know whether they are accepted or committed. */
  readonly uncommittedKeys: readonly string[];
  readonly fromBucket: number;
  /** From a replica that catches up: nothing below this ballot is to be accepted any more. */
  readonly floor?: Ballot | undefined;
}

/** Asks for a sign of life, and what voter set and grant are known. */
export interface ContactRequest {
  readonly type: "contact";
  readonly voterSet?: VoterSet | undefined;
}

/** Asks to promise a ballot for the voter set of one number. */
export interface VoterSetPrepareRequest {
  readonly type: "voter-set-prepare";
  readonly number: number;
  readonly ballot: Ballot;
  /** The decided voter set that the proposer goes by. */
  readonly voterSet: VoterSet;
}

/** Asks to accept a voter set at a ballot that was promised. */
export interface VoterSetAcceptRequest {
  readonly type: "voter-set-accept";
  readonly number: number;
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly incarnations: Incarnations;
  readonly next: VoterSet;
}

/** What one replica asks of another. */
export type ConsensusRequest =
  | PrepareRequest
  | AcceptRequest
  | ReadRequest
  | ContactRequest
  | VoterSetPrepareRequest
  | VoterSetAcceptRequest;

/** What another replica holds under a key. */
export interface EntryReport {
  readonly key: string;
  readonly ballot: Ballot;
  readonly isAccepted: boolean;
  readonly isCommitted: boolean;
  /** "unchanged" where it is left out since the asker holds that ballot. */
  readonly register: Register | undefined | "unchanged";
}

/** What a replica remembers beside the entries that it reports (`proposal-history.ts`). */
export interface HistoryReport {
  /** The calls of entries, and of earlier ones, that it doesn't know to be committed. */
  readonly calls: readonly ProposedCall[];
  /** What it held under their keys before. */
  readonly earlier: readonly EntryReport[];
  /** The keys of which it no longer knows what came before. */
  readonly forgottenKeys: readonly string[];
}

/** The ballot is promised; what was accepted before is told. */
export interface PrepareResponse {
  readonly incarnation: string;
  readonly entries: readonly EntryReport[];
  /** Undefined where no entry is part of an uncommitted call, and from older versions. */
  readonly history?: HistoryReport | undefined;
}

/** One chunk of what a replica holds. */
export interface ReadResponse {
  readonly isVoting: boolean;
  /** Buckets in which it holds the same ballots as the reader. */
  readonly equalBuckets: readonly number[];
  readonly entries: readonly EntryReport[];
  /** Where the next chunk begins. */
  readonly nextBucket: number;
  readonly proposal: VoterSetProposal | undefined;
}

/** What a member knows when it is contacted. */
export interface ContactResponse {
  readonly isVoting: boolean;
  readonly voterSet: VoterSet | undefined;
  /** The number of the newest term it knows to be granted. */
  readonly grantedTerm: number | undefined;
}

/** The ballot is promised for a voter set; what was accepted before is told. */
export interface VoterSetPrepareResponse {
  readonly incarnation: string;
  readonly proposal: VoterSetProposal;
}

/** Why a request is rejected. */
export type RejectionReason =
  | "not-voting"
  | "stale-voter-set"
  | "stale-term"
  | "lower-ballot"
  | "other-incarnation"
  | "disk-failure";

/** Why a request is rejected, and what the sender must know to do better. */
export interface Rejection {
  /** Undefined where the reason is not known here. */
  readonly reason: RejectionReason | undefined;
  /** The highest ballot number that the rejecting replica has seen. */
  readonly highestBallotNumber?: number | undefined;
  /** The newer voter set that the sender doesn't know. */
  readonly voterSet?: VoterSet | undefined;
}

/** Notice of what a quorum has accepted. */
export interface CommittedNotice {
  readonly voterSet: VoterSet | undefined;
  readonly marks: readonly CommitMark[];
}
