import { within, type Clock } from "../common/clock.js";
import type { Log } from "../common/logger.js";
import { flag, text, whole, type Rec } from "../common/decode.js";
import { MS } from "../common/duration.js";
import type { Message, Wire } from "../transport/connection.js";
import { packCopy, readCopy, type Copy } from "./cached-objects.js";
import { cutOf } from "./byte-range.js";
import type { RateShare } from "../quota/rate-limiter.js";
import type { Store, Want } from "./object-store.js";

/** Larger objects go out cut to the range asked for, and are not kept by who asks. */
export const SMALL_BYTES = 64 * 1024;

const readWant = (message: Message, nowUs: number): Want => ({
  service: text(message, "service"),
  host: text(message, "host"),
  url: text(message, "url"),
  cacheForUs: whole(message, "cacheForUs"),
  mostAgeUs: whole(message, "mostAgeUs"),
  aimUs: whole(message, "aimUs"),
  untilUs: nowUs + whole(message, "leftUs"),
});

/** `old` is a copy whose body need not be sent again; `isHop` asks a depot that must not ask on. */
export const packWant = (
  want: Want,
  nowUs: number,
  range: string | undefined,
  old?: Copy,
  isHop = false,
): Message => ({
  kind: "want",
  service: want.service,
  host: want.host,
  url: want.url,
  cacheForUs: want.cacheForUs,
  mostAgeUs: want.mostAgeUs,
  aimUs: want.aimUs,
  leftUs: Math.max(0, want.untilUs - nowUs),
  ...(range === undefined ? {} : { range }),
  ...(old === undefined || old.etag === "" ? {} : { etag: old.etag }),
  ...(isHop ? { isHop } : {}),
});

export interface CounterOptions {
  readonly clock: Clock;
  readonly store: Store;
  /** For those who must not be asked on: the same copies, with the origin behind them. */
  readonly ownStore?: Store;
  readonly rate: RateShare;
  readonly log: Log;
}

/** Where a depot gives objects out to pointsmen. */
export class Counter {
  constructor(private readonly options: CounterOptions) {}

  readonly serve = async (
    wire: Wire,
    _hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    wire.send({ kind: "welcome" });
    for await (const message of incoming) {
      void this.answer(message, () => wire.send({ kind: "wait" }))
        .then((reply) => wire.send({ kind: "got", ...reply, re: whole(message, "ask") }))
        .catch((mishap: unknown) => this.options.log.warn(`A want failed: ${String(mishap)}.`));
    }
  };

  private readonly answer = async (message: Message, sayWait: () => void): Promise<Rec> => {
    const { clock, store, rate } = this.options;
    if (message.kind === "permit") return { yes: rate.spend(text(message, "service")).ok };
    const want = readWant(message, clock.nowUs());
    const from = flag(message, "isHop") ? (this.options.ownStore ?? store) : store;
    const kept = from.peek(want);
    const found = kept ? await from.get(want) : await this.fetch(from, want, sayWait);
    if (found.kind === "none") return { none: found.why, comeBackUs: found.comeBackUs };
    const { copy } = found;
    if (copy.etag !== "" && copy.etag === message["etag"])
      return { sameAgeUs: clock.nowUs() - copy.bornUs };
    const packed = packCopy(copy, clock.nowUs());
    const cut =
      copy.status === 200 && copy.body.length > SMALL_BYTES
        ? cutOf(
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
    from: Store,
    want: Want,
    sayWait: () => void,
  ): ReturnType<Store["get"]> => {
    const found = from.get(want);
    void within(this.options.clock, 20 * MS, found, undefined).then((early) => {
      if (!early) sayWait();
    });
    return found;
  };
}

/** A copy out of a reply: a new one, or the old one told to be the newest as of its age. */
export const copyIn = (
  reply: Message,
  want: Want,
  old: Copy | undefined,
  askedUs: number,
): Copy | undefined => {
  const sameAgeUs = reply["sameAgeUs"];
  if (old && typeof sameAgeUs === "number")
    return { ...old, bornUs: Math.max(old.bornUs, askedUs - sameAgeUs) };
  return reply["copy"] === undefined ? undefined : readCopy(reply["copy"], want, askedUs);
};

export const isPermitted = (reply: Message | undefined): boolean =>
  reply !== undefined && flag(reply, "yes");
