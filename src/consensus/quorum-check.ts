/**
 * Proves that this replica is in touch with a majority, and learns on the way of newer voter sets
 * and grants of the leader lease.
 */
import { Batcher } from "../common/batcher.js";
import { sleep, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { LocalReplica } from "./local-replica.js";
import type { ContactResponse } from "./message-types.js";
import { decodeContactResponse, encodeContactRequest } from "./messages.js";
import type { QuorumCalls } from "./quorum-calls.js";
import { LEADER_LEASE_KEY } from "./term.js";
import { READ_TIMEOUT_US } from "./timeouts.js";
import { majoritySize } from "./voter-set.js";

/** One round of requests serves all calls that came within so long. */
const BATCH_WINDOW_US = 40 * MILLISECOND_US;

/** What a `QuorumCheck` is made of. */
export interface QuorumCheckOptions {
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly clock: Clock;
}

/** Invariant: a round that confirms began after each call that it serves. */
export class QuorumCheck {
  private readonly rounds: Batcher<undefined, boolean>;
  private highestTermSeen = 0;

  constructor(private readonly options: QuorumCheckOptions) {
    this.rounds = new Batcher(() => this.runRound());
  }

  /** True once a majority of each set of voters has responded to a request sent after this call. */
  readonly confirm = (): Promise<boolean> => this.rounds.add(undefined);

  /** The number of the newest term known here or to a member that has responded. */
  readonly newestTerm = (): number => Math.max(this.highestTermSeen, this.grantedTerm());

  private readonly grantedTerm = (): number =>
    this.options.local.state.committedAt(LEADER_LEASE_KEY)?.version ?? 0;

  private readonly runRound = async (): Promise<boolean> => {
    const { local, calls, clock } = this.options;
    await sleep(clock, BATCH_WINDOW_US);
    const reached = await calls.collect<ContactResponse>({
      sets: local.quorumSets,
      needed: majoritySize,
      request: async (id) => {
        const reply = await calls.request(
          id,
          encodeContactRequest(local.voterSet),
          READ_TIMEOUT_US,
        );
        if (!reply) return undefined;
        const response = decodeContactResponse(reply);
        local.learnVoterSet(response.voterSet);
        this.learnTerm(response.grantedTerm);
        return response.isVoting ? response : undefined;
      },
    });
    return reached.isOk;
  };

  /**
   * A newer grant that a member knows is reason enough to read, and to give the leader lease up.
   */
  private readonly learnTerm = (term: number | undefined): void => {
    if (term === undefined) return;
    if (term > this.grantedTerm()) void this.options.local.events.emit("behind");
    this.highestTermSeen = Math.max(this.highestTermSeen, term);
  };
}
