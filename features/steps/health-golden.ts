import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { Then } from "@cucumber/cucumber";
import { asRecord, parseJson } from "../../src/common/decode.js";
import {
  runCanaryAnalyzer,
  runCapacityForecaster,
  runMaintenanceWindows,
  runOutlierDetector,
  type Transcript,
} from "../support/health-run.js";

const GOLDEN = "features/data/before-2026-12/health.json";

const RUNS: Readonly<Record<string, () => Promise<Transcript>>> = {
  "outlier detector": runOutlierDetector,
  "canary analysis": runCanaryAnalyzer,
  "capacity forecast": runCapacityForecaster,
  "maintenance windows": runMaintenanceWindows,
};

Then(
  "the reports, registers and answers of the {string} are word for word those of before",
  async (name: string) => {
    const before = asRecord(parseJson(await readFile(GOLDEN, "utf8")))[name];
    const run = RUNS[name];
    assert.ok(run && Array.isArray(before) && before.length > 0, name);
    const now = await run();
    now.forEach((row, at) => assert.deepEqual(row, before[at], `${name}, row ${at}`));
    assert.equal(now.length, before.length);
  },
);
