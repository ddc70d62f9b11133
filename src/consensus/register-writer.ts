/**
 * Writes to registers: operator calls, decisions of the holder of the leader lease, and repairs.
 */
import { err, ok, type Result } from "true-myth/result";
import { isSameBallot, NO_BALLOT } from "./ballot.js";
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

/**
 * Returns why a write is invalid, given the registers in force by key; undefined if it is valid.
 */
export type WriteCheck = (get: (key: string) => Register | undefined) => string | undefined;

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
  /** How many of the writes had been made before. */
  readonly duplicates: number;
  readonly error: VersionConflictError | UnclearOutcomeError | undefined;
}

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
  return { next, duplicates, error };
};

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

/** Decides registers by means of a proposer. */
export class RegisterWriter {
  constructor(private readonly options: RegisterWriterOptions) {}

  /**
   * Decides one operator call, all registers at one ballot. Ok: every register, written by this
   * call or an earlier one, is held by a quorum or has since been replaced by a newer version.
   *
   * @param writes - the registers, each with the version given by the operator
   * @param findProblem - returns why the call is invalid
   */
  readonly write = (
    writes: readonly Register[],
    findProblem?: WriteCheck,
  ): Promise<Result<void, ReplicatedStoreError>> => {
    const { proposer } = this.options;
    const keys = [...new Set(writes.map(({ key }) => key))];
    let wasProposed = false;
    let result: Result<void, ReplicatedStoreError> = ok(undefined);
    const attempt = async () => {
      const prepared = await proposer.prepare(keys);
      if (prepared.isErr) return err(prepared.error);
      const current: Contents = new Map(
        prepared.value.keys.map((key) => [key, registerFoundBy(prepared.value, key)]),
      );
      const { next, duplicates, ...applied } = applyWrites(writes, current);
      let error: ReplicatedStoreError | undefined = applied.error;
      // A single known register may belong to another call. A call that was confirmed before has
      // all of them.
      if (!error && duplicates < writes.length && !wasProposed)
        error = await this.validate(findProblem, current);
      if (error) {
        error = asUnclearIfProposed(error, wasProposed || duplicates > 0);
        result = err(error);
        if (error instanceof UnclearOutcomeError) return ok(undefined);
      } else {
        result = ok(undefined);
        wasProposed = true;
      }
      // After a rejection, the registers in force are always accepted again. A minority may have
      // accepted parts of an earlier attempt at this call above the committed ballot, and these
      // must not come into force later.
      const items: readonly Item[] = [...(error ? current : next)];
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

  private readonly validate = async (
    findProblem: WriteCheck | undefined,
    current: Contents,
  ): Promise<ReplicatedStoreError | undefined> => {
    const { local, read } = this.options;
    const check = () => findProblem?.((key) => current.get(key) ?? local.state.committedAt(key));
    if (check() === undefined) return undefined;
    // This replica may be outdated, so a problem is reported or dismissed only after a quorum read.
    if ((await read()).isErr)
      return new UnclearOutcomeError("no quorum could be read to check what the write refers to");
    const problem = check();
    return problem === undefined ? undefined : new InvalidWriteError(problem);
  };
}
