/**
 * The memory for bodies that are held whole, over all requests of the process.
 * Invariant: what is taken never exceeds the room, and everything taken for a request is given back when it ends.
 */
export class MemoryBudget {
  private taken = 0;

  constructor(private readonly roomBytes: number) {}

  readonly reserve = (bytes: number): boolean => {
    if (this.taken + bytes > this.roomBytes) return false;
    this.taken += bytes;
    return true;
  };

  readonly release = (bytes: number): void => {
    this.taken -= bytes;
  };
}
