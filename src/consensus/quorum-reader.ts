/** Quorum reads, and read repair of entries that only some replicas have accepted. */
import { err, ok, type Result } from "true-myth/result";
import { Batcher } from "../common/batcher.js";
import { sleep, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { CatchUp } from "./catch-up.js";
import { detectCommitted } from "./commit-detection.js";
import type { NoQuorumError, ReplicatedStoreError } from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import { STRAGGLER_GRACE_US } from "./proposer.js";
import type { QuorumCalls } from "./quorum-calls.js";
import type { RegisterWriter } from "./register-writer.js";
import type { ReplicaView, ReplicaViews } from "./replica-view.js";
import { quorumSize } from "./voter-set.js";

/**
 * Undecided entries are checked again after one to two times this delay before they are repaired.
 */
const RECHECK_DELAY_US = 30 * MILLISECOND_US;

/** Dependencies of {@link QuorumReader}. */
export interface QuorumReaderOptions {
  readonly self: string;
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly views: ReplicaViews;
  readonly writer: RegisterWriter;
  readonly catchUp: CatchUp;
  readonly clock: Clock;
  /** Random source from 0 to 1, used to spread the delay before a repair. */
  readonly random: () => number;
  readonly withstandMachines: number;
}

/**
 * Reads quorums.
 *
 * Invariant: after a read, everything that was confirmed before the call is known here.
 */
export class QuorumReader {
  private readonly reads: Batcher<undefined, Result<void, ReplicatedStoreError>>;
  /** Whether a quorum has been read in this incarnation. */
  private hasReadQuorum = false;

  constructor(private readonly options: QuorumReaderOptions) {
    this.reads = new Batcher(() => this.readNow());
  }

  /**
   * Reads a quorum, adopts what is committed, and recommits entries that only some replicas have
   * accepted. A non-voting replica catches up first. Calls during a read share the next one.
   */
  readonly read = (): Promise<Result<void, ReplicatedStoreError>> => this.reads.add(undefined);

  /** Reads immediately, without sharing the read with other calls. */
  readonly readNow = async (): Promise<Result<void, ReplicatedStoreError>> => {
    const { local, catchUp } = this.options;
    if (!local.isVoting) {
      const caughtUp = await catchUp.run();
      if (caughtUp.isErr) return caughtUp;
    }
    const read = await this.readAndRepair();
    if (read.isOk && !this.hasReadQuorum) {
      // Committed registers from the disk may have been outdated until now and were not emitted
      // yet.
      this.hasReadQuorum = true;
      await local.events.emit("committed", local.state.allCommitted());
    }
    return read;
  };

  private readonly readAndRepair = async (): Promise<Result<void, ReplicatedStoreError>> => {
    const { clock, random, writer } = this.options;
    const first = await this.findUndecided();
    if (first.isErr) return err(first.error);
    if (first.value.length === 0) return ok(undefined);
    // Most uncommitted entries are still being committed by their proposer.
    await sleep(clock, Math.round(RECHECK_DELAY_US * (1 + random())));
    const second = await this.findUndecided();
    if (second.isErr) return err(second.error);
    return writer.recommit(second.value);
  };

  /** Reads a quorum once: adopts what is committed and returns the keys that are undecided. */
  private readonly findUndecided = async (): Promise<Result<readonly string[], NoQuorumError>> => {
    const { self, local, calls, views, withstandMachines } = this.options;
    const ownEntries = local.state.copyOfEntries();
    const uncommittedKeys = local.state.uncommittedKeys();
    const reader = { bucketHashes: local.state.bucketHashes(), uncommittedKeys };
    const collected = new Map<string, ReplicaView>();
    const read = await calls.collect<ReplicaView>({
      sets: local.quorumSets,
      needed: (members) => quorumSize(members, withstandMachines),
      graceUs: STRAGGLER_GRACE_US,
      request: async (id) => {
        const view = id === self ? await views.own() : await views.fetch(id, reader);
        if (!view?.isVoting) return undefined;
        collected.set(id, view);
        return view;
      },
    });
    if (read.isErr) return err(read.error);
    const { committed, undecided } = detectCommitted({
      self,
      keys: new Set([
        ...uncommittedKeys,
        ...[...collected.values()].flatMap(({ reports }) => [...reports.keys()]),
      ]),
      ownEntries,
      views: collected,
      quorumSets: local.quorumSets(),
      withstandMachines,
    });
    local.learnCommitted(committed);
    return ok(undecided);
  };
}
