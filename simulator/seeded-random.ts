import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** All that is left to chance in a play comes from one seed through objects of this class. */
export class Chance {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number between the two, both included. */
  readonly whole = (from: number, to: number): number => uniformInt(this.generator, from, to);

  /** A number from 0 up to, but not, 1. */
  readonly share = (): number => this.whole(0, 0x7fff_ffff) / 0x8000_0000;

  readonly hits = (part: number): boolean => part > 0 && this.share() < part;

  /** One of a list that is not empty. */
  readonly pick = <T>(list: readonly T[]): T => {
    const picked = list[this.whole(0, list.length - 1)];
    if (picked === undefined) throw new Error("nothing to pick from");
    return picked;
  };

  readonly fork = (): Chance => new Chance(this.whole(0, 0x7fff_ffff));
}
