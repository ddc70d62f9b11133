/** The memory for buffered bodies, over all requests of the process. */
import type { RequestContext } from "./request-context.js";

/**
 * Reserves memory for the buffered bodies of requests and responses. Invariant: what is reserved
 * never exceeds the limit, and all that is reserved for a request is released when it ends.
 */
export class MemoryBudget {
  private reservedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /**
   * Reserves bytes for a request; false when there are not so many left. A finished request gets
   * nothing, unless it holds a claim on an idempotency key: its response is still to be stored, and
   * the attempt loop releases the memory afterwards.
   */
  readonly reserve = (context: RequestContext, bytes: number): boolean => {
    if (context.isFinished && !context.claim) return false;
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    context.bufferedBytes += bytes;
    return true;
  };

  /** Gives back all that a request has reserved. */
  readonly release = (context: RequestContext): void => {
    this.reservedBytes -= context.bufferedBytes;
    context.bufferedBytes = 0;
  };
}
