import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { parse } from "csv-parse/sync";
import { parquetReadObjects } from "hyparquet";
import { usageAsCsv, usageAsParquet, type UsageRow } from "../../src/programs/ctl/usage-export.js";
import { UpdateStore } from "../../src/membership/update-store.js";
import { readHeartbeat } from "../../src/membership/messages.js";
import { WorkerRegistry } from "../../src/membership/worker-registry.js";
import { parseSettings } from "../../src/common/settings.js";
import { debounce } from "../../src/common/clock.js";
import { ManualClock } from "../support/manual-clock.js";

const VALID = `[node]
name = "n1"
cell = "c1"
ip = "10.0.0.1"
sparePorts = [7540, 7555]
seedNodes = ["10.0.0.1:80"]
firstRun = true
heartbeat = "1500ms"
logLevel = "info"
unknownField = 7
[bounds]
drain = "2000ms"
grace = "6s"
apply = "2s"
contact = "3s"
confirm = "4s"
retryWindow = "10s"
`;

const SETTINGS_ERRORS: Readonly<Record<string, readonly [string, string]>> = {
  "the name is empty": ['name = "n1"', 'name = ""'],
  "the grace period is not a duration": ['grace = "6s"', 'grace = "soon"'],
  "the port range has only one port": ["[7540, 7555]", "[7540]"],
  "the seed nodes are not a list": ['["10.0.0.1:80"]', '"10.0.0.1:80"'],
  "the log level is unknown": ['logLevel = "info"', 'logLevel = "loud"'],
  "a rollout weight is negative": ["[bounds]", "[rollout]\nlate = -1\n[bounds]"],
  "the file is not TOML": ["[node]", "[node"],
  "nothing is wrong": ["", ""],
};

let parsed = parseSettings(VALID);

When(/^settings are parsed in which (.*)$/, (error: string) => {
  const change = SETTINGS_ERRORS[error];
  assert.ok(change, `unknown error: ${error}`);
  parsed = parseSettings(VALID.replace(...change));
});
Then("they are rejected in one line that names {string}", (field: string) => {
  assert.ok(parsed.isErr);
  assert.ok(parsed.error.message.includes(field), parsed.error.message);
  assert.ok(!parsed.error.message.includes("\n"));
});
Then("the grace period is {int} microseconds", (graceUs: number) => {
  assert.ok(parsed.isOk);
  assert.equal(parsed.value.graceUs, graceUs);
});

const clock = new ManualClock();
let announcements = 0;
let announceJoin: () => void = () => undefined;
Given("an announcement that is debounced for {int} ms", (ms: number) => {
  announcements = 0;
  announceJoin = debounce(clock, ms * 1_000, () => (announcements += 1));
});
When("{int} nodes join within {int} ms", async (count: number, ms: number) => {
  for (let at = 0; at < count; at += 1) {
    announceJoin();
    await clock.pass(Math.floor((ms * 1_000) / count));
  }
  await clock.pass(100_000);
});
When("{int} nodes join {int} ms apart", async (count: number, ms: number) => {
  for (let at = 0; at < count; at += 1) {
    announceJoin();
    await clock.pass(ms * 1_000);
  }
});
Then("the announcement is made {int} time(s)", (count: number) =>
  assert.equal(announcements, count),
);

let registry: WorkerRegistry;

const heartbeat = (id: string, state: string, callCount: number) =>
  readHeartbeat(id, {
    service: "s1",
    address: "10.0.0.9:80",
    cell: "c1",
    version: "v1",
    capacity: 3,
    state,
    warmLeft: "0ms",
    callCount,
  });

Given(
  "a registry with worker {string} as {word} since heartbeat {int}",
  (id: string, state: string, callCount: number) => {
    registry = new WorkerRegistry(clock, new UpdateStore(clock), 1_500_000);
    registry.record(heartbeat(id, state, callCount));
  },
);
When(
  "heartbeat {int} reports {string} as {word}",
  (callCount: number, id: string, state: string) => {
    registry.record(heartbeat(id, state, callCount));
  },
);
When("{int} seconds pass without heartbeats", async (seconds: number) => {
  await clock.pass(seconds * 1_000_000);
  registry.sweep();
});
When("worker {string} leaves the registry", (id: string) => {
  registry.leave(id);
});
Then("the registry has {string} as {word}", (id: string, state: string) =>
  assert.equal(registry.get(id)?.state, state),
);

let usage: readonly UsageRow[] = [];
let fromCsv: unknown;
let fromParquet: unknown;

Given("usage rows of two nodes, one with a comma and a quote in its route", () => {
  usage = [
    { node: "n1", route: 'r,"1"', kind: "safe", cell: "c1", outcome: "served", count: 7 },
    { node: "n2", route: "r2", kind: "unsafe", cell: "c2", outcome: "full", count: 4_000_000_000 },
  ];
});
When("they are written as CSV and as Parquet and read back", async () => {
  fromCsv = parse(usageAsCsv(usage), { columns: true });
  const bytes = usageAsParquet(usage);
  const file = new ArrayBuffer(bytes.length);
  new Uint8Array(file).set(bytes);
  fromParquet = (await parquetReadObjects({ file })).map((row) => ({
    ...row,
    count: String(row["count"]),
  }));
});
Then("both give the same rows", () => {
  const expected = usage.map((row) => ({ ...row, count: String(row.count) }));
  assert.deepEqual(fromCsv, expected);
  assert.deepEqual(fromParquet, expected);
});
