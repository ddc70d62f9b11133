/** Reads from as many members as share a member with every quorum. */
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import { readQuorumSize } from "../consensus/voter-set.js";

/** Dependencies of {@link ReadQuorum}. */
export interface ReadQuorumOptions {
  readonly self: string;
  readonly store: ReplicatedStore;
  readonly withstandMachines: number;
  /** Whether this replica counts in quorums. */
  readonly isVoting: () => boolean;
}

/** Queries the other members until the accepted responses form a read quorum. */
export class ReadQuorum {
  constructor(private readonly options: ReadQuorumOptions) {}

  /**
   * Queries the other members until those for which `query` resolved to true form a read quorum,
   * which shares a member with every quorum. This replica counts as well if it votes. A query that
   * rejects, because a member's response is malformed, counts as refused.
   */
  readonly gather = async (query: (id: string) => Promise<boolean>): Promise<boolean> => {
    const { self, store, withstandMachines } = this.options;
    const sets = store.quorumSets();
    const responded = new Set(this.options.isVoting() ? [self] : []);
    const others = store.members().filter((id) => id !== self);
    if (others.length === 0 && responded.size === 0) return false;
    const isReadQuorum = () =>
      sets.every(
        (members) =>
          members.filter((id) => responded.has(id)).length >=
          readQuorumSize(members, withstandMachines),
      );
    return new Promise((resolve) => {
      let pending = others.length;
      const resolveIfDecided = () => {
        if (isReadQuorum()) resolve(true);
        else if (pending === 0) resolve(false);
      };
      const count = (id: string, isAccepted: boolean) => {
        pending -= 1;
        if (isAccepted) responded.add(id);
        resolveIfDecided();
      };
      others.forEach((id) => {
        void query(id).then(
          (isAccepted) => count(id, isAccepted),
          () => count(id, false),
        );
      });
      resolveIfDecided();
    });
  };
}
