import { Command } from "commander";
import { fuzzSeed } from "./seed-runner.js";
import { VARIANTS } from "./variants.js";

interface Flags {
  readonly seeds: string;
  readonly from: string;
  readonly variant?: string;
  readonly json?: boolean;
}

const INVALID_USAGE_EXIT_CODE = 2;
const PROGRESS_EVERY_SEEDS = 100;

/**
 * Runs a range of seeds and reports the violations. The exit code is 1 if there are any, and 2 if
 * an option is invalid.
 */
const run = async ({ seeds, from, variant: name, json }: Flags): Promise<void> => {
  const [count, first] = [Number(seeds), Number(from)];
  const variant = name === undefined ? undefined : VARIANTS[name];
  if (
    !Number.isInteger(count) ||
    count < 1 ||
    !Number.isInteger(first) ||
    (name !== undefined && !variant)
  ) {
    process.stderr.write(
      `fuzz: --seeds must be an integer of at least 1, --from an integer, --variant one of: ${Object.keys(VARIANTS).join("; ")}.\n`,
    );
    process.exitCode = INVALID_USAGE_EXIT_CODE;
    return;
  }
  let [tries, runs, failed] = [0, 0, 0];
  for (let seed = first; seed < first + count; seed += 1) {
    const result = await fuzzSeed(seed, variant);
    tries += result.tries;
    runs += result.runs;
    if (result.violations.length > 0) {
      failed += 1;
      if (json === true) process.stdout.write(`${JSON.stringify(result)}\n`);
      else
        process.stdout.write(
          `seed ${seed}: ${result.violations.map(({ check, what }) => `${check}: ${what}`).join("; ")}\n  shortest scenario found: ${JSON.stringify(result.shortest)}\n`,
        );
    }
    if (json !== true && (seed - first + 1) % PROGRESS_EVERY_SEEDS === 0)
      process.stderr.write(`${seed - first + 1} of ${count} seeds, ${failed} with a violation\n`);
  }
  if (json === true)
    process.stdout.write(`${JSON.stringify({ seeds: count, from: first, tries, runs, failed })}\n`);
  else
    process.stdout.write(
      `${count} seeds from ${first}: ${tries} tries, ${runs} runs, ${failed} seeds with a violation.\n`,
    );
  if (failed > 0) process.exitCode = 1;
};

await new Command("fuzz")
  .description(
    "injects random faults between clients, a proxy server and workers on real sockets, and checks the histories of both sides",
  )
  .option("--seeds <count>", "number of seeds to run", "100")
  .option("--from <seed>", "first seed", "1")
  .option("--variant <name>", "run a defective variant, which a check must detect")
  .option("--json", "print JSON lines")
  .action(run)
  .parseAsync();
