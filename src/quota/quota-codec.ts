/**
 * Wire format of quota leases: requests of nodes and responses of the controller that holds the
 * leader lease. Nodes and controllers of other versions read both, so the strings in this file must
 * never change.
 */
import {
  asList,
  asNumber,
  asString,
  readList,
  readString,
  type UnknownRecord,
} from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** The message kinds. */
export const QUOTA_MESSAGE = {
  rateRequest: "rate-ask",
  retryRequest: "retry-ask",
  retryResponse: "retries",
} as const;

/** The kinds of node that rates are leased to, with their names on the wire. */
export const NODE_KIND = { cache: "depot", gateway: "pointsman" } as const;
/** One of `NODE_KIND`. */
export type NodeKind = (typeof NODE_KIND)[keyof typeof NODE_KIND];

/** The retry tokens that a node needs and holds for one service and kind of route. */
export interface RetryDemand {
  readonly service: string;
  readonly kind: string;
  readonly wanted: number;
  readonly held: number;
}

/** The retry tokens leased to a node for one service and kind of route. */
export interface RetryAllotment {
  readonly service: string;
  readonly kind: string;
  readonly tokens: number;
}

/** Packs a node's request for a share of all rates; `share` is the share it holds now. */
export const packRateRequest = (incarnation: string, role: NodeKind, share: number): Message => ({
  kind: QUOTA_MESSAGE.rateRequest,
  life: incarnation,
  who: role,
  held: share,
});

/**
 * Reads the share and its duration in microseconds; undefined if the controller could not allocate
 * one.
 */
export const readRateResponse = (
  message: Message | undefined,
): { readonly share: number; readonly durationUs: number } | undefined => {
  const share = message?.["share"];
  const durationUs = message?.["lastsUs"];
  return typeof share === "number" && typeof durationUs === "number"
    ? { share, durationUs }
    : undefined;
};

/**
 * Packs a node's request for retry tokens, from rows of service, kind, tokens wanted and tokens
 * held.
 */
export const packRetryRequest = (
  incarnation: string,
  rows: readonly (readonly [string, string, number, number])[],
): Message => ({ kind: QUOTA_MESSAGE.retryRequest, life: incarnation, wants: rows });

/**
 * Reads a node's request for retry tokens.
 *
 * @throws DecodeError if the request is malformed
 */
export const readRetryRequest = (
  message: UnknownRecord,
): { readonly incarnation: string; readonly demands: readonly RetryDemand[] } => ({
  incarnation: readString(message, "life"),
  demands: readList(message, "wants", (value) => {
    const [service, kind, wanted, held] = asList(value, "want");
    return {
      service: asString(service),
      kind: asString(kind),
      wanted: asNumber(wanted),
      held: asNumber(held),
    };
  }),
});

/** Packs the response of a controller that cannot allocate tokens. */
export const packRetryRejection = (): Message => ({ kind: QUOTA_MESSAGE.retryResponse });

/** Packs the allocated tokens, which are leased for `durationUs` microseconds. */
export const packRetryResponse = (
  allotments: readonly RetryAllotment[],
  durationUs: number,
): Message => ({
  kind: QUOTA_MESSAGE.retryResponse,
  rows: allotments.map(({ service, kind, tokens }) => [service, kind, tokens]),
  lastsUs: durationUs,
});

/**
 * Reads the allocated tokens; undefined if the controller could not allocate any.
 *
 * @throws DecodeError if the response is malformed
 */
export const readRetryResponse = (
  message: Message | undefined,
): { readonly allotments: readonly RetryAllotment[]; readonly durationUs: number } | undefined => {
  const durationUs = message?.["lastsUs"];
  if (!message || typeof durationUs !== "number") return undefined;
  const allotments = readList(message, "rows", (value) => {
    const [service, kind, tokens] = asList(value, "row");
    return { service: asString(service), kind: asString(kind), tokens: asNumber(tokens) };
  });
  return { allotments, durationUs };
};
