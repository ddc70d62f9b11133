/** Seeded draws, so that a seed gives the same schedule again. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A sequence of draws. */
export class RandomDraws {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number from 0 up to, and without, the limit. */
  readonly below = (limit: number): number => uniformInt(this.generator, 0, limit - 1);

  /** True in this fraction of the draws. */
  readonly chance = (fraction: number): boolean => uniformFloat64(this.generator) < fraction;

  /** One of the items. Throws where there is none. */
  readonly pick = <T>(items: readonly T[]): T => {
    const item = items[this.below(items.length)];
    if (item === undefined) throw new RangeError("there is nothing to pick from");
    return item;
  };
}
