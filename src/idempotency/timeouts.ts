/** Time limits of the requests between controllers about idempotency keys. */
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";

/** For a claim, a purge or a read at one member. */
export const CLAIM_TIMEOUT_US = 400 * MILLISECOND_US;
/** For storing or fetching a response at one member. */
export const STORE_TIMEOUT_US = 250 * MILLISECOND_US;
/** For a member to copy what it must hold. */
export const REFRESH_TIMEOUT_US = 1_500 * MILLISECOND_US;
/** For a page of keys or responses from one member. */
export const REPAIR_TIMEOUT_US = 1 * SECOND_US;
