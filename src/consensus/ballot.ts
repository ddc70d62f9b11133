import { asList, asNumber, asString } from "../common/decode.js";

/**
 * The number of one try at a register, or at a roster.
 * Invariant: `by` names one life of one box, and a life uses each number once, so no two tries ever bear the same ballot.
 */
export interface Ballot {
  readonly number: number;
  readonly proposer: string;
}

/** On disk and between boxes. */
export type EncodedBallot = readonly [number, string];

export const NO_BALLOT: Ballot = { number: 0, proposer: "" };

export const isHigherBallot = (one: Ballot, other: Ballot): boolean =>
  one.number > other.number || (one.number === other.number && one.proposer > other.proposer);

export const isSameBallot = (one: Ballot, other: Ballot): boolean =>
  one.number === other.number && one.proposer === other.proposer;

export const higherBallot = (one: Ballot, other: Ballot): Ballot =>
  isHigherBallot(other, one) ? other : one;

export const encodeBallot = ({ number, proposer: by }: Ballot): EncodedBallot => [number, by];

export const decodeBallot = (value: unknown): Ballot => {
  const [number, by] = asList(value, "ballot");
  return { number: asNumber(number), proposer: asString(by) };
};
