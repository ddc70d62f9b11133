/**
 * Decides the voter set of one number, by quorums of the preceding voter set: prepare and accept,
 * as for a register. A voter set that some members have already accepted is completed in place of
 * the proposer's own.
 */
import type { Result } from "true-myth/result";
import { sleep, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Logger } from "../common/logger.js";
import type { Message } from "../transport/connection.js";
import { isHigherBallot, type Ballot } from "./ballot.js";
import type { NoQuorumError } from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import type { Incarnations } from "./message-types.js";
import {
  decodeRejection,
  decodeVoterSetPrepareResponse,
  encodeCommittedNotice,
  encodeVoterSetAcceptRequest,
  encodeVoterSetPrepareRequest,
  isRejection,
} from "./messages.js";
import type { PeerTransport, QuorumCalls } from "./quorum-calls.js";
import type { VoterSetProposal } from "./record-codec.js";
import { READ_TIMEOUT_US } from "./timeouts.js";
import { isJoint, quorumSetsOf, quorumSize, type VoterSet } from "./voter-set.js";

const MAX_ATTEMPTS = 6;
const FIRST_BACKOFF_US = 8 * MILLISECOND_US;

/** Dependencies of {@link VoterSetProposer}. */
export interface VoterSetProposerOptions {
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** Random source from 0 to 1, used to spread the backoff after a collision. */
  readonly random: () => number;
  readonly withstandMachines: number;
  readonly logger: Logger;
}

/** One phase: a request to the members of `base`, and the handler of their responses. */
interface Phase {
  readonly base: VoterSet;
  readonly message: Message;
  readonly isRecipient: (id: string) => boolean;
  readonly onResponse: (id: string, response: Message) => void;
}

/**
 * Proposes voter sets.
 *
 * Invariant: each number is decided once, whoever proposes.
 */
export class VoterSetProposer {
  constructor(private readonly options: VoterSetProposerOptions) {}

  /**
   * Decides the voter set after `base`.
   *
   * @returns the decided voter set, which may be another proposer's; undefined if none is known to
   *   be decided
   */
  readonly decide = async (base: VoterSet, wanted: VoterSet): Promise<VoterSet | undefined> => {
    const { local, clock, random } = this.options;
    for (
      let attempt = 0;
      attempt < MAX_ATTEMPTS && local.voterSet.number === base.number;
      attempt += 1
    ) {
      const ballot = local.nextBallot();
      const incarnations = new Map<string, string>();
      let found: VoterSetProposal | undefined;
      const prepared = await this.prepare(base, ballot, (id, response) => {
        const { incarnation, proposal } = decodeVoterSetPrepareResponse(response);
        incarnations.set(id, incarnation);
        if (proposal.number !== base.number + 1 || !proposal.voterSet) return;
        if (!found || isHigherBallot(proposal.ballot, found.ballot)) found = proposal;
      });
      const next: VoterSet = found?.voterSet ?? wanted;
      const accepted = prepared.isOk
        ? await this.accept(base, ballot, incarnations, next)
        : prepared;
      if (accepted.isOk) {
        this.learnDecided(next);
        return next;
      }
      await sleep(clock, Math.round(random() * FIRST_BACKOFF_US * 2 ** attempt));
    }
    return local.voterSet.number > base.number ? local.voterSet : undefined;
  };

  private readonly prepare = (
    base: VoterSet,
    ballot: Ballot,
    onResponse: Phase["onResponse"],
  ): Promise<Result<void, NoQuorumError>> =>
    this.runPhase({
      base,
      message: encodeVoterSetPrepareRequest({
        type: "voter-set-prepare",
        number: base.number + 1,
        ballot,
        voterSet: base,
      }),
      isRecipient: () => true,
      onResponse,
    });

  private readonly accept = (
    base: VoterSet,
    ballot: Ballot,
    incarnations: Incarnations,
    next: VoterSet,
  ): Promise<Result<void, NoQuorumError>> =>
    this.runPhase({
      base,
      message: encodeVoterSetAcceptRequest({
        type: "voter-set-accept",
        number: base.number + 1,
        ballot,
        voterSet: base,
        incarnations,
        next,
      }),
      isRecipient: (id) => incarnations.has(id),
      onResponse: () => undefined,
    });

  private readonly runPhase = ({
    base,
    message,
    isRecipient,
    onResponse,
  }: Phase): Promise<Result<void, NoQuorumError>> => {
    const { local, calls, withstandMachines } = this.options;
    let isCollecting = true;
    return calls
      .collect<Message>({
        sets: () => quorumSetsOf(base),
        needed: (members) => quorumSize(members, withstandMachines),
        request: async (id) => {
          const reply = isRecipient(id)
            ? await calls.request(id, message, READ_TIMEOUT_US)
            : undefined;
          if (!reply || !isCollecting) return undefined;
          if (isRejection(reply)) {
            local.learnFromRejection(decodeRejection(reply));
            return undefined;
          }
          onResponse(id, reply);
          return reply;
        },
      })
      .finally(() => {
        isCollecting = false;
      });
  };

  private readonly learnDecided = (voterSet: VoterSet): void => {
    const { local, transport, logger } = this.options;
    local.learnVoterSet(voterSet);
    logger.info("voter set decided", {
      voterSet: voterSet.number,
      members: voterSet.members,
      isJoint: isJoint(voterSet),
    });
    transport.broadcast(encodeCommittedNotice(local.voterSet, []));
  };
}
