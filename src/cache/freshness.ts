/** Tracks how up to date this process's knowledge of purges is. */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";

/** Dependencies and bounds of {@link Freshness}. */
export interface FreshnessOptions {
  readonly clock: Clock;
  /** The bound within which a purge takes effect after its acknowledgement. */
  readonly maxPurgeDelayUs: number;
  /**
   * Extends the bound while the controllers may be in transition, which a lost session indicates.
   */
  readonly disconnectedExtraUs: number;
  readonly isUpToDate: () => boolean;
}

/**
 * Subtracted from the bound to allow for the propagation of updates, whose duration cannot be
 * measured.
 */
const PROPAGATION_MARGIN_US = 700 * MILLISECOND_US;
const DISCONNECTED_EXTRA_FRACTION = 0.5;

/**
 * Age of this process's knowledge of purges. Invariant: this process knows every purge that was
 * acknowledged before `asOfUs` minus the propagation time of purges.
 */
export class Freshness {
  private asOfUs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FreshnessOptions) {}

  /** Records that updates were complete up to `ageUs` ago. */
  readonly confirm = (ageUs: number): void => {
    this.asOfUs = Math.max(this.asOfUs, this.options.clock.nowUs() - ageUs);
  };

  /** How long ago the updates were last known to be complete. */
  readonly ageUs = (): number => this.options.clock.nowUs() - this.asOfUs;

  /** Whether cached objects may be served without contacting their source. */
  readonly isFresh = (): boolean => {
    const { maxPurgeDelayUs: purgeUs, disconnectedExtraUs, isUpToDate } = this.options;
    return (
      this.ageUs() <=
      purgeUs -
        PROPAGATION_MARGIN_US +
        (isUpToDate() ? 0 : disconnectedExtraUs * DISCONNECTED_EXTRA_FRACTION)
    );
  };
}
