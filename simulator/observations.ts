/** What the invariants share: what a run's outcome shows, and how it is put into words. */
import type { Register } from "../src/consensus/register.js";
import type { Attempt } from "./history.js";
import type { Schedule } from "./schedule.js";
import type { Outcome } from "./simulation.js";

/** One sentence that says how the invariant was violated; undefined if it holds. */
export type Invariant = (outcome: Outcome, schedule: Schedule) => string | undefined;

export const seconds = (us: number): string => `${(us / 1_000_000).toFixed(3)} s`;
export const nameOf = ({ key, version }: Register): string => `${key} ${version}`;
export const isConfiguration = ({ key }: Register): boolean => !key.startsWith("duty/");
export const isConfirmed = ({ result }: Attempt): boolean => result === "ok";

/** Everything that was ever seen in force somewhere, with where and when. */
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

/** The changes that carry each content; two deletions under one version are the same content. */
export const changesByDigest = ({ history }: Outcome): ReadonlyMap<string, ReadonlySet<number>> => {
  const changeIds = new Map<string, Set<number>>();
  history.changes.forEach((registers, id) =>
    registers.forEach(({ digest }) =>
      changeIds.set(digest, (changeIds.get(digest) ?? new Set()).add(id)),
    ),
  );
  return changeIds;
};
