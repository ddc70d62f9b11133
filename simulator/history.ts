import type { Register } from "../src/consensus/register.js";
import type { VoterSet } from "../src/consensus/voter-set.js";

export type AttemptResult = "open" | "ok" | "conflict" | "invalid" | "unclear";

/** One try of an order at one box, as that box answered it, whether or not the answer reached the operator. */
export interface Attempt {
  readonly order: number;
  readonly box: string;
  readonly fromUs: number;
  toUs: number;
  result: AttemptResult;
  why: string;
}

/** What a box found in force after a read of a quorum. */
export interface Read {
  readonly box: string;
  readonly fromUs: number;
  readonly toUs: number;
  readonly registers: readonly Register[];
}

/** What a box told its nodes to be in force. */
export interface Told {
  readonly atUs: number;
  readonly box: string;
  readonly registers: readonly Register[];
}

export interface Act {
  readonly box: string;
  readonly number: number;
  readonly fromUs: number;
  readonly toUs: number;
}

/** A box told that it is in touch. */
export interface Contact {
  readonly box: string;
  readonly atUs: number;
  /** Who, itself included, answered something that it sent after it was asked. */
  readonly heard: readonly string[];
  /** The sets of its roster before and after. */
  readonly rosters: readonly (readonly (readonly string[])[])[];
}

/** An order or a read that must be served in the calm at the end. */
export interface Call {
  readonly what: string;
  readonly fromUs: number;
  servedUs: number | undefined;
}

/** All that was seen in one play. Times are virtual, in microseconds. */
export class History {
  /** The orders by their ids. */
  readonly orders = new Map<number, readonly Register[]>();
  /** Those that can never be valid. */
  readonly hopeless = new Set<number>();
  readonly attempts: Attempt[] = [];
  readonly reads: Read[] = [];
  readonly told: Told[] = [];
  readonly acts: Act[] = [];
  readonly confirms: Act[] = [];
  readonly holders: {
    readonly atUs: number;
    readonly box: string;
    readonly number: number;
    readonly holder: string;
  }[] = [];
  readonly contacts: Contact[] = [];
  readonly rosters: { readonly atUs: number; readonly box: string; readonly roster: VoterSet }[] =
    [];
  readonly calls: Call[] = [];
  /** Whatever was thrown where nothing should. */
  readonly mishaps: string[] = [];

  readonly begin = (order: number, box: string, fromUs: number): Attempt => {
    const attempt: Attempt = {
      order,
      box,
      fromUs,
      toUs: Number.POSITIVE_INFINITY,
      result: "open",
      why: "",
    };
    this.attempts.push(attempt);
    return attempt;
  };
}
