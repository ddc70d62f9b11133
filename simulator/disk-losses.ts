/**
 * `npm run disk-losses`: controllers lose their disks in turn, by seeds; reports the seeds in which
 * acknowledged state was lost.
 */
import { writeFile } from "node:fs/promises";
import { Command } from "commander";
import { DiskLossRun } from "../features/support/disk-loss-run.js";

interface Options {
  readonly seeds: string;
  readonly from: string;
  readonly repair: boolean;
  readonly out?: string;
}

const run = async ({ seeds, from, repair, out }: Options): Promise<void> => {
  const first = Number(from);
  const last = first + Number(seeds) - 1;
  const lines: string[] = [];
  let failedCount = 0;
  let storedCount = 0;
  for (let seed = first; seed <= last; seed += 1) {
    const result = await new DiskLossRun(seed, repair).run();
    storedCount += result.storedCount;
    if (result.violations.length === 0) continue;
    failedCount += 1;
    lines.push(`seed ${seed}: ${result.violations.length} violations, ${result.violations[0]}`);
    process.stdout.write(`${lines[lines.length - 1]}\n`);
  }
  lines.push(
    `seeds ${first} to ${last} ${repair ? "with" : "without"} the repair: ` +
      `${failedCount} with violations, ${storedCount} responses stored`,
  );
  process.stdout.write(`${lines[lines.length - 1]}\n`);
  if (out !== undefined) await writeFile(out, `${lines.join("\n")}\n`);
  if (failedCount > 0) process.exitCode = 1;
};

await new Command("disk-losses")
  .description("controllers lose their disks in turn, and must lose nothing acknowledged")
  .option("--seeds <count>", "number of seeds", "100")
  .option("--from <seed>", "first seed", "1")
  .option("--no-repair", "leave out the repair of responses, to show that its lack is found")
  .option("--out <file>", "file for the results")
  .action(run)
  .parseAsync();
