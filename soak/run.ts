/**
 * `npm run soak`: runs seeded schedules against real programs over loopback. Exits with code 1 if a
 * check finds a violation, 2 for invalid options, and 3 if too many observations were skipped
 * because of delays of the host machine.
 */
import { writeFile } from "node:fs/promises";
import { Command } from "commander";
import { CHECKS } from "./checks.js";
import { drawSchedule } from "./schedule.js";
import { runSoak } from "./soak-run.js";

const EXIT_VIOLATIONS = 1;
const EXIT_INVALID_OPTIONS = 2;
const EXIT_INCONCLUSIVE = 3;
const EXIT_INTERRUPTED = 130;
/** A run with a larger fraction of skipped observations is inconclusive. */
const MAX_SKIPPED_FRACTION = 0.05;
const MAX_GATEWAYS = 200;

/** Result of one seed, as the `--json` file contains it. */
interface SeedReport {
  readonly seed: number;
  readonly requests: number;
  readonly changes: number;
  readonly signals: number;
  readonly judged: number;
  readonly skipped: number;
  readonly violations: readonly string[];
  /** Folder with the settings, data and output of the programs. */
  readonly folder: string;
}

const runSeed = async (seed: number, durationMs: number, gateways: number): Promise<SeedReport> => {
  const schedule = drawSchedule(seed, durationMs);
  const { history, failures, folder } = await runSoak({ schedule, gateways, keepsFiles: true });
  const results = Object.entries(CHECKS).map(([name, check]) => ({ name, ...check(history) }));
  const found = results.flatMap(({ name, violations }) =>
    violations.map((violation) => `${name}: ${violation}`),
  );
  return {
    seed,
    requests: history.requests.length,
    changes: history.changes.length + history.largeChanges.length,
    signals: history.faults.length,
    judged: results.reduce((sum, { judged }) => sum + judged, 0),
    skipped: results.reduce((sum, { skipped }) => sum + skipped, 0),
    violations: [...failures.map((failure) => `failure: ${failure}`), ...found],
    folder,
  };
};

const formatReport = (report: SeedReport): string => {
  const { seed, requests, changes, signals, judged, skipped, violations, folder } = report;
  const counts = `${requests} requests, ${changes} changes, ${signals} signals, ${judged} judged, ${skipped} skipped`;
  const found = violations.slice(0, 10).map((violation) => `\n  ${violation}`);
  const where = violations.length > 0 ? `\n  output: ${folder}` : "";
  return `seed ${seed}: ${counts}, ${violations.length} violations${found.join("")}${where}\n`;
};

const exitCodeOf = (reports: readonly SeedReport[]): number => {
  if (reports.some(({ violations }) => violations.length > 0)) return EXIT_VIOLATIONS;
  const judged = reports.reduce((sum, report) => sum + report.judged, 0);
  const skipped = reports.reduce((sum, report) => sum + report.skipped, 0);
  return skipped > (judged + skipped) * MAX_SKIPPED_FRACTION ? EXIT_INCONCLUSIVE : 0;
};

const run = async (options: Readonly<Record<string, string>>): Promise<void> => {
  const [seeds, from, seconds, gateways] = ["seeds", "from", "seconds", "gateways"].map((name) =>
    Number(options[name]),
  );
  const areValid = [seeds, from, seconds, gateways].every(
    (value): value is number => value !== undefined && Number.isSafeInteger(value) && value > 0,
  );
  if (!areValid || !seeds || !from || !seconds || !gateways || gateways > MAX_GATEWAYS) {
    process.stderr.write(
      `soak: --seeds, --from, --seconds and --gateways must be positive integers, --gateways at most ${MAX_GATEWAYS}\n`,
    );
    process.exitCode = EXIT_INVALID_OPTIONS;
    return;
  }
  const reports: SeedReport[] = [];
  for (let seed = from; seed < from + seeds; seed += 1) {
    const report = await runSeed(seed, seconds * 1_000, gateways);
    reports.push(report);
    process.stdout.write(formatReport(report));
  }
  const { json } = options;
  if (json !== undefined)
    await writeFile(
      json,
      `${JSON.stringify({ seeds, from, seconds, gateways, reports }, null, 1)}\n`,
    );
  process.exitCode = exitCodeOf(reports);
};

process.on("SIGINT", () => process.exit(EXIT_INTERRUPTED));
process.on("SIGTERM", () => process.exit(EXIT_INTERRUPTED));
await new Command("soak")
  .description(
    "runs seeded schedules against real programs over loopback and checks the recorded history",
  )
  .option("--seeds <n>", "number of seeds to run, one after another", "3")
  .option("--from <seed>", "first seed; with --seeds 1, repeats that seed", "1")
  .option("--seconds <n>", "duration of each run", "20")
  .option("--gateways <n>", "number of gateways, in addition to three controllers", "4")
  .option("--json <file>", "write the reports to this file")
  .addHelpText(
    "after",
    "\nExit codes: 0 no violations, 1 violations, 2 invalid options, 3 inconclusive.",
  )
  .action(run)
  .parseAsync();
