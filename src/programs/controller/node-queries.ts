import type { Peers } from "../../membership/peers.js";
import type { NodeAnswer } from "../../membership/cluster.js";
import { MessageKind, packNodeAnswer, readNodeAnswer } from "../../membership/messages.js";
import type { NodeSessions } from "../../membership/node-sessions.js";
import { asRecord, readList, readString } from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

const NODE_WAIT_US = 1_500 * MILLISECOND_US;
const COLLEAGUE_WAIT_US = 2_000 * MILLISECOND_US;

/** Asks every node with a session anywhere, each through the signalbox that it has its session with. */
export class NodeQueries {
  constructor(
    private readonly sessions: NodeSessions,
    private readonly peers: Peers,
  ) {}

  readonly askAll = async (question: Message): Promise<readonly NodeAnswer[]> => {
    const { sessions, peers } = this;
    const known = sessions.nodes();
    const others = peers
      .known()
      .map((id) => peers.ask(id, { kind: MessageKind.queryNodes, question }, COLLEAGUE_WAIT_US));
    const own = await sessions.askAll(question, NODE_WAIT_US);
    const replies = await Promise.all(others);
    const heard = new Map(
      [
        ...own,
        ...replies.flatMap((reply) => (reply ? readList(reply, "answers", readNodeAnswer) : [])),
      ].map((one) => [one.node, one]),
    );
    return known.map(
      ({ name, zone }) => heard.get(name) ?? { node: name, zone, answer: undefined },
    );
  };

  /** Asks the nodes with a session here, for a colleague. */
  readonly answerColleague = async (message: Message): Promise<Message> => {
    const question = asRecord(message["question"], "question");
    const answers = await this.sessions.askAll(
      { ...question, kind: readString(question, "kind") },
      NODE_WAIT_US,
    );
    return { kind: MessageKind.nodeAnswers, answers: answers.map(packNodeAnswer) };
  };
}
