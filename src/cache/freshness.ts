import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";

export interface FreshnessOptions {
  readonly clock: Clock;
  /** The bound within which a purge takes effect after its acknowledgement. */
  readonly purgeUs: number;
  /** How much longer while the core is unsettled, which a lost session tells of. */
  readonly disconnectedExtraUs: number;
  readonly isUpToDate: () => boolean;
}

/** Kept back of the bound for the ways the news travels, whose time nobody sees. */
const MARGIN_US = 700 * MILLISECOND_US;
const STRETCH_PART = 0.5;

/**
 * How old the news of purges may be here.
 * Invariant: every purge that was acknowledged before `asOfUs`, less the way of the news, is known to this process.
 */
export class Freshness {
  private asOfUs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FreshnessOptions) {}

  readonly confirm = (ageUs: number): void => {
    this.asOfUs = Math.max(this.asOfUs, this.options.clock.nowUs() - ageUs);
  };

  readonly ageUs = (): number => this.options.clock.nowUs() - this.asOfUs;

  readonly isFresh = (): boolean => {
    const { purgeUs, disconnectedExtraUs: stretchUs, isUpToDate: isFed } = this.options;
    return this.ageUs() <= purgeUs - MARGIN_US + (isFed() ? 0 : stretchUs * STRETCH_PART);
  };
}
