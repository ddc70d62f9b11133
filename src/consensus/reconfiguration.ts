/**
 * Voter set changes by joint consensus (as in Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014, section 6), but without a log. First, a joint voter
 * set of the old and new members is decided. Once the new members hold all that is committed, the
 * new set alone is decided.
 */
import { err, ok, type Result } from "true-myth/result";
import { isHigherBallot } from "./ballot.js";
import { bucketOf } from "./bucket-hashes.js";
import { StaleVoterSetError, UnclearOutcomeError, type ReplicatedStoreError } from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import { STRAGGLER_GRACE_US } from "./proposer.js";
import type { QuorumCalls } from "./quorum-calls.js";
import type { QuorumReader } from "./quorum-reader.js";
import type { Entry } from "./record-codec.js";
import type { RegisterWriter } from "./register-writer.js";
import type { ReplicaView, ReplicaViews } from "./replica-view.js";
import type { VoterSetProposer } from "./voter-set-proposer.js";
import { isJoint, quorumSetsOf, quorumSize, type VoterSet } from "./voter-set.js";

const MAX_COMPLETION_ROUNDS = 4;

/** Returns the target members for the current ones. */
export type MemberChange = (members: readonly string[]) => readonly string[];

/** Dependencies of {@link Reconfiguration}. */
export interface ReconfigurationOptions {
  readonly self: string;
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly views: ReplicaViews;
  readonly reader: QuorumReader;
  readonly writer: RegisterWriter;
  readonly proposer: VoterSetProposer;
  readonly withstandMachines: number;
}

/**
 * Changes the voter set.
 *
 * Invariant: the new members form the voter set alone only once a quorum of them holds everything
 * that was committed before.
 */
export class Reconfiguration {
  private isRunning = false;

  constructor(private readonly options: ReconfigurationOptions) {}

  /**
   * Changes the members of the voter set. Only one change runs at a time, and a change that another
   * controller began is completed first.
   *
   * @param change - returns the target members for the current ones
   * @param copyOtherState - copies other state that the new members must hold; true once done
   * @returns ok once the target voter set is decided
   */
  readonly changeMembers = async (
    change: MemberChange,
    copyOtherState: () => Promise<boolean> = async () => true,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    if (this.isRunning)
      return err(new UnclearOutcomeError("another voter set change is in progress"));
    this.isRunning = true;
    try {
      const completed = await this.completeJoint(copyOtherState);
      if (completed.isErr) return completed;
      const base = this.options.local.voterSet;
      const wanted = [...new Set(change(base.members))].sort();
      if (wanted.join() === [...base.members].sort().join()) return ok(undefined);
      const joint = await this.options.proposer.decide(base, {
        number: base.number + 1,
        from: base.members,
        members: wanted,
      });
      if (joint?.members.join() !== wanted.join()) return err(new StaleVoterSetError());
      return await this.completeJoint(copyOtherState);
    } finally {
      this.isRunning = false;
    }
  };

  /**
   * Completes a joint voter set: copies all that is committed to a quorum of the new members, then
   * decides a voter set of these alone.
   */
  private readonly completeJoint = async (
    copyOtherState: () => Promise<boolean>,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { local, proposer } = this.options;
    for (let round = 0; round < MAX_COMPLETION_ROUNDS; round += 1) {
      const { voterSet } = local;
      if (!isJoint(voterSet)) return ok(undefined);
      const copied = await this.copyCommitted(voterSet);
      if (copied.isErr) return copied;
      if (!(await copyOtherState()))
        return err(new UnclearOutcomeError("the new members do not hold all state yet"));
      await proposer.decide(voterSet, {
        number: voterSet.number + 1,
        members: voterSet.members,
        from: [],
      });
    }
    return isJoint(local.voterSet) ? err(new StaleVoterSetError()) : ok(undefined);
  };

  /**
   * Ok once a quorum of each set holds everything that was committed before the voter set became
   * joint.
   */
  private readonly copyCommitted = async (
    voterSet: VoterSet,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { self, local, calls, views, reader, writer, withstandMachines } = this.options;
    const read = await reader.readNow();
    if (read.isErr) return read;
    const ownEntries = local.state.copyOfEntries();
    const bucketHashes = local.state.bucketHashes();
    const collected = new Map<string, ReplicaView>();
    const viewed = await calls.collect<ReplicaView>({
      sets: () => quorumSetsOf(voterSet),
      needed: (members) => quorumSize(members, withstandMachines),
      graceUs: STRAGGLER_GRACE_US,
      request: async (id) => {
        const view =
          id === self
            ? await views.own()
            : await views.fetch(id, { bucketHashes, uncommittedKeys: [] });
        if (!view?.isVoting) return undefined;
        collected.set(id, view);
        return view;
      },
    });
    if (viewed.isErr) return err(viewed.error);
    const missing = [...ownEntries.values()]
      .filter(
        (entry) => entry.ballot.number > 0 && !this.isStoredByQuorums(entry, voterSet, collected),
      )
      .map(({ key }) => key);
    return writer.recommit(missing);
  };

  private readonly isStoredByQuorums = (
    entry: Entry,
    voterSet: VoterSet,
    views: ReadonlyMap<string, ReplicaView>,
  ): boolean => {
    const { self, withstandMachines } = this.options;
    const isStoredBy = (id: string): boolean => {
      const view = views.get(id);
      if (!view) return false;
      if (id === self || view.equalBuckets.has(bucketOf(entry.key))) return true;
      const report = view.reports.get(entry.key);
      return report !== undefined && !isHigherBallot(entry.ballot, report.ballot);
    };
    return quorumSetsOf(voterSet).every(
      (members) => members.filter(isStoredBy).length >= quorumSize(members, withstandMachines),
    );
  };
}
