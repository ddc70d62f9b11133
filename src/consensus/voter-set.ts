import { asRecord, readList, asString, readNumber, type UnknownRecord } from "../common/decode.js";

/**
 * The members whose copies count, as decided under this number.
 * Invariants: each number is decided once, by quorums of the roster before it; while `from` is not empty the roster is
 * joint: whatever is decided needs a quorum of `from` and one of `members`, until `members` hold all that is agreed.
 */
export interface VoterSet {
  readonly number: number;
  readonly members: readonly string[];
  readonly from: readonly string[];
}

export const NO_VOTER_SET: VoterSet = { number: 0, members: [], from: [] };

export const isJoint = ({ from }: VoterSet): boolean => from.length > 0;

/** Of each of these a quorum is needed. */
export const quorumSetsOf = (voterSet: VoterSet): readonly (readonly string[])[] =>
  isJoint(voterSet) ? [voterSet.from, voterSet.members] : [voterSet.members];

export const allMembersOf = (voterSet: VoterSet): readonly string[] => [
  ...new Set([...voterSet.from, ...voterSet.members]),
];

export const encodeVoterSet = ({ number, members, from }: VoterSet): UnknownRecord => ({
  number,
  members,
  from,
});

export const decodeVoterSet = (value: unknown): VoterSet => {
  const record = asRecord(value, "roster");
  return {
    number: readNumber(record, "number"),
    members: readList(record, "members", asString),
    from: readList(record, "from", asString),
  };
};

export const quorumSize = (members: readonly string[], withstandMachines: number): number =>
  Math.min(members.length, Math.max(Math.floor(members.length / 2) + 1, withstandMachines + 1));

/** As many copies as share a member with every quorum. */
export const readQuorumSize = (members: readonly string[], withstandMachines: number): number =>
  members.length - quorumSize(members, withstandMachines) + 1;

export const majoritySize = (members: readonly string[]): number =>
  Math.floor(members.length / 2) + 1;
