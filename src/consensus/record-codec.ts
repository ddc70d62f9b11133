/**
 * Encoding of the records that a replica keeps on disk. The keys and the values of `t` appear in
 * stored files and never change; the types here use the names of the code. Records may be replayed
 * in any order and more than once.
 */
import { asList, asRecord, asString, readList, type UnknownRecord } from "../common/decode.js";
import { decodeBallot, encodeBallot, isHigherBallot, NO_BALLOT, type Ballot } from "./ballot.js";
import { decodeCall, encodeCall } from "./call-codec.js";
import type { ProposedCall } from "./proposal-history.js";
import { decodeRegister, encodeRegister, type Register } from "./register.js";
import { decodeVoterSet, encodeVoterSet, type VoterSet } from "./voter-set.js";

/** The state of a replica for one key. */
export interface Entry {
  readonly key: string;
  readonly promised: Ballot;
  /** The ballot of `register`; its number is 0 if nothing was ever proposed. */
  readonly ballot: Ballot;
  /** Undefined if a ballot committed the key as empty. */
  readonly register: Register | undefined;
  /**
   * Whether this replica itself accepted it at that ballot. Otherwise, it was learned and is not a
   * vote.
   */
  readonly isAccepted: boolean;
  /** Whether a quorum is known to have accepted it at that ballot. */
  readonly isCommitted: boolean;
}

/** A key with the register to accept under it; undefined if the key is empty. */
export type Item = readonly [key: string, register: Register | undefined];

/** The decision on the voter set of one number, as far as this replica has taken part in it. */
export interface VoterSetProposal {
  readonly number: number;
  readonly promised: Ballot;
  readonly ballot: Ballot;
  readonly voterSet: VoterSet | undefined;
}

/** A decoded record, as the replica replays it. */
export type ReplicaRecord =
  | { readonly type: "floor"; readonly ballot: Ballot }
  | { readonly type: "promise"; readonly ballot: Ballot; readonly keys: readonly string[] }
  | { readonly type: "vote"; readonly ballot: Ballot; readonly items: readonly Item[] }
  | { readonly type: "call"; readonly call: ProposedCall }
  /** Replayed like `learned`. Versions older than the proposal history do not know this type. */
  | { readonly type: "earlier"; readonly entries: readonly Entry[] }
  | { readonly type: "learned"; readonly entries: readonly Entry[] }
  | { readonly type: "voter-set"; readonly voterSet: VoterSet }
  | { readonly type: "proposal"; readonly proposal: VoterSetProposal }
  | { readonly type: "voting" };

/** The key of the record type, and its values. */
const TYPE = "t";
const FLOOR = "floor";
const PROMISE = "promise";
const VOTE = "vote";
const CALL = "call";
const EARLIER = "earlier";
const LEARNED = "learned";
const VOTER_SET = "roster";
const PROPOSAL = "pending";
const VOTING = "counting";

/** Other keys. */
const BALLOT = "at";
const ROWS = "rows";

/** Encodes an item for records and messages. */
export const encodeItem = ([key, register]: Item): readonly unknown[] => [
  key,
  register ? encodeRegister(register) : null,
];

/** Decodes a register; undefined if the key is empty. */
export const decodeContent = (value: unknown): Register | undefined =>
  value === null || value === undefined ? undefined : decodeRegister(value);

/** @throws DecodeError if the value is not a pair of a key and a register or null */
export const decodeItem = (value: unknown): Item => {
  const [key, content] = asList(value, "item");
  return [asString(key), decodeContent(content)];
};

/** Omits the promise if it is no higher than the ballot, which implies it. */
const encodeEntry = ({
  key,
  register,
  ballot,
  isAccepted,
  isCommitted,
  promised,
}: Entry): readonly unknown[] => [
  ...encodeItem([key, register]),
  encodeBallot(ballot),
  isAccepted,
  isCommitted,
  ...(isHigherBallot(promised, ballot) ? [encodeBallot(promised)] : []),
];

const decodeEntry = (value: unknown): Entry => {
  const row = asList(value);
  const [key, register] = decodeItem(row);
  return {
    key,
    register,
    ballot: decodeBallot(row[2]),
    promised: row[5] === undefined ? NO_BALLOT : decodeBallot(row[5]),
    isAccepted: row[3] === true,
    isCommitted: row[4] === true,
  };
};

/** Record that nothing below this ballot is accepted, for any key. */
export const floorRecord = (ballot: Ballot): UnknownRecord => ({
  [TYPE]: FLOOR,
  [BALLOT]: encodeBallot(ballot),
});

/** Record that the ballot was promised for these keys. */
export const promiseRecord = (ballot: Ballot, keys: readonly string[]): UnknownRecord => ({
  [TYPE]: PROMISE,
  [BALLOT]: encodeBallot(ballot),
  keys,
});

/** Record that the items were accepted at the ballot. */
export const voteRecord = (ballot: Ballot, items: readonly Item[]): UnknownRecord => ({
  [TYPE]: VOTE,
  [BALLOT]: encodeBallot(ballot),
  items: items.map(encodeItem),
});

/** Record that these items were proposed together and are not known to be committed. */
export const callRecord = (call: ProposedCall): UnknownRecord => ({
  [TYPE]: CALL,
  ...encodeCall(call),
});

/** Record of entries that this replica held before its current ones. */
export const earlierRecord = (entries: readonly Entry[]): UnknownRecord => ({
  [TYPE]: EARLIER,
  [ROWS]: entries.map(encodeEntry),
});

/** Record of entries learned from other replicas, or of all entries of this replica. */
export const learnedRecord = (entries: readonly Entry[]): UnknownRecord => ({
  [TYPE]: LEARNED,
  [ROWS]: entries.map(encodeEntry),
});

/** Record that the voter set was decided. */
export const voterSetRecord = (voterSet: VoterSet): UnknownRecord => ({
  [TYPE]: VOTER_SET,
  [VOTER_SET]: encodeVoterSet(voterSet),
});

/** Record that the replica votes from here on. */
export const votingRecord = (): UnknownRecord => ({ [TYPE]: VOTING });

/** Encodes a proposal for the next voter set, for records and messages. */
export const encodeProposal = ({
  number,
  promised,
  ballot,
  voterSet,
}: VoterSetProposal): UnknownRecord => ({
  [TYPE]: PROPOSAL,
  number,
  promised: encodeBallot(promised),
  ballot: encodeBallot(ballot),
  ...(voterSet ? { [VOTER_SET]: encodeVoterSet(voterSet) } : {}),
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeProposal = (value: unknown): VoterSetProposal => {
  const record = asRecord(value, "pending");
  const voterSet = record[VOTER_SET];
  return {
    number: Number(record["number"]),
    promised: decodeBallot(record["promised"]),
    ballot: decodeBallot(record["ballot"]),
    voterSet: voterSet === undefined ? undefined : decodeVoterSet(voterSet),
  };
};

/**
 * Decodes one record; undefined for an unknown type, which a later version may have written.
 *
 * @throws DecodeError if a field is missing or has the wrong type
 */
export const decodeRecord = (record: UnknownRecord): ReplicaRecord | undefined => {
  switch (record[TYPE]) {
    case FLOOR:
      return { type: "floor", ballot: decodeBallot(record[BALLOT]) };
    case PROMISE:
      return {
        type: "promise",
        ballot: decodeBallot(record[BALLOT]),
        keys: readList(record, "keys", asString),
      };
    case VOTE:
      return {
        type: "vote",
        ballot: decodeBallot(record[BALLOT]),
        items: readList(record, "items", decodeItem),
      };
    case CALL:
      return { type: "call", call: decodeCall(record) };
    case EARLIER:
      return { type: "earlier", entries: readList(record, ROWS, decodeEntry) };
    case LEARNED:
      return { type: "learned", entries: readList(record, ROWS, decodeEntry) };
    case VOTER_SET:
      return { type: "voter-set", voterSet: decodeVoterSet(record[VOTER_SET]) };
    case PROPOSAL:
      return { type: "proposal", proposal: decodeProposal(record) };
    case VOTING:
      return { type: "voting" };
    default:
      return undefined;
  }
};
