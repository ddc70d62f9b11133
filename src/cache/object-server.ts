import type { ObjectRequest } from "../proxy/object-source.js";
/** The server side of the messages about objects. */
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
import type { ObjectStore } from "./object-store.js";

/** Of larger objects only the requested range is sent, and the client does not keep them. */
export const MAX_SMALL_OBJECT_BYTES = 64 * 1024;

/** A fetch that takes longer is announced, so that the client goes on waiting. */
const PENDING_DELAY_US = 20 * MILLISECOND_US;

/** What an `ObjectServer` works on. */
export interface ObjectServerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /**
   * For requests that must not be forwarded: the same cached objects, with the origin behind them.
   */
  readonly ownStore?: ObjectStore;
  readonly rateLimiter: RateLimiter;
  readonly log: Logger;
}

/** Serves objects of a store to gateways and to other caches. */
export class ObjectServer {
  constructor(private readonly options: ObjectServerOptions) {}

  /** Serves one session until its messages end. */
  readonly serve = async (
    connection: Pick<Connection, "send">,
    _hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    connection.send({ kind: OBJECT_MESSAGE.welcome });
    for await (const message of incoming) {
      void this.answer(message, () => connection.send({ kind: OBJECT_MESSAGE.pending }))
        .then((reply) => connection.send(packReply(reply, message)))
        .catch((error: unknown) =>
          this.options.log.warn("request for an object failed", { err: error }),
        );
    }
  };

  private readonly answer = async (
    message: Message,
    sendPending: () => void,
  ): Promise<UnknownRecord> => {
    const { clock, store, rateLimiter } = this.options;
    if (message.kind === OBJECT_MESSAGE.permit)
      return packPermit(rateLimiter.takeToken(permitService(message)).ok);
    const request = readObjectRequest(message, clock.nowUs());
    const from = isHop(message) ? (this.options.ownStore ?? store) : store;
    const kept = from.peek(request);
    const found = kept ? await from.get(request) : await this.fetch(from, request, sendPending);
    if (found.kind === "none") return packUnavailable(found);
    const { copy } = found;
    if (hasVersion(message, copy.etag)) return packUnchanged(clock.nowUs() - copy.validatedAtUs);
    const range =
      copy.status === 200 && copy.body.length > MAX_SMALL_OBJECT_BYTES
        ? resolveRange(requestedRange(message), copy.body.length)
        : { kind: "full" as const };
    return packObject(copy, range, clock.nowUs());
  };

  private readonly fetch = (
    from: ObjectStore,
    request: ObjectRequest,
    sendPending: () => void,
  ): ReturnType<ObjectStore["get"]> => {
    const found = from.get(request);
    void withTimeout(this.options.clock, PENDING_DELAY_US, found, undefined).then((early) => {
      if (!early) sendPending();
    });
    return found;
  };
}
