/** Timeouts for the responses of peers, in microseconds. */
import { MILLISECOND_US } from "../common/duration.js";

/** For requests that a peer answers from memory, or after a small write to its disk. */
export const READ_TIMEOUT_US = 350 * MILLISECOND_US;

/** For requests that a peer answers after writing the contents of registers to its disk. */
export const WRITE_TIMEOUT_US = 600 * MILLISECOND_US;
