import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** The first draws of seeds that differ little are alike; these are not used. */
const SKIPPED = 32;

/** Draws from a seed; the same seed gives the same draws on any machine. */
export class Draw {
  private readonly random: RandomGenerator;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
    skipN(this.random, SKIPPED);
  }

  /** A whole number from `least` to `most`, both included. */
  readonly whole = (least: number, most: number): number =>
    uniformInt(this.random, least, Math.max(least, most));

  /** A number between, with two digits after the point, or three below 0.1. */
  readonly between = (least: number, most: number): number =>
    digits(least + uniformFloat64(this.random) * (most - least));

  /** Like `between`, with as many draws below the geometric middle as above. */
  readonly spread = (least: number, most: number): number =>
    digits(least * (most / least) ** uniformFloat64(this.random));

  readonly chance = (part: number): boolean => uniformFloat64(this.random) < part;

  /** One of these; undefined if there are none. */
  readonly one = <T>(of: readonly T[]): T | undefined =>
    of.length === 0 ? undefined : of[this.whole(0, of.length - 1)];
}

const digits = (value: number): number =>
  value < 0.1 ? Math.round(value * 1_000) / 1_000 : Math.round(value * 100) / 100;
