/** Random numbers from a seed (xoroshiro128+). */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** All that is random in a simulated run comes from one seed through objects of this class. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** An integer between the two, both included. */
  readonly integer = (from: number, to: number): number => uniformInt(this.generator, from, to);

  /** A number from 0 up to, but not, 1. */
  readonly fraction = (): number => this.integer(0, 0x7fff_ffff) / 0x8000_0000;

  /** True with this probability. */
  readonly occurs = (probability: number): boolean =>
    probability > 0 && this.fraction() < probability;

  /** One of a list that is not empty. */
  readonly pick = <T>(list: readonly T[]): T => {
    const picked = list[this.integer(0, list.length - 1)];
    if (picked === undefined) throw new Error("nothing to pick from");
    return picked;
  };

  /** A generator of its own, whose draws leave this one's as they are. */
  readonly fork = (): SeededRandom => new SeededRandom(this.integer(0, 0x7fff_ffff));
}
