/**
 * The proposer's part of Paxos for registers: a quorum promises a ballot and shows what it accepted
 * before, then those that promised accept the new contents. A proposer that meets another tries
 * again with a higher ballot, after a random backoff that doubles.
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
 * After a quorum has responded, so long is waited for the rest, so that all take part where all are
 * well.
 */
export const STRAGGLER_GRACE_US = 10 * MILLISECOND_US;
/** No attempt begins later than this after the call. */
const MAX_RETRY_TIME_US = 900 * MILLISECOND_US;
const MAX_RETRIES = 40;
/** How often keys are added to a ballot since their items were proposed together. */
const MAX_PREPARE_ROUNDS = 4;
const FIRST_BACKOFF_US = 8 * MILLISECOND_US;
const MAX_BACKOFF_US = 200 * MILLISECOND_US;

/** A ballot that a quorum has promised, with what stands below it. */
export interface PreparedBallot {
  readonly ballot: Ballot;
  readonly voterSet: VoterSet;
  /** Those asked for, and those whose items were proposed together with theirs. */
  readonly keys: readonly string[];
  /** By key, what was accepted at the highest ballot, without calls that were overruled. */
  readonly found: ReadonlyMap<string, EntryReport>;
  readonly incarnations: Incarnations;
}

/** A ballot that a quorum has promised, and what the promises come to. */
interface PromisedBallot extends Pick<PreparedBallot, "ballot" | "voterSet" | "incarnations"> {
  readonly resolution: CallResolution;
}

/** What stands under a key, as a prepared ballot found it. */
export const registerFoundBy = (prepared: PreparedBallot, key: string): Register | undefined => {
  const report = prepared.found.get(key);
  return report === undefined || report.register === "unchanged" ? undefined : report.register;
};

/** What a `Proposer` is made of. */
export interface ProposerOptions {
  readonly local: LocalReplica;
  readonly calls: QuorumCalls;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** From 0 to 1; spreads the waits after a collision. */
  readonly random: () => number;
  readonly withstandMachines: number;
}

/**
 * One phase: a request to all members of a voter set, and which of the responses are as required.
 */
interface Phase {
  readonly voterSet: VoterSet;
  readonly message: Message;
  readonly timeoutUs: number;
  readonly isExpected: (response: Message) => boolean;
  readonly onResponse?: (id: string, response: Message) => void;
  /** Whom to ask; everyone where it is left out. */
  readonly isRecipient?: (id: string) => boolean;
}

/**
 * Runs the two phases. Invariants: no two attempts use the same ballot; only those that promised,
 * in the same incarnation, are asked to accept.
 */
export class Proposer {
  constructor(private readonly options: ProposerOptions) {}

  /**
   * Asks for promises; ok once a quorum of each set has given them. Where items of these keys were
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

  /** One round of promises for these keys alone. */
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

  /** Asks those that promised to accept; then everyone is notified. */
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

  /** Repeats an attempt for as long as it collides with another, up to about a second. */
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
        return err(new UnclearOutcomeError("other orders were in the way"));
      if (failure.canRetryImmediately) continue;
      const backoffUs = Math.min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2 ** retry);
      await sleep(clock, Math.round(random() * backoffUs));
    }
  };

  /** What stood in the way of a quorum is the error; no quorum only where nobody said more. */
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

/** A register that was left out of a report is the one that the proposer held. */
const withOwnRegister =
  (own: ReadonlyMap<string, Entry>) =>
  (report: EntryReport): EntryReport => {
    const entry = own.get(report.key);
    const isOwn =
      report.register === "unchanged" && entry && isSameBallot(entry.ballot, report.ballot);
    return isOwn ? { ...report, register: entry.register } : report;
  };
