/**
 * Terms of the leader lease. A term is the version of one register, which is decided like any
 * other. It serves as a fencing token: replicas that have accepted a newer grant reject writes
 * under an older term.
 */
import {
  asRecord,
  parseJson,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { Register } from "./register.js";

/** The register that holds the newest grant of the leader lease. */
export const LEADER_LEASE_KEY = "duty/grant";

/**
 * A grant of the leader lease: each number is granted once, to one incarnation of one controller.
 */
export interface Term {
  readonly number: number;
  readonly holder: string;
  readonly incarnation: string;
}

/** The key under which the incarnation is stored and sent. */
const INCARNATION = "life";

/** The body of a grant, as stored in the register. */
export const encodeGrant = (holder: string, incarnation: string): string =>
  JSON.stringify({ holder, [INCARNATION]: incarnation });

/** The term of a grant; undefined if nothing was granted yet. */
export const termOf = (grant: Register | undefined): Term | undefined => {
  if (!grant) return undefined;
  const record = asRecord(parseJson(grant.body), "grant");
  return {
    number: grant.version,
    holder: readString(record, "holder"),
    incarnation: readString(record, INCARNATION),
  };
};

/** Encodes a term for messages. */
export const encodeTerm = ({ number, holder, incarnation }: Term): UnknownRecord => ({
  number,
  holder,
  [INCARNATION]: incarnation,
});

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeTerm = (value: unknown): Term => {
  const record = asRecord(value, "term");
  return {
    number: readNumber(record, "number"),
    holder: readString(record, "holder"),
    incarnation: readString(record, INCARNATION),
  };
};

/**
 * Whether the grant has a higher number than the term, or the same number with another holder or
 * incarnation.
 */
export const supersedes = (grant: Register | undefined, term: Term): boolean => {
  const known = termOf(grant);
  if (!known) return false;
  return (
    known.number > term.number ||
    (known.number === term.number &&
      (known.holder !== term.holder || known.incarnation !== term.incarnation))
  );
};
