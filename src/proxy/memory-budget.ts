/** Memory budget for buffered bodies, shared by all requests of the process. */
import type { RequestContext } from "./request-context.js";

/**
 * Reserves memory for the buffered bodies of requests and responses. Invariant: the reserved memory
 * never exceeds the limit, and all memory reserved for a request is released when it finishes.
 */
export class MemoryBudget {
  private reservedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /**
   * Reserves bytes for a request; returns false if the budget is exhausted. A finished request
   * cannot reserve memory, unless it holds a claim on an idempotency key: its response has yet to
   * be stored, and the attempt loop releases the memory afterwards.
   */
  readonly reserve = (context: RequestContext, bytes: number): boolean => {
    if (context.isFinished && !context.claim) return false;
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    context.bufferedBytes += bytes;
    return true;
  };

  /** Releases all memory reserved for a request. */
  readonly release = (context: RequestContext): void => {
    this.reservedBytes -= context.bufferedBytes;
    context.bufferedBytes = 0;
  };
}
