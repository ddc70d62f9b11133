/**
 * Ballots (proposal numbers): the total order in which proposals for a register, or for a voter
 * set, are made.
 */
import { asList, asNumber, asString } from "../common/decode.js";

/**
 * The number of one attempt to decide a register or a voter set.
 *
 * Invariant: `proposer` names one incarnation of one controller, and an incarnation uses each
 * number once, so no two attempts ever have the same ballot.
 */
export interface Ballot {
  readonly number: number;
  readonly proposer: string;
}

/** On disk and between controllers. */
export type EncodedBallot = readonly [number, string];

/** Lower than every ballot that is used. */
export const NO_BALLOT: Ballot = { number: 0, proposer: "" };

/** By number, then by proposer. */
export const isHigherBallot = (one: Ballot, other: Ballot): boolean =>
  one.number > other.number || (one.number === other.number && one.proposer > other.proposer);

/** Whether both name the same attempt. */
export const isSameBallot = (one: Ballot, other: Ballot): boolean =>
  one.number === other.number && one.proposer === other.proposer;

/** The higher of two; the first where they are the same. */
export const higherBallot = (one: Ballot, other: Ballot): Ballot =>
  isHigherBallot(other, one) ? other : one;

/** The form in records and messages. */
export const encodeBallot = ({ number, proposer }: Ballot): EncodedBallot => [number, proposer];

/** @throws DecodeError where it is no pair of a number and a text */
export const decodeBallot = (value: unknown): Ballot => {
  const [number, proposer] = asList(value, "ballot");
  return { number: asNumber(number), proposer: asString(proposer) };
};
