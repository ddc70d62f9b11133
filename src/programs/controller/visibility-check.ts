/**
 * Makes sure that a confirmed change is on its way to every node: before a change is acknowledged,
 * the connected controllers say that they have posted it to their own nodes.
 */
import type { Peers } from "../../membership/peers.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import type { QuorumReader } from "./quorum-reader.js";

/**
 * How long an acknowledgement waits for a controller that doesn't answer: one that is cut off is
 * noticed later than this, and must not hold up changes.
 */
const MAX_WAIT_US = 300 * MILLISECOND_US;

/** What a {@link VisibilityCheck} asks and answers with. */
export interface VisibilityCheckOptions {
  readonly peers: Pick<Peers, "known" | "isConnected" | "request">;
  readonly quorum: Pick<QuorumReader, "whenCaughtUp">;
}

/**
 * Asks peers whether they have posted what is committed, and answers that question. A question is
 * sent behind the notice of what was committed, over the same link, so its answer covers it.
 */
export class VisibilityCheck {
  readonly peerHandlers: MessageHandlers;

  constructor(private readonly options: VisibilityCheckOptions) {
    this.peerHandlers = { [PEER_REQUEST.confirmPosted]: this.answerPeer };
  }

  /** Resolves once every connected peer has posted what was committed here, or after the wait. */
  readonly waitForPeers = async (): Promise<void> => {
    const { peers } = this.options;
    const question: Message = { kind: PEER_REQUEST.confirmPosted };
    const connected = peers.known().filter(peers.isConnected);
    await Promise.all(connected.map((id) => peers.request(id, question, MAX_WAIT_US)));
  };

  private readonly answerPeer = async (): Promise<Message> => {
    // The listeners of a notice that came just before run within this turn.
    await new Promise((resolve) => setImmediate(resolve));
    await this.options.quorum.whenCaughtUp();
    return { kind: PEER_REPLY.done };
  };
}
