/**
 * Keeps the state held here in step with a quorum, and decides whether nodes may be served from it.
 */
import type { ReplicatedStore } from "../../consensus/replicated-store.js";
import type { Clock } from "../../common/clock.js";
import { SECOND_US } from "../../common/duration.js";
import { QuorumFreshness } from "./quorum-freshness.js";

/**
 * A node's first snapshot is no older than this: where the last reading is, another comes first.
 */
const MAX_SNAPSHOT_AGE_US = 2 * SECOND_US;

/** What a {@link QuorumReader} reads. */
export interface QuorumReaderOptions {
  readonly clock: Clock;
  readonly store: ReplicatedStore;
  readonly isWithoutQuorum: () => boolean;
  /** Called at the first contact with a majority after this controller was cut off. */
  readonly onRegained: () => void;
}

/** Reads the state of a quorum and records how fresh the contact with one is. */
export class QuorumReader {
  readonly freshness: QuorumFreshness;
  /** The reading that was begun because others hold something newer. */
  private pendingCatchUp: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: QuorumReaderOptions) {
    this.freshness = new QuorumFreshness(options.clock, options.onRegained);
    options.store.events.on("behind", () => {
      this.pendingCatchUp = this.refresh();
    });
  }

  /**
   * Reads a quorum. Where that fails, as it may while others write, asks at least whether a
   * majority is there.
   *
   * @returns true after a reading
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

  /** Resolves once what others were known to hold before the call has been read. */
  readonly whenCaughtUp = async (): Promise<void> => {
    await this.pendingCatchUp;
  };

  /**
   * Whether nodes may be served: the state here was read lately, and a majority answered after this
   * call.
   */
  readonly mayServeNodes = async (): Promise<boolean> => {
    if (!this.freshness.hasRead || this.options.isWithoutQuorum()) return false;
    return this.freshness.readAgeUs() < MAX_SNAPSHOT_AGE_US
      ? this.options.store.confirmQuorum()
      : this.refresh();
  };
}
