/**
 * Detects that the process may have been paused, for example by a suspended machine or a blocked
 * event loop.
 */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";

/** Gap between requests above which the process may have been paused. */
const STALL_GAP_US = 250 * MILLISECOND_US;
/** How long after such a gap requests are treated as read with a delay. */
const RESUME_WINDOW_US = 50 * MILLISECOND_US;

/**
 * Waits for two turns of the event loop: the first one reads pending input, and the second one
 * processes the resulting events.
 */
export const twoEventLoopTurns = (): Promise<void> =>
  new Promise((resolve) => setImmediate(() => setImmediate(resolve)));

/**
 * Detects requests that arrive right after a period without requests. The input that was pending in
 * that period may include a client disconnect, which is read only in a later turn of the event
 * loop.
 */
export class StallDetector {
  private lastRequestUs = Number.NEGATIVE_INFINITY;
  private resumedUs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /**
   * Records that a request is being handled, and returns whether the process may just have been
   * paused.
   */
  readonly observeRequest = (): boolean => {
    const nowUs = this.clock.nowUs();
    if (nowUs - this.lastRequestUs > STALL_GAP_US) this.resumedUs = nowUs;
    this.lastRequestUs = nowUs;
    return nowUs - this.resumedUs <= RESUME_WINDOW_US;
  };
}
