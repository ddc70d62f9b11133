/**
 * The messages about cached objects, between gateways and caches and among caches: the one place
 * that knows their kinds and keys. These names are part of the protocol, so they stay as earlier
 * versions wrote them. Ages and times left travel in place of times of day, since clocks differ.
 */
import {
  asRecord,
  asString,
  isRecord,
  readFlag,
  readList,
  readNumber,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { ObjectRequest, ObjectUnavailable } from "../proxy/object-source.js";
import type { Message } from "../transport/connection.js";
import type { RangeResult } from "./byte-range.js";
import type { CachedObject, ObjectName } from "./cached-objects.js";

/** The kinds of the messages. */
export const OBJECT_MESSAGE = {
  /** Opens a session about objects. */
  hello: "goods",
  /** Confirms the session. */
  welcome: "welcome",
  /** Asks for an object. */
  request: "want",
  /** Asks for one request's worth of a service's rate. */
  permit: "permit",
  /** Says that the object has to be fetched first. */
  pending: "wait",
  /** The reply to a request or to a permit. */
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
  /** The number of the request that is replied to, and the key that it has in the request. */
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

/** The part of a body that a reply holds, and the size of the complete body in bytes. */
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
 * @param previous - a cached object whose body need not be sent again if it is still the newest
 * @param isHop - asks a cache that must not ask another one
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

/** Reads a request for an object that came in at `nowUs`. */
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

/** Whether the receiver of a request must not ask another cache. */
export const isHop = (message: Message): boolean => readFlag(message, REQUEST_KEY.isHop);

/** Asks whether one more request may go to a service. */
export const packPermitRequest = (service: string): Message => ({
  kind: OBJECT_MESSAGE.permit,
  [REQUEST_KEY.service]: service,
});

/** The service that a permit is asked for. */
export const permitService = (message: Message): string => readString(message, REQUEST_KEY.service);

/** The answer to a request for a permit. */
export const packPermit = (isGranted: boolean): UnknownRecord => ({
  [REPLY_KEY.isPermitted]: isGranted,
});

/** Whether a reply permits the request; without a reply it does not. */
export const isPermitted = (reply: Message | undefined): boolean =>
  reply !== undefined && readFlag(reply, REPLY_KEY.isPermitted);

/** Addresses a reply to the request that it is for. */
export const packReply = (reply: UnknownRecord, request: Message): Message => ({
  kind: OBJECT_MESSAGE.reply,
  ...reply,
  [REPLY_KEY.requestId]: readNumber(request, REPLY_KEY.askedId),
});

/** Says that there is no object, and when to ask again. */
export const packUnavailable = (result: ObjectUnavailable): UnknownRecord => ({
  [REPLY_KEY.unavailable]: result.reason,
  [REPLY_KEY.retryAfterUs]: result.retryAfterUs,
});

/** Why a reply holds no object; any reason but the rate is read as a lack of capacity. */
export const unavailableReason = (reply: Message | undefined): "rate" | "full" =>
  reply?.[REPLY_KEY.unavailable] === "rate" ? "rate" : "full";

/** When to ask again, where a reply says so. */
export const readRetryAfterUs = (reply: Message): number | undefined => {
  const retryAfterUs = reply[REPLY_KEY.retryAfterUs];
  return typeof retryAfterUs === "number" ? retryAfterUs : undefined;
};

/** Says that the client's cached object is still the newest, as of an age. */
export const packUnchanged = (ageUs: number): UnknownRecord => ({
  [REPLY_KEY.unchangedAgeUs]: ageUs,
});

/**
 * Packs an object with its age, to which every hop adds; so the age is an upper bound, measured on
 * steady clocks alone.
 */
const packCachedObject = (copy: CachedObject, body: Buffer, nowUs: number): UnknownRecord => ({
  [OBJECT_KEY.status]: copy.status,
  [OBJECT_KEY.headers]: copy.headers,
  [OBJECT_KEY.etag]: copy.etag,
  [OBJECT_KEY.labels]: copy.labels,
  [OBJECT_KEY.body]: body,
  [OBJECT_KEY.ageUs]: nowUs - copy.validatedAtUs,
});

/** A reply with all of an object, or with the part of it that a range names. */
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

/** `askedUs` is when the object was asked for, so the time on the way counts as age too. */
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
 * The object out of a reply: a new one, or the previous one, that is still the newest as of its
 * age.
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

/** The part of the object that a reply holds; undefined where it holds all of it. */
export const readRange = (reply: Message): RangeOfSize | undefined => {
  const value = reply[REPLY_KEY.range];
  if (!isRecord(value)) return undefined;
  const size = readNumber(value, RANGE_KEY.size);
  if (readString(value, RANGE_KEY.kind) === RANGE_KIND.unsatisfiable)
    return { size, range: { kind: "unsatisfiable" } };
  const from = readNumber(value, RANGE_KEY.from);
  return { size, range: { kind: "partial", from, to: readNumber(value, RANGE_KEY.to) } };
};
