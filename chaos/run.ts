/**
 * `npm run chaos`: draws days of faults and changes for the bench, and tables what the journal says
 * of days that were run.
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

/** What stops a command; its message is one line for whoever called it. */
class ChaosError extends CodedError {
  readonly code = "INVALID_CALL";
}

const MAX_DAYS = 1_000;
/** A day file's length in seconds; an issue of the users names these bounds. */
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

/** Reads a file with a reader that throws; the error names the file. */
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
    throw new ChaosError(`${name} must be a whole number from ${min} to ${max}, not ${text}`);
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
      process.stdout.write(
        `left out, since the system isn't built for them: ${leftOut.join(", ")}\n`,
      );
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
      `--since must be a time such as 2026-12-02T04:30:00Z, not ${options.since}`,
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
      `${basename(options.out)}: ${files.length} entries, ${summary.rows.length} deployments, ${summary.findings.length} rules broken.\n`,
    );
};

/** Runs a command; what is wrong goes to stderr in one line, with code 2. */
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
  "draws days of faults and changes for the bench, and tables what the journal says of them",
);
cli
  .command("days")
  .description(
    "draws day files for a deployment from its list of kinds; the same seed gives the same files",
  )
  .requiredOption("--site <file>", "the deployment's site file")
  .requiredOption("--kinds <file>", "what the bench lists as kinds for it; - reads standard input")
  .requiredOption("--seed <n>", "where the draws begin")
  .option("--count <n>", "how many days", "10")
  .requiredOption("--out <folder>", "where the files are written")
  .option("--shortest <s>", "least length of a day in seconds", String(MIN_LENGTH_S))
  .option("--longest <s>", "greatest length of a day in seconds", String(MAX_LENGTH_S))
  .option("--json", "prints what was drawn as JSON")
  .action((options: DaysOptions) => reportErrors(drawDays(options)));
cli
  .command("table")
  .description("makes docs/chaos.md from the journal")
  .option("--journal <folder>", "the journal's folder", "journal")
  .option("--notes <file>", "what became of broken rules", "chaos/notes.toml")
  .option("--out <file>", "the page", "docs/chaos.md")
  .option("--since <time>", "leaves out runs that began before it", "")
  .option("--json", "prints the sums as JSON")
  .action((options: TableOptions) => reportErrors(writeTable(options)));
await cli.parseAsync();
