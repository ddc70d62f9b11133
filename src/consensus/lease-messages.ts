/**
 * Messages of the leader lease and of joining and leaving voters, with their encoding. The names
 * and texts on the wire are defined here and never change.
 */
import { readBoolean, readString } from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** Asks whether the receiving member considers the lease available to a candidate. */
export interface CandidateRequest {
  readonly type: "candidate";
  readonly candidate: string;
  /** The holder that named the candidate as its successor; empty if none did. */
  readonly namedBy: string;
}

/** Asks the holder to add a replica to the voter set or to remove a voter from it. */
export interface MembershipRequest {
  readonly type: "join" | "leave";
  readonly id: string;
}

/** Asks a member to take over the lease. */
export interface SuccessionRequest {
  readonly type: "succeed";
  readonly namedBy: string;
}

/** Any request between controllers about the lease. */
export type LeaseRequest = CandidateRequest | MembershipRequest | SuccessionRequest;

/** The response to a {@link LeaseRequest}. */
export interface LeaseResponse {
  readonly isGranted: boolean;
  /** Why the request was not granted, as a sentence for the log. */
  readonly reason?: string | undefined;
}

const CANDIDATE = "unseen";
const JOIN = "join";
const LEAVE = "leave";
const SUCCEED = "succeed";
const RESPONSE = "done";
const CANDIDATE_ID = "holder";
const NAMED_BY = "namedBy";
const IS_GRANTED = "yes";
const REASON = "why";

/** Reasons for not granting a join or leave request; sent verbatim. */
export const LEASE_REASONS = {
  notHolder: "this box does not hold the duty",
  voterSetChanging: "the roster is changing",
  notCaughtUp: "the newcomer has not caught up",
  noQuorum: "no quorum",
  tooFewLeft: "too few would be left",
  stateNotCopied: "the others don't hold everything yet",
  mayComeBack: (id: string): string => `${id} may come back`,
  silent: (id: string): string => `${id} does not answer`,
} as const;

/** Encodes a request. */
export const encodeLeaseRequest = (request: LeaseRequest): Message => {
  switch (request.type) {
    case "candidate":
      return { kind: CANDIDATE, [CANDIDATE_ID]: request.candidate, [NAMED_BY]: request.namedBy };
    case "join":
      return { kind: JOIN, id: request.id };
    case "leave":
      return { kind: LEAVE, id: request.id };
    case "succeed":
      return { kind: SUCCEED, [NAMED_BY]: request.namedBy };
  }
};

/** @throws DecodeError if a field is missing or has the wrong type */
export const decodeLeaseRequest = (message: Message): LeaseRequest => {
  switch (message.kind) {
    case CANDIDATE:
      return {
        type: "candidate",
        candidate: readString(message, CANDIDATE_ID),
        namedBy: readString(message, NAMED_BY),
      };
    case JOIN:
      return { type: "join", id: readString(message, "id") };
    case LEAVE:
      return { type: "leave", id: readString(message, "id") };
    default:
      return { type: "succeed", namedBy: readString(message, NAMED_BY) };
  }
};

/** Encodes a response. */
export const encodeLeaseResponse = ({ isGranted, reason }: LeaseResponse): Message => ({
  kind: RESPONSE,
  [IS_GRANTED]: isGranted,
  ...(reason === undefined ? {} : { [REASON]: reason }),
});

/** Decodes a response. A missing grant counts as not granted. */
export const decodeLeaseResponse = (message: Message): LeaseResponse => {
  const reason = message[REASON];
  return {
    isGranted: readBoolean(message, IS_GRANTED),
    reason: typeof reason === "string" ? reason : undefined,
  };
};
