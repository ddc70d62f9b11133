import { createHash } from "node:crypto";
import {
  asList,
  asRecord,
  readFlag,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../common/decode.js";

/**
 * A register is one item with a version of its own, as it was agreed.
 * Invariant: a version names one content for good. `past` keeps what was agreed under earlier numbers, so that an order
 * that comes again long after newer ones is known; below `pastFrom` this is no longer known.
 */
export interface Register {
  readonly key: string;
  readonly version: number;
  readonly dropped: boolean;
  /** The item as the operator wrote it, in JSON; empty for a drop. */
  readonly body: string;
  /** Of key, version, dropped and body. */
  readonly digest: string;
  /** Earlier numbers with the digests of their contents, rising. */
  readonly past: readonly Past[];
  readonly pastFrom: number;
}

export type Past = readonly [version: number, digest: string];

/** How many earlier numbers are kept for each item. */
const MAX_PAST_VERSIONS = 256;

export const makeRegister = (
  key: string,
  version: number,
  body: string,
  dropped = false,
): Register => ({
  key,
  version,
  dropped,
  body,
  digest: createHash("sha1")
    .update(`${key}\n${version}\n${dropped ? 1 : 0}\n${body}`)
    .digest("base64")
    .slice(0, 16),
  past: [],
  pastFrom: 0,
});

export const decodeRegister = (value: unknown): Register => {
  const record = asRecord(value, "register");
  const past =
    record["past"] === undefined
      ? []
      : asList(record["past"], "past").map((row): Past => [
          asNumber(asList(row, "past")[0]),
          asString(asList(row, "past")[1]),
        ]);
  const pastFrom = record["pastFrom"] === undefined ? 0 : readNumber(record, "pastFrom");
  return {
    ...makeRegister(
      readString(record, "key"),
      readNumber(record, "version"),
      readString(record, "body"),
      readFlag(record, "dropped"),
    ),
    past,
    pastFrom,
  };
};

/** Registers travel and lie on disk without their digest, which the reader makes anew. */
export const encodeRegister = ({
  key,
  version,
  body,
  dropped,
  past,
  pastFrom,
}: Register): UnknownRecord => ({
  key,
  version,
  body,
  dropped,
  ...(past.length > 0 ? { past } : {}),
  ...(pastFrom > 0 ? { pastFrom } : {}),
});

const withPast = (register: Register, past: readonly Past[], pastFrom: number): Register => {
  const rising = [...past].sort(([a], [b]) => a - b);
  const kept = rising.slice(-MAX_PAST_VERSIONS);
  return {
    ...register,
    past: kept,
    pastFrom: kept.length < rising.length ? (kept[0]?.[0] ?? pastFrom) : pastFrom,
  };
};

/** What an order comes to, given what stands. */
export type WriteOutcome =
  /** It is taken: `next` is to be agreed. An order overtaken by a newer one changes only `past`. */
  | { readonly kind: "applied"; readonly next: Register }
  /** The same order was taken before. */
  | { readonly kind: "duplicate" }
  /** Another content has this number. */
  | { readonly kind: "conflict" }
  /** So old that what its number named is no longer known. */
  | { readonly kind: "forgotten" };

export const applyWrite = (now: Register | undefined, order: Register): WriteOutcome => {
  if (!now) return { kind: "applied", next: order };
  const agreed =
    order.version === now.version
      ? now.digest
      : now.past.find(([version]) => version === order.version)?.[1];
  if (agreed !== undefined) return { kind: agreed === order.digest ? "duplicate" : "conflict" };
  if (order.version < now.pastFrom) return { kind: "forgotten" };
  if (order.version < now.version)
    return {
      kind: "applied",
      next: withPast(now, [...now.past, [order.version, order.digest]], now.pastFrom),
    };
  return {
    kind: "applied",
    next: withPast(order, [...now.past, [now.version, now.digest]], now.pastFrom),
  };
};
