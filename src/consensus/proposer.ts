/**
 * The proposer role of Paxos for registers: a quorum promises a ballot and reports what it accepted
 * before, then the replicas that promised accept the new contents. After a collision with another
 * proposer, the proposer retries with a higher ballot after a random backoff whose bound doubles.
 */
import { err, ok, type Result } from "true-myth/result";
import { sleep, type Clock } from "../common/clock.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { isSameBallot, type Ballot } from "./ballot.js";
import {
  CollisionError,
  StaleTermError,
  UnclearOutcomeError,
  type NoQuorumError,
  type PhaseError,
} from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import { resolveCalls, type CallResolution } from "./call-resolution.js";
import type { EntryReport, Incarnations, PrepareResponse } from "./message-types.js";
import {
  decodePrepareResponse,
  decodeRejection,
  encodeAcceptRequest,
  encodeCommittedNotice,
  encodePrepareRequest,
  isAcceptResponse,
  isPrepareResponse,
} from "./messages.js";
import type { PeerTransport, QuorumCalls } from "./quorum-calls.js";
import type { Entry, Item } from "./record-codec.js";
import type { Register } from "./register.js";
import type { CommitMark } from "./replica.js";
import type { Term } from "./term.js";
import { READ_TIMEOUT_US, WRITE_TIMEOUT_US } from "./timeouts.js";
import { quorumSetsOf, quorumSize, type VoterSet } from "./voter-set.js";

/**
 * How long to wait for the remaining members after a quorum has responded, so that all healthy
 * members take part.
 */
export const STRAGGLER_GRACE_US = 10 * MILLISECOND_US;
/** No attempt starts later than this after the call. */
const MAX_RETRY_TIME_US = 900 * MILLISECOND_US;
const MAX_RETRIES = 40;
/**
 * Maximum number of prepare rounds. Each further round, with a new ballot, adds the keys whose
 * items were proposed together with those prepared so far.
 */
const MAX_PREPARE_ROUNDS = 4;
const FIRST_BACKOFF_US = 8 * MILLISECOND_US;
const MAX_BACKOFF_US = 200 * MILLISECOND_US;

/** A ballot promised by a quorum, with the current entries below it. */
export interface PreparedBallot {
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  /** The requested keys, and those whose items were proposed together with theirs. */
  readonly keys: readonly string[];
  /** By key, the entry accepted at the highest ballot, without calls that were superseded. */
  readonly found: ReadonlyMap<string, EntryReport>;
  readonly incarnations: Incarnations;
}

/** A ballot promised by a quorum, with the result of evaluating the promises. */
interface PromisedBallot extends Pick<PreparedBallot, "ballot" | "voterSet" | "incarnations"> {
  readonly resolution: CallResolution;
}

/** The current register under a key, as found by a prepared ballot. */
export const registerFoundBy = (prepared: PreparedBallot, key: string): Register | undefined => {
  const report = prepared.found.get(key);
  return report === undefined || report.register === "unchanged" ? undefined : report.register;
};

/** Dependencies of {@link Proposer}. */
export interface ProposerOptions {
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** Random source from 0 to 1, used to spread the backoff after a collision. */
  readonly random: () => number;
  readonly withstandMachines: number;
}

/** One phase: a request to all members of a voter set, and the criterion for its responses. */
interface Phase {
  readonly voterSet: VoterSet;
  readonly message: Message;
  readonly timeoutUs: number;
  readonly isExpected: (response: Message) => boolean;
  readonly onResponse?: (id: string, response: Message) => void;
  /** Which members to ask; all of them if omitted. */
  readonly isRecipient?: (id: string) => boolean;
}

/**
 * Runs the two phases.
 *
 * Invariants: no two attempts use the same ballot; only members that promised, in the same
 * incarnation, are asked to accept.
 */
export class Proposer {
  constructor(private readonly options: ProposerOptions) {}

  /**
   * Asks for promises; ok once a quorum of each set has given them. If items of these keys were
   * proposed together with others, the others are prepared too.
   */
  readonly prepare = async (
    keys: readonly string[],
    term?: Term,
  ): Promise<Result<PreparedBallot, PhaseError>> => {
    let allKeys: ReadonlySet<string> = new Set(keys);
    for (let round = 0; round < MAX_PREPARE_ROUNDS; round += 1) {
      const prepared = await this.prepareKeys([...allKeys], term);
      if (prepared.isErr) return err(prepared.error);
      const { resolution, ...promised } = prepared.value;
      if (resolution.kind === "resolved")
        return ok({ ...promised, keys: [...allKeys], found: resolution.found });
      allKeys = new Set([...allKeys, ...resolution.missingKeys]);
    }
    return err(new CollisionError(false));
  };

  /** One round of promises for exactly these keys. */
  private readonly prepareKeys = async (
    keys: readonly string[],
    term: Term | undefined,
  ): Promise<Result<PromisedBallot, PhaseError>> => {
    const { local } = this.options;
    const { voterSet } = local;
    const ballot = local.nextBallot();
    const entries = keys.map(local.state.entry);
    const knownBallots = entries.map((entry) => entry.ballot);
    const own = new Map(entries.map((entry) => [entry.key, entry]));
    const incarnations = new Map<string, string>();
    const responses: PrepareResponse[] = [];
    const promised = await this.runPhase({
      voterSet,
      message: encodePrepareRequest({
        type: "prepare",
        ballot,
        voterSet,
        keys,
        knownBallots,
        term,
      }),
      timeoutUs: READ_TIMEOUT_US,
      isExpected: isPrepareResponse,
      onResponse: (id, response) => {
        const promise = decodePrepareResponse(response);
        incarnations.set(id, promise.incarnation);
        responses.push({ ...promise, entries: promise.entries.map(withOwnRegister(own)) });
      },
    });
    return promised.map(() => ({
      ballot,
      voterSet,
      incarnations: new Map(incarnations),
      resolution: resolveCalls(new Set(keys), responses),
    }));
  };

  /** Asks the members that promised to accept the items, then notifies all peers. */
  readonly accept = async (
    { ballot, voterSet, incarnations }: PreparedBallot,
    items: readonly Item[],
    term?: Term,
  ): Promise<Result<void, PhaseError>> => {
    const { local, transport } = this.options;
    const accepted = await this.runPhase({
      voterSet,
      message: encodeAcceptRequest({
        type: "accept",
        ballot,
        voterSet,
        incarnations,
        items,
        term,
      }),
      timeoutUs: WRITE_TIMEOUT_US,
      isExpected: isAcceptResponse,
      isRecipient: (id) => incarnations.has(id),
    });
    if (accepted.isErr) return err(accepted.error);
    local.learnChosen(ballot, items);
    const marks = items.map(([key]): CommitMark => [key, ballot]);
    transport.broadcast(encodeCommittedNotice(local.voterSet, marks));
    return ok(undefined);
  };

  /** Repeats an attempt while it collides with others, for up to about a second. */
  readonly withRetries = async (
    attempt: () => Promise<Result<void, PhaseError>>,
  ): Promise<Result<void, NoQuorumError | StaleTermError | UnclearOutcomeError>> => {
    const { clock, random } = this.options;
    const beganUs = clock.nowUs();
    for (let retry = 0; ; retry += 1) {
      const done = await attempt();
      if (done.isOk) return ok(undefined);
      const failure = done.error;
      if (!(failure instanceof CollisionError)) return err(failure);
      if (clock.nowUs() - beganUs > MAX_RETRY_TIME_US || retry >= MAX_RETRIES)
        return err(
          new UnclearOutcomeError("retries exhausted: the write collided with concurrent ones"),
        );
      if (failure.canRetryImmediately) continue;
      const backoffUs = Math.min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2 ** retry);
      await sleep(clock, Math.round(random() * backoffUs));
    }
  };

  /**
   * Runs one phase. The error is the reason that members gave for rejecting the request, or
   * `NoQuorumError` if they gave none.
   */
  private readonly runPhase = async ({
    voterSet,
    message,
    timeoutUs,
    isExpected,
    onResponse,
    isRecipient,
  }: Phase): Promise<Result<void, PhaseError>> => {
    const { local, calls, withstandMachines } = this.options;
    let failure: PhaseError | undefined;
    let isCollecting = true;
    const done = await calls.collect<Message>({
      sets: () => quorumSetsOf(voterSet),
      needed: (members) => quorumSize(members, withstandMachines),
      graceUs: STRAGGLER_GRACE_US,
      request: async (id) => {
        const reply =
          isRecipient?.(id) === false ? undefined : await calls.request(id, message, timeoutUs);
        if (!reply || !isCollecting) return undefined;
        if (isExpected(reply)) {
          onResponse?.(id, reply);
          return reply;
        }
        const rejection = decodeRejection(reply);
        local.learnFromRejection(rejection);
        switch (rejection.reason) {
          case "stale-term":
            failure = new StaleTermError();
            break;
          case "lower-ballot":
          case "other-incarnation":
          case "stale-voter-set":
            failure ??= new CollisionError(rejection.reason === "stale-voter-set");
            break;
          default:
            break;
        }
        return undefined;
      },
    });
    isCollecting = false;
    return done.isOk ? ok(undefined) : err(failure ?? done.error);
  };
}

/** Fills in a register that a report omits because the proposer holds it. */
const withOwnRegister =
  (own: ReadonlyMap<string, Entry>) =>
  (report: EntryReport): EntryReport => {
    const entry = own.get(report.key);
    const isOwn =
      report.register === "unchanged" && entry && isSameBallot(entry.ballot, report.ballot);
    return isOwn ? { ...report, register: entry.register } : report;
  };
