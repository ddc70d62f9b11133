/**
 * Writes to registers: what an operator sends, what the holder of the leader lease decides, and
 * repairs.
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

/** How many registers are committed anew with one ballot. */
const RECOMMIT_BATCH = 256;

type Contents = ReadonlyMap<string, Register | undefined>;

/** Given what is in force, by key, tells what makes a write invalid. */
export type WriteCheck = (get: (key: string) => Register | undefined) => string | undefined;

/** What a `RegisterWriter` is made of. */
export interface RegisterWriterOptions {
  readonly local: LocalReplica;
  readonly proposer: Proposer;
  /** Reads a quorum. */
  readonly read: () => Promise<Result<void, ReplicatedStoreError>>;
}

/** What several writes come to, given what is in force. */
interface AppliedWrites {
  readonly next: Contents;
  /** How many of the writes were made before. */
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
      error ??= new UnclearOutcomeError(`what ${key} was at version ${version} is no longer known`);
  }
  // Compared with what was there before, since one call may name a key twice.
  const duplicates = writes.filter(
    (write) => applyWrite(current.get(write.key), write).kind === "duplicate",
  ).length;
  return { next, duplicates, error };
};

/** What stands, under each key of which anything is known. */
const itemsFoundBy = (prepared: PreparedBallot): readonly Item[] =>
  prepared.keys
    .filter((key) => prepared.found.has(key))
    .map((key): Item => [key, registerFoundBy(prepared, key)]);

/**
 * A rejection promises that no part of the call is ever in force; it can't where parts of it were
 * proposed.
 */
const asUnclearIfProposed = (
  error: ReplicatedStoreError,
  werePartsProposed: boolean,
): ReplicatedStoreError => {
  const isRejection = error instanceof VersionConflictError || error instanceof InvalidWriteError;
  return isRejection && werePartsProposed
    ? new UnclearOutcomeError(
        "another order has one of its numbers, and parts of this one were offered",
      )
    : error;
};

/** Decides registers by way of a proposer. */
export class RegisterWriter {
  constructor(private readonly options: RegisterWriterOptions) {}

  /**
   * Decides one call of an operator, all registers at one ballot. Ok: every one is held by a
   * quorum, or was written before and is, or has since been replaced by a newer one.
   *
   * @param writes - the registers, each with the version that the operator gave it
   * @param findProblem - tells what makes the call invalid
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
      // One register that is known may be another call's; a call that was confirmed before has all
      // of them.
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
      // What is in force is always accepted anew beside a refusal: a minority may have accepted
      // parts of an earlier attempt at this call above the ballot that was committed, and they must
      // not come up later.
      const items: readonly Item[] = [...(error ? current : next)];
      return !error && this.areCommitted(prepared.value, items, current)
        ? ok(undefined)
        : proposer.accept(prepared.value, items);
    };
    return proposer.withRetries(attempt).then((done) => done.andThen(() => result));
  };

  /**
   * Compares and sets one register. Gives what is in force afterwards.
   *
   * @param makeBody - gives the new body, or undefined to leave the register as it is
   * @param term - where the write is made as holder of the leader lease
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

  /** Read repair: proposes anew what was last accepted under the keys, so that it is committed. */
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

  /**
   * Whether nothing is to change, and all of it is known to be committed as the ballot found it.
   */
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
    // This replica may be old: nothing is called unknown, nor let pass, before a quorum was read.
    if ((await read()).isErr)
      return new UnclearOutcomeError("no quorum could be read for what the order names");
    const problem = check();
    return problem === undefined ? undefined : new InvalidWriteError(problem);
  };
}
