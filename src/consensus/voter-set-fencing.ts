/**
 * Lets other parts of the control state ask the store's quorums. Their messages bear the number of
 * the voter set that they are sent under, so that no quorum of an older one is taken for one of the
 * newest.
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

/** What a `VoterSetFencing` is made of. */
export interface VoterSetFencingOptions {
  readonly self: string;
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly transport: PeerTransport;
  readonly withstandMachines: number;
}

/** Invariant: a member that knows a newer voter set gives no response that counts. */
export class VoterSetFencing {
  constructor(private readonly options: VoterSetFencingOptions) {}

  /** The message with the number of the voter set that it is sent under. */
  readonly withVoterSet = (message: Message): Message =>
    withVoterSetNumber(message, this.options.local.voterSet);

  /**
   * The rejection of a message that was sent under an older voter set; undefined where it was not.
   */
  readonly rejectIfOutdated = (message: Message): Message | undefined => {
    const { voterSet } = this.options.local;
    const number = voterSetNumberOf(message);
    return number !== undefined && number < voterSet.number
      ? encodeRejection("stale-voter-set", undefined, voterSet)
      : undefined;
  };

  /**
   * Puts a question to every member; ok once a quorum of each set has given an accepted response.
   *
   * @param accepts - whether a member's response is as required
   * @param handleLocally - this replica's own response
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
