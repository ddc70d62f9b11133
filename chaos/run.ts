/**
 * `npm run chaos`: draws days of faults and changes for the bench, and summarizes their runs from
 * the journal in a table.
 */
import { mkdir, readdir, readFile, writeFile } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import { text as readStreamText } from "node:stream/consumers";
import { Command } from "commander";
import { parse } from "smol-toml";
import { asRecord, readList, parseJson, DecodeError, readString } from "../src/common/decode.js";
import { CodedError } from "../src/common/errors.js";
import { drawDay, daySeeds, formatDay, type Site } from "./day-generator.js";
import { readEntry, type DayRun, type PartialRun } from "./journal.js";
import { parseKinds } from "./fault-kinds.js";
import { formatPage } from "./page.js";
import { readNotes, summarize } from "./summary.js";

/** An error of a command's input. Its message is one line, printed to the user. */
class ChaosError extends CodedError {
  readonly code = "INVALID_CALL";
}

const MAX_DAYS = 1_000;
/** Bounds of a day's length in seconds; requested by users in an issue. */
const MIN_LENGTH_S = 32;
const MAX_LENGTH_S = 120;
const PROGRESS_EVERY = 50;

const readText = async (path: string): Promise<string> => {
  if (path === "-") return readStreamText(process.stdin);
  try {
    return await readFile(path, "utf8");
  } catch {
    throw new ChaosError(`${path} cannot be read`);
  }
};

/** Reads and parses a file. An error thrown by `read` is reported with the path of the file. */
const parseFile = async <T>(path: string, read: (body: string) => T): Promise<T> => {
  const body = await readText(path);
  try {
    return read(body);
  } catch (error) {
    throw new ChaosError(
      `${path}: ${error instanceof Error ? (error.message.split("\n")[0] ?? "") : "cannot be read"}`,
    );
  }
};

const readSite = (body: string): Site => {
  const site = asRecord(parse(body), "site");
  return {
    name: readString(site, "name"),
    zones: readList(site, "zones", (zone) => readString(asRecord(zone, "zone"), "name")),
  };
};

const readInteger = (name: string, text: string, min: number, max: number): number => {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < min || value > max)
    throw new ChaosError(`${name} must be an integer from ${min} to ${max}, got ${text}`);
  return value;
};

interface DaysOptions {
  readonly site: string;
  readonly kinds: string;
  readonly seed: string;
  readonly count: string;
  readonly out: string;
  readonly shortest: string;
  readonly longest: string;
  readonly json?: boolean;
}

const drawDays = async (options: DaysOptions): Promise<void> => {
  const seed = readInteger("--seed", options.seed, 0, 2 ** 31 - 1);
  const count = readInteger("--count", options.count, 1, MAX_DAYS);
  const longest = readInteger("--longest", options.longest, MIN_LENGTH_S, MAX_LENGTH_S);
  const shortest = readInteger("--shortest", options.shortest, MIN_LENGTH_S, longest);
  const site = await parseFile(options.site, readSite);
  const kinds = parseKinds(await readText(options.kinds));
  if (kinds.isErr) throw new ChaosError(kinds.error);
  await mkdir(options.out, { recursive: true });
  const written: {
    readonly file: string;
    readonly seed: number;
    readonly length_s: number;
    readonly changes: number;
    readonly troubles: number;
    readonly closing: string;
  }[] = [];
  for (const [at, daySeed] of daySeeds(seed, count).entries()) {
    const day = drawDay(daySeed, site, kinds.value, [shortest, longest]);
    const file = join(options.out, `${site.name}-${day.name}.toml`);
    await writeFile(file, formatDay(day, site, `seed ${seed}, day ${at + 1}`));
    const changes = day.plan.filter(({ kind }) => kind === "config_change").length;
    written.push({
      file,
      seed: daySeed,
      length_s: day.length_s,
      changes,
      troubles: day.plan.length + day.faults.length - changes,
      closing: day.closing?.kind ?? "none",
    });
    if (written.length % PROGRESS_EVERY === 0)
      process.stderr.write(`${written.length} of ${count} days\n`);
  }
  const { leftOut } = kinds.value;
  if (options.json === true)
    process.stdout.write(`${JSON.stringify({ site: site.name, leftOut, days: written })}\n`);
  else {
    written.forEach((day) =>
      process.stdout.write(
        `${day.file}  ${day.length_s} s  ${day.changes} changes  ${day.troubles} troubles  closing ${day.closing}\n`,
      ),
    );
    if (leftOut.length > 0)
      process.stdout.write(`left out because they are not supported: ${leftOut.join(", ")}\n`);
  }
};

interface TableOptions {
  readonly journal: string;
  readonly notes: string;
  readonly out: string;
  readonly since: string;
  readonly json?: boolean;
}

const writeTable = async (options: TableOptions): Promise<void> => {
  if (options.since !== "" && Number.isNaN(Date.parse(options.since)))
    throw new ChaosError(
      `--since must be a time such as 2026-12-02T04:30:00Z, got ${options.since}`,
    );
  const names = await readdir(options.journal).catch(() => {
    throw new ChaosError(`${options.journal} cannot be read`);
  });
  const files = names.filter((name) => name.endsWith(".json")).sort();
  const runs: DayRun[] = [];
  const partialRuns: PartialRun[] = [];
  for (const [at, name] of files.entries()) {
    const entry = await parseFile(join(options.journal, name), (body) =>
      readEntry(parseJson(body)),
    );
    runs.push(...entry.runs);
    partialRuns.push(...entry.partialRuns);
    if ((at + 1) % PROGRESS_EVERY === 0)
      process.stderr.write(`${at + 1} of ${files.length} entries\n`);
  }
  const notes = await parseFile(options.notes, (body) => readNotes(parse(body)));
  const summary = summarize(runs, partialRuns, notes, options.since);
  await mkdir(dirname(options.out), { recursive: true });
  await writeFile(options.out, formatPage(summary));
  if (options.json === true) process.stdout.write(`${JSON.stringify(summary)}\n`);
  else
    process.stdout.write(
      `${basename(options.out)}: ${files.length} entries, ${summary.rows.length} deployments, ${summary.findings.length} rules violated.\n`,
    );
};

/** Runs a command. Prints an error of its input as one line on stderr and sets exit code 2. */
const reportErrors = async (command: Promise<void>): Promise<void> => {
  try {
    await command;
  } catch (error) {
    if (!(error instanceof ChaosError) && !(error instanceof DecodeError)) throw error;
    process.stderr.write(`chaos: ${error.message}.\n`);
    process.exitCode = 2;
  }
};

const cli = new Command("chaos").description(
  "draws days of faults and changes for the bench, and summarizes their runs in a table",
);
cli
  .command("days")
  .description(
    "draw day files for a deployment from its list of kinds; the same seed gives the same files",
  )
  .requiredOption("--site <file>", "site file of the deployment")
  .requiredOption(
    "--kinds <file>",
    "list of kinds printed by the bench for it; - reads standard input",
  )
  .requiredOption("--seed <n>", "seed of the random draws")
  .option("--count <n>", "number of days", "10")
  .requiredOption("--out <folder>", "folder the files are written to")
  .option("--shortest <s>", "minimum length of a day in seconds", String(MIN_LENGTH_S))
  .option("--longest <s>", "maximum length of a day in seconds", String(MAX_LENGTH_S))
  .option("--json", "print the drawn days as JSON")
  .action((options: DaysOptions) => reportErrors(drawDays(options)));
cli
  .command("table")
  .description("generate docs/chaos.md from the journal")
  .option("--journal <folder>", "folder of the journal", "journal")
  .option("--notes <file>", "file with the state of violated rules", "chaos/notes.toml")
  .option("--out <file>", "the page to write", "docs/chaos.md")
  .option("--since <time>", "leave out runs that began earlier", "")
  .option("--json", "print the summary as JSON")
  .action((options: TableOptions) => reportErrors(writeTable(options)));
await cli.parseAsync();
