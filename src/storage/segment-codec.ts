/**
 * The form of a segment: frames one after the other, each the length of its body (4 bytes,
 * big-endian), the CRC-32 of the body (4 bytes), and the body: one MessagePack value. Stored data;
 * the form never changes.
 */
import { crc32 } from "node:zlib";
import { packValue, unpackValue } from "../transport/frame-codec.js";

const FILE_NAME = /^log-(\d+)\.bin$/;
const CHECKSUM_OFFSET = 4;
const HEADER_BYTES = 8;

/** The name of a segment's file. */
export const segmentFileName = (number: number): string => `log-${number}.bin`;

/**
 * The number in the name of a segment's file; undefined for another file. Segments are numbered
 * from 1.
 */
export const parseSegmentFileName = (name: string): number | undefined => {
  const number = Number(FILE_NAME.exec(name)?.[1] ?? 0);
  return number > 0 ? number : undefined;
};

/** Writes one record's frame. */
export const encodeFrame = (record: unknown): Buffer => {
  const body = packValue(record);
  const frame = Buffer.allocUnsafe(body.length + HEADER_BYTES);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt32BE(crc32(body), CHECKSUM_OFFSET);
  body.copy(frame, HEADER_BYTES);
  return frame;
};

/**
 * Reads all records up to the first that is torn: what comes after a torn one was never
 * acknowledged.
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
