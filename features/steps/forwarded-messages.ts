/**
 * Messages between controllers for operators: those of before the renames are read, and written as
 * they were.
 */
import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { Then } from "@cucumber/cucumber";
import { asList, asRecord, parseJson, readString } from "../../src/common/decode.js";
import { MessageKind } from "../../src/membership/messages.js";
import { readApiResponse } from "../../src/programs/http-api.js";
import { NODE_QUERY } from "../../src/programs/controller/node-messages.js";
import {
  packApiResponse,
  packCanaryClearance,
  packOutcome,
  packWindowCommand,
  packZoneShift,
  PEER_REPLY,
  PEER_REQUEST,
  readCanaryClearance,
  readWindowCommand,
  readZoneShift,
} from "../../src/programs/controller/peer-messages.js";
import type { Message } from "../../src/transport/connection.js";
import { bytesOf, plain, throughWire } from "../support/golden.js";

const FILE = join("features/data/before-2026-12-forwarded", "frames.json");

interface ForwardedFrame {
  readonly bytes: Buffer;
  readonly message: Message;
}

/**
 * The frames of before as this code's reader gives them, each compared with the message that it
 * held.
 */
const forwardedFrames = async (): Promise<readonly ForwardedFrame[]> => {
  const rows = asList(parseJson(await readFile(FILE, "utf8"))).map((value) => asRecord(value));
  const frames = rows.map((row) => Buffer.from(readString(row, "frame"), "base64"));
  const messages = await throughWire(frames);
  assert.deepEqual(
    plain(messages),
    rows.map((row) => row["message"]),
  );
  return messages.map((message, at) => ({ message, bytes: frames[at] ?? Buffer.alloc(0) }));
};

/** What is packed again, as a request or reply with the number that it had. */
const assertSameFrame = async (packed: Message, { message, bytes }: ForwardedFrame) => {
  const numbered = {
    ...packed,
    ...("ask" in message ? { ask: message["ask"] } : {}),
    ...("re" in message ? { re: message["re"] } : {}),
  };
  assert.deepEqual(await bytesOf([numbered]), bytes, JSON.stringify(message));
};

const REPACK: ReadonlyMap<string, (message: Message) => Message> = new Map([
  ["shift", (message) => packZoneShift(readZoneShift(message))],
  ["clear", (message) => packCanaryClearance(readCanaryClearance(message))],
  ["window", (message) => packWindowCommand(readWindowCommand(message))],
]);

Then(
  "each forwarded order of before is read and packed again as the frame that it was",
  async () => {
    const orders = (await forwardedFrames()).filter(({ message }) => REPACK.has(message.kind));
    assert.deepEqual(
      [...new Set(orders.map(({ message }) => message.kind))].sort(),
      [...REPACK.keys()].sort(),
    );
    assert.equal(orders.filter(({ message }) => message.kind === "window").length, 3);
    for (const order of orders) {
      const repack = REPACK.get(order.message.kind);
      assert.ok(repack);
      await assertSameFrame(repack(order.message), order);
    }
  },
);

Then(
  "each answer to a forwarded order of before is read and packed again as the frame that it was",
  async () => {
    const answers = (await forwardedFrames()).filter(({ message }) => "outcome" in message);
    assert.ok(answers.some(({ message }) => "body" in message));
    assert.ok(answers.some(({ message }) => !("body" in message)));
    for (const answer of answers) {
      const response = readApiResponse(answer.message);
      assert.ok(response, JSON.stringify(answer.message));
      const packed =
        "body" in answer.message ? packApiResponse(response) : packOutcome(response.outcome);
      await assertSameFrame(packed, answer);
    }
  },
);

Then("each kind of message that was forwarded before still has its name", async () => {
  const now = new Set<string>([
    ...Object.values(MessageKind),
    ...Object.values(PEER_REQUEST),
    ...Object.values(PEER_REPLY),
    ...Object.values(NODE_QUERY),
  ]);
  const before = new Set((await forwardedFrames()).map(({ message }) => message.kind));
  assert.ok(before.size >= 13, [...before].join());
  before.forEach((kind) => assert.ok(now.has(kind), kind));
});
