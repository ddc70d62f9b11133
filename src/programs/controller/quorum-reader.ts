/**
 * Keeps the local state up to date with a quorum, and decides whether it may be served to nodes.
 */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import type { Clock } from "../../common/clock.js";
import { SECOND_US } from "../../common/duration.js";
import { QuorumFreshness } from "./quorum-freshness.js";

/**
 * Maximum age of a node's first snapshot. If the last read is older, another one is made first.
 */
const MAX_SNAPSHOT_AGE_US = 2 * SECOND_US;

/** Dependencies of {@link QuorumReader}. */
export interface QuorumReaderOptions {
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly isWithoutQuorum: () => boolean;
  /** Called on the first contact with a majority after this controller was cut off. */
  readonly onRegained: () => void;
}

/** Reads the state from a quorum and tracks how recent it is. */
export class QuorumReader {
  readonly freshness: QuorumFreshness;
  /** The read started because other replicas have newer state. */
  private pendingCatchUp: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: QuorumReaderOptions) {
    this.freshness = new QuorumFreshness(options.clock, options.onRegained);
    options.store.events.on("behind", () => {
      this.pendingCatchUp = this.refresh();
    });
  }

  /**
   * Reads from a quorum. If that fails, as it can while others write, checks at least for contact
   * with a majority.
   *
   * @returns true if the read succeeded
   */
  readonly refresh = async (): Promise<boolean> => {
    const { clock, store } = this.options;
    const startedUs = clock.nowUs();
    const read = await store.read();
    const isRead = read.isOk && store.isVoting;
    if (isRead) this.freshness.recordRead(startedUs);
    if (isRead || (await store.confirmQuorum())) this.freshness.recordContact(startedUs);
    return isRead;
  };

  /** Resolves once all newer state that was known to exist before the call has been read. */
  readonly whenCaughtUp = async (): Promise<void> => {
    await this.pendingCatchUp;
  };

  /**
   * Whether nodes may be served: the local state was read recently, and a majority asked after the
   * call has answered.
   */
  readonly mayServeNodes = async (): Promise<boolean> => {
    if (!this.freshness.hasRead || this.options.isWithoutQuorum()) return false;
    return this.freshness.readAgeUs() < MAX_SNAPSHOT_AGE_US
      ? this.options.store.confirmQuorum()
      : this.refresh();
  };
}
