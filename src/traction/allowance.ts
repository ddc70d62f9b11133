import type { Clock } from "../trackbed/clock.js";

export interface AllowanceTerms {
  readonly ratio: number;
  readonly windowUs: number;
  readonly slack: number;
}

interface Slot {
  readonly sinceUs: number;
  requests: number;
  repeats: number;
}

const SLOTS = 20;
/** Kept back, since windows slide and nodes come and go. */
const USED_PART = 0.8;

/**
 * How often requests to one service may be sent on again from this node.
 * Invariant: within any window the repeats stay within the ratio of this node's own requests in it and, once it has
 * been up for a whole window, a share of the slack; so the sum over all nodes, restarted ones too, stays within the bound.
 */
export class Allowance {
  private slots: Slot[] = [];
  private crew = 1;
  private crewSinceUs: number;
  private readonly startedUs: number;

  constructor(private readonly clock: Clock, private readonly terms: AllowanceTerms) {
    this.startedUs = clock.nowUs();
    this.crewSinceUs = this.startedUs;
  }

  /** A larger crew counts at once, a smaller one only after a window. */
  readonly setCrew = (crew: number): void => {
    const nowUs = this.clock.nowUs();
    if (crew < this.crew && nowUs - this.crewSinceUs < this.terms.windowUs) return;
    this.crew = Math.max(1, crew);
    this.crewSinceUs = nowUs;
  };

  readonly count = (): void => {
    this.slot().requests += 1;
  };

  /** Takes one repeat, or says that there is none left. */
  readonly spend = (): boolean => {
    const slot = this.slot();
    const requests = this.slots.reduce((sum, { requests: count }) => sum + count, 0);
    const repeats = this.slots.reduce((sum, { repeats: count }) => sum + count, 0);
    const isUpLong = this.clock.nowUs() - this.startedUs >= this.terms.windowUs;
    const slackPart = isUpLong ? this.terms.slack / this.crew : 0;
    if (repeats + 1 > (requests * this.terms.ratio + slackPart) * USED_PART) return false;
    slot.repeats += 1;
    return true;
  };

  private readonly slot = (): Slot => {
    const nowUs = this.clock.nowUs();
    const slotUs = this.terms.windowUs / SLOTS;
    this.slots = this.slots.filter((slot) => nowUs - slot.sinceUs < this.terms.windowUs);
    const last = this.slots[this.slots.length - 1];
    if (last && nowUs - last.sinceUs < slotUs) return last;
    const slot = { sinceUs: nowUs, requests: 0, repeats: 0 };
    this.slots.push(slot);
    return slot;
  };
}
