/** Typed values of the messages between replicas; `messages.ts` defines their encoding. */
import type { Ballot } from "./ballot.js";
import type { ProposedCall } from "./proposal-history.js";
import type { Item, VoterSetProposal } from "./record-codec.js";
import type { Register } from "./register.js";
import type { CommitMark } from "./replica.js";
import type { Term } from "./term.js";
import type { VoterSet } from "./voter-set.js";

/** Incarnations by member. Only members that promised are asked to accept. */
export type Incarnations = ReadonlyMap<string, string>;

/** Asks for a promise of a ballot for some keys. */
export interface PrepareRequest {
  readonly type: "prepare";
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly keys: readonly string[];
  /**
   * The proposer's ballot for each key. A register at the same ballot is omitted from the response.
   */
  readonly knownBallots: readonly Ballot[];
  /** The term under which the proposer writes, if it does so as holder of the leader lease. */
  readonly term?: Term | undefined;
}

/** Asks to accept registers at a promised ballot. */
export interface AcceptRequest {
  readonly type: "accept";
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly incarnations: Incarnations;
  readonly items: readonly Item[];
  readonly term?: Term | undefined;
}

/** Asks for the contents of a replica, starting at a bucket. */
export interface ReadRequest {
  readonly type: "read";
  readonly voterSet: VoterSet;
  /** Hashes of the reader; buckets with the same hash are not sent. */
  readonly bucketHashes: readonly string[];
  /**
   * Keys in equal buckets for which the reader must know whether they are accepted or committed.
   */
  readonly uncommittedKeys: readonly string[];
  readonly fromBucket: number;
  /** Set by a replica that catches up: nothing below this ballot may be accepted any more. */
  readonly floor?: Ballot | undefined;
}

/** Checks that a member responds, and asks for the voter set and the grant that it knows. */
export interface ContactRequest {
  readonly type: "contact";
  readonly voterSet?: VoterSet | undefined;
}

/** Asks for a promise of a ballot for the voter set of one number. */
export interface VoterSetPrepareRequest {
  readonly type: "voter-set-prepare";
  readonly number: number;
  readonly ballot: Ballot;
  /** The decided voter set on which the proposal is based. */
  readonly voterSet: VoterSet;
}

/** Asks to accept a voter set at a promised ballot. */
export interface VoterSetAcceptRequest {
  readonly type: "voter-set-accept";
  readonly number: number;
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  readonly incarnations: Incarnations;
  readonly next: VoterSet;
}

/** Any request between replicas. */
export type ConsensusRequest =
  | PrepareRequest
  | AcceptRequest
  | ReadRequest
  | ContactRequest
  | VoterSetPrepareRequest
  | VoterSetAcceptRequest;

/** An entry as reported by another replica. */
export interface EntryReport {
  readonly key: string;
  readonly ballot: Ballot;
  readonly isAccepted: boolean;
  readonly isCommitted: boolean;
  /** "unchanged" if it is omitted because the requester holds that ballot. */
  readonly register: Register | undefined | "unchanged";
}

/** The history that a replica keeps besides the entries that it reports (`proposal-history.ts`). */
export interface HistoryReport {
  /** The calls of current and earlier entries that are not known to be committed. */
  readonly calls: readonly ProposedCall[];
  /** The entries that the replica held under these keys before. */
  readonly earlier: readonly EntryReport[];
  /** The keys whose earlier entries the replica no longer knows. */
  readonly forgottenKeys: readonly string[];
}

/** A promise of the ballot, with the entries accepted before. */
export interface PrepareResponse {
  readonly incarnation: string;
  readonly entries: readonly EntryReport[];
  /** Undefined if no entry is part of an uncommitted call, and from older versions. */
  readonly history?: HistoryReport | undefined;
}

/** One chunk of a replica's contents. */
export interface ReadResponse {
  readonly isVoting: boolean;
  /** Buckets in which the replica holds the same ballots as the reader. */
  readonly equalBuckets: readonly number[];
  readonly entries: readonly EntryReport[];
  /** The bucket at which the next chunk starts. */
  readonly nextBucket: number;
  readonly proposal: VoterSetProposal | undefined;
}

/** The state of a contacted member. */
export interface ContactResponse {
  readonly isVoting: boolean;
  readonly voterSet: VoterSet | undefined;
  /** The number of the newest term that the member knows to be granted. */
  readonly grantedTerm: number | undefined;
}

/** A promise of the ballot for a voter set, with the proposal accepted before. */
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

/** A rejection, with what the sender must know for its next attempt. */
export interface Rejection {
  /** Undefined if this version does not know the reason. */
  readonly reason: RejectionReason | undefined;
  /** The highest ballot number that the rejecting replica has seen. */
  readonly highestBallotNumber?: number | undefined;
  /** A newer voter set that the sender does not know. */
  readonly voterSet?: VoterSet | undefined;
}

/** Notice that a quorum has accepted entries. */
export interface CommittedNotice {
  readonly voterSet: VoterSet | undefined;
  readonly marks: readonly CommitMark[];
}
