/**
 * Lets other parts of the control state send requests to the store's quorums. Their messages carry
 * the number of the sender's voter set, so that a quorum of an older voter set is never taken for
 * one of the newest.
 */
import type { Result } from "true-myth/result";
import type { Message } from "../transport/connection.js";
import type { NoQuorumError } from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import {
  decodeRejection,
  encodeRejection,
  isRejection,
  voterSetNumberOf,
  withVoterSetNumber,
} from "./messages.js";
import type { PeerTransport, QuorumCalls } from "./quorum-calls.js";
import { quorumSize } from "./voter-set.js";

/** Dependencies of {@link VoterSetFencing}. */
export interface VoterSetFencingOptions {
  readonly self: string;
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly transport: PeerTransport;
  readonly withstandMachines: number;
}

/**
 * Adds the number of the voter set to messages and checks it.
 *
 * Invariant: a member that knows a newer voter set gives no response that counts.
 */
export class VoterSetFencing {
  constructor(private readonly options: VoterSetFencingOptions) {}

  /** Adds the number of the current voter set to the message. */
  readonly withVoterSet = (message: Message): Message =>
    withVoterSetNumber(message, this.options.local.voterSet);

  /** The rejection of a message that was sent under an older voter set; undefined if it was not. */
  readonly rejectIfOutdated = (message: Message): Message | undefined => {
    const { voterSet } = this.options.local;
    const number = voterSetNumberOf(message);
    return number !== undefined && number < voterSet.number
      ? encodeRejection("stale-voter-set", undefined, voterSet)
      : undefined;
  };

  /**
   * Sends a request to every member; ok once a quorum of each set has given an accepted response.
   *
   * @param accepts - whether a member's response counts
   * @param handleLocally - whether this replica's own response counts
   */
  readonly callQuorum = (
    message: Message,
    accepts: (response: Message, id: string) => boolean,
    handleLocally: () => Promise<boolean>,
    timeoutUs: number,
  ): Promise<Result<void, NoQuorumError>> => {
    const { self, local, calls, transport, withstandMachines } = this.options;
    return calls.collect<true>({
      sets: local.quorumSets,
      needed: (members) => quorumSize(members, withstandMachines),
      request: async (id) => {
        if (id === self) return (await handleLocally()) ? true : undefined;
        const reply = await transport.request(id, this.withVoterSet(message), timeoutUs);
        if (reply && isRejection(reply)) local.learnVoterSet(decodeRejection(reply).voterSet);
        return reply !== undefined && accepts(reply, id) ? true : undefined;
      },
    });
  };
}
