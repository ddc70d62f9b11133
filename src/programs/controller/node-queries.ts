import type { Colleagues } from "../../membership/peers.js";
import type { NodeAnswer, Sessions } from "../../membership/node-sessions.js";
import { asRec, isRec, list, text } from "../../common/decode.js";
import { MS } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";

const NODE_WAIT_US = 1_500 * MS;
const COLLEAGUE_WAIT_US = 2_000 * MS;

const readAnswer = (value: unknown): NodeAnswer => {
  const rec = asRec(value, "answer");
  return {
    node: text(rec, "node"),
    cell: text(rec, "cell"),
    answer: isRec(rec["answer"]) ? rec["answer"] : undefined,
  };
};

/** Asks every node with a session anywhere, each through the signalbox that it has its session with. */
export class NodeAnswers {
  constructor(
    private readonly sessions: Sessions,
    private readonly colleagues: Colleagues,
  ) {}

  readonly askAll = async (question: Message): Promise<readonly NodeAnswer[]> => {
    const { sessions, colleagues } = this;
    const known = sessions.nodes();
    const others = colleagues
      .known()
      .map((id) => colleagues.ask(id, { kind: "ask-nodes", question }, COLLEAGUE_WAIT_US));
    const own = await sessions.askAll(question, NODE_WAIT_US);
    const replies = await Promise.all(others);
    const heard = new Map(
      [
        ...own,
        ...replies.flatMap((reply) => (reply ? list(reply, "answers", readAnswer) : [])),
      ].map((one) => [one.node, one]),
    );
    return known.map(
      ({ name, cell }) => heard.get(name) ?? { node: name, cell, answer: undefined },
    );
  };

  /** Asks the nodes with a session here, for a colleague. */
  readonly answerColleague = async (message: Message): Promise<Message> => {
    const question = asRec(message["question"], "question");
    return {
      kind: "answers",
      answers: await this.sessions.askAll(
        { ...question, kind: text(question, "kind") },
        NODE_WAIT_US,
      ),
    };
  };
}
