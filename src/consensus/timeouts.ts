/** How long a peer's response is waited for, in microseconds. */
import { MILLISECOND_US } from "../common/duration.js";

/** For what a peer answers from memory, or after a small write to its disk. */
export const READ_TIMEOUT_US = 350 * MILLISECOND_US;

/** For what a peer answers after it has written the contents of registers to its disk. */
export const WRITE_TIMEOUT_US = 600 * MILLISECOND_US;
