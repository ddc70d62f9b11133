import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Then, When } from "@cucumber/cucumber";
import {
  asRecord,
  readList,
  parseJson,
  readNumber,
  type UnknownRecord,
} from "../../src/common/decode.js";

let results: readonly UnknownRecord[] = [];
let code = 0;
let stderr = "";

const run = (args: readonly string[]): Promise<void> =>
  new Promise((resolve) => {
    execFile(
      process.execPath,
      ["target/scalability/scalability/run.js", ...args],
      (error, _out, errors) => {
        code = error && typeof error.code === "number" ? error.code : 0;
        stderr = errors;
        resolve();
      },
    );
  });

When(
  "the benchmark runs {int} and {int} light nodes with {int} controllers",
  { timeout: 90_000 },
  async (small: number, large: number, controllers: number) => {
    const folder = await mkdtemp(join(tmpdir(), "yewreel-track-"));
    const out = join(folder, "result.json");
    const sizes = `--controllers ${controllers} --hosts 2 --workers 6 --routes 10 --services 2 --seconds 3 --settle 2`;
    await run(["nodes", String(small), String(large), ...sizes.split(" "), "--out", out]);
    results = readList(asRecord(parseJson(await readFile(out, "utf8"))), "results", (value) =>
      asRecord(value),
    );
    await rm(folder, { recursive: true });
  },
);
const nodesOf = (result: UnknownRecord): number => readNumber(asRecord(result["size"]), "nodes");
const framesOf = (result: UnknownRecord, phase: string, who: string, kind?: string): number =>
  Object.entries(asRecord(asRecord(asRecord(result[phase])[who])["sent"])).reduce(
    (sum, [name, counts]) =>
      kind === undefined || kind === name ? sum + readNumber(asRecord(counts), "frames") : sum,
    0,
  );

Then("no size failed", () =>
  assert.deepEqual(
    results.map((result) => result["failed"]),
    [undefined, undefined],
  ),
);
Then("one change causes one update frame per node at both sizes", () => {
  results.forEach((result) =>
    assert.equal(
      framesOf(result, "change", "boxes", "news") + framesOf(result, "change", "nodes", "news"),
      nodesOf(result),
    ),
  );
});
Then(
  "an idle node sends at most the keep-alives of {int} connections and its report at both sizes",
  (connections: number) => {
    results.forEach((result) => {
      const seconds = readNumber(asRecord(result["atRest"]), "seconds") + 0.5;
      const frames = framesOf(result, "atRest", "nodes") / nodesOf(result);
      assert.ok(
        frames > 0 && frames <= connections * (seconds / 0.3) + seconds / 2,
        `${frames} in ${seconds} s`,
      );
    });
  },
);
When(/^the benchmark is run with (.+)$/, (args: string) => run(args.split(" ")));
Then(
  "it exits with code {int} and one line that contains {string}",
  (expected: number, what: string) => {
    assert.equal(code, expected);
    assert.ok(stderr.trim().split("\n").length === 1 && stderr.includes(what), stderr);
  },
);
