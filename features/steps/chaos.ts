import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdir, mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { parse } from "smol-toml";
import {
  asRecord,
  readList,
  parseJson,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../../src/common/decode.js";

const KINDS = `Each entry has 'at' and 'kind'. for_s: how long (5).
For servers, 'how' may also hold across (of all copies) and all (none is spared). For machines, 'how' may also hold leader (the one (of all) that acted last), or seed. After these may stand meet (a change is sent), race (two such), hard (again) and, for roll_term, busy (while it answers).
closing = { kind = power_off_all | kill_all, down_s } strikes at the end (how timed: soon after it was sent)

srv_grey: share (.2) fail x (.3) of their requests; how: errors hang, slow (x (9) times as long), + one_zone (only for callers in to_zone)
node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s
config_change: how: route weights
config_race: count (1) pairs of changes on the same version, each gap_s
big_config: count routes more
give_up: share of the clients leave within x ms (half the aim)
steer_ship: count (1) ships are steered
`;
const SUPPORTED = [
  "srv_grey",
  "node_kill",
  "roll_term",
  "config_change",
  "config_race",
  "big_config",
  "give_up",
];
const VARIANTS: Readonly<Record<string, readonly string[]>> = {
  srv_grey: ["errors", "hang", "slow", "one_zone", "across", "all"],
  node_kill: ["power", "leader", "seed", "meet", "race", "hard"],
  roll_term: ["leader", "seed", "meet", "race", "hard", "busy"],
  config_change: ["route", "weights"],
};

let folder = "";
let stdout = "";
let stderr = "";
let code = 0;

const run = (args: readonly string[]): Promise<void> =>
  new Promise((resolve) => {
    execFile(
      process.execPath,
      ["target/chaos/chaos/run.js", ...args],
      { maxBuffer: 16 * 2 ** 20 },
      (error, out, errorLines) => {
        code = error && typeof error.code === "number" ? error.code : 0;
        stdout = out;
        stderr = errorLines;
        resolve();
      },
    );
  });

const prepare = async (): Promise<void> => {
  folder = await mkdtemp(join(tmpdir(), "yewreel-chaos-"));
  await writeFile(join(folder, "kinds.txt"), KINDS);
  await writeFile(
    join(folder, "site.toml"),
    'name = "harbour"\nzones = [{ name = "north" }, { name = "south" }]\n',
  );
  await writeFile(join(folder, "notes.toml"), "");
  await mkdir(join(folder, "bad"));
  await writeFile(join(folder, "bad", "one.json"), "{}");
};
After(async () => {
  if (folder !== "") await rm(folder, { recursive: true, force: true });
  folder = "";
});

const drawDays = async (seed: number, count: number): Promise<Map<string, string>> => {
  const out = join(folder, `${seed}-${count}`);
  await run([
    "days",
    "--site",
    join(folder, "site.toml"),
    "--kinds",
    join(folder, "kinds.txt"),
    "--seed",
    String(seed),
    "--count",
    String(count),
    "--out",
    out,
    "--json",
  ]);
  assert.equal(code, 0, stderr);
  const names = await readdir(out);
  return new Map(
    await Promise.all(
      names.map(async (name): Promise<[string, string]> => [
        name,
        await readFile(join(out, name), "utf8"),
      ]),
    ),
  );
};

let drawnDays = new Map<string, string>();
let fewerDays = new Map<string, string>();
let report: UnknownRecord = {};

Given("a list of kinds with one that is not supported", prepare);
When(
  "{int} days and then {int} days are drawn from seed {int}",
  async (fewerCount: number, count: number, seed: number) => {
    fewerDays = await drawDays(seed, fewerCount);
    drawnDays = await drawDays(seed, count);
    report = asRecord(parseJson(stdout));
  },
);
Then(
  "the {int} days are identical to the first of the {int} days",
  (fewerCount: number, count: number) => {
    assert.deepEqual([fewerDays.size, drawnDays.size], [fewerCount, count]);
    fewerDays.forEach((body, name) => assert.equal(drawnDays.get(name), body));
  },
);

const days = (): readonly UnknownRecord[] =>
  [...drawnDays.values()].map((body) => asRecord(parse(body)));
const entriesOf = (day: UnknownRecord): readonly UnknownRecord[] =>
  ["plan", "faults"].flatMap((section) => readList(day, section, (entry) => asRecord(entry)));

Then(
  "every day is {int} to {int} s long, with at most {int} changes, at most {int} at a time, and no entry outside of its length",
  (min: number, max: number, changes: number, atOnce: number) => {
    days().forEach((day) => {
      const length = readNumber(day, "length_s");
      assert.ok(length >= min && length <= max);
      const changesOfDay = entriesOf(day).filter((entry) => entry["kind"] === "config_change");
      assert.ok(changesOfDay.length <= changes);
      const moments = new Map<number, number>();
      changesOfDay.forEach((entry) =>
        moments.set(readNumber(entry, "at"), (moments.get(readNumber(entry, "at")) ?? 0) + 1),
      );
      assert.ok(Math.max(...moments.values()) <= atOnce);
      entriesOf(day).forEach((entry) =>
        assert.ok(readNumber(entry, "at") >= 1 && readNumber(entry, "at") <= length - 3),
      );
    });
  },
);
Then(
  "all supported kinds, all mixes, a repeated kind and a closing fault occur, with all parameters within bounds",
  () => {
    const all = days();
    const entries = all.flatMap(entriesOf);
    assert.deepEqual(
      [...new Set(entries.map((entry) => readString(entry, "kind")))].sort(),
      [...SUPPORTED].sort(),
    );
    assert.deepEqual([...new Set(all.map((day) => readString(day, "name").split("-")[0]))].sort(), [
      "changes",
      "few",
      "many",
    ]);
    assert.ok(
      all.some((day) => entriesOf(day).filter((entry) => entry["kind"] === "node_kill").length > 1),
    );
    assert.ok(
      all.some((day) => day["closing"] !== undefined) &&
        all.some((day) => day["closing"] === undefined),
    );
    const assertBounds = (kind: string, field: string, min: number, max: number) =>
      entries
        .filter((entry) => entry["kind"] === kind && entry[field] !== undefined)
        .forEach((entry) =>
          assert.ok(
            readNumber(entry, field) >= min && readNumber(entry, field) <= max,
            JSON.stringify(entry),
          ),
        );
    assertBounds("srv_grey", "share", 0.1, 0.6);
    assertBounds("srv_grey", "x", 0.15, 0.6);
    assertBounds("node_kill", "share", 0.05, 0.2);
    assertBounds("roll_term", "share", 0.5, 1);
    assertBounds("roll_term", "x", 1, 4);
    assertBounds("big_config", "count", 20, 400);
    assertBounds("config_race", "gap_s", 0.1, 2);
    assert.ok(
      entries.every((entry) => entry["kind"] !== "give_up" || entry["x"] === undefined),
      "a default given in words must not be drawn",
    );
    entries.forEach((entry) => {
      const how = entry["how"];
      if (typeof how !== "string") return;
      assert.ok(
        how.split(" ").every((word) => VARIANTS[readString(entry, "kind")]?.includes(word)),
        JSON.stringify(entry),
      );
      assert.ok(
        !(how.includes("meet") && how.includes("race")) &&
          how.includes("one_zone") === (entry["to_zone"] !== undefined),
        JSON.stringify(entry),
      );
    });
  },
);
Then("the unsupported kind is reported and occurs in no day", () => {
  assert.deepEqual(readList(report, "leftOut", asString), ["steer_ship"]);
  drawnDays.forEach((body) => assert.ok(!body.includes("steer_ship")));
});
let earlierNames = new Set<string>();
When("{int} days are drawn from seed {int}", async (count: number, seed: number) => {
  earlierNames = new Set(drawnDays.keys());
  drawnDays = await drawDays(seed, count);
});
Then("all days are different", () =>
  assert.ok([...drawnDays.keys()].every((name) => !earlierNames.has(name))),
);

interface JournalEntry {
  readonly id: string;
  readonly minute: number;
  readonly cmd: string;
  readonly argv: readonly string[];
  readonly days?: readonly (readonly [
    name: string,
    seed: number,
    rules: Readonly<Record<string, number>>,
    fault?: string,
  ])[];
}

const JOURNAL: readonly JournalEntry[] = [
  {
    id: "a1",
    minute: 1,
    cmd: "run",
    argv: ["x/harbour.toml", "storm.toml"],
    days: [["storm", 4, { CONFIG: 2 }]],
  },
  {
    id: "a2",
    minute: 2,
    cmd: "hunt",
    argv: ["x/harbour.toml"],
    days: [
      ["calm --seed 5", 5, {}],
      ["calm --seed 6", 6, { LOST: 1 }],
    ],
  },
  { id: "a3", minute: 3, cmd: "score", argv: ["x/harbour.toml"], days: [["calm", 9, {}]] },
  {
    id: "a4",
    minute: 4,
    cmd: "run",
    argv: ["x/harbour.toml", "storm.toml"],
    days: [["storm", 4, {}]],
  },
  {
    id: "a5",
    minute: 5,
    cmd: "run",
    argv: ["x/harbour.toml", "wreck.toml", "--until", "4"],
    days: [["wreck", 7, {}]],
  },
  {
    id: "a6",
    minute: 6,
    cmd: "hunt",
    argv: ["x/harbour.toml"],
    days: [["wreck --seed 8", 8, { CONFIG: 1 }, "too slow: given up"]],
  },
  {
    id: "a7",
    minute: 7,
    cmd: "run",
    argv: ["x/harbour.toml", "storm.toml", "--small"],
    days: [["storm", 4, { CONFIG: 1 }]],
  },
  {
    id: "a8",
    minute: 8,
    cmd: "run",
    argv: ["x/harbour.toml", "storm.toml", "--small"],
    days: [["storm", 4, { CONFIG: 1 }]],
  },
];

Given(
  "a journal in which one rule was violated and held later, and two remained violated",
  async () => {
    await prepare();
    await mkdir(join(folder, "journal"));
    for (const { id, minute, cmd, argv, days: runs } of JOURNAL) {
      const body = {
        id,
        at: [`2026-01-01T00:0${minute}:00Z`, ""],
        cmd,
        argv,
        head: "0123456789",
        site: "harbour",
        days: (runs ?? []).map(([name, seed, rules, fault]) => ({
          name,
          seed,
          rules,
          short: fault === undefined ? [] : null,
          troubles: ["node_kill"],
          fault: fault ?? null,
        })),
      };
      await writeFile(join(folder, "journal", `${id}.json`), JSON.stringify(body));
    }
  },
);
let summary: UnknownRecord = {};
let page = "";
const makeTable = async (since: string): Promise<void> => {
  const out = join(folder, "chaos.md");
  await run([
    "table",
    "--journal",
    join(folder, "journal"),
    "--notes",
    join(folder, "notes.toml"),
    "--out",
    out,
    "--since",
    since,
    "--json",
  ]);
  assert.equal(code, 0, stderr);
  summary = asRecord(readList(asRecord(parseJson(stdout)), "rows", (row) => asRecord(row))[0]);
  page = await readFile(out, "utf8");
};
When("the table is generated with notes that mark two of them as mended", async () => {
  const note = (day: string, rule: string) =>
    `[[note]]\nday = "${day}"\nrule = "${rule}"\nstate = "mended"\ntold = "docs/incidents/page.md"\n`;
  await writeFile(
    join(folder, "notes.toml"),
    note("harbour storm 4 full", "CONFIG") + note("harbour storm 4 small", "CONFIG"),
  );
  await makeTable("");
});
When("the table is generated from the last two runs only", () => makeTable("2026-01-01T00:07:00Z"));
Then(
  "it counts {int} full and {int} small day of origin own, {int} of origin hunt and {int} of origin standard",
  (full: number, small: number, hunted: number, standard: number) => {
    assert.deepEqual(summary["days"], {
      own: { full, small },
      hunt: { full: hunted, small: 0 },
      standard: { full: standard, small: 0 },
    });
    assert.ok(
      page.includes(`| harbour | ${full} + ${small} | ${hunted} + 0 | ${standard} + 0 |`),
      page,
    );
  },
);
Then(
  "it reports {int} rule as mended and {int} as left, {int} day as aborted and {int} as partially run",
  (mended: number, left: number, givenUp: number, partial: number) => {
    assert.deepEqual(
      [summary["mended"], summary["left"], summary["givenUp"], summary["partial"]],
      [mended, left, givenUp, partial],
    );
    assert.match(
      page,
      /harbour storm 4 full \| CONFIG \| 2 \| a1 \| held \| mended \| docs\/incidents\/page.md/,
    );
    assert.match(page, /harbour storm 4 small \| CONFIG \| 2 \| a7, a8 \| broken \| open/);
  },
);
Then("its unbroken runs are those since the last violation", () =>
  assert.deepEqual(summary["unbroken"], { full: 2, small: 0 }),
);

When(/^the chaos command is run with (.+)$/, async (args: string) => {
  await prepare();
  const paths: Readonly<Record<string, string>> = {
    SITE: "site.toml",
    KINDS: "kinds.txt",
    NOTES: "notes.toml",
    BAD: "bad",
    OUT: "out",
  };
  await run(
    args.split(" ").map((word) => (paths[word] === undefined ? word : join(folder, paths[word]))),
  );
});
Then(
  "it exits with code {int} and a one-line message containing {string}",
  (expected: number, what: string) => {
    assert.equal(code, expected, stderr);
    assert.ok(stderr.trim().split("\n").length === 1 && stderr.includes(what), stderr);
  },
);
