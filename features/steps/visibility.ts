import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { VisibilityCheck } from "../../src/programs/controller/visibility-check.js";
import type { Message } from "../../src/transport/connection.js";
import { settle } from "../support/manual-clock.js";

interface PeerRequest {
  readonly peer: string;
  readonly kind: string;
  readonly timeoutUs: number;
  readonly answer: (reply: Message | undefined) => void;
}

const REPLY: Message = { kind: "done" };

let check: VisibilityCheck;
let peerRequests: PeerRequest[] = [];
let isAcknowledged = false;
let finishCatchUp: () => void = () => undefined;
let reply: Message | undefined;

Given(
  "a controller with connected peers {string} and {string} and a disconnected peer {string}",
  (one: string, other: string, absent: string) => {
    peerRequests = [];
    isAcknowledged = false;
    check = new VisibilityCheck({
      peers: {
        known: () => [one, other, absent],
        isConnected: (id) => id !== absent,
        request: (peer, { kind }, timeoutUs) =>
          new Promise((resolve) => peerRequests.push({ peer, kind, timeoutUs, answer: resolve })),
      },
      quorum: { whenCaughtUp: async () => undefined },
    });
  },
);
When("a change is committed and its acknowledgement is pending", () => {
  void check.waitForPeers().then(() => {
    isAcknowledged = true;
  });
});
Then(
  /^"(\w+)" and "(\w+)" are asked whether they have posted it, and "\w+" is not$/,
  (one: string, other: string) => {
    assert.deepEqual(
      peerRequests.map(({ peer, kind }) => [peer, kind]),
      [
        [one, "posted"],
        [other, "posted"],
      ],
    );
  },
);
const requestTo = (expectedPeer: string): PeerRequest => {
  const found = peerRequests.find(({ peer }) => peer === expectedPeer);
  assert.ok(found);
  return found;
};
When("peer {string} replies", async (peer: string) => {
  requestTo(peer).answer(REPLY);
  await settle();
});
When("the request to peer {string} times out", async (peer: string) => {
  requestTo(peer).answer(undefined);
  await settle();
});
Then("the change is not yet acknowledged", () => assert.equal(isAcknowledged, false));
Then(
  "the change is acknowledged, and requests to peers time out after at most {int} ms",
  (boundMs: number) => {
    assert.equal(isAcknowledged, true);
    peerRequests.forEach(({ timeoutUs }) => assert.ok(timeoutUs <= boundMs * 1_000));
  },
);

Given("a controller that is catching up from its peers", () => {
  reply = undefined;
  const catchUp = new Promise<void>((resolve) => {
    finishCatchUp = resolve;
  });
  check = new VisibilityCheck({
    peers: { known: () => [], isConnected: () => true, request: async () => undefined },
    quorum: { whenCaughtUp: () => catchUp },
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
Then("it does not reply yet", () => assert.equal(reply, undefined));
When("the catch-up ends", async () => {
  finishCatchUp();
  await settle();
});
Then("it replies", () => assert.equal(reply?.kind, "done"));
