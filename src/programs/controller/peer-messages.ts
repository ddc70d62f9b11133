/**
 * Messages between controllers, except for those of consensus, idempotency keys and sessions. The
 * values and field names are part of the wire protocol and must not change: controllers of other
 * releases use them.
 */
import type { OutcomeName } from "../../common/http-outcomes.js";
import { readBoolean, readNumber, readString } from "../../common/decode.js";
import type { Message } from "../../transport/connection.js";
import type { ApiResponse } from "../http-api.js";

/** Kinds of requests between controllers. */
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
  reportShards: "shards-released",
} as const;

/** Kinds of requests that the leader lease handles. */
export const LEASE_REQUESTS = ["unseen", "join", "leave", "succeed"] as const;

/** Kinds of replies between controllers. */
export const PEER_REPLY = {
  done: "done",
  retryLeases: "retries",
  rateLease: "rate",
} as const;

/** Builds a boolean reply. */
export const packDecision = (yes: boolean): Message => ({ kind: PEER_REPLY.done, yes });

/** Whether there is a reply and it is positive. */
export const isPositiveReply = (reply: Message | undefined): boolean =>
  reply !== undefined && readBoolean(reply, "yes");

/** Builds the reply to a forwarded call of the admin API. */
export const packApiResponse = ({ outcome, body = {} }: ApiResponse): Message => ({
  kind: PEER_REPLY.done,
  outcome,
  body,
});

/** A command to shift traffic away from a zone, or to end the shift if `zone` is empty. */
export interface ZoneShift {
  readonly zone: string;
  /** `practice` for a practice run; any other value means a manual shift. */
  readonly why: string;
}

/** Builds the message that forwards a {@link ZoneShift} to the leader. */
export const packZoneShift = ({ zone, why }: ZoneShift): Message => ({
  kind: PEER_REQUEST.shiftZone,
  cell: zone,
  why,
});

/** Inverse of {@link packZoneShift}; throws a DecodeError if a field is missing. */
export const readZoneShift = (message: Message): ZoneShift => ({
  zone: readString(message, "cell"),
  why: readString(message, "why"),
});

/** A command to let a stopped candidate receive traffic again. */
export interface CanaryClearance {
  readonly route: string;
  /** The expected version of the route; undefined accepts any. */
  readonly version: number | undefined;
}

/** Builds the message that forwards a {@link CanaryClearance} to the leader. */
export const packCanaryClearance = ({ route, version }: CanaryClearance): Message => ({
  kind: PEER_REQUEST.clearCanary,
  route,
  ...(version === undefined ? {} : { version }),
});

/** Inverse of {@link packCanaryClearance}; throws a DecodeError if the route is missing. */
export const readCanaryClearance = (message: Message): CanaryClearance => ({
  route: readString(message, "route"),
  version: typeof message["version"] === "number" ? message["version"] : undefined,
});

/** Builds the reply to a {@link CanaryClearance}, which has no body. */
export const packOutcome = (outcome: OutcomeName): Message => ({ kind: PEER_REPLY.done, outcome });

/** A command to change a maintenance window. Times are microseconds from when it is given. */
export type WindowCommand =
  | {
      readonly action: "add";
      readonly zone: string;
      readonly opensInUs: number;
      readonly durationUs: number;
    }
  | { readonly action: "cancel"; readonly id: string }
  | { readonly action: "extend"; readonly id: string; readonly byUs: number };

/** Builds the message that forwards a {@link WindowCommand} to the leader. */
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

/** Inverse of {@link packWindowCommand}; throws a DecodeError if a field is missing. */
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
