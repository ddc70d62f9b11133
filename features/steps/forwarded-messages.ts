/**
 * Wire compatibility of the messages that controllers forward to each other for operators: frames
 * recorded before fields were renamed are read, and encoded again to the same bytes.
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
import { encodeMessages, toPlainJson, decodeFrames } from "../support/golden.js";

const FILE = join("features/data/before-2026-12-forwarded", "frames.json");

interface ForwardedFrame {
  readonly bytes: Buffer;
  readonly message: Message;
}

/** Decodes the recorded frames and compares each with the message recorded with it. */
const forwardedFrames = async (): Promise<readonly ForwardedFrame[]> => {
  const rows = asList(parseJson(await readFile(FILE, "utf8"))).map((value) => asRecord(value));
  const frames = rows.map((row) => Buffer.from(readString(row, "frame"), "base64"));
  const messages = await decodeFrames(frames);
  assert.deepEqual(
    toPlainJson(messages),
    rows.map((row) => row["message"]),
  );
  return messages.map((message, at) => ({ message, bytes: frames[at] ?? Buffer.alloc(0) }));
};

/** Encodes the message with the request or reply number it had, and compares the bytes. */
const assertSameFrame = async (packed: Message, { message, bytes }: ForwardedFrame) => {
  const numbered = {
    ...packed,
    ...("ask" in message ? { ask: message["ask"] } : {}),
    ...("re" in message ? { re: message["re"] } : {}),
  };
  assert.deepEqual(await encodeMessages([numbered]), bytes, JSON.stringify(message));
};

const REENCODERS: ReadonlyMap<string, (message: Message) => Message> = new Map([
  ["shift", (message) => packZoneShift(readZoneShift(message))],
  ["clear", (message) => packCanaryClearance(readCanaryClearance(message))],
  ["window", (message) => packWindowCommand(readWindowCommand(message))],
]);

Then(
  "every recorded forwarded request is decoded and encoded again to the recorded frame",
  async () => {
    const commands = (await forwardedFrames()).filter(({ message }) =>
      REENCODERS.has(message.kind),
    );
    assert.deepEqual(
      [...new Set(commands.map(({ message }) => message.kind))].sort(),
      [...REENCODERS.keys()].sort(),
    );
    assert.equal(commands.filter(({ message }) => message.kind === "window").length, 3);
    for (const command of commands) {
      const reencode = REENCODERS.get(command.message.kind);
      assert.ok(reencode);
      await assertSameFrame(reencode(command.message), command);
    }
  },
);

Then(
  "every recorded response to a forwarded request is decoded and encoded again to the recorded frame",
  async () => {
    const replies = (await forwardedFrames()).filter(({ message }) => "outcome" in message);
    assert.ok(replies.some(({ message }) => "body" in message));
    assert.ok(replies.some(({ message }) => !("body" in message)));
    for (const reply of replies) {
      const response = readApiResponse(reply.message);
      assert.ok(response, JSON.stringify(reply.message));
      const packed =
        "body" in reply.message ? packApiResponse(response) : packOutcome(response.outcome);
      await assertSameFrame(packed, reply);
    }
  },
);

Then("every recorded kind of forwarded message still exists under its name", async () => {
  const currentKinds = new Set<string>([
    ...Object.values(MessageKind),
    ...Object.values(PEER_REQUEST),
    ...Object.values(PEER_REPLY),
    ...Object.values(NODE_QUERY),
  ]);
  const formerKinds = new Set((await forwardedFrames()).map(({ message }) => message.kind));
  assert.ok(formerKinds.size >= 13, [...formerKinds].join());
  formerKinds.forEach((kind) => assert.ok(currentKinds.has(kind), kind));
});
