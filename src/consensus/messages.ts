/**
 * Encoding of the messages between replicas. All names on the wire are defined here. Neither they
 * nor the order of a message's fields ever change, so that controllers of different versions
 * understand each other.
 *
 * - Registers: prepare and accept, with their responses, and the notice that something was
 *   committed.
 * - Reads: the contents of a replica that differ from the reader's, in chunks.
 * - Quorum check: the voter set and the newest grant that a member knows.
 * - Voter sets: prepare and accept for the voter set of one number.
 */
import {
  asList,
  asNumber,
  asRecord,
  asString,
  isRecord,
  readBoolean,
  readList,
  readNumber,
  readString,
} from "../common/decode.js";
import type { Message } from "../transport/connection.js";
import { decodeBallot, encodeBallot } from "./ballot.js";
import { decodeItem, decodeProposal, encodeItem, encodeProposal } from "./record-codec.js";
import { encodeRegister, type Register } from "./register.js";
import type { CommitMark } from "./replica.js";
import { decodeTerm, encodeTerm } from "./term.js";
import { decodeVoterSet, encodeVoterSet, type VoterSet } from "./voter-set.js";
import {
  decodeEntryReport,
  decodeHistory,
  encodeEntryReport,
  encodeHistory,
} from "./entry-report-codec.js";
import type {
  AcceptRequest,
  CommittedNotice,
  ConsensusRequest,
  ContactResponse,
  Incarnations,
  PrepareRequest,
  PrepareResponse,
  ReadRequest,
  ReadResponse,
  Rejection,
  RejectionReason,
  VoterSetAcceptRequest,
  VoterSetPrepareRequest,
  VoterSetPrepareResponse,
} from "./message-types.js";

/** Message kinds. */
const PREPARE = "promise";
const PREPARED = "promised";
const ACCEPT = "accept";
const ACCEPTED = "accepted";
const COMMITTED = "settled";
const READ = "read";
const CONTENTS = "copy";
const CONTACT = "contact";
const CONTACTED = "here";
const VOTER_SET_PREPARE = "roster-promise";
const VOTER_SET_ACCEPT = "roster-accept";
const REJECTED = "refused";

/** Field names that differ from those of the types or are shared by several messages. */
const BALLOT = "ballot";
const VOTER_SET = "roster";
const VOTER_SET_NUMBER = "under";
const INCARNATION = "life";
const INCARNATIONS = "lives";
const KNOWN_BALLOTS = "have";
const BUCKET_HASHES = "sums";
const UNCOMMITTED_KEYS = "unsure";
const FROM_BUCKET = "from";
const NEXT_BUCKET = "next";
const EQUAL_BUCKETS = "same";
const FLOOR = "floor";
const IS_VOTING = "counts";
const PROPOSAL = "pending";
const NEXT_VOTER_SET = "next";
const GRANT = "grant";
const TERM = "term";
const HISTORY = "history";
const REASON = "why";
const HIGHEST_BALLOT_NUMBER = "top";

/** The kinds of requests that `ReplicatedStore.handleRequest` handles. */
export const CONSENSUS_MESSAGE_KINDS: ReadonlySet<string> = new Set([
  PREPARE,
  ACCEPT,
  READ,
  CONTACT,
  VOTER_SET_PREPARE,
  VOTER_SET_ACCEPT,
]);

/** The kind of the notice that `ReplicatedStore.applyCommitted` handles. */
export const COMMITTED_MESSAGE_KIND = COMMITTED;

const REASON_CODES: ReadonlyMap<RejectionReason, string> = new Map([
  ["not-voting", "not-counting"],
  ["stale-voter-set", "roster"],
  ["stale-term", "term"],
  ["lower-ballot", "ballot"],
  ["other-incarnation", "life"],
  ["disk-failure", "disk"],
]);

const REASONS: ReadonlyMap<unknown, RejectionReason> = new Map(
  [...REASON_CODES].map(([reason, code]) => [code, reason]),
);

const decodeOptionalVoterSet = (message: Message): VoterSet | undefined =>
  isRecord(message[VOTER_SET]) ? decodeVoterSet(message[VOTER_SET]) : undefined;

const decodeIncarnations = (message: Message): Incarnations =>
  new Map(
    Object.entries(asRecord(message[INCARNATIONS])).map(([id, incarnation]) => [
      id,
      asString(incarnation),
    ]),
  );

// --- requests ------------------------------------------------------------------------------------

/** Encodes a prepare request. */
export const encodePrepareRequest = (request: PrepareRequest): Message => ({
  kind: PREPARE,
  [BALLOT]: encodeBallot(request.ballot),
  [VOTER_SET]: encodeVoterSet(request.voterSet),
  keys: request.keys,
  [KNOWN_BALLOTS]: request.knownBallots.map(encodeBallot),
  ...(request.term ? { [TERM]: encodeTerm(request.term) } : {}),
});

/** Encodes an accept request. */
export const encodeAcceptRequest = (request: AcceptRequest): Message => ({
  kind: ACCEPT,
  [BALLOT]: encodeBallot(request.ballot),
  [VOTER_SET]: encodeVoterSet(request.voterSet),
  [INCARNATIONS]: Object.fromEntries(request.incarnations),
  items: request.items.map(encodeItem),
  ...(request.term ? { [TERM]: encodeTerm(request.term) } : {}),
});

/** Encodes a read request. */
export const encodeReadRequest = (request: ReadRequest): Message => ({
  kind: READ,
  [VOTER_SET]: encodeVoterSet(request.voterSet),
  [BUCKET_HASHES]: request.bucketHashes,
  [UNCOMMITTED_KEYS]: request.uncommittedKeys,
  [FROM_BUCKET]: request.fromBucket,
  ...(request.floor ? { [FLOOR]: encodeBallot(request.floor) } : {}),
});

/** Encodes a contact request. */
export const encodeContactRequest = (voterSet: VoterSet): Message => ({
  kind: CONTACT,
  [VOTER_SET]: encodeVoterSet(voterSet),
});

/** Encodes a prepare request for a voter set. */
export const encodeVoterSetPrepareRequest = (request: VoterSetPrepareRequest): Message => ({
  kind: VOTER_SET_PREPARE,
  number: request.number,
  [BALLOT]: encodeBallot(request.ballot),
  [VOTER_SET]: encodeVoterSet(request.voterSet),
});

/** Encodes an accept request for a voter set. */
export const encodeVoterSetAcceptRequest = (request: VoterSetAcceptRequest): Message => ({
  kind: VOTER_SET_ACCEPT,
  number: request.number,
  [BALLOT]: encodeBallot(request.ballot),
  [VOTER_SET]: encodeVoterSet(request.voterSet),
  [INCARNATIONS]: Object.fromEntries(request.incarnations),
  [NEXT_VOTER_SET]: encodeVoterSet(request.next),
});

const decodePrepareRequest = (message: Message): PrepareRequest => ({
  type: "prepare",
  ballot: decodeBallot(message[BALLOT]),
  voterSet: decodeVoterSet(message[VOTER_SET]),
  keys: readList(message, "keys", asString),
  knownBallots: readList(message, KNOWN_BALLOTS, decodeBallot),
  term: isRecord(message[TERM]) ? decodeTerm(message[TERM]) : undefined,
});

const decodeAcceptRequest = (message: Message): AcceptRequest => ({
  type: "accept",
  ballot: decodeBallot(message[BALLOT]),
  voterSet: decodeVoterSet(message[VOTER_SET]),
  incarnations: decodeIncarnations(message),
  items: readList(message, "items", decodeItem),
  term: isRecord(message[TERM]) ? decodeTerm(message[TERM]) : undefined,
});

const decodeReadRequest = (message: Message): ReadRequest => ({
  type: "read",
  voterSet: decodeVoterSet(message[VOTER_SET]),
  bucketHashes: readList(message, BUCKET_HASHES, asString),
  uncommittedKeys: readList(message, UNCOMMITTED_KEYS, asString),
  fromBucket: readNumber(message, FROM_BUCKET),
  floor: message[FLOOR] === undefined ? undefined : decodeBallot(message[FLOOR]),
});

/**
 * Decodes a request whose kind is in CONSENSUS_MESSAGE_KINDS.
 *
 * @throws DecodeError if a field is missing or has the wrong type
 */
export const decodeRequest = (message: Message): ConsensusRequest => {
  switch (message.kind) {
    case PREPARE:
      return decodePrepareRequest(message);
    case ACCEPT:
      return decodeAcceptRequest(message);
    case READ:
      return decodeReadRequest(message);
    case VOTER_SET_PREPARE:
      return {
        type: "voter-set-prepare",
        number: readNumber(message, "number"),
        ballot: decodeBallot(message[BALLOT]),
        voterSet: decodeVoterSet(message[VOTER_SET]),
      };
    case VOTER_SET_ACCEPT:
      return {
        type: "voter-set-accept",
        number: readNumber(message, "number"),
        ballot: decodeBallot(message[BALLOT]),
        voterSet: decodeVoterSet(message[VOTER_SET]),
        incarnations: decodeIncarnations(message),
        next: decodeVoterSet(message[NEXT_VOTER_SET]),
      };
    default:
      return { type: "contact", voterSet: decodeOptionalVoterSet(message) };
  }
};

// --- responses -----------------------------------------------------------------------------------

/** Encodes a promise. */
export const encodePrepareResponse = (response: PrepareResponse): Message => ({
  kind: PREPARED,
  [INCARNATION]: response.incarnation,
  entries: response.entries.map(encodeEntryReport),
  ...(response.history ? { [HISTORY]: encodeHistory(response.history) } : {}),
});

/** Whether the message is a promise, for registers or for a voter set. */
export const isPrepareResponse = (message: Message): boolean => message.kind === PREPARED;

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodePrepareResponse = (message: Message): PrepareResponse => ({
  incarnation: readString(message, INCARNATION),
  entries: readList(message, "entries", decodeEntryReport),
  history: isRecord(message[HISTORY]) ? decodeHistory(message[HISTORY]) : undefined,
});

/** Encodes a vote. */
export const encodeAcceptResponse = (): Message => ({ kind: ACCEPTED });

/** Whether the message is a vote, for registers or for a voter set. */
export const isAcceptResponse = (message: Message): boolean => message.kind === ACCEPTED;

/** Encodes one chunk of a replica's contents. */
export const encodeReadResponse = (response: ReadResponse): Message => ({
  kind: CONTENTS,
  [IS_VOTING]: response.isVoting,
  [EQUAL_BUCKETS]: response.equalBuckets,
  entries: response.entries.map(encodeEntryReport),
  [NEXT_BUCKET]: response.nextBucket,
  ...(response.proposal ? { [PROPOSAL]: encodeProposal(response.proposal) } : {}),
});

/** Whether the message is a chunk of a replica's contents. */
export const isReadResponse = (message: Message): boolean => message.kind === CONTENTS;

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeReadResponse = (message: Message): ReadResponse => ({
  isVoting: readBoolean(message, IS_VOTING),
  equalBuckets: readList(message, EQUAL_BUCKETS, asNumber),
  entries: readList(message, "entries", decodeEntryReport),
  nextBucket: readNumber(message, NEXT_BUCKET),
  proposal: message[PROPOSAL] === undefined ? undefined : decodeProposal(message[PROPOSAL]),
});

/** Encodes the response to a contact request, with the newest grant of the leader lease. */
export const encodeContactResponse = (
  isVoting: boolean,
  voterSet: VoterSet,
  grant: Register | undefined,
): Message => ({
  kind: CONTACTED,
  [IS_VOTING]: isVoting,
  [VOTER_SET]: encodeVoterSet(voterSet),
  ...(grant ? { [GRANT]: encodeRegister(grant) } : {}),
});

/** @throws DecodeError if a field has the wrong type */
export const decodeContactResponse = (message: Message): ContactResponse => ({
  isVoting: readBoolean(message, IS_VOTING),
  voterSet: decodeOptionalVoterSet(message),
  grantedTerm: isRecord(message[GRANT]) ? readNumber(message[GRANT], "version") : undefined,
});

/** Encodes a promise for a voter set. */
export const encodeVoterSetPrepareResponse = (response: VoterSetPrepareResponse): Message => ({
  kind: PREPARED,
  [INCARNATION]: response.incarnation,
  [PROPOSAL]: encodeProposal(response.proposal),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeVoterSetPrepareResponse = (message: Message): VoterSetPrepareResponse => ({
  incarnation: readString(message, INCARNATION),
  proposal: decodeProposal(message[PROPOSAL]),
});

/** Encodes a rejection. */
export const encodeRejection = (
  reason: RejectionReason,
  highestBallotNumber?: number,
  voterSet?: VoterSet,
): Message => ({
  kind: REJECTED,
  [REASON]: REASON_CODES.get(reason),
  ...(highestBallotNumber === undefined ? {} : { [HIGHEST_BALLOT_NUMBER]: highestBallotNumber }),
  ...(voterSet ? { [VOTER_SET]: encodeVoterSet(voterSet) } : {}),
});

/** Whether the message is a rejection. */
export const isRejection = (message: Message): boolean => message.kind === REJECTED;

/** Decodes a rejection. Fields that the message lacks are undefined. */
export const decodeRejection = (message: Message): Rejection => {
  const highest = message[HIGHEST_BALLOT_NUMBER];
  return {
    reason: REASONS.get(message[REASON]),
    highestBallotNumber: typeof highest === "number" ? highest : undefined,
    voterSet: decodeOptionalVoterSet(message),
  };
};

// --- notices and fields of other protocols -------------------------------------------------------

/** Encodes the notice that a quorum has accepted entries. */
export const encodeCommittedNotice = (
  voterSet: VoterSet,
  marks: readonly CommitMark[],
): Message => ({
  kind: COMMITTED,
  [VOTER_SET]: encodeVoterSet(voterSet),
  items: marks.map(([key, ballot]) => [key, encodeBallot(ballot)]),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeCommittedNotice = (message: Message): CommittedNotice => ({
  voterSet: decodeOptionalVoterSet(message),
  marks: readList(message, "items", asList).map(([key, ballot]): CommitMark => [
    asString(key),
    decodeBallot(ballot),
  ]),
});

/** Adds the number of the sender's voter set to a message of another protocol. */
export const withVoterSetNumber = (message: Message, { number }: VoterSet): Message => ({
  ...message,
  [VOTER_SET_NUMBER]: number,
});

/** The number of the sender's voter set in a message of another protocol, if it has one. */
export const voterSetNumberOf = (message: Message): number | undefined => {
  const number = message[VOTER_SET_NUMBER];
  return typeof number === "number" ? number : undefined;
};
