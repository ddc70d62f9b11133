/**
 * The messages of the leader lease and of the voters that join and leave, as they are on the wire.
 * The names and the texts of the wire stand here and never change.
 */
import { readFlag, readString } from "../common/decode.js";
import type { Message } from "../transport/connection.js";

/** Asks whether the lease is free for a candidate, as seen by the member that is asked. */
export interface CandidateRequest {
  readonly type: "candidate";
  readonly candidate: string;
  /** The holder that named the candidate its successor; empty where none did. */
  readonly namedBy: string;
}

/** Asks the holder to make a replica a voter, or to let a voter go. */
export interface MembershipRequest {
  readonly type: "join" | "leave";
  readonly id: string;
}

/** Asks a member to take the lease over. */
export interface SuccessionRequest {
  readonly type: "succeed";
  readonly namedBy: string;
}

/** What one controller asks of another about the lease. */
export type LeaseRequest = CandidateRequest | MembershipRequest | SuccessionRequest;

/** The response to each of them. */
export interface LeaseResponse {
  readonly isGranted: boolean;
  /** Why it is not granted, in a sentence for the log. */
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

/** Why a request to join or to leave is not granted; sent as they stand. */
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

/** The form of a request on the wire. */
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

/** @throws DecodeError where a field is missing or of another type */
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

/** The form of a response on the wire. */
export const encodeLeaseResponse = ({ isGranted, reason }: LeaseResponse): Message => ({
  kind: RESPONSE,
  [IS_GRANTED]: isGranted,
  ...(reason === undefined ? {} : { [REASON]: reason }),
});

/** Reads a response; what is missing is not granted. */
export const decodeLeaseResponse = (message: Message): LeaseResponse => {
  const reason = message[REASON];
  return {
    isGranted: readFlag(message, IS_GRANTED),
    reason: typeof reason === "string" ? reason : undefined,
  };
};
