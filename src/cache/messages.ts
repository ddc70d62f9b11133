/**
 * Encoding and decoding of the messages about cached objects, between gateways and caches and among
 * caches. Their kinds and keys are defined only here; they are part of the protocol and must stay
 * as earlier versions wrote them. Messages carry ages and remaining times instead of timestamps,
 * since clocks differ between machines.
 */
import {
  asRecord,
  asString,
  isRecord,
  readBoolean,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { ObjectRequest, ObjectUnavailable } from "../proxy/object-source.js";
import type { Message } from "../transport/connection.js";
import type { RangeResult } from "./byte-range.js";
import type { CachedObject, ObjectName } from "./cached-objects.js";

/** Kinds of the messages. */
export const OBJECT_MESSAGE = {
  /** Opens a session about objects. */
  hello: "goods",
  /** Confirms the session. */
  welcome: "welcome",
  /** Requests an object. */
  request: "want",
  /** Requests a permit to send one request within a service's rate limit. */
  permit: "permit",
  /** Announces that the object has to be fetched first. */
  pending: "wait",
  /** Reply to a request for an object or for a permit. */
  reply: "got",
} as const;

/** The kind of a cache's report of its counters to the controller. */
export const CACHE_REPORT_KIND = "goods";

const REQUEST_KEY = {
  service: "service",
  host: "host",
  url: "url",
  cacheForUs: "cacheForUs",
  maxAgeUs: "mostAgeUs",
  latencyTargetUs: "aimUs",
  timeLeftUs: "leftUs",
  range: "range",
  etag: "etag",
  isHop: "isHop",
} as const;

const REPLY_KEY = {
  /** Id of the request that a reply answers; `askedId` is the key of this id in the request. */
  requestId: "re",
  askedId: "ask",
  isPermitted: "yes",
  unavailable: "none",
  retryAfterUs: "comeBackUs",
  unchangedAgeUs: "sameAgeUs",
  object: "copy",
  range: "cut",
} as const;

const OBJECT_KEY = {
  status: "status",
  headers: "heads",
  etag: "etag",
  labels: "labels",
  body: "body",
  ageUs: "ageUs",
} as const;

const RANGE_KEY = { kind: "kind", from: "from", to: "to", size: "size" } as const;
const RANGE_KIND = { partial: "part", unsatisfiable: "past" } as const;

/** The part of a body that a reply contains, and the size of the complete body in bytes. */
export interface RangeOfSize {
  readonly range: RangeResult;
  readonly size: number;
}

/** The first message of a session about objects. */
export const packHello = (): Message => ({ kind: OBJECT_MESSAGE.hello });

/**
 * Packs a request for an object.
 *
 * @param range - the value of a `Range` header
 * @param previous - a cached object whose body need not be sent again if it is still current
 * @param isHop - whether the receiving cache must not forward the request to another cache
 */
export const packObjectRequest = (
  request: ObjectRequest,
  nowUs: number,
  range: string | undefined,
  previous?: CachedObject,
  isHop = false,
): Message => ({
  kind: OBJECT_MESSAGE.request,
  [REQUEST_KEY.service]: request.service,
  [REQUEST_KEY.host]: request.host,
  [REQUEST_KEY.url]: request.url,
  [REQUEST_KEY.cacheForUs]: request.cacheForUs,
  [REQUEST_KEY.maxAgeUs]: request.maxAgeUs,
  [REQUEST_KEY.latencyTargetUs]: request.latencyTargetUs,
  [REQUEST_KEY.timeLeftUs]: Math.max(0, request.deadlineUs - nowUs),
  ...(range === undefined ? {} : { [REQUEST_KEY.range]: range }),
  ...(previous === undefined || previous.etag === "" ? {} : { [REQUEST_KEY.etag]: previous.etag }),
  ...(isHop ? { [REQUEST_KEY.isHop]: isHop } : {}),
});

/** Reads a request for an object that was received at `nowUs`. */
export const readObjectRequest = (message: Message, nowUs: number): ObjectRequest => ({
  service: readString(message, REQUEST_KEY.service),
  host: readString(message, REQUEST_KEY.host),
  url: readString(message, REQUEST_KEY.url),
  cacheForUs: readNumber(message, REQUEST_KEY.cacheForUs),
  maxAgeUs: readNumber(message, REQUEST_KEY.maxAgeUs),
  latencyTargetUs: readNumber(message, REQUEST_KEY.latencyTargetUs),
  deadlineUs: nowUs + readNumber(message, REQUEST_KEY.timeLeftUs),
});

/** The value of the `Range` header that a request carries. */
export const requestedRange = (message: Message): string | undefined => {
  const range = message[REQUEST_KEY.range];
  return typeof range === "string" ? range : undefined;
};

/** Whether the client of a request already has this version of the object. */
export const hasVersion = (message: Message, etag: string): boolean =>
  etag !== "" && etag === message[REQUEST_KEY.etag];

/** Whether the receiver of a request must not forward it to another cache. */
export const forbidsForwarding = (message: Message): boolean =>
  readBoolean(message, REQUEST_KEY.isHop);

/** Packs a request for a permit to send one more request to a service. */
export const packPermitRequest = (service: string): Message => ({
  kind: OBJECT_MESSAGE.permit,
  [REQUEST_KEY.service]: service,
});

/** The service that a permit is requested for. */
export const permitService = (message: Message): string => readString(message, REQUEST_KEY.service);

/** Packs the reply to a request for a permit. */
export const packPermit = (isGranted: boolean): UnknownRecord => ({
  [REPLY_KEY.isPermitted]: isGranted,
});

/** Whether a reply permits the request; without a reply it does not. */
export const isPermitted = (reply: Message | undefined): boolean =>
  reply !== undefined && readBoolean(reply, REPLY_KEY.isPermitted);

/** Turns a reply into a message that carries the id of its request. */
export const packReply = (reply: UnknownRecord, request: Message): Message => ({
  kind: OBJECT_MESSAGE.reply,
  ...reply,
  [REPLY_KEY.requestId]: readNumber(request, REPLY_KEY.askedId),
});

/** Packs the reply that no object is available, with the time to wait before a retry. */
export const packUnavailable = (result: ObjectUnavailable): UnknownRecord => ({
  [REPLY_KEY.unavailable]: result.reason,
  [REPLY_KEY.retryAfterUs]: result.retryAfterUs,
});

/** Why a reply contains no object; any reason but the rate is read as a lack of capacity. */
export const unavailableReason = (reply: Message | undefined): "rate" | "full" =>
  reply?.[REPLY_KEY.unavailable] === "rate" ? "rate" : "full";

/** The time to wait before a retry, if the reply gives one. */
export const readRetryAfterUs = (reply: Message): number | undefined => {
  const retryAfterUs = reply[REPLY_KEY.retryAfterUs];
  return typeof retryAfterUs === "number" ? retryAfterUs : undefined;
};

/**
 * Packs the reply that the client's cached object is still current, with the age of its validation.
 */
export const packUnchanged = (ageUs: number): UnknownRecord => ({
  [REPLY_KEY.unchangedAgeUs]: ageUs,
});

/**
 * Packs an object with its age. Every hop adds to the age, so it is an upper bound, and it is
 * measured with monotonic clocks only.
 */
const packCachedObject = (copy: CachedObject, body: Buffer, nowUs: number): UnknownRecord => ({
  [OBJECT_KEY.status]: copy.status,
  [OBJECT_KEY.headers]: copy.headers,
  [OBJECT_KEY.etag]: copy.etag,
  [OBJECT_KEY.labels]: copy.labels,
  [OBJECT_KEY.body]: body,
  [OBJECT_KEY.ageUs]: nowUs - copy.validatedAtUs,
});

/** Packs a reply with a complete object, or with the part of it that a range selects. */
export const packObject = (
  copy: CachedObject,
  range: RangeResult,
  nowUs: number,
): UnknownRecord => {
  if (range.kind === "full")
    return { [REPLY_KEY.object]: packCachedObject(copy, copy.body, nowUs) };
  const size = copy.body.length;
  if (range.kind === "unsatisfiable")
    return {
      [REPLY_KEY.object]: packCachedObject(copy, Buffer.alloc(0), nowUs),
      [REPLY_KEY.range]: { [RANGE_KEY.kind]: RANGE_KIND.unsatisfiable, [RANGE_KEY.size]: size },
    };
  const { from, to } = range;
  return {
    [REPLY_KEY.object]: packCachedObject(copy, copy.body.subarray(from, to + 1), nowUs),
    [REPLY_KEY.range]: {
      [RANGE_KEY.kind]: RANGE_KIND.partial,
      [RANGE_KEY.from]: from,
      [RANGE_KEY.to]: to,
      [RANGE_KEY.size]: size,
    },
  };
};

/**
 * Reads an object from a reply. `sentAtUs` is when the request was sent, so the transit time counts
 * towards the age too.
 */
const readCachedObject = (value: unknown, name: ObjectName, sentAtUs: number): CachedObject => {
  const record = asRecord(value, REPLY_KEY.object);
  const body = record[OBJECT_KEY.body];
  return {
    service: name.service,
    host: name.host,
    url: name.url,
    status: readNumber(record, OBJECT_KEY.status),
    headers: readList(record, OBJECT_KEY.headers, asString),
    etag: readString(record, OBJECT_KEY.etag),
    labels: readList(record, OBJECT_KEY.labels, asString),
    body: body instanceof Uint8Array ? Buffer.from(body) : Buffer.alloc(0),
    validatedAtUs: sentAtUs - readNumber(record, OBJECT_KEY.ageUs),
  };
};

/**
 * Reads the object of a reply: a new one, or the previous one with its validation time advanced if
 * the reply says that it is still current.
 *
 * @param sentAtUs - when the request was sent, on this process's clock
 */
export const readObject = (
  reply: Message,
  name: ObjectName,
  previous: CachedObject | undefined,
  sentAtUs: number,
): CachedObject | undefined => {
  const unchangedAgeUs = reply[REPLY_KEY.unchangedAgeUs];
  if (previous && typeof unchangedAgeUs === "number")
    return {
      ...previous,
      validatedAtUs: Math.max(previous.validatedAtUs, sentAtUs - unchangedAgeUs),
    };
  const object = reply[REPLY_KEY.object];
  return object === undefined ? undefined : readCachedObject(object, name, sentAtUs);
};

/** The part of the object that a reply contains; undefined if it contains the complete object. */
export const readRange = (reply: Message): RangeOfSize | undefined => {
  const value = reply[REPLY_KEY.range];
  if (!isRecord(value)) return undefined;
  const size = readNumber(value, RANGE_KEY.size);
  if (readString(value, RANGE_KEY.kind) === RANGE_KIND.unsatisfiable)
    return { size, range: { kind: "unsatisfiable" } };
  const from = readNumber(value, RANGE_KEY.from);
  return { size, range: { kind: "partial", from, to: readNumber(value, RANGE_KEY.to) } };
};
