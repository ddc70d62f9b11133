import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VisibilityCheck } from "../../src/programs/controller/visibility-check.js";
import type { Message } from "../../src/transport/connection.js";
import { settle } from "../support/manual-clock.js";

interface Question {
  readonly peer: string;
  readonly kind: string;
  readonly timeoutUs: number;
  readonly answer: (reply: Message | undefined) => void;
}

const ANSWER: Message = { kind: "done" };

let check: VisibilityCheck;
let questions: Question[] = [];
let isAcknowledged = false;
let endReading: () => void = () => undefined;
let reply: Message | undefined;

Given(
  "a controller with peers {string} and {string} that are connected and {string} that isn't",
  (one: string, other: string, absent: string) => {
    questions = [];
    isAcknowledged = false;
    check = new VisibilityCheck({
      peers: {
        known: () => [one, other, absent],
        isConnected: (id) => id !== absent,
        request: (peer, { kind }, timeoutUs) =>
          new Promise((resolve) => questions.push({ peer, kind, timeoutUs, answer: resolve })),
      },
      quorum: { whenCaughtUp: async () => undefined },
    });
  },
);
When("a change is committed and its acknowledgement waits", () => {
  void check.waitForPeers().then(() => {
    isAcknowledged = true;
  });
});
Then(
  /^"(\w+)" and "(\w+)" are asked whether they have posted it, and "\w+" is not$/,
  (one: string, other: string) => {
    assert.deepEqual(
      questions.map(({ peer, kind }) => [peer, kind]),
      [
        [one, "posted"],
        [other, "posted"],
      ],
    );
  },
);
const questionTo = (wanted: string): Question => {
  const found = questions.find(({ peer }) => peer === wanted);
  assert.ok(found);
  return found;
};
When("{string} answers", async (peer: string) => {
  questionTo(peer).answer(ANSWER);
  await settle();
});
When("{string} answers nothing until its time-out", async (peer: string) => {
  questionTo(peer).answer(undefined);
  await settle();
});
Then("the acknowledgement still waits", () => assert.equal(isAcknowledged, false));
Then("the change is acknowledged, {int} ms after the question at most", (boundMs: number) => {
  assert.equal(isAcknowledged, true);
  questions.forEach(({ timeoutUs }) => assert.ok(timeoutUs <= boundMs * 1_000));
});

Given("a controller that reads what others hold", () => {
  reply = undefined;
  const reading = new Promise<void>((resolve) => {
    endReading = resolve;
  });
  check = new VisibilityCheck({
    peers: { known: () => [], isConnected: () => true, request: async () => undefined },
    quorum: { whenCaughtUp: () => reading },
  });
});
When("a peer asks whether it has posted what is committed", async () => {
  const handle = check.peerHandlers["posted"];
  assert.ok(handle);
  void Promise.resolve(handle({ kind: "posted" }, "b")).then((answer) => {
    reply = answer;
  });
  await settle();
});
Then("it answers nothing yet", () => assert.equal(reply, undefined));
When("the reading ends", async () => {
  endReading();
  await settle();
});
Then("it answers", () => assert.equal(reply?.kind, "done"));
