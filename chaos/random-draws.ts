/** Random figures of a day from a seed (xoroshiro128+). */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** The first draws of seeds that differ little are alike; these are not used. */
const SKIPPED = 32;

/** Draws from a seed; the same seed gives the same draws on any machine. */
export class RandomDraws {
  private readonly random: RandomGenerator;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
    skipN(this.random, SKIPPED);
  }

  /** An integer from `least` to `most`, both included. */
  readonly integer = (min: number, max: number): number =>
    uniformInt(this.random, min, Math.max(min, max));

  /** A number between, with two digits after the point, or three below 0.1. */
  readonly number = (min: number, max: number): number =>
    digits(min + uniformFloat64(this.random) * (max - min));

  /** Like `number`, with as many draws below the geometric middle as above. */
  readonly logNumber = (min: number, max: number): number =>
    digits(min * (max / min) ** uniformFloat64(this.random));

  /** True with this probability. */
  readonly occurs = (probability: number): boolean => uniformFloat64(this.random) < probability;

  /** One of these; undefined if there are none. */
  readonly pick = <T>(of: readonly T[]): T | undefined =>
    of.length === 0 ? undefined : of[this.integer(0, of.length - 1)];
}

const digits = (value: number): number =>
  value < 0.1 ? Math.round(value * 1_000) / 1_000 : Math.round(value * 100) / 100;
