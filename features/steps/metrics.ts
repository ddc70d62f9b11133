import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Clock, Timer } from "../../src/common/clock.js";
import { HistoryRecorder } from "../../soak/history.js";
import { Program, type ProgramOptions } from "../../soak/program.js";
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
      {
        name: "yewreel_requests",
        help: "Counts by outcome.",
        labels: ["outcome"],
        read: () => requests,
      },
    ],
    log: { ...silentLogger, warn: (message) => void warnings.push(message) },
  });

After(() => {
  servers.forEach((server) => server.close());
  servers = [];
});

/** Attempts to scrape a program that is starting, and the pause between them. */
const MAX_SCRAPES = 100;
const SCRAPE_PAUSE_MS = 100;
const CONTROLLER_IP = "127.14.0.2";
const GATEWAY_IP = "127.14.0.3";
let scrapedTexts: readonly string[] = [];

const scrapeOnceStarted = async ({ metricsUrl }: Program): Promise<string> => {
  for (let attempt = 0; attempt < MAX_SCRAPES; attempt += 1) {
    const response = await fetch(metricsUrl).catch(() => undefined);
    if (response) return response.text();
    await delay(SCRAPE_PAUSE_MS);
  }
  return "";
};

When(
  "a bundled controller and a bundled gateway are started and scraped",
  { timeout: 60_000 },
  async () => {
    const folder = await mkdtemp(join(tmpdir(), "yewreel-metrics-"));
    const shared = {
      zone: "c1",
      zones: ["c1"],
      controllerIps: [CONTROLLER_IP],
      history: new HistoryRecorder(),
      nowUs: () => 0,
    };
    const programOf = (role: ProgramOptions["role"], ip: string): Program =>
      new Program({ ...shared, name: role, role, ip, folder: join(folder, role) });
    const programs = [programOf("controller", CONTROLLER_IP), programOf("gateway", GATEWAY_IP)];
    await Promise.all(programs.map((program) => program.start(true)));
    scrapedTexts = await Promise.all(programs.map(scrapeOnceStarted));
    await Promise.all(programs.map((program) => program.close()));
    await rm(folder, { recursive: true, force: true });
  },
);
Then("each serves its resident memory and its configuration version", () => {
  assert.equal(scrapedTexts.length, 2);
  scrapedTexts.forEach((scraped) => {
    assert.match(scraped, /^yewreel_process_resident_bytes \d+$/m);
    assert.match(scraped, /^yewreel_config_version 0$/m);
  });
});

const openServer = async (countByOutcome: readonly LabelledValue[]): Promise<void> => {
  count = 1;
  requests = countByOutcome;
  const server = newServer([]);
  servers.push(server);
  await server.listen();
};

Given("a metrics server with a count and a count by outcome", () =>
  openServer([{ labels: { outcome: "ok" }, value: 3 }]),
);
Given("a metrics server with a count and an empty count by outcome", () => openServer([]));
When("{int} requests have ended with the outcome {string}", (ended: number, outcome: string) => {
  requests = [{ labels: { outcome }, value: ended }];
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
