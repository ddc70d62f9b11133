/**
 * The frames of a connection: a length of four bytes, big-endian, then one message in msgpack,
 * deflated where a flag in the length says so. The layout, the flag and the kinds named here are
 * part of the protocol between versions.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Packr } from "msgpackr";
import { asRecord } from "../common/decode.js";
import { FrameError } from "./errors.js";
import type { Message } from "./message.js";

const LENGTH_BYTES = 4;
/**
 * Set in the length of a frame whose body is deflated. Invariant: no body is so long that its
 * length reaches this bit.
 */
const DEFLATED_FLAG = 0x4000_0000;
/** The longest body that is read, before and after inflating. */
const MAX_FRAME_BYTES = 32 * 1024 * 1024;

/**
 * Kinds of messages that are deflated when large. Configurations, updates and copies of state
 * shrink to a tenth, which thin links need; bodies of objects don't shrink at all.
 */
const COMPRESSED_KINDS: ReadonlySet<string> = new Set([
  "news",
  "accept",
  "promised",
  "copy",
  "beats",
  "sessions",
  "settled",
]);
const MIN_COMPRESSED_BYTES = 2_048;

const packr = new Packr({ useRecords: false });

/** Any value in msgpack, with maps as maps. */
export const packValue = (value: unknown): Buffer => packr.pack(value);

/** Reads what `packValue` wrote. Throws what msgpackr throws where the bytes are something else. */
export const unpackValue = (bytes: Uint8Array): unknown => {
  const value: unknown = packr.unpack(bytes);
  return value;
};

/** Frames and bytes that this process has sent, by kind of message, since its start. */
export const sentFrames = new Map<string, { frames: number; bytes: number }>();

/** Counts a frame in `sentFrames`. */
export const countSentFrame = (kind: string, bytes: number): void => {
  const known = sentFrames.get(kind);
  if (known) {
    known.frames += 1;
    known.bytes += bytes;
  } else sentFrames.set(kind, { frames: 1, bytes });
};

/**
 * The frames of messages that are still in use, so that what goes to several connections is packed
 * once.
 */
const frames = new WeakMap<Message, Buffer>();

/** The frame of a message, length included. A message must not change once it has been encoded. */
export const encodeFrame = (message: Message): Buffer => {
  const known = frames.get(message);
  if (known) return known;
  const packed = packr.pack(message);
  const isDeflated = packed.length >= MIN_COMPRESSED_BYTES && COMPRESSED_KINDS.has(message.kind);
  const body = isDeflated ? deflateRawSync(packed, { level: 1 }) : packed;
  const frame = Buffer.allocUnsafe(body.length + LENGTH_BYTES);
  frame.writeUInt32BE(isDeflated ? body.length + DEFLATED_FLAG : body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  frames.set(message, frame);
  return frame;
};

const asMessage = (value: unknown): Message => {
  const record = asRecord(value, "message");
  const { kind } = record;
  if (typeof kind !== "string") throw new FrameError("a message has no kind");
  return { ...record, kind };
};

/** Takes the bytes of a connection as they come, and gives the messages in them. */
export class FrameReader {
  /** Invariant: what comes before `offset` has been given out. */
  private buffered: Buffer = Buffer.alloc(0);
  private offset = 0;

  /** Takes bytes that have arrived. Call `next` until it gives undefined before the next call. */
  readonly append = (chunk: Buffer): void => {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    this.offset = 0;
  };

  /**
   * The next message, or undefined until more bytes have been appended. Throws `FrameError`, or
   * what decoding throws, where the bytes are no frame; the reader is of no use afterwards.
   */
  readonly next = (): Message | undefined => {
    const { buffered, offset } = this;
    const available = buffered.length - offset;
    if (available < LENGTH_BYTES) {
      this.keepRest();
      return undefined;
    }
    const length = buffered.readUInt32BE(offset);
    const size = length & ~DEFLATED_FLAG;
    if (size > MAX_FRAME_BYTES)
      throw new FrameError(`a frame of ${size} bytes is longer than ${MAX_FRAME_BYTES}`);
    if (available - LENGTH_BYTES < size) {
      this.keepRest();
      return undefined;
    }
    const start = offset + LENGTH_BYTES;
    const body = buffered.subarray(start, start + size);
    this.offset = start + size;
    return asMessage(
      unpackValue(
        (length & DEFLATED_FLAG) === 0
          ? body
          : inflateRawSync(body, { maxOutputLength: MAX_FRAME_BYTES }),
      ),
    );
  };

  private readonly keepRest = (): undefined => {
    this.buffered = this.buffered.subarray(this.offset);
    this.offset = 0;
    return undefined;
  };
}
