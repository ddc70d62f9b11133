/**
 * History of proposals that are not known to be committed: which items one call proposed together,
 * and which entries were held under each key before. From it, a proposer can determine that a call
 * was never committed, and which entries apply without it (`call-resolution.ts`).
 */
import { isHigherBallot, isSameBallot, type Ballot } from "./ballot.js";
import type { Entry, Item } from "./record-codec.js";
import type { PastVersion } from "./register.js";

/** What a call writes under a key; undefined in a call that found the key empty and left it so. */
export interface ItemSummary {
  readonly version: number;
  readonly digest: string;
  /** Earlier versions. A late write of an old version changes only these. */
  readonly past: readonly PastVersion[];
}

/** The items that were proposed together at one ballot. */
export interface ProposedCall {
  readonly ballot: Ballot;
  readonly items: ReadonlyMap<string, ItemSummary | undefined>;
}

/**
 * Maximum number of calls kept. Beyond it, the oldest is dropped and its items are treated one by
 * one.
 */
const MAX_CALLS = 256;
/** Maximum number of earlier entries kept per key. Beyond it, the history of the key is dropped. */
const MAX_EARLIER_ENTRIES = 32;

/** A string that identifies the ballot, for use as a map key. */
export const ballotIdOf = ({ number, proposer }: Ballot): string => `${number} ${proposer}`;

/** Summarizes the items of a call by key. */
export const summarizeItems = (items: readonly Item[]): ProposedCall["items"] =>
  new Map(
    items.map(([key, register]) => [
      key,
      register && { version: register.version, digest: register.digest, past: register.past },
    ]),
  );

/**
 * Calls and earlier entries of uncommitted keys.
 *
 * Invariant: the earlier entries of a key are those that this replica held below the newest one
 * since an entry was last known to be committed there, highest ballot first; or the key is among
 * those whose history was dropped.
 */
export class ProposalHistory {
  private readonly calls = new Map<string, ProposedCall>();
  private readonly earlier = new Map<string, readonly Entry[]>();
  private readonly forgotten = new Set<string>();

  /** Records the items of a call. A single item is not a call. */
  readonly addCall = (call: ProposedCall): void => {
    if (call.items.size < 2) return;
    this.calls.set(ballotIdOf(call.ballot), call);
    const [oldest] = this.calls.keys();
    if (this.calls.size > MAX_CALLS && oldest !== undefined) this.calls.delete(oldest);
  };

  /** The call that was proposed at the ballot; undefined for a single item. */
  readonly callAt = (ballot: Ballot): ProposedCall | undefined =>
    this.calls.get(ballotIdOf(ballot));

  /**
   * The entries held under the key before, highest ballot first; undefined if they were dropped.
   */
  readonly earlierEntriesOf = (key: string): readonly Entry[] | undefined =>
    this.forgotten.has(key) ? undefined : (this.earlier.get(key) ?? []);

  /** All earlier entries of all keys. */
  readonly allEarlierEntries = (): readonly Entry[] => [...this.earlier.values()].flat();

  /** Records an entry with a lower ballot than the current one. */
  readonly addEarlierEntry = (entry: Entry): void => {
    const known = this.earlier.get(entry.key) ?? [];
    if (entry.ballot.number === 0) return;
    if (known.some(({ ballot }) => isSameBallot(ballot, entry.ballot))) return;
    const sorted = [...known, entry].sort((one, other) =>
      isHigherBallot(one.ballot, other.ballot) ? -1 : 1,
    );
    // Entries below a committed one are no longer relevant.
    const newestCommitted = sorted.findIndex(({ isCommitted }) => isCommitted);
    const retained = newestCommitted < 0 ? sorted : sorted.slice(0, newestCommitted + 1);
    if (retained.length > MAX_EARLIER_ENTRIES) this.forgotten.add(entry.key);
    else this.earlier.set(entry.key, retained);
  };

  /** Drops the history of a key whose current entry is committed. */
  readonly discard = (key: string): void => {
    this.earlier.delete(key);
    this.forgotten.delete(key);
  };

  /** Drops everything, once no entry is uncommitted. */
  readonly clear = (): void => {
    this.calls.clear();
    this.earlier.clear();
    this.forgotten.clear();
  };
}
