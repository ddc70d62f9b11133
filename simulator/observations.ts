/** Helpers shared by the invariants: queries on the outcome of a run, and formatting. */
import { CUSTOMERS_SERIALIZATION_KEY } from "../src/config/config-keys.js";
import type { Register } from "../src/consensus/register.js";
import type { Attempt } from "./history.js";
import type { Schedule } from "./schedule.js";
import type { Outcome } from "./simulation.js";

/** Returns a description of the violation, or undefined if the invariant holds. */
export type Invariant = (outcome: Outcome, schedule: Schedule) => string | undefined;

export const seconds = (us: number): string => `${(us / 1_000_000).toFixed(3)} s`;
export const nameOf = ({ key, version }: Register): string => `${key} ${version}`;
export const isConfiguration = ({ key }: Register): boolean =>
  !key.startsWith("duty/") && key !== CUSTOMERS_SERIALIZATION_KEY;
export const isConfirmed = ({ result }: Attempt): boolean => result === "ok";

/** All registers that were read or published during the run, with place and time. */
export const observedRegisters = ({
  history,
}: Outcome): readonly {
  readonly register: Register;
  readonly where: string;
  readonly atUs: number;
}[] => [
  ...history.reads.flatMap(({ registers, controller, endUs }) =>
    registers.map((register) => ({ register, where: `read at ${controller}`, atUs: endUs })),
  ),
  ...history.publications.flatMap(({ registers, controller, atUs }) =>
    registers.map((register) => ({ register, where: `published by ${controller}`, atUs })),
  ),
];

/** The ids of the changes with each digest. Two deletions of one version have the same digest. */
export const changesByDigest = ({ history }: Outcome): ReadonlyMap<string, ReadonlySet<number>> => {
  const changeIds = new Map<string, Set<number>>();
  history.changes.forEach((registers, id) =>
    registers.forEach(({ digest }) =>
      changeIds.set(digest, (changeIds.get(digest) ?? new Set()).add(id)),
    ),
  );
  return changeIds;
};
