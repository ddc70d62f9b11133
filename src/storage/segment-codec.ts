/**
 * Format of a segment: a sequence of frames. A frame is the length of its body (4 bytes,
 * big-endian), the CRC-32 of the body (4 bytes), and the body: one MessagePack value. This is
 * stored data; the format must not change.
 */
import { crc32 } from "node:zlib";
import { packValue, unpackValue } from "../transport/frame-codec.js";

const FILE_NAME = /^log-(\d+)\.bin$/;
const CHECKSUM_OFFSET = 4;
const HEADER_BYTES = 8;

/** Returns the file name of a segment. */
export const segmentFileName = (number: number): string => `log-${number}.bin`;

/**
 * Parses the number of a segment from its file name; undefined for other files. Segments are
 * numbered from 1.
 */
export const parseSegmentFileName = (name: string): number | undefined => {
  const number = Number(FILE_NAME.exec(name)?.[1] ?? 0);
  return number > 0 ? number : undefined;
};

/** Encodes one record as a frame. */
export const encodeFrame = (record: unknown): Buffer => {
  const body = packValue(record);
  const frame = Buffer.allocUnsafe(body.length + HEADER_BYTES);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt32BE(crc32(body), CHECKSUM_OFFSET);
  body.copy(frame, HEADER_BYTES);
  return frame;
};

/**
 * Decodes all records up to the first torn frame. Nothing after a torn frame was ever acknowledged.
 */
export const decodeFrames = (bytes: Buffer): readonly unknown[] => {
  const records: unknown[] = [];
  for (let offset = 0; offset + HEADER_BYTES <= bytes.length;) {
    const size = bytes.readUInt32BE(offset);
    const start = offset + HEADER_BYTES;
    const body = bytes.subarray(start, start + size);
    const isIntact =
      body.length === size && crc32(body) === bytes.readUInt32BE(offset + CHECKSUM_OFFSET);
    if (!isIntact) break;
    records.push(unpackValue(body));
    offset = start + size;
  }
  return records;
};
