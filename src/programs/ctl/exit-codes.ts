/**
 * Exit codes of `yewreel ctl` and `yewreel loadgen`. Scripts depend on them, so their meaning must
 * never change.
 */

/** The command succeeded. */
export const EXIT_SUCCESS = 0;
/** A controller rejected the command; another controller would as well. */
export const EXIT_REJECTED = 1;
/** The command line or a file named by it is invalid; nothing was sent. */
export const EXIT_INVALID_INPUT = 2;
/** No controller answered, or none could reach a quorum. */
export const EXIT_UNREACHABLE = 3;
