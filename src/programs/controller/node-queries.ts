/**
 * Queries to all nodes of the fleet. Each node is queried through the controller that it has its
 * session with.
 */
import type { Peers } from "../../membership/peers.js";
import type { NodeAnswer } from "../../membership/cluster.js";
import { MessageKind, packNodeAnswer, readNodeAnswer } from "../../membership/messages.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import { asRecord, readList, readString } from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

const NODE_TIMEOUT_US = 1_500 * MILLISECOND_US;
const PEER_TIMEOUT_US = 2_000 * MILLISECOND_US;

/** Queries nodes on behalf of operators. */
export class NodeQueries {
  constructor(
    private readonly sessions: NodeSessions,
    private readonly peers: Peers,
  ) {}

  /**
   * Queries every node with a session on any controller. The answer of a node that does not reply
   * within two seconds is undefined.
   */
  readonly askAll = async (question: Message): Promise<readonly NodeAnswer[]> => {
    const { sessions, peers } = this;
    const known = sessions.nodes();
    const request: Message = { kind: MessageKind.queryNodes, question };
    const pendingReplies = peers.known().map((id) => peers.request(id, request, PEER_TIMEOUT_US));
    const localAnswers = await sessions.queryAll(question, NODE_TIMEOUT_US);
    const replies = await Promise.all(pendingReplies);
    const peerAnswers = replies.flatMap((reply) =>
      reply ? readList(reply, "answers", readNodeAnswer) : [],
    );
    const byNode = new Map(
      [...localAnswers, ...peerAnswers].map((answer) => [answer.node, answer]),
    );
    return known.map(
      ({ name, zone }) => byNode.get(name) ?? { node: name, zone, answer: undefined },
    );
  };

  /** Queries the nodes with a session on this controller on behalf of a peer. */
  readonly answerPeer = async (message: Message): Promise<Message> => {
    const question = asRecord(message["question"], "question");
    const answers = await this.sessions.queryAll(
      { ...question, kind: readString(question, "kind") },
      NODE_TIMEOUT_US,
    );
    return { kind: MessageKind.nodeAnswers, answers: answers.map(packNodeAnswer) };
  };
}
