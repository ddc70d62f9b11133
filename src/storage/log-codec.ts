/**
 * File format of the write-ahead log. A file is the SHA-256 checksum of its body, followed by the
 * body: one MessagePack map. The keys of that map and the file names are part of the stored format
 * and must not change.
 */
import { createHash } from "node:crypto";
import {
  asList,
  asRecord,
  readBoolean,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import { packValue, unpackValue } from "../transport/frame-codec.js";

/** A snapshot holds the complete state, an increment the records of one batch of appends. */
export type LogFileKind = "snapshot" | "increment";

/** Decoded body of a log file. */
export interface LogFileContent {
  /**
   * In an increment, the checksum of the preceding increment. In a snapshot, the `link` value that
   * the next increment must have.
   */
  readonly link: string;
  /** Whether the writer knew at the time that its state contained every record ever appended. */
  readonly isVerified: boolean;
  readonly records: readonly UnknownRecord[];
}

/** Fields encoded in the name of a log file. */
export interface LogFileName {
  readonly kind: LogFileKind;
  readonly number: number;
  /**
   * True until the file is renamed to its final name. A temporary file is ignored on recovery;
   * nothing in it has been acknowledged.
   */
  readonly isTemporary: boolean;
  readonly name: string;
}

/** Decoded content of a log file with its checksum in base64. */
export interface DecodedLogFile {
  readonly checksum: string;
  readonly content: LogFileContent;
}

const FILE_NAME = /^(snapshot|increment)-(\d+)\.(bin|tmp)$/;
const CHECKSUM_ALGORITHM = "sha256";
const CHECKSUM_BYTES = 32;

const checksumOf = (body: Uint8Array): Buffer =>
  createHash(CHECKSUM_ALGORITHM).update(body).digest();

/** Returns the final name of a log file, or the temporary name under which it is first written. */
export const logFileName = (kind: LogFileKind, number: number, isTemporary = false): string =>
  `${kind}-${number}.${isTemporary ? "tmp" : "bin"}`;

/** Parses a file name; undefined if it is not the name of a log file. */
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

/** Encodes a log file. */
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
 * Decodes a log file.
 *
 * @returns undefined if the checksum does not match or the file was written under another name
 * @throws if the checksum is valid but the body does not have this format
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
      isVerified: readBoolean(fields, "isWhole"),
      records: asList(fields["records"], "records").map((record) => asRecord(record)),
    },
  };
};
