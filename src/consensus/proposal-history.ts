/**
 * What a replica remembers of proposals that are not known to be committed: which items were
 * proposed by one call, and what was held under each key before. From it a proposer can tell that a
 * call was never committed, and what stands without it (`call-resolution.ts`).
 */
import { isHigherBallot, isSameBallot, type Ballot } from "./ballot.js";
import type { Entry, Item } from "./record-codec.js";
import type { PastVersion } from "./register.js";

/** What a call was to write under a key; undefined where it found nothing there and left it so. */
export interface ItemSummary {
  readonly version: number;
  readonly digest: string;
  /** Earlier versions: a write that comes late changes nothing else of what is in force. */
  readonly past: readonly PastVersion[];
}

/** The items that were proposed together, at one ballot. */
export interface ProposedCall {
  readonly ballot: Ballot;
  readonly items: ReadonlyMap<string, ItemSummary | undefined>;
}

/** Beyond so many calls the oldest are forgotten; their items are then treated one by one. */
const MAX_CALLS = 256;
/** Beyond so many earlier proposals of one key the history of that key is forgotten. */
const MAX_EARLIER_ENTRIES = 32;

/** A name for the ballot, to look it up by. */
export const ballotIdOf = ({ number, proposer }: Ballot): string => `${number} ${proposer}`;

/** The items of a call by what they were to write. */
export const summarizeItems = (items: readonly Item[]): ProposedCall["items"] =>
  new Map(
    items.map(([key, register]) => [
      key,
      register && { version: register.version, digest: register.digest, past: register.past },
    ]),
  );

/**
 * Invariant: the earlier entries of a key are those that this replica held below the newest one
 * since something was last known to be committed there, highest ballot first; or the key is among
 * those whose history was forgotten.
 */
export class ProposalHistory {
  private readonly calls = new Map<string, ProposedCall>();
  private readonly earlier = new Map<string, readonly Entry[]>();
  private readonly forgotten = new Set<string>();

  /** Remembers the items of a call; one item alone is no call. */
  readonly addCall = (call: ProposedCall): void => {
    if (call.items.size < 2) return;
    this.calls.set(ballotIdOf(call.ballot), call);
    const [oldest] = this.calls.keys();
    if (this.calls.size > MAX_CALLS && oldest !== undefined) this.calls.delete(oldest);
  };

  /** The call that was proposed at the ballot; undefined for a single item. */
  readonly callAt = (ballot: Ballot): ProposedCall | undefined =>
    this.calls.get(ballotIdOf(ballot));

  /** What was held under the key before, highest first; undefined where that was forgotten. */
  readonly earlierEntriesOf = (key: string): readonly Entry[] | undefined =>
    this.forgotten.has(key) ? undefined : (this.earlier.get(key) ?? []);

  /** All that is remembered of earlier entries. */
  readonly allEarlierEntries = (): readonly Entry[] => [...this.earlier.values()].flat();

  /** Remembers an entry that is below the one held now. */
  readonly addEarlierEntry = (entry: Entry): void => {
    const known = this.earlier.get(entry.key) ?? [];
    if (entry.ballot.number === 0) return;
    if (known.some(({ ballot }) => isSameBallot(ballot, entry.ballot))) return;
    const sorted = [...known, entry].sort((one, other) =>
      isHigherBallot(one.ballot, other.ballot) ? -1 : 1,
    );
    // Below what was committed nothing can matter any more.
    const newestCommitted = sorted.findIndex(({ isCommitted }) => isCommitted);
    const retained = newestCommitted < 0 ? sorted : sorted.slice(0, newestCommitted + 1);
    if (retained.length > MAX_EARLIER_ENTRIES) this.forgotten.add(entry.key);
    else this.earlier.set(entry.key, retained);
  };

  /** Forgets what came before under a key, since what is held there now is committed. */
  readonly discard = (key: string): void => {
    this.earlier.delete(key);
    this.forgotten.delete(key);
  };

  /** Forgets everything, once nothing is uncommitted. */
  readonly clear = (): void => {
    this.calls.clear();
    this.earlier.clear();
    this.forgotten.clear();
  };
}
