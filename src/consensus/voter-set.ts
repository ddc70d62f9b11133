import { asRec, list, textOf, whole, type Rec } from "../common/decode.js";

/**
 * The members whose copies count, as decided under this number.
 * Invariants: each number is decided once, by quorums of the roster before it; while `from` is not empty the roster is
 * joint: whatever is decided needs a quorum of `from` and one of `members`, until `members` hold all that is agreed.
 */
export interface Roster {
  readonly number: number;
  readonly members: readonly string[];
  readonly from: readonly string[];
}

export const NO_ROSTER: Roster = { number: 0, members: [], from: [] };

export const isJoint = ({ from }: Roster): boolean => from.length > 0;

/** Of each of these a quorum is needed. */
export const setsOf = (roster: Roster): readonly (readonly string[])[] =>
  isJoint(roster) ? [roster.from, roster.members] : [roster.members];

export const everyoneOf = (roster: Roster): readonly string[] => [
  ...new Set([...roster.from, ...roster.members]),
];

export const packRoster = ({ number, members, from }: Roster): Rec => ({ number, members, from });

export const readRoster = (value: unknown): Roster => {
  const rec = asRec(value, "roster");
  return {
    number: whole(rec, "number"),
    members: list(rec, "members", textOf),
    from: list(rec, "from", textOf),
  };
};

export const quorumOf = (members: readonly string[], withstandMachines: number): number =>
  Math.min(members.length, Math.max(Math.floor(members.length / 2) + 1, withstandMachines + 1));

/** As many copies as share a member with every quorum. */
export const readQuorumOf = (members: readonly string[], withstandMachines: number): number =>
  members.length - quorumOf(members, withstandMachines) + 1;

export const majorityOf = (members: readonly string[]): number =>
  Math.floor(members.length / 2) + 1;
