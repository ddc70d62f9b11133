/**
 * Rendezvous hashing (highest random weight; Thaler and Ravishankar 1998): ranks candidates for a
 * key so that adding or removing one candidate leaves the order of the others unchanged.
 */
import { crc32 } from "node:zlib";

/**
 * The finalizer of MurmurHash3. With crc32 alone, many keys would rank candidates that differ in
 * one digit alike.
 */
const murmurFinalizer = (value: number): number => {
  const once = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  const twice = Math.imul(once ^ (once >>> 13), 0xc2b2ae35);
  return (twice ^ (twice >>> 16)) >>> 0;
};

/** The weight of a candidate for a key. It does not depend on any other candidate or key. */
export const rendezvousWeight = (key: string, candidate: string): number =>
  murmurFinalizer(crc32(`${key}\n${candidate}`));
