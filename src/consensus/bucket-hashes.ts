/**
 * Hashes over the ballots of a replica's entries, one per bucket of keys. Two replicas compare them
 * to find the buckets that differ, so that replicas with equal contents exchange only a few hundred
 * bytes.
 */
import { createHash } from "node:crypto";
import type { Ballot } from "./ballot.js";

const BUCKETS = 32;

/** The bucket of a key. The mapping is the same on every replica and in every version. */
export const bucketOf = (key: string): number => {
  let sum = 7;
  for (let at = 0; at < key.length; at += 1) sum = (sum * 31 + key.charCodeAt(at)) % 1_000_003;
  return sum % BUCKETS;
};

/**
 * One hash per bucket, updated incrementally.
 *
 * Invariant: each pair is the exclusive-or of the hashes of the ballots of that bucket's entries.
 */
export class BucketHashes {
  private readonly pairs: (readonly [number, number])[] = new Array<readonly [number, number]>(
    BUCKETS,
  ).fill([0, 0]);

  /** Adds an entry, or removes one that was added before. Entries without a ballot are ignored. */
  readonly toggle = (key: string, ballot: Ballot): void => {
    if (ballot.number === 0) return;
    const at = bucketOf(key);
    const hash = createHash("sha1").update(`${key}\n${ballot.number}\n${ballot.proposer}`).digest();
    const [high, low] = this.pairs[at] ?? [0, 0];
    this.pairs[at] = [(high ^ hash.readUInt32BE(0)) >>> 0, (low ^ hash.readUInt32BE(4)) >>> 0];
  };

  /** One string per bucket, in bucket order. */
  readonly values = (): readonly string[] =>
    this.pairs.map(([high, low]) => `${high.toString(36)}.${low.toString(36)}`);
}
