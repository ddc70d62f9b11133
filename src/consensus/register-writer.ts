/**
 * Writes to registers: operator calls, decisions of the holder of the leader lease, and repairs.
 */
import { err, ok, type Result } from "true-myth/result";
import { isSameBallot, NO_BALLOT, type Ballot } from "./ballot.js";
import {
  InvalidWriteError,
  UnclearOutcomeError,
  VersionConflictError,
  type ReplicatedStoreError,
} from "./errors.js";
import type { LocalReplica } from "./local-replica.js";
import { registerFoundBy, type PreparedBallot, type Proposer } from "./proposer.js";
import type { Item } from "./record-codec.js";
import { applyWrite, makeRegister, type Register } from "./register.js";
import type { Term } from "./term.js";

/** How many registers are recommitted with one ballot. */
const RECOMMIT_BATCH = 256;

type Contents = ReadonlyMap<string, Register | undefined>;

/** The registers in force at the time of a write. */
export interface RegisterView {
  readonly get: (key: string) => Register | undefined;
  readonly all: () => readonly Register[];
}

/** Returns why a write is invalid, given the registers in force; undefined if it is valid. */
export type WriteCheck = (inForce: RegisterView) => string | undefined;

/** How a write is checked. */
export interface WriteOptions {
  readonly findProblem?: WriteCheck;
  /**
   * Key of a register that is rewritten along with the write. Writes with the same serialization
   * key are decided one after another, and each is checked against all that were decided before,
   * so that a condition over several registers holds even for concurrent writes.
   */
  readonly serializationKey?: string;
}

/** Dependencies of {@link RegisterWriter}. */
export interface RegisterWriterOptions {
  readonly local: LocalReplica;
  readonly proposer: Proposer;
  /** Reads a quorum. */
  readonly read: () => Promise<Result<void, ReplicatedStoreError>>;
}

/** Result of applying several writes to the registers in force. */
interface AppliedWrites {
  readonly next: Contents;
  /** Whether some, or all, of the writes had been made before. */
  readonly hasDuplicates: boolean;
  readonly isDuplicate: boolean;
  readonly error: VersionConflictError | UnclearOutcomeError | undefined;
}

/**
 * The next content of a serialization register. Its body differs between writes, so that of two
 * writes on top of the same content the one with the lower ballot is recognized as superseded.
 */
const nextSerializationRegister = (
  key: string,
  current: Register | undefined,
  ballot: Ballot,
): Register | undefined => {
  const body = `${ballot.number}/${ballot.proposer}`;
  const outcome = applyWrite(current, makeRegister(key, (current?.version ?? 0) + 1, body));
  return outcome.kind === "applied" ? outcome.next : current;
};

const applyWrites = (writes: readonly Register[], current: Contents): AppliedWrites => {
  const next = new Map(current);
  let error: AppliedWrites["error"];
  for (const write of writes) {
    const { key, version } = write;
    const outcome = applyWrite(next.get(key), write);
    if (outcome.kind === "applied") next.set(key, outcome.next);
    if (outcome.kind === "conflict") error ??= new VersionConflictError(key, version);
    if (outcome.kind === "forgotten")
      error ??= new UnclearOutcomeError(
        `the content of ${key} at version ${version} is no longer known`,
      );
  }
  // Compared with the contents before the call, since one call may name a key twice.
  const duplicates = writes.filter(
    (write) => applyWrite(current.get(write.key), write).kind === "duplicate",
  ).length;
  return {
    next,
    hasDuplicates: duplicates > 0,
    isDuplicate: duplicates === writes.length,
    error,
  };
};

/** The contents after the writes, with the serialization register rewritten if they are new. */
const withSerialization = (
  { next, isDuplicate }: AppliedWrites,
  key: string | undefined,
  ballot: Ballot,
): Contents =>
  key === undefined || isDuplicate
    ? next
    : new Map(next).set(key, nextSerializationRegister(key, next.get(key), ballot));

/** The current item of each key for which anything is known. */
const itemsFoundBy = (prepared: PreparedBallot): readonly Item[] =>
  prepared.keys
    .filter((key) => prepared.found.has(key))
    .map((key): Item => [key, registerFoundBy(prepared, key)]);

/**
 * A rejection guarantees that no part of the call is ever in force. If parts of it were proposed,
 * that is not guaranteed, and the outcome is unclear instead.
 */
const asUnclearIfProposed = (
  error: ReplicatedStoreError,
  werePartsProposed: boolean,
): ReplicatedStoreError => {
  const isRejection = error instanceof VersionConflictError || error instanceof InvalidWriteError;
  return isRejection && werePartsProposed
    ? new UnclearOutcomeError("the write was rejected, but parts of it were already proposed")
    : error;
};

const optional = <T>(value: T | undefined): readonly T[] => (value === undefined ? [] : [value]);

/** The committed registers known here, replaced by what a prepared ballot has found. */
const viewOf = (local: LocalReplica, current: Contents): RegisterView => ({
  get: (key) => current.get(key) ?? local.state.committedAt(key),
  all: () => [
    ...local.state.allCommitted().filter(({ key }) => current.get(key) === undefined),
    ...[...current.values()].flatMap(optional),
  ],
});

/** Decides registers by means of a proposer. */
export class RegisterWriter {
  constructor(private readonly options: RegisterWriterOptions) {}

  /**
   * Decides one operator call, all registers at one ballot. Ok: every register, written by this
   * call or an earlier one, is held by a quorum or has since been replaced by a newer version.
   *
   * @param writes - the registers, each with the version given by the operator
   */
  readonly write = (
    writes: readonly Register[],
    options: WriteOptions = {},
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { proposer } = this.options;
    const { serializationKey } = options;
    const keys = [...new Set([...writes.map(({ key }) => key), ...optional(serializationKey)])];
    let wasProposed = false;
    let result: Result<void, ReplicatedStoreError> = ok(undefined);
    const attempt = async () => {
      const prepared = await proposer.prepare(keys);
      if (prepared.isErr) return err(prepared.error);
      const current: Contents = new Map(
        prepared.value.keys.map((key) => [key, registerFoundBy(prepared.value, key)]),
      );
      const applied = applyWrites(writes, current);
      const error = await this.findError(applied, options, current, wasProposed);
      if (error) {
        result = err(error);
        if (error instanceof UnclearOutcomeError) return ok(undefined);
      } else {
        result = ok(undefined);
        wasProposed = true;
      }
      // After a rejection, the registers in force are always accepted again. A minority may have
      // accepted parts of an earlier attempt at this call above the committed ballot, and these
      // must not come into force later.
      const items: readonly Item[] = [
        ...(error ? current : withSerialization(applied, serializationKey, prepared.value.ballot)),
      ];
      return !error && this.areCommitted(prepared.value, items, current)
        ? ok(undefined)
        : proposer.accept(prepared.value, items);
    };
    return proposer.withRetries(attempt).then((done) => done.andThen(() => result));
  };

  /**
   * Compares and sets one register. Returns the register in force afterwards.
   *
   * @param makeBody - returns the new body, or undefined to leave the register as it is
   * @param term - the term of the writer, if it writes as holder of the leader lease
   */
  readonly update = async (
    key: string,
    makeBody: (current: Register | undefined) => string | undefined,
    term?: Term,
  ): Promise<Result<Register | undefined, ReplicatedStoreError>> => {
    const { proposer } = this.options;
    let result: Register | undefined;
    const done = await proposer.withRetries(async () => {
      const prepared = await proposer.prepare([key], term);
      if (prepared.isErr) return err(prepared.error);
      const current = registerFoundBy(prepared.value, key);
      const body = makeBody(current);
      result = body === undefined ? current : makeRegister(key, (current?.version ?? 0) + 1, body);
      const others = itemsFoundBy(prepared.value).filter(([other]) => other !== key);
      return body === undefined
        ? ok(undefined)
        : proposer.accept(prepared.value, [...others, [key, result]], term);
    });
    return done.map(() => result);
  };

  /**
   * Read repair: proposes the last accepted items of the keys again, so that they are committed.
   */
  readonly recommit = async (
    keys: readonly string[],
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { proposer } = this.options;
    const remaining = new Set(keys);
    while (remaining.size > 0) {
      const batch = [...remaining].slice(0, RECOMMIT_BATCH);
      const done = await proposer.withRetries(async () => {
        const prepared = await proposer.prepare(batch);
        if (prepared.isErr) return err(prepared.error);
        prepared.value.keys.forEach((key) => remaining.delete(key));
        const items = itemsFoundBy(prepared.value);
        return items.length === 0 ? ok(undefined) : proposer.accept(prepared.value, items);
      });
      if (done.isErr) return err(done.error);
      batch.forEach((key) => remaining.delete(key));
    }
    return ok(undefined);
  };

  /** Whether the items change nothing and are all known to be committed at the ballots found. */
  private readonly areCommitted = (
    { found }: PreparedBallot,
    items: readonly Item[],
    current: Contents,
  ): boolean =>
    items.every(([key, register]) => {
      const entry = this.options.local.state.entry(key);
      return (
        register === current.get(key) &&
        entry.isCommitted &&
        isSameBallot(entry.ballot, found.get(key)?.ballot ?? NO_BALLOT)
      );
    });

  /**
   * Returns why the writes can't be proposed. A single known register may belong to another call; a
   * call that was confirmed before has all of them, and is not checked again.
   */
  private readonly findError = async (
    applied: AppliedWrites,
    options: WriteOptions,
    current: Contents,
    wasProposed: boolean,
  ): Promise<ReplicatedStoreError | undefined> => {
    const isChecked =
      !applied.isDuplicate && (!wasProposed || options.serializationKey !== undefined);
    const error = applied.error ?? (isChecked ? await this.validate(options, current) : undefined);
    return error && asUnclearIfProposed(error, wasProposed || applied.hasDuplicates);
  };

  private readonly validate = async (
    { findProblem, serializationKey }: WriteOptions,
    current: Contents,
  ): Promise<ReplicatedStoreError | undefined> => {
    const { local, read } = this.options;
    const check = () => findProblem?.(viewOf(local, current));
    // This replica may be outdated, so a problem is reported or dismissed only after a quorum read.
    // A condition over several registers may be violated by one that this replica lacks.
    if (serializationKey === undefined && check() === undefined) return undefined;
    if ((await read()).isErr)
      return new UnclearOutcomeError("no quorum could be read to check what the write refers to");
    const problem = check();
    return problem === undefined ? undefined : new InvalidWriteError(problem);
  };
}
