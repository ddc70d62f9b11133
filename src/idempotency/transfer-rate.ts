/** Limits the rate of background transfers between controllers. */
import { sleep, type Clock } from "../common/clock.js";
import { SECOND_US } from "../common/duration.js";

const BITS_PER_MEGABIT = 1_000_000;
const BITS_PER_BYTE = 8;
/** The rest of the link is left to requests and to consensus. */
const LINK_FRACTION = 0.6;
/** Assumed where the settings do not give the rate of the link. */
const UNKNOWN_LINK_MBPS = 10;

/** Bytes a second that background transfers may take of a link. */
export const transferBytesPerS = (linkMbps: number): number =>
  ((linkMbps > 0 ? linkMbps : UNKNOWN_LINK_MBPS) * BITS_PER_MEGABIT * LINK_FRACTION) /
  BITS_PER_BYTE;

/** Delays transfers so that their bytes stay within a rate. */
export class TransferRate {
  private nextUs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly bytesPerS: number,
  ) {}

  /** Resolves once a transfer of at most this size may start. */
  readonly reserve = async (maxBytes: number): Promise<void> => {
    const nowUs = this.clock.nowUs();
    const startUs = Math.max(nowUs, this.nextUs);
    this.nextUs = startUs + this.durationUs(maxBytes);
    if (startUs > nowUs) await sleep(this.clock, startUs - nowUs);
  };

  /** Returns the part of a reservation that the transfer did not need. */
  readonly giveBack = (bytes: number): void => {
    this.nextUs -= this.durationUs(Math.max(0, bytes));
  };

  private readonly durationUs = (bytes: number): number =>
    Math.ceil((bytes * SECOND_US) / this.bytesPerS);
}
