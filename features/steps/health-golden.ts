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

const GOLDEN_FILE = "features/data/before-2026-12/health.json";

const RUNS: Readonly<Record<string, () => Promise<Transcript>>> = {
  "outlier detector": runOutlierDetector,
  "canary analysis": runCanaryAnalyzer,
  "capacity forecast": runCapacityForecaster,
  "maintenance windows": runMaintenanceWindows,
};

Then(
  "the reports, registers and answers of the {string} are identical to the recorded ones",
  async (name: string) => {
    const golden = asRecord(parseJson(await readFile(GOLDEN_FILE, "utf8")))[name];
    const run = RUNS[name];
    assert.ok(run && Array.isArray(golden) && golden.length > 0, name);
    const current = await run();
    current.forEach((row, index) => assert.deepEqual(row, golden[index], `${name}, row ${index}`));
    assert.equal(current.length, golden.length);
  },
);
