import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { fuzzSeed } from "../../fuzz/seed-runner.js";
import { VARIANTS } from "../../fuzz/variants.js";

const MAX_SEEDS = 600;

let tries = 0;
let found: string[] = [];

When(
  "{int} seeds are fuzzed, starting at {int}",
  { timeout: 60_000 },
  async (count: number, from: number) => {
    [tries, found] = [0, []];
    for (let seed = from; seed < from + count; seed += 1) {
      const result = await fuzzSeed(seed, undefined, false);
      tries += result.tries;
      found.push(...result.violations.map(({ check, what }) => `seed ${seed}, ${check}: ${what}`));
    }
  },
);
Then("no check fails, and more than {int} attempts were made", (minimum: number) => {
  assert.deepEqual(found, []);
  assert.ok(tries > minimum, `${tries} tries`);
});
When(
  /^seeds of the variant "(.*)" are fuzzed until the defect is detected$/,
  { timeout: 60_000 },
  async (name: string) => {
    const variant = VARIANTS[name];
    assert.ok(variant, `unknown variant: ${name}`);
    found = [];
    for (let seed = 1; seed <= MAX_SEEDS && !found.includes(variant.detectedBy); seed += 1)
      found.push(...(await fuzzSeed(seed, variant, false)).violations.map(({ check }) => check));
  },
);
Then("the check {string} detects it", (check: string) =>
  assert.ok(found.includes(check), `detected by: ${[...new Set(found)].join(", ")}`),
);
