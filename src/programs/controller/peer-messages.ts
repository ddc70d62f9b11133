/**
 * The messages that controllers send each other beside those of consensus, idempotency keys and
 * sessions. The strings and field names are on the wire: controllers of other releases write and
 * read them too.
 */
import type { OutcomeName } from "../../common/http-outcomes.js";
import { readFlag, readNumber, readString } from "../../common/decode.js";
import type { Message } from "../../transport/connection.js";
import type { ApiResponse } from "../http-api.js";

/** The kinds of requests that a controller takes from a peer, by what each asks for. */
export const PEER_REQUEST = {
  confirmQuorum: "hear-majority",
  shiftZone: "shift",
  clearCanary: "clear",
  changeWindow: "window",
  explain: "tell",
  describeReplica: "tell-copy",
  leaseRetries: "retry-ask",
  setRetryLimit: "retry-set",
  leaseRate: "rate-ask",
  applyCommitted: "settled",
  confirmPosted: "posted",
} as const;

/** The requests that the leader lease answers. */
export const LEASE_REQUESTS = ["unseen", "join", "leave", "succeed"] as const;

/** The kinds of replies. */
export const PEER_REPLY = {
  done: "done",
  retryLeases: "retries",
  rateLease: "rate",
} as const;

/** A reply that says yes or no. */
export const packDecision = (yes: boolean): Message => ({ kind: PEER_REPLY.done, yes });

/** Whether a peer replied, and replied yes. */
export const isPositiveReply = (reply: Message | undefined): boolean =>
  reply !== undefined && readFlag(reply, "yes");

/** The reply to a forwarded call of the admin API. */
export const packApiResponse = ({ outcome, body = {} }: ApiResponse): Message => ({
  kind: PEER_REPLY.done,
  outcome,
  body,
});

/** An order to shift traffic away from a zone, or back where the zone is empty. */
export interface ZoneShift {
  readonly zone: string;
  /** `practice`, or anything else for an operator's shift. */
  readonly why: string;
}

/** The message that forwards a {@link ZoneShift} to the lease holder. */
export const packZoneShift = ({ zone, why }: ZoneShift): Message => ({
  kind: PEER_REQUEST.shiftZone,
  cell: zone,
  why,
});

/** Reads what {@link packZoneShift} gave; throws a DecodeError where a field is missing. */
export const readZoneShift = (message: Message): ZoneShift => ({
  zone: readString(message, "cell"),
  why: readString(message, "why"),
});

/** An order to let a stopped candidate take traffic again. */
export interface CanaryClearance {
  readonly route: string;
  /** The version of the route that is meant; any where undefined. */
  readonly version: number | undefined;
}

/** The message that forwards a {@link CanaryClearance} to the lease holder. */
export const packCanaryClearance = ({ route, version }: CanaryClearance): Message => ({
  kind: PEER_REQUEST.clearCanary,
  route,
  ...(version === undefined ? {} : { version }),
});

/** Reads what {@link packCanaryClearance} gave; throws a DecodeError where the route is missing. */
export const readCanaryClearance = (message: Message): CanaryClearance => ({
  route: readString(message, "route"),
  version: typeof message["version"] === "number" ? message["version"] : undefined,
});

/** The reply to a {@link CanaryClearance}, which has no body. */
export const packOutcome = (outcome: OutcomeName): Message => ({ kind: PEER_REPLY.done, outcome });

/** A change to the maintenance windows. Times are microseconds from when the order is given. */
export type WindowCommand =
  | {
      readonly action: "add";
      readonly zone: string;
      readonly opensInUs: number;
      readonly durationUs: number;
    }
  | { readonly action: "cancel"; readonly id: string }
  | { readonly action: "extend"; readonly id: string; readonly byUs: number };

/** The message that forwards a {@link WindowCommand} to the lease holder. */
export const packWindowCommand = (command: WindowCommand): Message => {
  const kind = PEER_REQUEST.changeWindow;
  switch (command.action) {
    case "add":
      return {
        kind,
        what: "add",
        cell: command.zone,
        opensUs: command.opensInUs,
        lastsUs: command.durationUs,
      };
    case "cancel":
      return { kind, what: "cancel", id: command.id };
    case "extend":
      return { kind, what: "extend", id: command.id, byUs: command.byUs };
  }
};

/** Reads what {@link packWindowCommand} gave; throws a DecodeError where a field is missing. */
export const readWindowCommand = (message: Message): WindowCommand => {
  switch (readString(message, "what")) {
    case "add":
      return {
        action: "add",
        zone: readString(message, "cell"),
        opensInUs: readNumber(message, "opensUs"),
        durationUs: readNumber(message, "lastsUs"),
      };
    case "extend":
      return {
        action: "extend",
        id: readString(message, "id"),
        byUs: readNumber(message, "byUs"),
      };
    default:
      return { action: "cancel", id: readString(message, "id") };
  }
};
