/** What can go wrong when the replicated store is read or written, each with a stable code. */
import { CodedError } from "../common/errors.js";

/**
 * Fewer members than a quorum needs have responded as required. Nothing is known to have changed.
 */
export class NoQuorumError extends CodedError {
  readonly code = "NO_QUORUM";

  /**
   * @param responded - how many members responded as required
   * @param needed - how many of one set of voters had to
   */
  constructor(
    readonly responded: number,
    readonly needed: number,
  ) {
    super(`only ${responded} of ${needed} replicas answered well`);
  }
}

/**
 * A newer term was granted: whoever writes under the older one no longer holds the leader lease.
 */
export class StaleTermError extends CodedError {
  readonly code = "STALE_TERM";

  constructor() {
    super("the term is stale: a newer one was granted");
  }
}

/** The voter set has changed meanwhile; quorums of the older one no longer count. */
export class StaleVoterSetError extends CodedError {
  readonly code = "STALE_VOTER_SET";

  constructor() {
    super("the voter set is stale: a newer one was decided");
  }
}

/** Another content was agreed under this number; no part of the write is or will be in force. */
export class VersionConflictError extends CodedError {
  readonly code = "VERSION_CONFLICT";

  /**
   * @param key - of the register, as `route/NAME`
   * @param version - the number that has another content
   */
  constructor(
    readonly key: string,
    readonly version: number,
  ) {
    super(`${key} at version ${version} is already agreed with another content`);
  }
}

/** The write names what does not exist; no part of it is or will be in force. */
export class InvalidWriteError extends CodedError {
  readonly code = "INVALID_WRITE";
}

/** Parts of the write may be in force, or may be so later. */
export class UnclearOutcomeError extends CodedError {
  readonly code = "UNCLEAR_OUTCOME";
}

/**
 * Another attempt was promised a higher ballot, or the voter set has moved on: worth a further
 * attempt. It stays within the proposer, which retries.
 */
export class CollisionError extends CodedError {
  readonly code = "COLLISION";

  /** @param canRetryImmediately - whether a further attempt may begin without a wait */
  constructor(readonly canRetryImmediately: boolean) {
    super(
      canRetryImmediately ? "the voter set has changed" : "another attempt has a higher ballot",
    );
  }
}

/** What one phase of a proposal can fail with. */
export type PhaseError = NoQuorumError | StaleTermError | CollisionError;

/** Everything that a read or a write of the replicated store can fail with. */
export type ReplicatedStoreError =
  | NoQuorumError
  | StaleTermError
  | StaleVoterSetError
  | VersionConflictError
  | InvalidWriteError
  | UnclearOutcomeError;
