import { withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import type { UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message, Connection } from "../transport/connection.js";
import {
  hasVersion,
  isHop,
  OBJECT_MESSAGE,
  packObject,
  packPermit,
  packReply,
  packUnavailable,
  packUnchanged,
  permitService,
  readObjectRequest,
  requestedRange,
} from "./messages.js";
import { resolveRange } from "./byte-range.js";
import type { RateLimiter } from "../quota/rate-limiter.js";
import type { ObjectStore, Want } from "./object-store.js";

/** Larger objects go out cut to the range asked for, and are not kept by who asks. */
export const SMALL_BYTES = 64 * 1024;

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
    connection.send({ kind: OBJECT_MESSAGE.welcome });
    for await (const message of incoming) {
      void this.answer(message, () => connection.send({ kind: OBJECT_MESSAGE.pending }))
        .then((reply) => connection.send(packReply(reply, message)))
        .catch((error: unknown) => this.options.log.warn(`A want failed: ${String(error)}.`));
    }
  };

  private readonly answer = async (
    message: Message,
    sayWait: () => void,
  ): Promise<UnknownRecord> => {
    const { clock, store, rateLimiter: rate } = this.options;
    if (message.kind === OBJECT_MESSAGE.permit)
      return packPermit(rate.takeToken(permitService(message)).ok);
    const want = readObjectRequest(message, clock.nowUs());
    const from = isHop(message) ? (this.options.ownStore ?? store) : store;
    const kept = from.peek(want);
    const found = kept ? await from.get(want) : await this.fetch(from, want, sayWait);
    if (found.kind === "none") return packUnavailable(found);
    const { copy } = found;
    if (hasVersion(message, copy.etag)) return packUnchanged(clock.nowUs() - copy.bornUs);
    const range =
      copy.status === 200 && copy.body.length > SMALL_BYTES
        ? resolveRange(requestedRange(message), copy.body.length)
        : { kind: "whole" as const };
    return packObject(copy, range, clock.nowUs());
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
