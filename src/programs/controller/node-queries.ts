import type { Peers } from "../../membership/peers.js";
import type { NodeAnswer, NodeSessions } from "../../membership/node-sessions.js";
import { asRecord, isRecord, readList, readString } from "../../common/decode.js";
import { MILLISECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

const NODE_WAIT_US = 1_500 * MILLISECOND_US;
const COLLEAGUE_WAIT_US = 2_000 * MILLISECOND_US;

const readAnswer = (value: unknown): NodeAnswer => {
  const record = asRecord(value, "answer");
  return {
    node: readString(record, "node"),
    cell: readString(record, "cell"),
    answer: isRecord(record["answer"]) ? record["answer"] : undefined,
  };
};

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
      .map((id) => peers.ask(id, { kind: "ask-nodes", question }, COLLEAGUE_WAIT_US));
    const own = await sessions.askAll(question, NODE_WAIT_US);
    const replies = await Promise.all(others);
    const heard = new Map(
      [
        ...own,
        ...replies.flatMap((reply) => (reply ? readList(reply, "answers", readAnswer) : [])),
      ].map((one) => [one.node, one]),
    );
    return known.map(
      ({ name, cell: zone }) => heard.get(name) ?? { node: name, cell: zone, answer: undefined },
    );
  };

  /** Asks the nodes with a session here, for a colleague. */
  readonly answerColleague = async (message: Message): Promise<Message> => {
    const question = asRecord(message["question"], "question");
    return {
      kind: "answers",
      answers: await this.sessions.askAll(
        { ...question, kind: readString(question, "kind") },
        NODE_WAIT_US,
      ),
    };
  };
}
