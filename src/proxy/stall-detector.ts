/**
 * Notices that the process may have stood still, as under a pause of its machine or a blocked event
 * loop.
 */
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";

/** A gap between requests from which on the process may have stood still. */
const STALL_GAP_US = 250 * MILLISECOND_US;
/** For how long after such a gap requests are treated as read late. */
const RESUME_WINDOW_US = 50 * MILLISECOND_US;

/**
 * Two turns of the event loop: in the first, what lies unread is read; in the second, what follows
 * from it.
 */
export const twoEventLoopTurns = (): Promise<void> =>
  new Promise((resolve) => setImmediate(() => setImmediate(resolve)));

/**
 * Tells whether requests come right after a time in which none came. What lay unread meanwhile may
 * include that a client left, which is read only in a later turn of the event loop.
 */
export class StallDetector {
  private lastRequestUs = Number.NEGATIVE_INFINITY;
  private resumedUs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /**
   * Notes that a request is handled now, and tells whether the process may just have stood still.
   */
  readonly observeRequest = (): boolean => {
    const nowUs = this.clock.nowUs();
    if (nowUs - this.lastRequestUs > STALL_GAP_US) this.resumedUs = nowUs;
    this.lastRequestUs = nowUs;
    return nowUs - this.resumedUs <= RESUME_WINDOW_US;
  };
}
