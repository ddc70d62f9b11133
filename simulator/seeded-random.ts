/** Seeded pseudo-random numbers (xoroshiro128+). */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The source of all randomness in a simulated run; every instance derives from the run's seed. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `from` to `to`, both inclusive. */
  readonly integer = (from: number, to: number): number => uniformInt(this.generator, from, to);

  /** Returns a number in [0, 1). */
  readonly fraction = (): number => this.integer(0, 0x7fff_ffff) / 0x8000_0000;

  /** Returns true with the given probability. */
  readonly occurs = (probability: number): boolean =>
    probability > 0 && this.fraction() < probability;

  /** Returns a random element of a non-empty list. */
  readonly pick = <T>(list: readonly T[]): T => {
    const picked = list[this.integer(0, list.length - 1)];
    if (picked === undefined) throw new Error("cannot pick an element of an empty list");
    return picked;
  };

  /** Returns an independent generator, whose draws do not affect those of this one. */
  readonly fork = (): SeededRandom => new SeededRandom(this.integer(0, 0x7fff_ffff));
}
