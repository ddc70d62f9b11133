import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Clock, Timer } from "../../src/common/clock.js";
import { EventLoopDelayRecorder } from "../../src/common/event-loop-delay.js";
import { silentLogger } from "../../src/common/logger.js";
import { parseSettings } from "../../src/common/settings.js";
import { MetricsServer, type LabelledValue } from "../../src/programs/metrics-server.js";

const IP = "127.14.0.1";
const PORT = 17_640;

let servers: MetricsServer[] = [];
let count = 1;
let requests: readonly LabelledValue[] = [];
let text = "";

const newServer = (warnings: string[]): MetricsServer =>
  new MetricsServer({
    ip: IP,
    port: PORT,
    path: "/metrics",
    metrics: [
      { name: "yewreel_count", help: "A count.", read: () => count },
      { name: "yewreel_requests", help: "Counts by outcome.", read: () => requests },
    ],
    log: { ...silentLogger, warn: (message) => void warnings.push(message) },
  });

After(() => {
  servers.forEach((server) => server.close());
  servers = [];
});

Given("a metrics server with a count and a count by outcome", async () => {
  count = 1;
  requests = [{ labels: { outcome: "ok" }, value: 3 }];
  const server = newServer([]);
  servers.push(server);
  await server.listen();
});
When("the metrics are scraped", async () => {
  const response = await fetch(`http://${IP}:${PORT}/metrics`);
  assert.equal(response.status, 200);
  assert.match(response.headers.get("content-type") ?? "", /^text\/plain/);
  text = await response.text();
});
When("the count becomes {int} and the count by outcome becomes empty", (value: number) => {
  count = value;
  requests = [];
});
Then(
  "the count is {int} and {int} requests have the outcome {string}",
  (value: number, ended: number, outcome: string) => {
    assert.match(text, new RegExp(`^yewreel_count ${value}$`, "m"));
    assert.match(text, new RegExp(`^yewreel_requests\\{outcome="${outcome}"\\} ${ended}$`, "m"));
  },
);
Then("the count is {int} and there are no requests by outcome", (value: number) => {
  assert.match(text, new RegExp(`^yewreel_count ${value}$`, "m"));
  assert.doesNotMatch(text, /^yewreel_requests\{/m);
});
Then("another path of the metrics server answers {int}", async (status: number) => {
  const response = await fetch(`http://${IP}:${PORT}/other`);
  assert.equal(response.status, status);
});
Then("a second server at the same port logs one warning and goes on", async () => {
  const warnings: string[] = [];
  const second = newServer(warnings);
  servers.push(second);
  await second.listen();
  assert.deepEqual(warnings, ["metrics are not served"]);
});

Then(
  /^the settings with the metrics endpoint "(.*)" are (accepted|refused)$/,
  (endpoint: string, verdict: string) => {
    const parsed = parseSettings(
      [
        `[node]\nname = "n"\ncell = "c"\nip = "127.0.0.1"\nsparePorts = [1000, 1010]\nheartbeat = "1s"`,
        `seedNodes = []`,
        `[bounds]\ndrain = "1s"\ngrace = "1s"\napply = "1s"\ncontact = "1s"\nconfirm = "1s"\nretryWindow = "1s"`,
        `[metrics]\ngateway = "${endpoint}"`,
      ].join("\n"),
    );
    assert.equal(parsed.isOk, verdict === "accepted");
    if (parsed.isOk)
      assert.deepEqual(parsed.value.metrics.get("gateway"), { port: 9464, path: "/metrics" });
    else assert.match(parsed.error.message, /metrics/);
  },
);

let recorder: EventLoopDelayRecorder | undefined;
let nowUs = 0;
let fireTimer: () => void = () => undefined;
Given("the event loop delay is measured", () => {
  nowUs = 0;
  const inertTimer: Timer = { stop: () => undefined };
  const clock: Clock = {
    nowUs: () => nowUs,
    after: () => inertTimer,
    every: (_gapUs, act) => {
      fireTimer = act;
      return inertTimer;
    },
  };
  recorder = new EventLoopDelayRecorder(clock);
});
When("the event loop is blocked for {int} ms", (blockedMs: number) => {
  nowUs += blockedMs * 1_000;
  fireTimer();
});
Then("the maximum delay is {int} ms or more, and is reset by being read", (minMs: number) => {
  assert.ok((recorder?.take().maxUs ?? 0) >= minMs * 1_000 - 1);
  assert.equal(recorder?.take().maxUs, 0);
});
