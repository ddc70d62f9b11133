/** Reads from as many members as share a member with every quorum. */
import type { ReplicatedStore } from "../consensus/replicated-store.js";
import { readQuorumSize } from "../consensus/voter-set.js";
import type { Message } from "../transport/connection.js";
import { CLAIM_TIMEOUT_US } from "./timeouts.js";

/** Dependencies of {@link ReadQuorum}. */
export interface ReadQuorumOptions {
  readonly self: string;
  readonly store: ReplicatedStore;
  readonly request: (id: string, message: Message, waitUs: number) => Promise<Message | undefined>;
  readonly withstandMachines: number;
  /** Whether this replica counts in quorums. */
  readonly isVoting: () => boolean;
}

/** Queries the other members until the accepted responses form a read quorum. */
export class ReadQuorum {
  constructor(private readonly options: ReadQuorumOptions) {}

  /**
   * Queries the other members until the accepted responses form a read quorum, which shares a
   * member with every quorum. This replica counts as well if it votes.
   */
  readonly gather = async (
    message: Message,
    accepts: (reply: Message) => boolean,
  ): Promise<boolean> => {
    const { self, store, request, withstandMachines } = this.options;
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
      others.forEach((id) => {
        void request(id, store.withVoterSet(message), CLAIM_TIMEOUT_US).then((reply) => {
          pending -= 1;
          if (reply && accepts(reply)) responded.add(id);
          resolveIfDecided();
        });
      });
      resolveIfDecided();
    });
  };
}
