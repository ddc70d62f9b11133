/**
 * Recovery from the files of the write-ahead log: decides on start-up whether they provably contain
 * every record that was appended.
 */
import type { UnknownRecord } from "../common/decode.js";
import type { LogFile } from "./log-files.js";

/**
 * Result of loading the log on start-up.
 *
 * - `verified`: the records provably include everything ever appended.
 * - `unverified`: all records that could be read; `reason` says why some may be missing.
 * - `empty`: nothing was ever appended, or all of it has been lost.
 */
export type Recovery =
  | { readonly kind: "verified"; readonly records: readonly UnknownRecord[] }
  | {
      readonly kind: "unverified";
      readonly records: readonly UnknownRecord[];
      readonly reason: string;
    }
  | { readonly kind: "empty" };

/**
 * The files to replay. `reason` says why they may be incomplete; undefined if the chain is
 * verified.
 */
export interface RecoveredChain {
  readonly files: readonly LogFile[];
  readonly reason: string | undefined;
}

/**
 * Returns why the files do not provably contain everything that was appended; undefined if they do.
 */
const findChainDefect = (files: readonly LogFile[]): string | undefined => {
  const newest = files.filter(({ kind }) => kind === "snapshot").at(-1);
  if (!newest) return "the log has increments but no snapshot";
  if (!newest.content) return `${newest.name} is corrupt`;
  if (!newest.content.isVerified) return "this replica had not caught up when it last stopped";
  let { number } = newest;
  let { link } = newest.content;
  const increments = files.filter(
    (file) => file.kind === "increment" && file.number > newest.number,
  );
  for (const file of increments) {
    if (!file.content) return `${file.name} is corrupt`;
    if (file.number !== number + 1 || file.content.link !== link)
      return `${file.name} does not continue the chain of the preceding file`;
    ({ number } = file);
    link = file.checksum;
  }
  return undefined;
};

/**
 * Verifies the chain that starts at the newest snapshot. A valid chain yields only that snapshot
 * and the increments after it. A broken one yields every file: superseded records do no harm, since
 * an unverified state has to catch up anyway.
 *
 * @param files - ordered by number, an increment before the snapshot that supersedes it
 */
export const recoverChain = (files: readonly LogFile[]): RecoveredChain => {
  if (files.length === 0) return { files, reason: undefined };
  const reason = findChainDefect(files);
  if (reason !== undefined) return { files, reason };
  return { files: files.slice(files.map(({ kind }) => kind).lastIndexOf("snapshot")), reason };
};

/** The records of the files in replay order. */
export const recordsOf = (files: readonly LogFile[]): readonly UnknownRecord[] =>
  files.flatMap(({ content }) => content?.records ?? []);
