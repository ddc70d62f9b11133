/** Ballots (proposal numbers): a total order of the proposals for a register or a voter set. */
import { asList, asNumber, asString } from "../common/decode.js";

/**
 * Identifies one attempt to decide a register or a voter set.
 *
 * Invariant: `proposer` names one incarnation of one controller, and an incarnation uses each
 * number once, so no two attempts ever have the same ballot.
 */
export interface Ballot {
  readonly number: number;
  readonly proposer: string;
}

/** A ballot as stored on disk and sent between controllers. */
export type EncodedBallot = readonly [number, string];

/** Placeholder that is lower than every ballot in use. */
export const NO_BALLOT: Ballot = { number: 0, proposer: "" };

/** Whether `one` is higher than `other`, compared by number and then by proposer. */
export const isHigherBallot = (one: Ballot, other: Ballot): boolean =>
  one.number > other.number || (one.number === other.number && one.proposer > other.proposer);

/** Whether both ballots identify the same attempt. */
export const isSameBallot = (one: Ballot, other: Ballot): boolean =>
  one.number === other.number && one.proposer === other.proposer;

/** The higher of two ballots; the first if they are the same. */
export const higherBallot = (one: Ballot, other: Ballot): Ballot =>
  isHigherBallot(other, one) ? other : one;

/** Encodes a ballot for records and messages. */
export const encodeBallot = ({ number, proposer }: Ballot): EncodedBallot => [number, proposer];

/** @throws DecodeError if the value is not a pair of a number and a string */
export const decodeBallot = (value: unknown): Ballot => {
  const [number, proposer] = asList(value, "ballot");
  return { number: asNumber(number), proposer: asString(proposer) };
};
