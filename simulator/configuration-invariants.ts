/**
 * Invariants of configuration changes and reads: each item behaves as a register whose version
 * never decreases.
 */
import { isCustomerKey } from "../src/config/config-keys.js";
import { findSharedKey } from "../src/config/customer-keys.js";
import type { Register } from "../src/consensus/register.js";
import type { Attempt } from "./history.js";
import {
  changesByDigest,
  isConfiguration,
  isConfirmed,
  nameOf,
  observedRegisters,
  seconds,
  type Invariant,
} from "./observations.js";
import type { Outcome } from "./simulation.js";

/** At most one content is ever confirmed or observed for each key and version. */
export const singleValue: Invariant = (outcome) => {
  const { history } = outcome;
  const firstSeen = new Map<string, { readonly digest: string; readonly where: string }>();
  const confirmed = history.attempts.filter(isConfirmed).flatMap((attempt) =>
    (history.changes.get(attempt.change) ?? []).map((register) => ({
      register,
      where: `change ${attempt.change} confirmed by ${attempt.controller}`,
      atUs: attempt.endUs,
    })),
  );
  for (const { register, where, atUs } of [...confirmed, ...observedRegisters(outcome)]) {
    const before = firstSeen.get(nameOf(register));
    if (!before)
      firstSeen.set(nameOf(register), {
        digest: register.digest,
        where: `${where} at ${seconds(atUs)}`,
      });
    else if (before.digest !== register.digest)
      return `${nameOf(register)} has two contents: ${before.where}, and ${where} at ${seconds(atUs)}`;
  }
  return undefined;
};

/**
 * A change that was rejected or can never be valid is never observed, and a confirmed change is
 * never rejected.
 */
export const rejected: Invariant = (outcome) => {
  const { history } = outcome;
  const changeIdsByDigest = changesByDigest(outcome);
  const byChange = new Map<number, Attempt[]>();
  history.attempts.forEach((attempt) =>
    byChange.set(attempt.change, [...(byChange.get(attempt.change) ?? []), attempt]),
  );
  const lastObserved = new Map<string, { readonly where: string; readonly lastUs: number }>();
  observedRegisters(outcome).forEach(({ register, where, atUs }) => {
    const before = lastObserved.get(register.digest);
    if (!before || before.lastUs < atUs) lastObserved.set(register.digest, { where, lastUs: atUs });
  });
  for (const [id, attempts] of byChange) {
    const registers = (history.changes.get(id) ?? []).filter(
      ({ digest }) => changeIdsByDigest.get(digest)?.size === 1,
    );
    const confirmed = attempts.filter(isConfirmed);
    // A change whose contents all occur in other changes too can't be told apart from them.
    if (history.neverValid.has(id) && registers.length > 0) {
      const observed = registers.find(({ digest }) => lastObserved.has(digest));
      if (confirmed[0])
        return `change ${id} can never be valid, and was confirmed by ${confirmed[0].controller} at ${seconds(confirmed[0].endUs)}`;
      if (observed)
        return `change ${id} can never be valid, and its ${nameOf(observed)} was observed: ${lastObserved.get(observed.digest)?.where}`;
    }
    for (const attempt of attempts.filter(
      ({ result }) => result === "conflict" || result === "invalid",
    )) {
      const rejection = `change ${id} was rejected (${attempt.result}) by ${attempt.controller} at ${seconds(attempt.endUs)}`;
      const before = confirmed.find(
        ({ endUs }) => attempt.result === "conflict" || endUs < attempt.startUs,
      );
      if (before)
        return `${rejection} and confirmed by ${before.controller} at ${seconds(before.endUs)}`;
      // A change that was rejected as invalid may be confirmed when it is resent later.
      const isLast =
        attempt.result === "conflict" ||
        attempts.every((other) => other === attempt || other.endUs < attempt.startUs);
      for (const register of registers) {
        const found = lastObserved.get(register.digest);
        if (isLast && found && (attempt.result === "conflict" || found.lastUs > attempt.endUs))
          return `${rejection}, and its ${nameOf(register)} was observed: ${found.where} at ${seconds(found.lastUs)}`;
      }
    }
  }
  return undefined;
};

/**
 * Each register is linearizable and its version never decreases: a read returns at least the
 * version that was confirmed or read before the read began, and only contents that had been sent
 * before it ended.
 */
export const linearizable: Invariant = ({ history }) => {
  interface Point {
    readonly atUs: number;
    readonly version: number;
    readonly where: string;
  }
  const lowerBounds = new Map<string, Point[]>();
  const add = (key: string, point: Point) =>
    lowerBounds.set(key, [...(lowerBounds.get(key) ?? []), point]);
  history.attempts
    .filter(isConfirmed)
    .forEach(({ change: id, endUs, controller }) =>
      history.changes
        .get(id)
        ?.forEach(({ key, version }) =>
          add(key, { atUs: endUs, version, where: `change ${id} confirmed by ${controller}` }),
        ),
    );
  history.reads.forEach(({ controller, endUs, registers }) =>
    registers
      .filter(isConfiguration)
      .forEach(({ key, version }) =>
        add(key, { atUs: endUs, version, where: `read at ${controller}` }),
      ),
  );
  lowerBounds.forEach((points, key) => {
    const rising: Point[] = [];
    points
      .sort((one, other) => one.atUs - other.atUs)
      .forEach((point) => {
        if (point.version > (rising.at(-1)?.version ?? 0)) rising.push(point);
      });
    lowerBounds.set(key, rising);
  });
  const sentUs = new Map<string, number>();
  history.attempts.forEach(({ change: id, startUs }) =>
    history.changes
      .get(id)
      ?.forEach(({ digest }) =>
        sentUs.set(digest, Math.min(startUs, sentUs.get(digest) ?? Number.POSITIVE_INFINITY)),
      ),
  );
  for (const { controller, startUs, endUs, registers } of history.reads) {
    const read = new Map(registers.map((register) => [register.key, register]));
    for (const [key, rising] of lowerBounds) {
      const lowerBound = rising.filter(({ atUs }) => atUs < startUs).at(-1);
      const version = read.get(key)?.version ?? 0;
      if (lowerBound && version < lowerBound.version)
        return `a read at ${controller} from ${seconds(startUs)} to ${seconds(endUs)} found ${key} at version ${version}, after ${lowerBound.where} at ${seconds(lowerBound.atUs)} had version ${lowerBound.version}`;
    }
    const unsent = registers.find(
      (register) =>
        isConfiguration(register) &&
        !((sentUs.get(register.digest) ?? Number.POSITIVE_INFINITY) <= endUs),
    );
    if (unsent)
      return `a read at ${controller} at ${seconds(endUs)} found ${nameOf(unsent)}, which had not been sent`;
  }
  return undefined;
};

/**
 * Returns a predicate that tells whether a register was committed by the end of the run, including
 * versions that a later one has replaced.
 */
const committedAtEnd = ({ history }: Outcome): ((register: Register) => boolean) => {
  const last = history.reads.at(-1)?.registers ?? [];
  const committed = new Set(
    last.flatMap(({ key, version, digest, past }) =>
      [[version, digest] as const, ...past].map(([number, sum]) => `${key} ${number} ${sum}`),
    ),
  );
  return ({ key, version, digest }) => committed.has(`${key} ${version} ${digest}`);
};

/** Every item of a change that was confirmed before the last read is committed in that read. */
export const complete: Invariant = (outcome) => {
  const { history } = outcome;
  const isCommitted = committedAtEnd(outcome);
  const readUs = history.reads.at(-1)?.startUs ?? 0;
  for (const { change: id } of history.attempts.filter(
    (attempt) => isConfirmed(attempt) && attempt.endUs < readUs,
  )) {
    const missing = (history.changes.get(id) ?? []).find((register) => !isCommitted(register));
    if (missing)
      return `change ${id} was confirmed, but its ${nameOf(missing)} is not committed at the end`;
  }
  return undefined;
};

/** At the end either all items of a change are committed or none, whatever the response was. */
export const atomic: Invariant = (outcome) => {
  const isCommitted = committedAtEnd(outcome);
  const changeIdsByDigest = changesByDigest(outcome);
  for (const [id, registers] of outcome.history.changes) {
    const exclusive = registers.filter(({ digest }) => changeIdsByDigest.get(digest)?.size === 1);
    const missing = exclusive.find((register) => !isCommitted(register));
    const present = exclusive.find(isCommitted);
    if (missing && present)
      return `change ${id} is committed in part: its ${nameOf(present)} was committed, its ${nameOf(missing)} was not`;
  }
  return undefined;
};

/** No read shows two customers that share an API key. */
export const unsharedKeys: Invariant = ({ history }) => {
  for (const { controller, endUs, registers } of history.reads) {
    const shared = findSharedKey(
      registers.filter(({ key }) => isCustomerKey(key)),
      () => undefined,
      () => [],
    );
    if (shared)
      return `the customers ${shared.join(" and ")} share an API key in a read at ${controller} at ${seconds(endUs)}`;
  }
  return undefined;
};
