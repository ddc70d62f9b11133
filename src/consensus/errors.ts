/** Errors of reads and writes of the replicated store, each with a stable code. */
import { CodedError } from "../common/errors.js";

/** Fewer members than a quorum needs responded as required. Nothing is known to have changed. */
export class NoQuorumError extends CodedError {
  readonly code = "NO_QUORUM";

  /**
   * @param responded - how many members responded as required
   * @param needed - how many members of one set of voters had to
   */
  constructor(
    readonly responded: number,
    readonly needed: number,
  ) {
    super(`only ${responded} of ${needed} required replicas responded`);
  }
}

/** A newer term was granted, so the writer no longer holds the leader lease. */
export class StaleTermError extends CodedError {
  readonly code = "STALE_TERM";

  constructor() {
    super("the term is stale: a newer one has been granted");
  }
}

/** The voter set has changed in the meantime. Quorums of the older one no longer count. */
export class StaleVoterSetError extends CodedError {
  readonly code = "STALE_VOTER_SET";

  constructor() {
    super("the voter set is stale: a newer one has been decided");
  }
}

/**
 * The version is already committed with different content. No part of the write is or will be in
 * force.
 */
export class VersionConflictError extends CodedError {
  readonly code = "VERSION_CONFLICT";

  /**
   * @param key - key of the register, as `route/NAME`
   * @param version - the version that has different content
   */
  constructor(
    readonly key: string,
    readonly version: number,
  ) {
    super(`${key} at version ${version} is already agreed with another content`);
  }
}

/** The write refers to something that does not exist. No part of it is or will be in force. */
export class InvalidWriteError extends CodedError {
  readonly code = "INVALID_WRITE";
}

/** Parts of the write may be in force or may come into force later. */
export class UnclearOutcomeError extends CodedError {
  readonly code = "UNCLEAR_OUTCOME";
}

/**
 * Another attempt was promised a higher ballot, or the voter set has changed. The error stays
 * within the proposer, which retries.
 */
export class CollisionError extends CodedError {
  readonly code = "COLLISION";

  /** @param canRetryImmediately - whether the next attempt may start without a backoff */
  constructor(readonly canRetryImmediately: boolean) {
    super(
      canRetryImmediately ? "the voter set has changed" : "another attempt has a higher ballot",
    );
  }
}

/** Errors of one phase of a proposal. */
export type PhaseError = NoQuorumError | StaleTermError | CollisionError;

/** All errors of reads and writes of the replicated store. */
export type ReplicatedStoreError =
  | NoQuorumError
  | StaleTermError
  | StaleVoterSetError
  | VersionConflictError
  | InvalidWriteError
  | UnclearOutcomeError;
