/**
 * Catch-up of a replica that may have lost state. The replica asks as many voting replicas as share
 * a member with every quorum to accept nothing below a floor from then on, and adopts the highest
 * entries that any of them holds. These include everything that it may have helped to commit. A
 * ballot that it had only promised can no longer be used by anyone. After that, the replica votes.
 */
import { err, ok, type Result } from "true-myth/result";
import type { Logger } from "../common/logger.js";
import type { Ballot } from "./ballot.js";
import { NO_BALLOT } from "./ballot.js";
import { detectCommitted } from "./commit-detection.js";
import {
  StaleVoterSetError,
  UnclearOutcomeError,
  type NoQuorumError,
  type ReplicatedStoreError,
} from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import type { QuorumCalls } from "./quorum-calls.js";
import type { Entry } from "./record-codec.js";
import type { ReplicaView, ReplicaViews } from "./replica-view.js";
import { readQuorumSize } from "./voter-set.js";

const MAX_ROUNDS = 3;

/** Dependencies of {@link CatchUp}. */
export interface CatchUpOptions {
  readonly self: string;
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly views: ReplicaViews;
  /** Controllers to ask while no voter set is known. */
  readonly seeds: () => readonly string[];
  readonly withstandMachines: number;
  readonly logger: Logger;
}

/**
 * Runs the catch-up.
 *
 * Invariant: the replica votes only once all adopted entries and the floor are on its disk.
 */
export class CatchUp {
  constructor(private readonly options: CatchUpOptions) {}

  /** Ok once the replica has caught up and votes. */
  readonly run = async (): Promise<Result<void, ReplicatedStoreError>> => {
    const { local } = this.options;
    for (let round = 1; ; round += 1) {
      const rejections = local.rejectionCount;
      const done = await this.runOnce();
      // After a rejection, another round may succeed with the voter set or the ballot number
      // learned from it.
      if (done.isOk || round >= MAX_ROUNDS || local.rejectionCount === rejections) return done;
    }
  };

  private readonly runOnce = async (): Promise<Result<void, ReplicatedStoreError>> => {
    const { local, logger } = this.options;
    const ownEntries = local.state.copyOfEntries();
    const bucketHashes = local.state.bucketHashes();
    const floor = local.nextBallot();
    const voterSetBefore = local.voterSet.number;
    const views = new Map<string, ReplicaView>();
    const read = await this.collectViews(bucketHashes, floor, views);
    if (read.isErr) return err(read.error);
    if (local.voterSet.number !== voterSetBefore) return err(new StaleVoterSetError());
    const keyCount = this.adopt(ownEntries, views);
    local.record(local.state.raiseFloor(floor));
    if (!(await local.persisted()) || (await local.writeSnapshot()).isErr)
      return err(new UnclearOutcomeError("writing the caught-up state to disk failed"));
    local.record(local.state.setVoting());
    if (!(await local.persisted())) {
      local.state.setNonVoting();
      return err(new UnclearOutcomeError("writing the caught-up state to disk failed"));
    }
    logger.info("replica caught up", { entries: keyCount, voterSet: local.voterSet.number });
    void local.events.emit("voting");
    return ok(undefined);
  };

  /**
   * While no voter set is known, all seeds are asked. A voter set learned from one of them
   * invalidates the round.
   */
  private readonly collectViews = (
    bucketHashes: readonly string[],
    floor: Ballot,
    collected: Map<string, ReplicaView>,
  ): Promise<Result<void, NoQuorumError>> => {
    const { self, local, calls, views, seeds, withstandMachines } = this.options;
    const isVoterSetUnknown = () => local.voterSet.number === 0;
    return calls.collect<ReplicaView>({
      sets: () => (isVoterSetUnknown() ? [seeds()] : local.quorumSets()),
      needed: (members) =>
        isVoterSetUnknown() ? Number.POSITIVE_INFINITY : readQuorumSize(members, withstandMachines),
      request: async (id) => {
        if (id === self) return undefined;
        const view = await views.fetch(id, { bucketHashes, uncommittedKeys: [] }, floor);
        if (!view?.isVoting) return undefined;
        collected.set(id, view);
        return view;
      },
    });
  };

  /** Adopts the entries of the views; returns the number of keys involved. */
  private readonly adopt = (
    ownEntries: ReadonlyMap<string, Entry>,
    views: ReadonlyMap<string, ReplicaView>,
  ): number => {
    const { self, local, withstandMachines } = this.options;
    // A replica outside the voter set is in no quorum that still counts. Proposals that it accepted
    // long ago must not reappear.
    if (!local.isMember()) local.state.dropUncommitted();
    const reports = [...views.values()].flatMap((view) => [...view.reports.values()]);
    const keys = new Set([...ownEntries.keys(), ...reports.map(({ key }) => key)]);
    const { committed, undecided } = detectCommitted({
      self,
      keys,
      ownEntries,
      views,
      quorumSets: local.quorumSets(),
      withstandMachines,
    });
    local.learnCommitted(committed);
    // Entries that no replica knows to be committed are stored as uncommitted, since this replica
    // may have been among those that accepted them.
    const undecidedKeys = new Set(undecided);
    const uncommitted = reports.flatMap(({ key, ballot, register }): Entry[] =>
      undecidedKeys.has(key) && register !== "unchanged"
        ? [{ key, promised: NO_BALLOT, ballot, register, isAccepted: false, isCommitted: false }]
        : [],
    );
    local.record(local.state.learn(uncommitted));
    return keys.size;
  };
}
