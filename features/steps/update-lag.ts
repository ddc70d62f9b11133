import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { UpdateLag, type UpdatePosition } from "../../src/membership/update-position.js";
import { ManualClock } from "../support/manual-clock.js";

let clock = new ManualClock();
let lag: UpdateLag;

Given(
  "a node that may miss an announced update for {int} ms, and takes announcements into account for {int} ms after its session ended",
  (limitMs: number, forgetAfterMs: number) => {
    clock = new ManualClock();
    lag = new UpdateLag({
      clock,
      limitUs: limitMs * 1_000,
      disconnectedGraceUs: forgetAfterMs * 1_000,
    });
  },
);

const positionIn = (event: string): UpdatePosition => {
  const [, origin, sequence] = /([a-z])\/(\d+)/.exec(event) ?? [];
  assert.ok(origin !== undefined && sequence !== undefined, event);
  return { origin, sequence: Number(sequence) };
};

const applyEvent = async (event: string): Promise<void> => {
  if (event === "session ended") lag.recordDisconnected();
  else if (event === "a snapshot without a position") lag.recordSnapshot(undefined);
  else if (event.startsWith("a snapshot at")) {
    lag.recordSnapshot(positionIn(event));
    lag.recordPosition(positionIn(event));
  } else if (event.startsWith("announced")) lag.announce(positionIn(event));
  else if (event.startsWith("reached")) lag.recordPosition(positionIn(event));
  else if (event.endsWith(" ms")) await clock.pass(Number.parseInt(event, 10) * 1_000);
  else {
    const { origin, sequence } = positionIn(event);
    const count = Number.parseInt(event, 10);
    for (let at = 0; at < count; at += 1) lag.announce({ origin, sequence: sequence + at });
  }
};

When(/^((?:a snapshot (?:at|without)).*)$/, async (events: string) => {
  for (const event of events.split(", ")) await applyEvent(event);
});
Then(/^it (is|is not) behind$/, (verdict: string) =>
  assert.equal(lag.isBehind(), verdict === "is"),
);
