import { withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import { readFlag, readString, readNumber, type UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message, Connection } from "../transport/connection.js";
import { packCachedObject, readCachedObject, type CachedObject } from "./cached-objects.js";
import { resolveRange } from "./byte-range.js";
import type { RateLimiter } from "../quota/rate-limiter.js";
import type { ObjectStore, Want } from "./object-store.js";

/** Larger objects go out cut to the range asked for, and are not kept by who asks. */
export const SMALL_BYTES = 64 * 1024;

const readWant = (message: Message, nowUs: number): Want => ({
  service: readString(message, "service"),
  host: readString(message, "host"),
  url: readString(message, "url"),
  cacheForUs: readNumber(message, "cacheForUs"),
  maxAgeUs: readNumber(message, "mostAgeUs"),
  latencyTargetUs: readNumber(message, "aimUs"),
  deadlineUs: nowUs + readNumber(message, "leftUs"),
});

/** `old` is a copy whose body need not be sent again; `isHop` asks a depot that must not ask on. */
export const packWant = (
  want: Want,
  nowUs: number,
  range: string | undefined,
  old?: CachedObject,
  isHop = false,
): Message => ({
  kind: "want",
  service: want.service,
  host: want.host,
  url: want.url,
  cacheForUs: want.cacheForUs,
  mostAgeUs: want.maxAgeUs,
  aimUs: want.latencyTargetUs,
  leftUs: Math.max(0, want.deadlineUs - nowUs),
  ...(range === undefined ? {} : { range }),
  ...(old === undefined || old.etag === "" ? {} : { etag: old.etag }),
  ...(isHop ? { isHop } : {}),
});

export interface ObjectServerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /** For those who must not be asked on: the same copies, with the origin behind them. */
  readonly ownStore?: ObjectStore;
  readonly rateLimiter: RateLimiter;
  readonly log: Logger;
}

/** Where a depot gives objects out to pointsmen. */
export class ObjectServer {
  constructor(private readonly options: ObjectServerOptions) {}

  readonly serve = async (
    connection: Pick<Connection, "send">,
    _hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    connection.send({ kind: "welcome" });
    for await (const message of incoming) {
      void this.answer(message, () => connection.send({ kind: "wait" }))
        .then((reply) => connection.send({ kind: "got", ...reply, re: readNumber(message, "ask") }))
        .catch((error: unknown) => this.options.log.warn(`A want failed: ${String(error)}.`));
    }
  };

  private readonly answer = async (
    message: Message,
    sayWait: () => void,
  ): Promise<UnknownRecord> => {
    const { clock, store, rateLimiter: rate } = this.options;
    if (message.kind === "permit")
      return { yes: rate.takeToken(readString(message, "service")).ok };
    const want = readWant(message, clock.nowUs());
    const from = readFlag(message, "isHop") ? (this.options.ownStore ?? store) : store;
    const kept = from.peek(want);
    const found = kept ? await from.get(want) : await this.fetch(from, want, sayWait);
    if (found.kind === "none") return { none: found.reason, comeBackUs: found.retryAfterUs };
    const { copy } = found;
    if (copy.etag !== "" && copy.etag === message["etag"])
      return { sameAgeUs: clock.nowUs() - copy.bornUs };
    const packed = packCachedObject(copy, clock.nowUs());
    const cut =
      copy.status === 200 && copy.body.length > SMALL_BYTES
        ? resolveRange(
            typeof message["range"] === "string" ? message["range"] : undefined,
            copy.body.length,
          )
        : { kind: "whole" as const };
    if (cut.kind === "whole") return { copy: packed };
    if (cut.kind === "past")
      return {
        copy: { ...packed, body: Buffer.alloc(0) },
        cut: { kind: "past", size: copy.body.length },
      };
    return {
      copy: { ...packed, body: copy.body.subarray(cut.from, cut.to + 1) },
      cut: { kind: "part", from: cut.from, to: cut.to, size: copy.body.length },
    };
  };

  private readonly fetch = (
    from: ObjectStore,
    want: Want,
    sayWait: () => void,
  ): ReturnType<ObjectStore["get"]> => {
    const found = from.get(want);
    void withTimeout(this.options.clock, 20 * MILLISECOND_US, found, undefined).then((early) => {
      if (!early) sayWait();
    });
    return found;
  };
}

/** A copy out of a reply: a new one, or the old one told to be the newest as of its age. */
export const copyIn = (
  reply: Message,
  want: Want,
  old: CachedObject | undefined,
  askedUs: number,
): CachedObject | undefined => {
  const sameAgeUs = reply["sameAgeUs"];
  if (old && typeof sameAgeUs === "number")
    return { ...old, bornUs: Math.max(old.bornUs, askedUs - sameAgeUs) };
  return reply["copy"] === undefined ? undefined : readCachedObject(reply["copy"], want, askedUs);
};

export const isPermitted = (reply: Message | undefined): boolean =>
  reply !== undefined && readFlag(reply, "yes");
