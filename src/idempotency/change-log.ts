/** The keys that changed in a key table, in the order of their changes. */
import { randomUUID } from "node:crypto";

interface Change {
  readonly key: string;
  readonly atUs: number;
}

/** Result of a scan of a {@link ChangeLog}. */
export interface ChangeScan {
  /** Position from which the next scan continues. */
  readonly next: number;
  /** Whether no change follows that position. */
  readonly isAtEnd: boolean;
}

/**
 * In-memory sequence of changed keys. A reader that remembers its position finds every later change
 * without comparing the tables. Positions are valid for one log only, which its `id` identifies.
 */
export class ChangeLog {
  readonly id = randomUUID();
  private changes: Change[] = [];
  /** Position of the first change that is still held. */
  private firstPosition = 0;

  /** Appends a change and returns its position. */
  readonly append = (key: string, atUs: number): number => {
    this.changes.push({ key, atUs });
    return this.firstPosition + this.changes.length - 1;
  };

  /**
   * Visits the changes from a position on, until `visit` returns false: that change is then visited
   * first by the next scan.
   */
  readonly scan = (from: number, visit: (key: string, position: number) => boolean): ChangeScan => {
    let at = Math.max(0, from - this.firstPosition);
    for (; at < this.changes.length; at += 1) {
      const change = this.changes[at];
      if (change && !visit(change.key, this.firstPosition + at)) break;
    }
    return { next: this.firstPosition + at, isAtEnd: at >= this.changes.length };
  };

  /** Discards the changes made before a time. */
  readonly removeBefore = (untilUs: number): void => {
    const kept = this.changes.findIndex(({ atUs }) => atUs >= untilUs);
    const count = kept === -1 ? this.changes.length : kept;
    if (count === 0) return;
    this.changes = this.changes.slice(count);
    this.firstPosition += count;
  };
}
