/**
 * `npm run simulate`: runs a range of seeds and prints the violated invariants. The exit code is 1
 * if there are any, and 2 if an option is invalid.
 */
import { availableParallelism } from "node:os";
import { isMainThread, parentPort, workerData } from "node:worker_threads";
import { Command } from "commander";
import { readBoolean, readString } from "../src/common/decode.js";
import { DEPLOYMENTS, faultKindOf } from "./schedule.js";
import {
  readSeedRange,
  simulateInThreads,
  simulateRange,
  type SeedRange,
  type SeedResult,
} from "./seed-runner.js";

const PROGRESS_EVERY = 100;

interface RunOptions {
  readonly range: SeedRange;
  readonly seeds: number;
  readonly jobs: number;
  readonly json: boolean;
}

/** Returns undefined if an option is invalid; see `USAGE`. */
const readRunOptions = (options: Readonly<Record<string, unknown>>): RunOptions | undefined => {
  const [seeds, from, jobs] = [
    Number(options["seeds"]),
    Number(options["from"]),
    Number(options["jobs"]),
  ];
  const deployment = readString(options, "deployment");
  const frequentFault = readString(options, "favour");
  const isValid =
    [seeds, from, jobs].every((number) => Number.isSafeInteger(number) && number > 0) &&
    jobs <= availableParallelism() &&
    deployment in DEPLOYMENTS &&
    (frequentFault === "" || faultKindOf(frequentFault) !== undefined);
  if (!isValid) return undefined;
  const range: SeedRange = {
    from,
    to: from + seeds,
    step: 1,
    deployment,
    exceedsTolerance: readBoolean(options, "beyond"),
    frequentFault,
    shrinks: readBoolean(options, "shrink"),
  };
  return { range, seeds, jobs, json: readBoolean(options, "json") };
};

const USAGE = `seeds, from and jobs must be integers of at least 1, jobs at most the number of processors, deployment one of ${Object.keys(DEPLOYMENTS).join(", ")}, and favour a kind of fault.`;

const failureLines = ({ deployment, exceedsTolerance }: SeedRange, result: SeedResult): string => {
  const lines = [
    `Seed ${result.seed} of ${deployment}${exceedsTolerance ? " (beyond)" : ""} failed.`,
    ...result.violations.map((violation) => `  ${violation}`),
  ];
  if (result.shortest.length > 0)
    lines.push(
      `  Shortest failing schedule found, which violates: ${result.shortestViolation}`,
      ...result.shortest.map((line) => `    ${line}`),
    );
  return `${lines.join("\n")}\n`;
};

class Progress {
  readonly sum = { seeds: 0, events: 0, changes: 0, confirmed: 0 };
  private readonly failed: number[] = [];
  private readonly startMs = performance.now();

  constructor(private readonly options: RunOptions) {}

  readonly add = (result: SeedResult): void => {
    const { sum, failed, options } = this;
    sum.seeds += 1;
    sum.events += result.events;
    sum.changes += result.changes;
    sum.confirmed += result.confirmed;
    if (result.violations.length > 0) {
      failed.push(result.seed);
      process.stderr.write(failureLines(options.range, result));
    }
    if (sum.seeds % PROGRESS_EVERY !== 0) return;
    const perSecond = sum.seeds / ((performance.now() - this.startMs) / 1_000);
    process.stderr.write(
      `${sum.seeds} of ${options.seeds} seeds, ${failed.length} failed, ${perSecond.toFixed(0)} seeds/s\n`,
    );
  };

  readonly failedSeeds = (): readonly number[] =>
    [...this.failed].sort((one, other) => one - other);

  /** The results as one line of JSON, or as text. */
  readonly summary = (): string => {
    const { sum } = this;
    const { deployment, exceedsTolerance, from } = this.options.range;
    const seconds = Math.round(performance.now() - this.startMs) / 1_000;
    const failed = this.failedSeeds();
    if (this.options.json)
      return JSON.stringify({
        deployment,
        beyond: exceedsTolerance,
        from,
        ...sum,
        seconds,
        failed,
      });
    const which = failed.length > 0 ? ` (${failed.join(", ")})` : "";
    return `${sum.seeds} seeds of ${deployment}${exceedsTolerance ? ", beyond" : ""} starting at ${from}: ${failed.length} failed${which}; ${sum.changes} changes, ${sum.confirmed} confirmed, ${sum.events} events, ${seconds} s.`;
  };
}

const run = async (given: Readonly<Record<string, unknown>>): Promise<void> => {
  const options = readRunOptions(given);
  if (!options) {
    process.stderr.write(`simulate: ${USAGE}\n`);
    process.exitCode = 2;
    return;
  }
  const { range, seeds, jobs } = options;
  const progress = new Progress(options);
  await simulateInThreads(new URL(import.meta.url), range, Math.min(jobs, seeds), progress.add);
  process.stdout.write(`${progress.summary()}\n`);
  if (progress.failedSeeds().length > 0) process.exitCode = 1;
};

const main = async (): Promise<void> => {
  const cli = new Command("simulate").description(
    "runs the control plane under seeded faults in virtual time and checks invariants of the recorded history",
  );
  cli
    .option("--seeds <n>", "number of seeds to run", "300")
    .option("--from <seed>", "first seed", "1")
    .option("--deployment <name>", Object.keys(DEPLOYMENTS).join(", "), "small")
    .option("--beyond", "exceed the fault tolerance of the deployment", false)
    .option("--favour <kind>", "most frequent kind of fault (default: each seed picks one)", "")
    .option("--jobs <n>", "number of threads", "1")
    .option("--no-shrink", "do not shrink failing schedules")
    .option("--json", "print the results as one line of JSON", false)
    .action(run);
  await cli.parseAsync();
};

if (isMainThread) await main();
else await simulateRange(readSeedRange(workerData), (result) => parentPort?.postMessage(result));
