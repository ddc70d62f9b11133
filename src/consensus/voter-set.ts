/** Voter sets: whose replicas count in quorums, and how many of them a quorum takes. */
import { asRecord, readList, asString, readNumber, type UnknownRecord } from "../common/decode.js";

/**
 * The members whose replicas vote, as decided under this number.
 *
 * Invariants: each number is decided once, by quorums of the voter set before it; while `from` is
 * not empty the voter set is joint: whatever is decided needs a quorum of `from` and one of
 * `members`, until `members` hold all that is committed.
 */
export interface VoterSet {
  readonly number: number;
  readonly members: readonly string[];
  readonly from: readonly string[];
}

/** Before the first is known. */
export const NO_VOTER_SET: VoterSet = { number: 0, members: [], from: [] };

/** Whether the change from an earlier set of members is not completed. */
export const isJoint = ({ from }: VoterSet): boolean => from.length > 0;

/** Of each of these a quorum is needed. */
export const quorumSetsOf = (voterSet: VoterSet): readonly (readonly string[])[] =>
  isJoint(voterSet) ? [voterSet.from, voterSet.members] : [voterSet.members];

/** All members, of both sets while it is joint. */
export const allMembersOf = (voterSet: VoterSet): readonly string[] => [
  ...new Set([...voterSet.from, ...voterSet.members]),
];

/** The form in records and messages. */
export const encodeVoterSet = ({ number, members, from }: VoterSet): UnknownRecord => ({
  number,
  members,
  from,
});

/** @throws DecodeError where a field is missing or of another type */
export const decodeVoterSet = (value: unknown): VoterSet => {
  const record = asRecord(value, "roster");
  return {
    number: readNumber(record, "number"),
    members: readList(record, "members", asString),
    from: readList(record, "from", asString),
  };
};

/**
 * `max(majority, withstandMachines + 1)`, and at most all: two quorums share a member, and no loss
 * of as many machines as must be withstood takes all replicas of what is committed.
 */
export const quorumSize = (members: readonly string[], withstandMachines: number): number =>
  Math.min(members.length, Math.max(Math.floor(members.length / 2) + 1, withstandMachines + 1));

/** As many replicas as share a member with every quorum. */
export const readQuorumSize = (members: readonly string[], withstandMachines: number): number =>
  members.length - quorumSize(members, withstandMachines) + 1;

/** More than half. */
export const majoritySize = (members: readonly string[]): number =>
  Math.floor(members.length / 2) + 1;
