/**
 * Frame format of a connection: a 4-byte big-endian length, followed by one MessagePack message,
 * which is deflated if a flag in the length is set. The layout, the flag and the message kinds
 * named here are part of the protocol between versions.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Packr } from "msgpackr";
import { asRecord } from "../common/decode.js";
import { FrameError } from "./errors.js";
import type { Message } from "./message.js";

const LENGTH_BYTES = 4;
/**
 * Set in the length of a frame whose body is deflated. Invariant: no body is long enough for its
 * length to reach this bit.
 */
const DEFLATED_FLAG = 0x4000_0000;
/** Maximum length of a body, before and after inflating. */
const MAX_FRAME_BYTES = 32 * 1024 * 1024;

/**
 * Message kinds that are deflated when large. Configurations, updates and state transfers shrink to
 * about a tenth, which matters on slow links; object bodies do not compress.
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

/** Encodes any value as MessagePack, with objects as maps. */
export const packValue = (value: unknown): Buffer => packr.pack(value);

/** Decodes a value written by `packValue`. Throws the error of msgpackr on invalid bytes. */
export const unpackValue = (bytes: Uint8Array): unknown => {
  const value: unknown = packr.unpack(bytes);
  return value;
};

/** Frames and bytes sent by this process since its start, by message kind. */
export const sentFrameCounts = new Map<string, { frames: number; bytes: number }>();

/** Adds a frame to `sentFrameCounts`. */
export const countSentFrame = (kind: string, bytes: number): void => {
  const counts = sentFrameCounts.get(kind);
  if (counts) {
    counts.frames += 1;
    counts.bytes += bytes;
  } else sentFrameCounts.set(kind, { frames: 1, bytes });
};

/**
 * Cached frames of messages that are still referenced, so that a message sent to several
 * connections is encoded once.
 */
const frameCache = new WeakMap<Message, Buffer>();

/**
 * Encodes a message as a frame, length included. The message must not be modified afterwards, since
 * its frame is cached.
 */
export const encodeFrame = (message: Message): Buffer => {
  const cached = frameCache.get(message);
  if (cached) return cached;
  const packed = packr.pack(message);
  const isDeflated = packed.length >= MIN_COMPRESSED_BYTES && COMPRESSED_KINDS.has(message.kind);
  const body = isDeflated ? deflateRawSync(packed, { level: 1 }) : packed;
  const frame = Buffer.allocUnsafe(body.length + LENGTH_BYTES);
  frame.writeUInt32BE(isDeflated ? body.length + DEFLATED_FLAG : body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  frameCache.set(message, frame);
  return frame;
};

const asMessage = (value: unknown): Message => {
  const record = asRecord(value, "message");
  const { kind } = record;
  if (typeof kind !== "string") throw new FrameError("message has no kind");
  return { ...record, kind };
};

/** Incrementally decodes the byte stream of a connection into messages. */
export class FrameReader {
  /** Invariant: the bytes before `offset` have been decoded and returned. */
  private buffered: Buffer = Buffer.alloc(0);
  private offset = 0;

  /**
   * Appends received bytes. `next` must be called until it returns undefined before the next call.
   */
  readonly append = (chunk: Buffer): void => {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    this.offset = 0;
  };

  /**
   * Returns the next message, or undefined if more bytes are needed. Throws `FrameError` or the
   * error of the decoder on invalid bytes; the reader must not be used afterwards.
   */
  readonly next = (): Message | undefined => {
    const { buffered, offset } = this;
    const available = buffered.length - offset;
    if (available < LENGTH_BYTES) {
      this.dropConsumed();
      return undefined;
    }
    const length = buffered.readUInt32BE(offset);
    const size = length & ~DEFLATED_FLAG;
    if (size > MAX_FRAME_BYTES)
      throw new FrameError(`frame of ${size} bytes exceeds the maximum of ${MAX_FRAME_BYTES}`);
    if (available - LENGTH_BYTES < size) {
      this.dropConsumed();
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

  private readonly dropConsumed = (): undefined => {
    this.buffered = this.buffered.subarray(this.offset);
    this.offset = 0;
    return undefined;
  };
}
