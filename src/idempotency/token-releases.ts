/** Tokens that a gateway has given up, until all controllers have released them. */
import { sleep, type Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";
import type { KeyClaim } from "./key-codec.js";

const FIRST_RETRY_DELAY_US = 300 * MILLISECOND_US;
const MAX_RETRY_DELAY_US = 4 * SECOND_US;
/** Beyond this number the oldest token is given up; its key stays claimed until its window ends. */
const MAX_PENDING_TOKENS = 2_000;
const MAX_TOKENS_PER_REQUEST = 200;

/**
 * Repeats the release of tokens until it is confirmed. A release that is lost, because no controller
 * was there when the claim was given up, would leave the key claimed by nobody for its window.
 */
export class TokenReleases {
  private readonly pending = new Map<string, KeyClaim>();
  private isRunning = false;

  /** @param releaseAll - releases tokens; true once no controller holds any of them */
  constructor(
    private readonly clock: Clock,
    private readonly releaseAll: (claims: readonly KeyClaim[]) => Promise<boolean>,
  ) {}

  /** Adds a token whose operation has not run and never will. */
  readonly add = (claim: KeyClaim): void => {
    const [oldest] = this.pending.keys();
    if (oldest !== undefined && this.pending.size >= MAX_PENDING_TOKENS)
      this.pending.delete(oldest);
    this.pending.set(claim.token, claim);
    if (!this.isRunning) void this.run();
  };

  private readonly run = async (): Promise<void> => {
    this.isRunning = true;
    let delayUs = FIRST_RETRY_DELAY_US;
    while (this.pending.size > 0) {
      const claims = [...this.pending.values()].slice(0, MAX_TOKENS_PER_REQUEST);
      if (await this.releaseAll(claims)) {
        claims.forEach(({ token }) => this.pending.delete(token));
        delayUs = FIRST_RETRY_DELAY_US;
      } else {
        await sleep(this.clock, delayUs);
        delayUs = Math.min(delayUs * 2, MAX_RETRY_DELAY_US);
      }
    }
    this.isRunning = false;
  };
}
