import { connect, type Socket } from "node:net";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Packr } from "msgpackr";
import type { Clock, Timer } from "../common/clock.js";
import { asRecord, type UnknownRecord } from "../common/decode.js";

/** A message between own processes; `kind` says which. */
export type Message = UnknownRecord & { readonly kind: string };

export interface KeepAliveTimes {
  readonly heartbeatUs: number;
  readonly timeoutUs: number;
}

const packr = new Packr({ useRecords: false });
const MAX_FRAME_BYTES = 32 * 1024 * 1024;
const MAX_HELD_BYTES = 16 * 1024 * 1024;
const PULSE: Message = { kind: "pulse" };

export const packValue = (value: unknown): Buffer => packr.pack(value);
export const unpackValue = (bytes: Uint8Array): unknown => {
  const value: unknown = packr.unpack(bytes);
  return value;
};

/** Frames and bytes that this process has sent, by kind of message, since its start. */
export const sentFrames = new Map<string, { frames: number; bytes: number }>();
const countSent = (kind: string, bytes: number): void => {
  const known = sentFrames.get(kind);
  if (known) {
    known.frames += 1;
    known.bytes += bytes;
  } else sentFrames.set(kind, { frames: 1, bytes });
};

const asMessage = (value: unknown): Message => {
  const record = asRecord(value, "message");
  const { kind } = record;
  if (typeof kind !== "string") throw new Error("a message without a kind");
  return { ...record, kind };
};

/** Set in a frame's length where its body is deflated. Invariant: no body is so long that its length reaches this bit. */
const DEFLATED = 0x4000_0000;
/** Plans, news and copies of state shrink to a tenth, which thin links need; bodies of objects don't shrink at all. */
const SHRINKING: ReadonlySet<string> = new Set([
  "news",
  "accept",
  "promised",
  "copy",
  "beats",
  "sessions",
  "settled",
]);
const SHRUNK_FROM_BYTES = 2_048;
/** What goes to several is packed once. */
const frames = new WeakMap<Message, Buffer>();

const frameOf = (message: Message): Buffer => {
  const known = frames.get(message);
  if (known) return known;
  const packed = packr.pack(message);
  const isShrunk = packed.length >= SHRUNK_FROM_BYTES && SHRINKING.has(message.kind);
  const body = isShrunk ? deflateRawSync(packed, { level: 1 }) : packed;
  const frame = Buffer.allocUnsafe(body.length + 4);
  frame.writeUInt32BE(isShrunk ? body.length + DEFLATED : body.length, 0);
  body.copy(frame, 4);
  frames.set(message, frame);
  return frame;
};

/**
 * One connection between own processes: length-prefixed msgpack frames, pulses, and a silence after which it is
 * given up, since a cut says nothing.
 */
export class Connection {
  /** Invariant: `closed` never goes back to false; after it nothing is sent and nothing more comes in. */
  private closed = false;
  private heardUs: number;
  private sentUs: number;
  private readonly watch: Timer;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    private readonly times: KeepAliveTimes,
  ) {
    this.heardUs = clock.nowUs();
    this.sentUs = this.heardUs;
    socket.setNoDelay(true);
    socket.on("error", () => this.close());
    socket.on("close", () => this.close());
    this.watch = clock.every(times.heartbeatUs, this.beat);
  }

  get isClosed(): boolean {
    return this.closed;
  }

  readonly send = (message: Message): void => {
    if (this.closed) return;
    const frame = frameOf(message);
    countSent(message.kind, frame.length);
    this.sentUs = this.clock.nowUs();
    this.gather();
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_HELD_BYTES) this.close();
  };

  /** What is sent in one turn goes out in one write. */
  private readonly gather = (): void => {
    if (this.socket.writableCorked > 0) return;
    this.socket.cork();
    process.nextTick(() => this.socket.uncork());
  };

  /** Resolves once what was sent is out, or the connection over; nothing is sent after it. */
  readonly finish = (): Promise<void> =>
    new Promise((resolve) => {
      if (this.closed) resolve();
      else this.socket.end(() => resolve());
    });

  readonly close = (): void => {
    if (this.closed) return;
    this.closed = true;
    this.watch.stop();
    this.socket.destroy();
  };

  /** All that comes in until the connection is over; pulses are kept back. */
  async *incoming(): AsyncGenerator<Message, void, undefined> {
    let held: Buffer = Buffer.alloc(0);
    try {
      for await (const chunk of this.socket) {
        if (!Buffer.isBuffer(chunk)) break;
        this.heardUs = this.clock.nowUs();
        held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
        let at = 0;
        while (held.length - at >= 4) {
          const told = held.readUInt32BE(at);
          const size = told & ~DEFLATED;
          if (size > MAX_FRAME_BYTES) return;
          if (held.length - at - 4 < size) break;
          const body = held.subarray(at + 4, at + 4 + size);
          const message = asMessage(
            unpackValue(
              (told & DEFLATED) === 0
                ? body
                : inflateRawSync(body, { maxOutputLength: MAX_FRAME_BYTES }),
            ),
          );
          at += 4 + size;
          if (message.kind !== "pulse") yield message;
        }
        held = held.subarray(at);
      }
    } catch {
      // A broken frame or a reset ends the connection like any other end.
    } finally {
      this.close();
    }
  }

  private readonly beat = (): void => {
    const nowUs = this.clock.nowUs();
    if (nowUs - this.heardUs > this.times.timeoutUs) this.close();
    else if (nowUs - this.sentUs >= this.times.heartbeatUs * 0.9) this.send(PULSE);
  };
}

/** Dials; resolves to undefined when nobody answers in time. */
export const connectTo = (
  ip: string,
  port: number,
  clock: Clock,
  waitUs: number,
  times: KeepAliveTimes,
): Promise<Connection | undefined> =>
  new Promise((resolve) => {
    const socket = connect({ host: ip, port });
    const timer = clock.after(waitUs, () => {
      socket.destroy();
      resolve(undefined);
    });
    socket.once("error", () => {
      timer.stop();
      resolve(undefined);
    });
    socket.once("connect", () => {
      timer.stop();
      resolve(new Connection(socket, clock, times));
    });
  });
