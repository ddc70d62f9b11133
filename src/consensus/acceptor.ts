/**
 * The acceptor role of Paxos for registers and voter sets. Also answers reads and contact requests.
 * Every promise and every vote is durable before the response is sent.
 */
import type { Message } from "../transport/connection.js";
import { isHigherBallot, isSameBallot, NO_BALLOT, type Ballot } from "./ballot.js";
import { bucketOf } from "./bucket-hashes.js";
import type { LocalReplica } from "./local-replica.js";
import type {
  AcceptRequest,
  ContactRequest,
  EntryReport,
  PrepareRequest,
  ReadRequest,
  VoterSetAcceptRequest,
  VoterSetPrepareRequest,
} from "./message-types.js";
import {
  decodeRequest,
  encodeAcceptResponse,
  encodeContactResponse,
  encodePrepareResponse,
  encodeReadResponse,
  encodeRejection,
  encodeVoterSetPrepareResponse,
} from "./messages.js";
import type { Entry, VoterSetProposal } from "./record-codec.js";
import { LEADER_LEASE_KEY, type Term } from "./term.js";
import type { VoterSet } from "./voter-set.js";

/** Target size of a chunk of a replica's contents. A chunk ends with the bucket that reaches it. */
const CHUNK_BYTES = 64 * 1024;
/** Approximate size of an entry without the body of its register. */
const ENTRY_OVERHEAD_BYTES = 64;

const withoutRegister = (entry: Entry): EntryReport => ({ ...entry, register: "unchanged" });

/** Dependencies of {@link Acceptor}. */
export interface AcceptorOptions {
  readonly self: string;
  readonly local: LocalReplica;
  /** Whether a term above the given one is known here, committed or only proposed. */
  readonly isSuperseded: (term: Term) => boolean;
}

/**
 * Answers requests of peers.
 *
 * Invariant: a non-voting replica neither promises nor accepts, and no replica can catch up from
 * it.
 */
export class Acceptor {
  /**
   * The last floor raised for each replica that caught up. All chunks of one read carry the same
   * floor, which is raised only once.
   */
  private readonly floors = new Map<string, Ballot>();

  constructor(private readonly options: AcceptorOptions) {}

  /** Handles a request whose kind is in CONSENSUS_MESSAGE_KINDS. */
  readonly handle = async (message: Message): Promise<Message> => {
    const request = decodeRequest(message);
    switch (request.type) {
      case "prepare":
        return this.prepare(request);
      case "accept":
        return this.accept(request);
      case "read":
        return this.read(request);
      case "voter-set-prepare":
        return this.prepareVoterSet(request);
      case "voter-set-accept":
        return this.acceptVoterSet(request);
      case "contact":
        return this.contact(request);
    }
  };

  private readonly prepare = async (request: PrepareRequest): Promise<Message> => {
    const { local } = this.options;
    const { ballot, keys, knownBallots } = request;
    const rejection =
      this.rejectWriter(request.voterSet, request.term) ?? this.rejectLowerBallot(keys, ballot);
    if (rejection) return rejection;
    local.record(local.state.prepare(keys, ballot));
    const entries = keys.map((key) => local.state.entry(key));
    const history = local.state.historyOf(keys);
    if (!(await local.persisted())) return encodeRejection("disk-failure");
    const reports = entries.flatMap((entry, at): EntryReport[] => {
      if (entry.ballot.number === 0) return [];
      const isUnchanged = isSameBallot(entry.ballot, knownBallots[at] ?? NO_BALLOT);
      return [isUnchanged ? withoutRegister(entry) : entry];
    });
    return encodePrepareResponse({ incarnation: local.incarnation, entries: reports, history });
  };

  private readonly accept = async (request: AcceptRequest): Promise<Message> => {
    const { local, self } = this.options;
    const { ballot, items, incarnations } = request;
    const rejection =
      this.rejectWriter(request.voterSet, request.term) ??
      (incarnations.get(self) === local.incarnation
        ? this.rejectLowerBallot(
            items.map(([key]) => key),
            ballot,
          )
        : encodeRejection("other-incarnation"));
    if (rejection) return rejection;
    local.record(local.state.accept(ballot, items));
    return (await local.persisted()) ? encodeAcceptResponse() : encodeRejection("disk-failure");
  };

  private readonly rejectLowerBallot = (
    keys: readonly string[],
    ballot: Ballot,
  ): Message | undefined => {
    const { state } = this.options.local;
    return keys.some((key) => isHigherBallot(state.promisedFor(key), ballot))
      ? encodeRejection("lower-ballot", state.highestBallotNumber)
      : undefined;
  };

  /**
   * The rejection of a proposer's request for reasons other than its ballot; undefined if there is
   * none.
   */
  private readonly rejectWriter = (
    voterSet: VoterSet,
    term: Term | undefined,
  ): Message | undefined => {
    if (!this.options.local.isVoting) return encodeRejection("not-voting");
    const stale = this.rejectStaleVoterSet(voterSet);
    if (stale) return stale;
    return term && this.options.isSuperseded(term) ? encodeRejection("stale-term") : undefined;
  };

  /**
   * Adopts the sender's voter set if it is newer. If it is older, rejects the request and returns
   * the newer one.
   */
  private readonly rejectStaleVoterSet = (senderVoterSet: VoterSet): Message | undefined => {
    const { local } = this.options;
    local.learnVoterSet(senderVoterSet);
    return senderVoterSet.number < local.voterSet.number
      ? encodeRejection("stale-voter-set", local.state.highestBallotNumber, local.voterSet)
      : undefined;
  };

  private readonly read = async (request: ReadRequest): Promise<Message> => {
    const { local } = this.options;
    const { floor } = request;
    if (!local.isVoting && floor) return encodeRejection("not-voting");
    const rejection = this.rejectStaleVoterSet(request.voterSet) ?? this.raiseFloor(floor);
    if (rejection) return rejection;
    const { equalBuckets, entries, nextBucket } = this.nextChunk(request);
    const isVoting = (await local.persisted()) && local.isVoting;
    const proposal = local.state.voterSetProposal;
    return encodeReadResponse({ isVoting, equalBuckets, entries, nextBucket, proposal });
  };

  /**
   * A floor must be higher than every ballot seen by this replica, so that no earlier proposal can
   * succeed any more.
   */
  private readonly raiseFloor = (floor: Ballot | undefined): Message | undefined => {
    const { local } = this.options;
    if (!floor || isSameBallot(floor, this.floors.get(floor.proposer) ?? NO_BALLOT))
      return undefined;
    if (floor.number <= local.state.highestBallotNumber)
      return encodeRejection("lower-ballot", local.state.highestBallotNumber);
    local.record(local.state.raiseFloor(floor));
    this.floors.set(floor.proposer, floor);
    return undefined;
  };

  /**
   * Collects entries of whole buckets that differ from the reader's until the chunk is full. For
   * equal buckets, it reports only the reader's uncommitted keys, without their registers.
   */
  private readonly nextChunk = ({
    bucketHashes: readerHashes,
    uncommittedKeys,
    fromBucket,
  }: ReadRequest): {
    readonly equalBuckets: readonly number[];
    readonly entries: readonly EntryReport[];
    readonly nextBucket: number;
  } => {
    const { state } = this.options.local;
    const hashes = state.bucketHashes();
    const equalBuckets: number[] = [];
    const entries: EntryReport[] = [];
    let bucket = fromBucket;
    for (let bytes = 0; bucket < hashes.length && bytes < CHUNK_BYTES; bucket += 1) {
      if (hashes[bucket] === readerHashes[bucket]) {
        equalBuckets.push(bucket);
        continue;
      }
      state.entriesInBucket(bucket).forEach((entry) => {
        entries.push(entry);
        bytes += (entry.register?.body.length ?? 0) + ENTRY_OVERHEAD_BYTES;
      });
    }
    uncommittedKeys
      .filter((key) => equalBuckets.includes(bucketOf(key)))
      .forEach((key) => entries.push(withoutRegister(state.entry(key))));
    return { equalBuckets, entries, nextBucket: bucket };
  };

  private readonly contact = ({ voterSet }: ContactRequest): Message => {
    const { local } = this.options;
    local.learnVoterSet(voterSet);
    return encodeContactResponse(
      local.isVoting,
      local.voterSet,
      local.state.committedAt(LEADER_LEASE_KEY),
    );
  };

  private readonly prepareVoterSet = async (request: VoterSetPrepareRequest): Promise<Message> => {
    const { local } = this.options;
    const { number, ballot } = request;
    const rejection = this.rejectVoterSetProposer(request);
    if (rejection) return rejection;
    const before = local.state.voterSetProposal;
    const emptyProposal: VoterSetProposal = {
      number,
      promised: ballot,
      ballot: NO_BALLOT,
      voterSet: undefined,
    };
    local.record(
      local.state.recordProposal({
        number,
        promised: ballot,
        ballot: before?.ballot ?? NO_BALLOT,
        voterSet: before?.voterSet,
      }),
    );
    if (!(await local.persisted())) return encodeRejection("disk-failure");
    return encodeVoterSetPrepareResponse({
      incarnation: local.incarnation,
      proposal: before ?? emptyProposal,
    });
  };

  private readonly acceptVoterSet = async (request: VoterSetAcceptRequest): Promise<Message> => {
    const { local, self } = this.options;
    const { number, ballot, next, incarnations } = request;
    const rejection = this.rejectVoterSetProposer(request);
    if (rejection) return rejection;
    if (incarnations.get(self) !== local.incarnation) return encodeRejection("other-incarnation");
    local.record(local.state.recordProposal({ number, promised: ballot, ballot, voterSet: next }));
    return (await local.persisted()) ? encodeAcceptResponse() : encodeRejection("disk-failure");
  };

  /** Only the direct successor of the voter set known here can be decided. */
  private readonly rejectVoterSetProposer = ({
    number,
    ballot,
    voterSet,
  }: VoterSetPrepareRequest | VoterSetAcceptRequest): Message | undefined => {
    const { local } = this.options;
    if (!local.isVoting) return encodeRejection("not-voting");
    local.learnVoterSet(voterSet);
    const { state } = local;
    if (number <= state.voterSet.number)
      return encodeRejection("stale-voter-set", state.highestBallotNumber, state.voterSet);
    if (number > state.voterSet.number + 1) return encodeRejection("stale-voter-set");
    return isHigherBallot(state.promisedForVoterSet(number), ballot)
      ? encodeRejection("lower-ballot", state.highestBallotNumber)
      : undefined;
  };
}
