/** Voter sets: the members whose replicas count in quorums, and the sizes of quorums. */
import { asRecord, readList, asString, readNumber, type UnknownRecord } from "../common/decode.js";

/**
 * The members whose replicas vote, as decided under this number.
 *
 * Invariants: each number is decided once, by quorums of the preceding voter set; while `from` is
 * not empty, the voter set is joint: every decision needs a quorum of `from` and one of `members`,
 * until `members` hold all that is committed.
 */
export interface VoterSet {
  readonly number: number;
  readonly members: readonly string[];
  readonly from: readonly string[];
}

/** Placeholder while no voter set is known. */
export const NO_VOTER_SET: VoterSet = { number: 0, members: [], from: [] };

/** Whether the change from an earlier set of members is not completed yet. */
export const isJoint = ({ from }: VoterSet): boolean => from.length > 0;

/** The sets of members of which each must provide a quorum. */
export const quorumSetsOf = (voterSet: VoterSet): readonly (readonly string[])[] =>
  isJoint(voterSet) ? [voterSet.from, voterSet.members] : [voterSet.members];

/** All members, of both sets while the voter set is joint. */
export const allMembersOf = (voterSet: VoterSet): readonly string[] => [
  ...new Set([...voterSet.from, ...voterSet.members]),
];

/** Encodes a voter set for records and messages. */
export const encodeVoterSet = ({ number, members, from }: VoterSet): UnknownRecord => ({
  number,
  members,
  from,
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeVoterSet = (value: unknown): VoterSet => {
  const record = asRecord(value, "roster");
  return {
    number: readNumber(record, "number"),
    members: readList(record, "members", asString),
    from: readList(record, "from", asString),
  };
};

/**
 * `max(majority, withstandMachines + 1)`, and at most all members: any two quorums share a member,
 * and the loss of `withstandMachines` machines never takes all replicas of what is committed.
 */
export const quorumSize = (members: readonly string[], withstandMachines: number): number =>
  Math.min(members.length, Math.max(Math.floor(members.length / 2) + 1, withstandMachines + 1));

/** The smallest number of replicas that is sure to share a member with every quorum. */
export const readQuorumSize = (members: readonly string[], withstandMachines: number): number =>
  members.length - quorumSize(members, withstandMachines) + 1;

/** More than half of the members. */
export const majoritySize = (members: readonly string[]): number =>
  Math.floor(members.length / 2) + 1;
