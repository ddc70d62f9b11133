/**
 * Ensures that an acknowledged change is on its way to every node: before a change is acknowledged,
 * the connected controllers confirm that they have posted it to their own nodes.
 */
import type { Peers } from "../../membership/peers.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";
import type { MessageHandlers } from "./message-dispatcher.js";
import { PEER_REPLY, PEER_REQUEST } from "./peer-messages.js";
import type { QuorumReader } from "./quorum-reader.js";

/**
 * Maximum delay of an acknowledgement by a controller that does not answer. A partitioned
 * controller is detected later than this and must not delay changes.
 */
const MAX_WAIT_US = 300 * MILLISECOND_US;

/** Dependencies of {@link VisibilityCheck}. */
export interface VisibilityCheckOptions {
  readonly peers: Pick<Peers, "known" | "isConnected" | "request">;
  readonly quorum: Pick<QuorumReader, "whenCaughtUp">;
}

/**
 * Asks peers whether they have posted the committed changes, and answers the same question. The
 * question follows the commit notification on the same link, so the answer covers that change.
 */
export class VisibilityCheck {
  readonly peerHandlers: MessageHandlers;

  constructor(private readonly options: VisibilityCheckOptions) {
    this.peerHandlers = { [PEER_REQUEST.confirmPosted]: this.answerPeer };
  }

  /** Resolves once every connected peer has posted the committed changes or timed out. */
  readonly waitForPeers = async (): Promise<void> => {
    const { peers } = this.options;
    const question: Message = { kind: PEER_REQUEST.confirmPosted };
    const connected = peers.known().filter(peers.isConnected);
    await Promise.all(connected.map((id) => peers.request(id, question, MAX_WAIT_US)));
  };

  private readonly answerPeer = async (): Promise<Message> => {
    // The listeners of a commit notification received just before run in this event-loop turn.
    await new Promise((resolve) => setImmediate(resolve));
    await this.options.quorum.whenCaughtUp();
    return { kind: PEER_REPLY.done };
  };
}
