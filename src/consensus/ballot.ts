import { asList, asNumber, asString } from "../common/decode.js";

/**
 * The number of one try at a register, or at a roster.
 * Invariant: `by` names one life of one box, and a life uses each number once, so no two tries ever bear the same ballot.
 */
export interface Ballot {
  readonly number: number;
  readonly by: string;
}

/** On disk and between boxes. */
export type PackedBallot = readonly [number, string];

export const NO_BALLOT: Ballot = { number: 0, by: "" };

export const isHigher = (one: Ballot, other: Ballot): boolean =>
  one.number > other.number || (one.number === other.number && one.by > other.by);

export const isSame = (one: Ballot, other: Ballot): boolean =>
  one.number === other.number && one.by === other.by;

export const higherOf = (one: Ballot, other: Ballot): Ballot =>
  isHigher(other, one) ? other : one;

export const packBallot = ({ number, by }: Ballot): PackedBallot => [number, by];

export const readBallot = (value: unknown): Ballot => {
  const [number, by] = asList(value, "ballot");
  return { number: asNumber(number), by: asString(by) };
};
