/** Requests to the members of a voter set, until enough of them have responded. */
import { err, ok, type Result } from "true-myth/result";
import { withTimeout, type Clock } from "../common/clock.js";
import type { Message } from "../transport/connection.js";
import { NoQuorumError } from "./errors.js";

/**
 * How a replica reaches its peers. Implemented by the connections between controllers and by the
 * simulated networks of tests.
 */
export interface PeerTransport {
  /**
   * Resolves to the response, or to undefined if `timeoutUs` microseconds have passed or the peer
   * is unreachable.
   */
  readonly request: (
    id: string,
    message: Message,
    timeoutUs: number,
  ) => Promise<Message | undefined>;
  /** Sends a notice to every connected peer. */
  readonly broadcast: (message: Message) => void;
}

/** A request to all members of some sets of voters. */
export interface QuorumCall<T> {
  /** Evaluated again after each response, since a response may bring a newer voter set. */
  readonly sets: () => readonly (readonly string[])[];
  /** How many members of a set must respond as required. */
  readonly needed: (members: readonly string[]) => number;
  /** Asks one member. Undefined, or a rejected promise, counts as no response. */
  readonly request: (id: string) => Promise<T | undefined>;
  /**
   * How long to wait for the remaining members after a quorum has responded, so that all healthy
   * members take part.
   */
  readonly graceUs?: number;
}

/** Dependencies of {@link QuorumCalls}. */
export interface QuorumCallsOptions {
  readonly self: string;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** Handles the requests of this replica to itself. */
  readonly handleLocally: (message: Message) => Promise<Message>;
}

/** Sends requests to members, including this replica. */
export class QuorumCalls {
  constructor(private readonly options: QuorumCallsOptions) {}

  /** The response of one member; undefined if it has not arrived in time. */
  readonly request = (
    id: string,
    message: Message,
    timeoutUs: number,
  ): Promise<Message | undefined> => {
    const { self, transport, clock, handleLocally } = this.options;
    // The local disk may stall. This replica then counts as unresponsive, like any peer.
    return id === self
      ? withTimeout(clock, timeoutUs, handleLocally(message), undefined)
      : transport.request(id, message, timeoutUs);
  };

  /**
   * Asks every member of the sets. Ok as soon as enough members of each set have responded and
   * either no request is pending or the grace period is over.
   */
  readonly collect = <T>({
    sets,
    needed,
    request,
    graceUs = 0,
  }: QuorumCall<T>): Promise<Result<void, NoQuorumError>> => {
    const responded = new Set<string>();
    const asked = new Set<string>();
    const findIncompleteSet = () =>
      sets().find(
        (members) =>
          members.length === 0 ||
          members.filter((id) => responded.has(id)).length < needed(members),
      );
    return new Promise((resolve) => {
      let pending = 0;
      let isGraceRunning = false;
      const evaluate = () => {
        const incomplete = findIncompleteSet();
        if (incomplete) {
          if (pending === 0) resolve(err(new NoQuorumError(responded.size, needed(incomplete))));
        } else if (pending === 0 || graceUs === 0) {
          resolve(ok(undefined));
        } else if (!isGraceRunning) {
          isGraceRunning = true;
          this.options.clock.after(graceUs, () => resolve(ok(undefined)));
        }
      };
      const requestNewMembers = () =>
        new Set(sets().flat()).forEach((id) => {
          if (asked.has(id)) return;
          asked.add(id);
          pending += 1;
          void request(id)
            // A malformed response counts as no response.
            .catch(() => undefined)
            .then((response) => {
              if (response !== undefined) responded.add(id);
              pending -= 1;
              requestNewMembers();
              evaluate();
            });
        });
      requestNewMembers();
      if (pending === 0) evaluate();
    });
  };
}
