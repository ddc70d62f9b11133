/** The contents of one replica, as read by another. */
import type { Ballot } from "./ballot.js";
import { NO_BALLOT } from "./ballot.js";
import type { LocalReplica } from "./local-replica.js";
import type { EntryReport } from "./message-types.js";
import {
  decodeReadResponse,
  decodeRejection,
  encodeReadRequest,
  isReadResponse,
} from "./messages.js";
import type { QuorumCalls } from "./quorum-calls.js";
import { READ_TIMEOUT_US } from "./timeouts.js";

const MAX_CHUNKS = 64;

/** The contents of one replica, as far as they differ from the reader's. */
export interface ReplicaView {
  readonly isVoting: boolean;
  readonly reports: ReadonlyMap<string, EntryReport>;
  /** Buckets in which it holds the same ballots as the reader held at the time of its request. */
  readonly equalBuckets: ReadonlySet<number>;
}

/** The reader's state at the time of its request. */
export interface ReaderState {
  readonly bucketHashes: readonly string[];
  readonly uncommittedKeys: readonly string[];
}

/** Reads the views of individual replicas. */
export class ReplicaViews {
  constructor(
    private readonly local: LocalReplica,
    private readonly calls: QuorumCalls,
  ) {}

  /** The reader's own view. It confirms only that the reader's entries are on its disk. */
  readonly own = async (): Promise<ReplicaView> => {
    const isVoting = (await this.local.persisted()) && this.local.isVoting;
    return { isVoting, reports: new Map(), equalBuckets: new Set() };
  };

  /**
   * Reads the contents of one peer that differ, in chunks; undefined if the peer rejects a request
   * or stops responding.
   *
   * @param floor - set by a replica that catches up: the peer accepts nothing below it from then on
   */
  readonly fetch = async (
    id: string,
    { bucketHashes, uncommittedKeys }: ReaderState,
    floor?: Ballot,
  ): Promise<ReplicaView | undefined> => {
    const { local, calls } = this;
    const reports = new Map<string, EntryReport>();
    const equalBuckets = new Set<number>();
    let fromBucket = 0;
    for (let chunk = 0; chunk < MAX_CHUNKS; chunk += 1) {
      const { voterSet } = local;
      const reply = await calls.request(
        id,
        encodeReadRequest({
          type: "read",
          voterSet,
          bucketHashes,
          uncommittedKeys,
          fromBucket,
          floor,
        }),
        READ_TIMEOUT_US,
      );
      if (!reply) return undefined;
      if (!isReadResponse(reply)) {
        local.learnFromRejection(decodeRejection(reply));
        return undefined;
      }
      const {
        isVoting,
        entries,
        equalBuckets: equal,
        nextBucket,
        proposal,
      } = decodeReadResponse(reply);
      entries.forEach((report) => reports.set(report.key, report));
      equal.forEach((bucket) => equalBuckets.add(bucket));
      // A replica that catches up may have taken part in deciding the next voter set.
      if (floor && proposal)
        local.record(local.state.recordProposal({ ...proposal, promised: NO_BALLOT }));
      fromBucket = nextBucket;
      if (fromBucket >= bucketHashes.length) return { isVoting, reports, equalBuckets };
    }
    return undefined;
  };
}
