/** How recent the purges are that this process knows of. */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";

/** What `Freshness` works on. */
export interface FreshnessOptions {
  readonly clock: Clock;
  /** The bound within which a purge takes effect after its acknowledgement. */
  readonly maxPurgeDelayUs: number;
  /**
   * By how much the bound grows while the controllers may be unsettled, which a lost session shows.
   */
  readonly disconnectedExtraUs: number;
  readonly isUpToDate: () => boolean;
}

/** Subtracted from the bound for the propagation of updates, whose time cannot be measured. */
const PROPAGATION_MARGIN_US = 700 * MILLISECOND_US;
const DISCONNECTED_EXTRA_FRACTION = 0.5;

/**
 * The age of what this process knows of purges. Invariant: every purge that was acknowledged before
 * `asOfUs`, less their propagation time, is known to this process.
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

  /** Whether cached objects may be served without asking their source. */
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
