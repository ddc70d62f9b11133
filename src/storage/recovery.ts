/**
 * What a start makes of the write-ahead log's files: whether they prove that nothing appended is
 * missing.
 */
import type { UnknownRecord } from "../common/decode.js";
import type { LogFile } from "./log-files.js";

/**
 * What a start finds. `verified`: proof that nothing is missing that was ever appended.
 * `unverified`: whatever could be read, and one line why it may not be all. `empty`: nothing was
 * ever appended, or all of it is lost.
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
 * The files that the state is replayed from, and why they may not be all of it; no reason where
 * they are.
 */
export interface RecoveredChain {
  readonly files: readonly LogFile[];
  readonly reason: string | undefined;
}

/**
 * Why these files, in order, don't prove that they hold all that was appended; undefined where they
 * do.
 */
const findBreak = (files: readonly LogFile[]): string | undefined => {
  const newest = files.filter(({ kind }) => kind === "snapshot").at(-1);
  if (!newest) return "there are increments without a snapshot";
  if (!newest.content) return `${newest.name} is corrupt`;
  if (!newest.content.isVerified) return "this machine had not caught up when it last stopped";
  let { number } = newest;
  let { link } = newest.content;
  const increments = files.filter(
    (file) => file.kind === "increment" && file.number > newest.number,
  );
  for (const file of increments) {
    if (!file.content) return `${file.name} is corrupt`;
    if (file.number !== number + 1 || file.content.link !== link)
      return `${file.name} doesn't follow the file before it`;
    ({ number } = file);
    link = file.checksum;
  }
  return undefined;
};

/**
 * Verifies the chain of the newest snapshot and the increments after it. Where it holds, only these
 * count; where it doesn't, every readable file does, since a record too many does no harm to a
 * state that must catch up anyway.
 *
 * @param files - in the order of their numbers, an increment before the snapshot that stands for it
 */
export const recoverChain = (files: readonly LogFile[]): RecoveredChain => {
  if (files.length === 0) return { files, reason: undefined };
  const reason = findBreak(files);
  if (reason !== undefined) return { files, reason };
  return { files: files.slice(files.map(({ kind }) => kind).lastIndexOf("snapshot")), reason };
};

/** The records of the files, in the order in which they are to be replayed. */
export const recordsOf = (files: readonly LogFile[]): readonly UnknownRecord[] =>
  files.flatMap(({ content }) => content?.records ?? []);
