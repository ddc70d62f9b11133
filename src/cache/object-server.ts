/** Server side of the messages about objects. */
import type { ObjectRequest } from "../proxy/object-source.js";
import { withTimeout, type Clock } from "../common/clock.js";
import type { Logger } from "../common/logger.js";
import type { UnknownRecord } from "../common/decode.js";
import { MILLISECOND_US } from "../common/duration.js";
import type { Message, Connection } from "../transport/connection.js";
import {
  hasVersion,
  forbidsForwarding,
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

/** For larger objects only the requested range is sent, and the client does not cache them. */
export const MAX_SMALL_OBJECT_BYTES = 64 * 1024;

/** A fetch that takes longer is announced to the client, so that it keeps waiting. */
const PENDING_DELAY_US = 20 * MILLISECOND_US;

/** Dependencies of {@link ObjectServer}. */
export interface ObjectServerOptions {
  readonly clock: Clock;
  readonly store: ObjectStore;
  /**
   * Serves requests that must not be forwarded: the same cached objects, with the origin as the
   * source.
   */
  readonly ownStore?: ObjectStore;
  readonly rateLimiter: RateLimiter;
  readonly log: Logger;
}

/** Serves the objects of a store to gateways and other caches. */
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
        .catch((error: unknown) => this.options.log.warn("object request failed", { err: error }));
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
    const selectedStore = forbidsForwarding(message) ? (this.options.ownStore ?? store) : store;
    const cached = selectedStore.peek(request);
    const found = cached
      ? await selectedStore.get(request)
      : await this.fetch(selectedStore, request, sendPending);
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
    selectedStore: ObjectStore,
    request: ObjectRequest,
    sendPending: () => void,
  ): ReturnType<ObjectStore["get"]> => {
    const found = selectedStore.get(request);
    void withTimeout(this.options.clock, PENDING_DELAY_US, found, undefined).then((result) => {
      if (!result) sendPending();
    });
    return found;
  };
}
