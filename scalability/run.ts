/**
 * `npm run scalability`: measures how the cost of the control plane grows with the number of nodes,
 * workers, routes or services.
 */
import { writeFile } from "node:fs/promises";
import { cpus, totalmem } from "node:os";
import { Command } from "commander";
import { isRecord, type UnknownRecord } from "../src/common/decode.js";
import { measureSize } from "./measurement.js";
import { packSize, findProblem, type Size } from "./size.js";

const FIELDS = ["nodes", "workers", "routes", "services"] as const;

type Options = Readonly<Record<string, string>>;

const sizesOf = (
  dimension: string,
  values: readonly string[],
  options: Options,
): readonly Size[] => {
  const field = FIELDS.find((one) => one === dimension);
  if (field === undefined) return [];
  const option = (name: string) => Number(options[name]);
  const base: Size = {
    nodes: option("nodes"),
    workers: option("workers"),
    routes: option("routes"),
    services: option("services"),
    controllers: option("controllers"),
    hosts: option("hosts"),
    seconds: option("seconds"),
    settleSeconds: option("settle"),
  };
  return values.map((size): Size => ({ ...base, [field]: Number(size) }));
};

/** Measures one size. A failure is reported as a result entry with its reason. */
const measureOrReportFailure = async (size: Size): Promise<UnknownRecord> => {
  try {
    return await measureSize(size);
  } catch (error) {
    return {
      size: packSize(size),
      failed: error instanceof Error ? error.message : String(error),
    };
  }
};

const progressLine = ({ size, failed, change }: UnknownRecord): string =>
  JSON.stringify({ size, failed, change: isRecord(change) ? change["lastNodeUs"] : undefined });

const run = async (dimension: string, given: string[], options: Options): Promise<void> => {
  const sizes = sizesOf(dimension, given, options);
  const problem =
    sizes.length === 0 ? `${dimension} is none of ${FIELDS.join(", ")}` : findProblem(sizes);
  if (problem !== undefined) {
    process.stderr.write(`scalability: ${problem}.\n`);
    process.exitCode = 2;
    return;
  }
  const results: UnknownRecord[] = [];
  const machine = {
    cores: cpus().length,
    memoryGb: Math.round(totalmem() / 2 ** 30),
    node: process.version,
  };
  const command = process.argv.slice(2).join(" ");
  for (const size of sizes) {
    const result = await measureOrReportFailure(size);
    results.push(result);
    process.stdout.write(`${progressLine(result)}\n`);
    if (options["out"] === undefined) continue;
    const body = { commit: options["commit"], machine, command, what: dimension, results };
    await writeFile(options["out"], `${JSON.stringify(body, undefined, 1)}\n`);
  }
};

await new Command("scalability")
  .description(
    "measures how the cost of the control plane grows: real controllers, light nodes and workers, over loopback",
  )
  .argument("<what>", `dimension that grows: ${FIELDS.join(", ")}`)
  .argument("<sizes...>", "sizes of that dimension, such as 100 300 1000 3000")
  .option("--nodes <n>", "number of light nodes", "30")
  .option("--workers <n>", "number of light workers", "30")
  .option("--routes <n>", "number of routes", "30")
  .option("--services <n>", "number of services", "5")
  .option("--controllers <n>", "number of real controllers, one process each", "7")
  .option("--hosts <n>", "number of processes that the light nodes share", "6")
  .option("--seconds <n>", "duration of the idle measurement", "8")
  .option("--settle <n>", "time to settle before the idle measurement", "6")
  .option("--commit <id>", "commit under test", "")
  .option("--out <file>", "write the results to this file")
  .action(run)
  .parseAsync();
