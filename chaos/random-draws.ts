/** Random draws from a seed (xoroshiro128+). */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** The first draws of similar seeds are correlated, so that this many are discarded. */
const DISCARDED_DRAWS = 32;

/** Random numbers from a seed; the same seed gives the same draws on any machine. */
export class RandomDraws {
  private readonly random: RandomGenerator;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
    skipN(this.random, DISCARDED_DRAWS);
  }

  /** An integer from `min` to `max`, both inclusive. */
  readonly integer = (min: number, max: number): number =>
    uniformInt(this.random, min, Math.max(min, max));

  /** A number between `min` and `max`, rounded to two decimals, or to three below 0.1. */
  readonly number = (min: number, max: number): number =>
    round(min + uniformFloat64(this.random) * (max - min));

  /** Like `number`, but distributed uniformly on a logarithmic scale. */
  readonly logNumber = (min: number, max: number): number =>
    round(min * (max / min) ** uniformFloat64(this.random));

  /** True with the given probability. */
  readonly occurs = (probability: number): boolean => uniformFloat64(this.random) < probability;

  /** One of the items; undefined if there are none. */
  readonly pick = <T>(items: readonly T[]): T | undefined =>
    items.length === 0 ? undefined : items[this.integer(0, items.length - 1)];
}

const round = (value: number): number =>
  value < 0.1 ? Math.round(value * 1_000) / 1_000 : Math.round(value * 100) / 100;
