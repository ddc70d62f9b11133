/**
 * The records that a replica keeps on disk. The keys and the values of `t` are those of stored
 * files and never change; the types beside them have the names that the code uses. Records may be
 * replayed in any order and more than once.
 */
import { asList, asRecord, asString, readList, type UnknownRecord } from "../common/decode.js";
import { decodeBallot, encodeBallot, isHigherBallot, NO_BALLOT, type Ballot } from "./ballot.js";
import { decodeCall, encodeCall } from "./call-codec.js";
import type { ProposedCall } from "./proposal-history.js";
import { decodeRegister, encodeRegister, type Register } from "./register.js";
import { decodeVoterSet, encodeVoterSet, type VoterSet } from "./voter-set.js";

/** What a replica holds under one key. */
export interface Entry {
  readonly key: string;
  readonly promised: Ballot;
  /** Of `register`; number 0 where nothing was ever proposed. */
  readonly ballot: Ballot;
  /** Undefined where a ballot committed that nothing is there. */
  readonly register: Register | undefined;
  /**
   * Whether this replica itself accepted it at that ballot; else it was learned, and is no vote.
   */
  readonly isAccepted: boolean;
  /** Whether it is known that a quorum accepted it at that ballot. */
  readonly isCommitted: boolean;
}

/** A key with what is to be accepted under it; undefined where nothing is there. */
export type Item = readonly [key: string, register: Register | undefined];

/** The decision on the voter set of one number, as far as this replica has taken part in it. */
export interface VoterSetProposal {
  readonly number: number;
  readonly promised: Ballot;
  readonly ballot: Ballot;
  readonly voterSet: VoterSet | undefined;
}

/** A record as the replica replays it. */
export type ReplicaRecord =
  | { readonly type: "floor"; readonly ballot: Ballot }
  | { readonly type: "promise"; readonly ballot: Ballot; readonly keys: readonly string[] }
  | { readonly type: "vote"; readonly ballot: Ballot; readonly items: readonly Item[] }
  | { readonly type: "call"; readonly call: ProposedCall }
  /** Like learned ones; versions before the history of proposals don't know the type. */
  | { readonly type: "earlier"; readonly entries: readonly Entry[] }
  | { readonly type: "learned"; readonly entries: readonly Entry[] }
  | { readonly type: "voter-set"; readonly voterSet: VoterSet }
  | { readonly type: "proposal"; readonly proposal: VoterSetProposal }
  | { readonly type: "voting" };

/** The key that tells the type of a record, and its values. */
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

/** Further keys. */
const BALLOT = "at";
const ROWS = "rows";

/** The form in records and messages. */
export const encodeItem = ([key, register]: Item): readonly unknown[] => [
  key,
  register ? encodeRegister(register) : null,
];

/** A register, or undefined where nothing is there. */
export const decodeContent = (value: unknown): Register | undefined =>
  value === null || value === undefined ? undefined : decodeRegister(value);

/** @throws DecodeError where it is no pair of a key and a register or null */
export const decodeItem = (value: unknown): Item => {
  const [key, content] = asList(value, "item");
  return [asString(key), decodeContent(content)];
};

/** The promise is left out where it is no higher than the ballot: it follows from that. */
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

/** Nothing is accepted below this ballot, whatever its key. */
export const floorRecord = (ballot: Ballot): UnknownRecord => ({
  [TYPE]: FLOOR,
  [BALLOT]: encodeBallot(ballot),
});

/** The ballot was promised for these keys. */
export const promiseRecord = (ballot: Ballot, keys: readonly string[]): UnknownRecord => ({
  [TYPE]: PROMISE,
  [BALLOT]: encodeBallot(ballot),
  keys,
});

/** The items were accepted at the ballot. */
export const voteRecord = (ballot: Ballot, items: readonly Item[]): UnknownRecord => ({
  [TYPE]: VOTE,
  [BALLOT]: encodeBallot(ballot),
  items: items.map(encodeItem),
});

/** These items were proposed together and are not known to be committed. */
export const callRecord = (call: ProposedCall): UnknownRecord => ({
  [TYPE]: CALL,
  ...encodeCall(call),
});

/** Entries that this replica held before those that it holds now. */
export const earlierRecord = (entries: readonly Entry[]): UnknownRecord => ({
  [TYPE]: EARLIER,
  [ROWS]: entries.map(encodeEntry),
});

/** Entries that others hold, or all of this replica's own. */
export const learnedRecord = (entries: readonly Entry[]): UnknownRecord => ({
  [TYPE]: LEARNED,
  [ROWS]: entries.map(encodeEntry),
});

/** The voter set was decided. */
export const voterSetRecord = (voterSet: VoterSet): UnknownRecord => ({
  [TYPE]: VOTER_SET,
  [VOTER_SET]: encodeVoterSet(voterSet),
});

/** From here on the replica votes. */
export const votingRecord = (): UnknownRecord => ({ [TYPE]: VOTING });

/** A proposal for the next voter set; messages carry it in the same form. */
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

/** @throws DecodeError where a field is missing or of another type */
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
 * Reads one record; undefined for a type that is not known, as a later version may write it.
 *
 * @throws DecodeError where a field is missing or of another type
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
