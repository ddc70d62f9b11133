/**
 * The form of the write-ahead log's files. A file is the SHA-256 checksum of its body, then the
 * body: one MessagePack map. The keys of that map and the names of the files are stored data and
 * never change.
 */
import { createHash } from "node:crypto";
import {
  asList,
  asRecord,
  readFlag,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import { packValue, unpackValue } from "../transport/frame-codec.js";

/** A snapshot holds the whole state, an increment the records of one round of appends. */
export type LogFileKind = "snapshot" | "increment";

/** What a file of the log holds. */
export interface LogFileContent {
  /**
   * Of an increment, the checksum of the increment before it. Of a snapshot, the `link` that the
   * next increment has.
   */
  readonly link: string;
  /** Whether the writer vouched that nothing ever appended was missing from its state. */
  readonly isVerified: boolean;
  readonly records: readonly UnknownRecord[];
}

/** What the name of a file says. */
export interface LogFileName {
  readonly kind: LogFileKind;
  readonly number: number;
  /**
   * True until the file is renamed to the name under which it counts; nothing in it was
   * acknowledged.
   */
  readonly isTemporary: boolean;
  readonly name: string;
}

/** A file's content with its checksum, in base64. */
export interface DecodedLogFile {
  readonly checksum: string;
  readonly content: LogFileContent;
}

const FILE_NAME = /^(snapshot|increment)-(\d+)\.(bin|tmp)$/;
const CHECKSUM_ALGORITHM = "sha256";
const CHECKSUM_BYTES = 32;

const checksumOf = (body: Uint8Array): Buffer =>
  createHash(CHECKSUM_ALGORITHM).update(body).digest();

/** The name under which a file counts, or the one that it is written under first. */
export const logFileName = (kind: LogFileKind, number: number, isTemporary = false): string =>
  `${kind}-${number}.${isTemporary ? "tmp" : "bin"}`;

/** Reads a file's name; undefined for a file that isn't the log's. */
export const parseLogFileName = (name: string): LogFileName | undefined => {
  const [, kind, number, extension] = FILE_NAME.exec(name) ?? [];
  if (kind === undefined) return undefined;
  return {
    kind: kind === "snapshot" ? "snapshot" : "increment",
    number: Number(number),
    isTemporary: extension === "tmp",
    name,
  };
};

/** Writes a file's bytes. */
export const encodeLogFile = (
  kind: LogFileKind,
  number: number,
  { link, isVerified, records }: LogFileContent,
): { readonly bytes: Buffer; readonly checksum: string } => {
  const body = packValue({ kind, number, link, isWhole: isVerified, records });
  const checksum = checksumOf(body);
  return { bytes: Buffer.concat([checksum, body]), checksum: checksum.toString("base64") };
};

/**
 * Reads a file's bytes.
 *
 * @returns undefined if the bytes aren't as they were written, or were written under another name
 * @throws if a body with a valid checksum isn't a file of this form
 */
export const decodeLogFile = (
  kind: LogFileKind,
  number: number,
  bytes: Uint8Array,
): DecodedLogFile | undefined => {
  const body = bytes.subarray(CHECKSUM_BYTES);
  const checksum = checksumOf(body);
  if (!checksum.equals(bytes.subarray(0, CHECKSUM_BYTES))) return undefined;
  const fields = asRecord(unpackValue(body));
  if (fields["kind"] !== kind || readNumber(fields, "number") !== number) return undefined;
  return {
    checksum: checksum.toString("base64"),
    content: {
      link: readString(fields, "link"),
      isVerified: readFlag(fields, "isWhole"),
      records: asList(fields["records"], "records").map((record) => asRecord(record)),
    },
  };
};
