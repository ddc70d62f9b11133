/**
 * Confirms that this replica can reach a majority, and learns of newer voter sets and newer grants
 * of the leader lease in the process.
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

/** Calls within this window share one round of requests. */
const BATCH_WINDOW_US = 40 * MILLISECOND_US;

/** Dependencies of {@link QuorumCheck}. */
export interface QuorumCheckOptions {
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly clock: Clock;
}

/**
 * Runs rounds of requests for confirmation.
 *
 * Invariant: a round starts after every call that it confirms.
 */
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
   * Records a term that a member reported. A newer one triggers a read and makes this controller
   * give up the leader lease.
   */
  private readonly learnTerm = (term: number | undefined): void => {
    if (term === undefined) return;
    if (term > this.grantedTerm()) void this.options.local.events.emit("behind");
    this.highestTermSeen = Math.max(this.highestTermSeen, term);
  };
}
