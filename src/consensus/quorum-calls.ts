/** Requests to the members of a voter set, until enough of them have responded. */
import { err, ok, type Result } from "true-myth/result";
import { withTimeout, type Clock } from "../common/clock.js";
import type { Message } from "../transport/connection.js";
import { NoQuorumError } from "./errors.js";

/**
 * How a replica reaches others; the connections between controllers fit it, and so does a test's
 * own network.
 */
export interface PeerTransport {
  /**
   * Resolves to the response, or to undefined once `timeoutUs` microseconds are over or the peer
   * can't be reached.
   */
  readonly request: (
    id: string,
    message: Message,
    timeoutUs: number,
  ) => Promise<Message | undefined>;
  /** Sends a notice to every peer that is connected. */
  readonly broadcast: (message: Message) => void;
}

/** One question to all members of some sets of voters. */
export interface QuorumCall<T> {
  /** Asked for anew after each response, since that may tell of a newer voter set. */
  readonly sets: () => readonly (readonly string[])[];
  /** How many of one set's members must respond as required. */
  readonly needed: (members: readonly string[]) => number;
  /** Asks one member; undefined, or a rejection, counts as no response. */
  readonly request: (id: string) => Promise<T | undefined>;
  /**
   * After a quorum has responded, so long is waited for the rest, so that all take part where all
   * are well.
   */
  readonly graceUs?: number;
}

/** What a `QuorumCalls` is made of. */
export interface QuorumCallsOptions {
  readonly self: string;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  /** Answers this replica's requests to itself. */
  readonly handleLocally: (message: Message) => Promise<Message>;
}

/** Sends requests to members, this replica among them. */
export class QuorumCalls {
  constructor(private readonly options: QuorumCallsOptions) {}

  /** One member's response; undefined if it has not come in time. */
  readonly request = (
    id: string,
    message: Message,
    timeoutUs: number,
  ): Promise<Message | undefined> => {
    const { self, transport, clock, handleLocally } = this.options;
    // Its own disk may stall, and then counts no more than a silent peer.
    return id === self
      ? withTimeout(clock, timeoutUs, handleLocally(message), undefined)
      : transport.request(id, message, timeoutUs);
  };

  /**
   * Asks every member of the sets; ok as soon as enough of each have responded, and the rest too or
   * a grace is over.
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
            // A response that can't be read is no response.
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
